#ifndef FILBERTWICK_CORE_DIRECT_SESSION_TABLE_H_
#define FILBERTWICK_CORE_DIRECT_SESSION_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/message.h"

namespace filbertwick::core::direct {

/// A sidecar's dealings with one life of an entry.
struct Session {
  Peer entry;
  /// The newest reading of the sidecar's own clock that the entry has proved
  /// to have: as fresh as the session is, however late the proof arrived.
  Instant fresh;
  /// Newest EntryMessage::sent that has arrived.
  int64_t asked_at = 0;
  /// Its runs were given up because it fell silent; until it is heard again.
  bool orphaned = false;
  /// Jobs wait there for room.
  bool waiting = false;
  /// A message to the entry is due with the present effects.
  bool due = false;
  std::vector<OfferReply> new_replies;
  /// Replies already given, for offers that come twice; oldest first.
  std::deque<OfferReply> old_replies;
  /// Ends not taken note of, oldest first.
  std::deque<RunEnd> ends;
  uint64_t last_end = 0;
  /// When unacknowledged ends are told again.
  Instant resend_due;
  /// Stops that came before their offers, until an offer would be stale.
  std::map<TaskRun, Instant> stopped_early;
};

/// All sessions of a sidecar, one for each entry.
class SessionTable {
 public:
  using Sessions = std::map<InstanceName, Session>;

  /// Most replies kept for offers that come twice: far more than an entry has
  /// open at a time.
  static constexpr size_t kMaxOldReplies = 64;

  /// The session of an entry's life; null when a later life is known and heard.
  /// Incarnations come from wall clocks that may jump back, so a lower one
  /// counts as later once the other has fallen silent. `ended` becomes true
  /// when another life was replaced.
  Session* Open(const Peer& entry, bool& ended);
  /// The session of exactly this life, or null.
  Session* Find(const Peer& entry);
  /// The reply given to an offer before, or null.
  static const OfferReply* FindReply(const Session& session, uint64_t offer);
  /// Notes a reply to be sent.
  static void AddReply(Session& session, OfferReply reply);
  /// Numbers an end and keeps it until it is taken note of.
  static void AddEnd(Session& session, RunEnd end);
  /// Drops the ends that the entry took note of.
  static void TakeEnds(Session& session, uint64_t up_to);

  Sessions& all() { return sessions_; }
  const Sessions& all() const { return sessions_; }

 private:
  Sessions sessions_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_SESSION_TABLE_H_
