#ifndef FILBERTWICK_CORE_DIRECT_SESSION_TABLE_H_
#define FILBERTWICK_CORE_DIRECT_SESSION_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/message.h"
#include "filbertwick/core/policy/message_budget.h"
#include "filbertwick/core/policy/resend_timer.h"
#include "filbertwick/core/policy/send_window.h"

namespace filbertwick::core::direct {

/// A sidecar's session with one incarnation of an entry; see message.h.
struct Session {
  Peer entry;
  /// Earlier incarnations of the entry, oldest first. They never come back, but
  /// delayed messages of them do.
  std::deque<uint64_t> replaced_incarnations;
  /// Newest reading of the sidecar's own clock that the entry has echoed: the
  /// entry was alive at this time, however long the echo was on its way.
  Instant last_alive;
  /// Newest EntryMessage::sent_at that has arrived.
  int64_t echoed_sent_at = 0;
  /// The session has timed out and the entry's runs are being stopped; reset
  /// when the entry is heard again.
  bool timed_out = false;
  /// The entry has a claim that matches everything: all freed capacity is
  /// reported to it.
  bool claims_everything = false;
  /// A message to the entry is sent with the present effects.
  bool send_due = false;
  /// Replies for the next messages, oldest first; at most
  /// SessionTable::kMaxPendingReplyBytes.
  std::deque<OfferReply> pending_replies;
  size_t pending_reply_bytes = 0;
  /// When a message that the socket has not taken is sent again.
  Instant retry_at = Instant::max();
  /// The newest replies, resent when their offers arrive again; oldest first.
  std::deque<OfferReply> recent_replies;
  /// Unacknowledged ends, oldest first.
  std::deque<RunEnd> ends;
  uint64_t last_end_number = 0;
  /// Highest number of an end that was sent.
  uint64_t last_sent_end = 0;
  /// When unacknowledged ends are resent.
  policy::ResendTimer ends_resend{Instant()};
  /// Runs whose stop arrived before their offer, each kept until an offer would
  /// be stale.
  std::map<TaskRun, Instant> stopped_before_offer;
};

/// All sessions of a sidecar, one per entry.
class SessionTable {
 public:
  using Sessions = std::map<InstanceName, Session>;

  /// Maximum encoded size of the pending replies of a session, in bytes; a few
  /// messages.
  static constexpr size_t kMaxPendingReplyBytes = 64 * 1024;

  /// Most replies kept for offers that arrive again: as many as an entry has
  /// offers unanswered at a time.
  static constexpr size_t kMaxRecentReplies = policy::SendWindow::kMaxItems;

  /// Returns the session of an entry's incarnation and opens it if necessary.
  /// Returns null when a session with a higher incarnation has not timed out.
  /// Incarnations are read from wall clocks, which may jump back, so a lower
  /// one is accepted once the other has timed out, unless its session was
  /// replaced before. `replaced` tells whether the session of another
  /// incarnation was replaced.
  Session* Open(const Peer& entry, bool& replaced);
  /// Returns the session of exactly this incarnation, or null.
  Session* Find(const Peer& entry);
  /// Returns the reply that was given to an offer before, or null.
  static const OfferReply* FindReply(const Session& session, uint64_t offer);
  /// Adds a reply to the next message to the entry, and keeps it for an offer
  /// that arrives again.
  static void AddReply(Session& session, OfferReply reply);
  /// Adds a reply to the next message to the entry. Above
  /// kMaxPendingReplyBytes the oldest ones are dropped: they are given again
  /// when their offers arrive again.
  static void AddPendingReply(Session& session, OfferReply reply);
  /// Moves as many pending replies to a message as fit.
  static void TakeReplies(Session& session,
                          policy::MessageBudget& budget,
                          std::vector<OfferReply>& replies);
  /// Copies the oldest unacknowledged ends to a message, as many as fit. An
  /// acknowledgement covers all lower numbers, so no message leaves one out.
  static void CopyEnds(Session& session,
                       policy::MessageBudget& budget,
                       std::vector<RunEnd>& ends);
  /// Numbers an end and keeps it until the entry acknowledges it.
  static void AddEnd(Session& session, RunEnd end);
  /// Removes the ends up to number `up_to`, which the entry has acknowledged.
  /// If that makes room for ends that were never sent, a message is due.
  static void AcknowledgeEnds(Session& session, uint64_t up_to);

  Sessions& all() { return sessions_; }
  const Sessions& all() const { return sessions_; }

 private:
  Sessions sessions_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_SESSION_TABLE_H_
