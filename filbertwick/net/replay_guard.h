#ifndef FILBERTWICK_NET_REPLAY_GUARD_H_
#define FILBERTWICK_NET_REPLAY_GUARD_H_

#include <cstdint>
#include <deque>
#include <map>

#include "filbertwick/wire/message.h"

namespace filbertwick::net {

/// Sliding window that accepts each sequence number once, in any order within
/// the last 64 numbers.
class SequenceWindow {
 public:
  /// Returns false for a number that was accepted before or is older than the
  /// window. Numbers start at 1.
  bool Accept(uint64_t sequence);

 private:
  uint64_t newest_ = 0;
  /// Bit n is set if `newest_ - n` was accepted.
  uint64_t accepted_ = 0;
};

/// Result of the replay check of a frame.
enum class Freshness {
  kFresh,
  /// Fresh, and the first frame from a new incarnation of the sender.
  kNewIncarnation,
  /// The sequence number was accepted before or is too old.
  kReplayed,
  /// Sent by an incarnation that a later one has replaced, or by incarnation 0.
  kRetiredIncarnation,
};

/// Rejects replayed frames and frames of retired incarnations, for each sender
/// separately. An incarnation is retired once a frame of another one arrives.
class ReplayGuard {
 public:
  /// Checks a datagram against the window of its sender.
  Freshness CheckDatagram(const wire::Sender& from, uint64_t sequence);
  /// Checks a frame of a connection. Its sequence number must be higher than
  /// that of every frame received before from the same incarnation on any
  /// connection.
  Freshness CheckStream(const wire::Sender& from, uint64_t sequence);
  /// Returns whether another incarnation has replaced this one.
  bool IsRetired(const wire::Sender& sender) const;

 private:
  /// Incarnations and sequence numbers received from one sender.
  struct SenderState {
    wire::Incarnation incarnation = 0;
    std::deque<wire::Incarnation> retired;
    SequenceWindow datagrams;
    uint64_t stream_sequence = 0;
  };

  /// Makes the frame's incarnation the current one and resets the sequence
  /// numbers, unless it is current already or retired.
  Freshness UpdateIncarnation(const wire::Sender& from, SenderState& state);

  std::map<InstanceName, SenderState> sender_states_;
};

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_REPLAY_GUARD_H_
