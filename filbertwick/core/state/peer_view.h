#ifndef FILBERTWICK_CORE_STATE_PEER_VIEW_H_
#define FILBERTWICK_CORE_STATE_PEER_VIEW_H_

#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/wire/control_record.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::core {

/// What one instance has seen of another.
struct PeerView {
  /// Newest incarnation heard from; 0 while none was.
  wire::Incarnation incarnation = 0;
  /// Incarnations that were replaced; late messages of theirs are ignored.
  std::vector<wire::Incarnation> retired;
  /// When the present incarnation was first heard after another one.
  Instant replaced_at = Instant::min();
  /// When anything was last heard; Instant::min() while nothing was.
  Instant heard_at = Instant::min();
  /// Its own clock, as last told; for sidecars.
  wire::ClockToken token = 0;
  wire::Load load;
  /// Number of records it last said to have folded.
  wire::LogOffset offset = 0;
  bool is_voter = false;
  /// It is about to leave and takes nothing over.
  bool stopping = false;
  /// When the next probe is due.
  Instant probe_at = Instant::min();
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_STATE_PEER_VIEW_H_
