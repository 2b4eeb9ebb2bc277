#ifndef FILBERTWICK_CORE_STATE_PEER_VIEW_H_
#define FILBERTWICK_CORE_STATE_PEER_VIEW_H_

#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/wire/control_record.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::core {

/// State of another instance as observed by this one.
struct PeerView {
  /// Newest incarnation from which a message was received; 0 before the first.
  wire::Incarnation incarnation = 0;
  /// Replaced incarnations; delayed messages from them are dropped.
  std::vector<wire::Incarnation> retired;
  /// When the present incarnation replaced an earlier one; Instant::min() if it
  /// didn't.
  Instant replaced_at = Instant::min();
  /// When the last message was received; Instant::min() before the first.
  Instant heard_at = Instant::min();
  /// Newest clock token of the instance; used for sidecars.
  wire::ClockToken token = 0;
  wire::Load load;
  /// Number of records applied, as last reported.
  wire::LogOffset offset = 0;
  /// The instance is a voter, as last reported.
  bool is_voter = false;
  /// The instance is about to leave and accepts no shards.
  bool stopping = false;
  /// When the next probe is due.
  Instant probe_at = Instant::min();
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_STATE_PEER_VIEW_H_
