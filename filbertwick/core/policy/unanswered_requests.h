#ifndef FILBERTWICK_CORE_POLICY_UNANSWERED_REQUESTS_H_
#define FILBERTWICK_CORE_POLICY_UNANSWERED_REQUESTS_H_

#include <deque>

#include "filbertwick/base/time.h"

namespace filbertwick::core::policy {

/// Send times of the requests to a peer that it has not answered. The peer
/// echoes the send time of the newest request that has reached it; an answer
/// that arrives late carries an old one and leaves later requests open. So a
/// path on which messages are under way for seconds is not taken for a working
/// one because some of them arrive.
class UnansweredRequests {
 public:
  /// Records a request. Requests that follow within kSpacing are not recorded.
  void Sent(Instant now) {
    if (sent_.empty() || now - sent_.back() >= kSpacing) {
      sent_.push_back(now);
    }
  }
  /// Removes the requests sent up to `echo`.
  void Answered(Instant echo) {
    while (!sent_.empty() && sent_.front() <= echo) {
      sent_.pop_front();
    }
  }
  /// Send time of the first unanswered request; Instant::max() without one.
  Instant Oldest() const {
    return sent_.empty() ? Instant::max() : sent_.front();
  }

 private:
  /// Bounds the number of send times that are kept for a silent peer.
  static constexpr Duration kSpacing = std::chrono::milliseconds(50);

  std::deque<Instant> sent_;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_UNANSWERED_REQUESTS_H_
