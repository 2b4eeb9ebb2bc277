#ifndef FILBERTWICK_NET_REPLAY_GUARD_H_
#define FILBERTWICK_NET_REPLAY_GUARD_H_

#include <cstdint>
#include <deque>
#include <map>

#include "filbertwick/wire/message.h"

namespace filbertwick::net {

/// Takes each sequence number once, in any order within the last 64.
class SequenceWindow {
 public:
  /// False for a number that was taken already or is too old. Numbers start
  /// at 1.
  bool Accept(uint64_t sequence);

 private:
  uint64_t newest_ = 0;
  /// Bit n is set when `newest_ - n` was taken.
  uint64_t accepted_ = 0;
};

/// What a sender's frame is to the receiver.
enum class Freshness {
  kFresh,
  /// Fresh, and the first frame of a new incarnation of the sender.
  kNewIncarnation,
  /// Sequence number taken already or too old.
  kReplayed,
  /// From an incarnation that another one replaced.
  kRetiredIncarnation,
};

/// Refuses replayed frames and those of replaced incarnations, by sender.
class ReplayGuard {
 public:
  /// Judges a datagram.
  Freshness CheckDatagram(const wire::Sender& from, uint64_t sequence);
  /// Judges a frame of a connection: its number must be the highest so far.
  Freshness CheckStream(const wire::Sender& from, uint64_t sequence);
  /// True when another incarnation replaced this one.
  bool IsRetired(const wire::Sender& sender) const;

 private:
  /// What was heard of one sender.
  struct SenderState {
    wire::Incarnation incarnation = 0;
    std::deque<wire::Incarnation> retired;
    SequenceWindow datagrams;
    uint64_t stream_sequence = 0;
  };

  /// Switches to the sender's incarnation, unless it is retired.
  Freshness UpdateIncarnation(const wire::Sender& from, SenderState& state);

  std::map<InstanceName, SenderState> sender_states_;
};

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_REPLAY_GUARD_H_
