#ifndef FILBERTWICK_CORE_POLICY_RESEND_TIMER_H_
#define FILBERTWICK_CORE_POLICY_RESEND_TIMER_H_

#include "filbertwick/base/time.h"

namespace filbertwick::core::policy {

/// Decides when an item without an answer is sent again. It is lost only when
/// the peer has received a later message; a peer that answers nothing is asked
/// for an answer instead, which costs a small message. Otherwise the items that
/// are resent to a slow path keep it slow.
class ResendTimer {
 public:
  enum class Action : uint8_t {
    kNone,
    /// Send the item.
    kSend,
    /// Ask the peer for an answer.
    kProbe,
  };

  /// Creates the timer of an item that was not sent so far.
  explicit ResendTimer(Instant now) : due_(now) {}

  /// What to do at `now`. `echo` is the send time of the newest message that
  /// the peer is known to have received.
  Action ActionAt(Instant now, Instant echo) const {
    if (now < due_) {
      return Action::kNone;
    }
    return !WasSent() || sent_at_ < echo ? Action::kSend : Action::kProbe;
  }
  /// Records that the item was sent; after `interval` it may have been lost.
  void Sent(Instant now, Duration interval) {
    sent_at_ = now;
    due_ = now + interval;
  }
  /// Records that the item was not sent after all; it is due again at `retry`.
  void NotSent(Instant retry) {
    sent_at_ = Instant::min();
    due_ = retry;
  }
  /// Records a request for an answer. Nothing is due until Answered().
  void Probed() { due_ = Instant::max(); }
  /// Records that the peer has received the messages sent up to `echo`. Returns
  /// true when the item turns out to be lost and is due.
  bool Answered(Instant now, Instant echo) {
    if (due_ != Instant::max() || sent_at_ >= echo) {
      return false;
    }
    due_ = now;
    return true;
  }
  /// Instant::max() while the peer has to answer first.
  Instant due() const { return due_; }

 private:
  bool WasSent() const { return sent_at_ != Instant::min(); }

  Instant sent_at_ = Instant::min();
  Instant due_;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_RESEND_TIMER_H_
