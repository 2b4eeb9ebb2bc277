#include "filbertwick/net/replay_guard.h"

#include <algorithm>

namespace filbertwick::net {
namespace {

constexpr uint64_t kWindowBits = 64;
constexpr size_t kMaxRetired = 64;

bool Contains(const std::deque<wire::Incarnation>& retired,
              wire::Incarnation incarnation) {
  return std::ranges::find(retired, incarnation) != retired.end();
}

}  // namespace

bool SequenceWindow::Accept(uint64_t sequence) {
  if (sequence > newest_) {
    const uint64_t step = sequence - newest_;
    taken_ = step < kWindowBits ? taken_ << step : 0;
    taken_ |= 1;
    newest_ = sequence;
    return true;
  }
  const uint64_t age = newest_ - sequence;
  if (sequence == 0 || age >= kWindowBits) {
    return false;
  }
  const uint64_t bit = uint64_t{1} << age;
  const bool taken = (taken_ & bit) != 0;
  taken_ |= bit;
  return !taken;
}

Freshness ReplayGuard::CheckDatagram(const wire::Sender& from,
                                     uint64_t sequence) {
  Heard& heard = heard_[from.name];
  const Freshness freshness = Identify(from, heard);
  if (freshness == Freshness::kOldIncarnation) {
    return freshness;
  }
  return heard.datagrams.Accept(sequence) ? freshness : Freshness::kReplayed;
}

Freshness ReplayGuard::CheckStream(const wire::Sender& from,
                                   uint64_t sequence) {
  Heard& heard = heard_[from.name];
  const Freshness freshness = Identify(from, heard);
  if (freshness == Freshness::kOldIncarnation) {
    return freshness;
  }
  if (sequence <= heard.stream_sequence) {
    return Freshness::kReplayed;
  }
  heard.stream_sequence = sequence;
  return freshness;
}

bool ReplayGuard::IsRetired(const wire::Sender& sender) const {
  const auto it = heard_.find(sender.name);
  return it != heard_.end() && Contains(it->second.retired, sender.incarnation);
}

Freshness ReplayGuard::Identify(const wire::Sender& from, Heard& heard) {
  if (heard.incarnation == from.incarnation) {
    return Freshness::kFresh;
  }
  if (from.incarnation == 0 || Contains(heard.retired, from.incarnation)) {
    return Freshness::kOldIncarnation;
  }
  if (heard.incarnation != 0) {
    heard.retired.push_back(heard.incarnation);
  }
  if (heard.retired.size() > kMaxRetired) {
    heard.retired.pop_front();
  }
  heard.incarnation = from.incarnation;
  heard.datagrams = {};
  heard.stream_sequence = 0;
  return Freshness::kNewIncarnation;
}

}  // namespace filbertwick::net
