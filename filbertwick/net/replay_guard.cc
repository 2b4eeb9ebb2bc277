#include "filbertwick/net/replay_guard.h"

#include <algorithm>

namespace filbertwick::net {
namespace {

constexpr uint64_t kWindowBits = 64;
/// Maximum number of retired incarnations kept per sender. A frame of an older
/// one would count as a frame of a new incarnation.
constexpr size_t kMaxRetiredIncarnations = 64;

bool Contains(const std::deque<wire::Incarnation>& retired,
              wire::Incarnation incarnation) {
  return std::ranges::find(retired, incarnation) != retired.end();
}

}  // namespace

bool SequenceWindow::Accept(uint64_t sequence) {
  if (sequence > newest_) {
    const uint64_t shift = sequence - newest_;
    accepted_ = shift < kWindowBits ? accepted_ << shift : 0;
    accepted_ |= 1;
    newest_ = sequence;
    return true;
  }
  const uint64_t age = newest_ - sequence;
  if (sequence == 0 || age >= kWindowBits) {
    return false;
  }
  const uint64_t bit = uint64_t{1} << age;
  const bool was_accepted = (accepted_ & bit) != 0;
  accepted_ |= bit;
  return !was_accepted;
}

Freshness ReplayGuard::CheckDatagram(const wire::Sender& from,
                                     uint64_t sequence) {
  SenderState& state = sender_states_[from.name];
  const Freshness freshness = UpdateIncarnation(from, state);
  if (freshness == Freshness::kRetiredIncarnation) {
    return freshness;
  }
  return state.datagrams.Accept(sequence) ? freshness : Freshness::kReplayed;
}

Freshness ReplayGuard::CheckStream(const wire::Sender& from,
                                   uint64_t sequence) {
  SenderState& state = sender_states_[from.name];
  const Freshness freshness = UpdateIncarnation(from, state);
  if (freshness == Freshness::kRetiredIncarnation) {
    return freshness;
  }
  if (sequence <= state.stream_sequence) {
    return Freshness::kReplayed;
  }
  state.stream_sequence = sequence;
  return freshness;
}

bool ReplayGuard::IsRetired(const wire::Sender& sender) const {
  const auto it = sender_states_.find(sender.name);
  return it != sender_states_.end() &&
         Contains(it->second.retired, sender.incarnation);
}

Freshness ReplayGuard::UpdateIncarnation(const wire::Sender& from,
                                         SenderState& state) {
  if (state.incarnation == from.incarnation) {
    return Freshness::kFresh;
  }
  if (from.incarnation == 0 || Contains(state.retired, from.incarnation)) {
    return Freshness::kRetiredIncarnation;
  }
  if (state.incarnation != 0) {
    state.retired.push_back(state.incarnation);
  }
  if (state.retired.size() > kMaxRetiredIncarnations) {
    state.retired.pop_front();
  }
  state.incarnation = from.incarnation;
  state.datagrams = {};
  state.stream_sequence = 0;
  return Freshness::kNewIncarnation;
}

}  // namespace filbertwick::net
