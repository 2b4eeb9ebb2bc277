#include "filbertwick/harness/network.h"

#include <algorithm>
#include <variant>

namespace filbertwick::harness {
namespace {

/// True for messages that travel by UDP.
bool IsDatagram(const wire::Message& message) {
  return std::holds_alternative<wire::Probe>(message) ||
         std::holds_alternative<wire::ProbeReply>(message);
}

}  // namespace

void Network::Send(const InstanceName& from,
                   const InstanceName& to,
                   const wire::Message& message,
                   const std::function<void()>& deliver) {
  if (filter_ && !filter_(from, to, message)) {
    return;
  }
  const bool datagram = IsDatagram(message);
  // A cut link loses or keeps the message.
  if (!cuts_.empty()) {
    if (const auto it = cuts_.find({from, to}); it != cuts_.end()) {
      if (it->second.hold && !datagram) {
        it->second.held.push_back(deliver);
      }
      return;
    }
  }
  if (random_.Chance(disturbance_.loss)) {
    return;
  }
  LinkState& state = State(from, to);
  Duration when = loop_.now() + Delay(state);
  // Order on a connection is kept unless the link is disturbed.
  if (random_.Chance(disturbance_.reordering)) {
    when += random_.Between(Duration(0), disturbance_.late);
  } else if (!datagram) {
    when = std::max(when, state.newest);
    state.newest = when;
  }
  loop_.At(when, deliver);
  if (random_.Chance(disturbance_.duplication)) {
    loop_.At(when + random_.Between(Duration(0), disturbance_.late), deliver);
  }
}

void Network::Cut(const InstanceName& from, const InstanceName& to, bool hold) {
  cuts_[{from, to}].hold = hold;
}

void Network::Heal(const InstanceName& from, const InstanceName& to) {
  const auto it = cuts_.find({from, to});
  if (it == cuts_.end()) {
    return;
  }
  const auto held = std::move(it->second.held);
  cuts_.erase(it);
  for (const auto& deliver : held) {
    LinkState& state = State(from, to);
    state.newest = std::max(loop_.now() + Delay(state), state.newest);
    loop_.At(state.newest, deliver);
  }
}

void Network::HealAll() {
  while (!cuts_.empty()) {
    const Link link = cuts_.begin()->first;
    Heal(link.first, link.second);
  }
}

Network::LinkState& Network::State(const InstanceName& from,
                                   const InstanceName& to) {
  const size_t row = NumberOf(from);
  const size_t column = NumberOf(to);
  if (row >= links_.size()) {
    links_.resize(row + 1);
  }
  if (column >= links_[row].size()) {
    links_[row].resize(column + 1);
  }
  LinkState& state = links_[row][column];
  if (state.latency < Duration(0)) {
    state.latency = latency_(from, to);
  }
  return state;
}

size_t Network::NumberOf(const InstanceName& name) {
  return numbers_.emplace(name, numbers_.size()).first->second;
}

Duration Network::Delay(const LinkState& state) {
  const auto spread = static_cast<int64_t>(
      static_cast<double>(state.latency.count()) * jitter_);
  return state.latency + random_.Between(Duration(0), Duration(spread));
}

}  // namespace filbertwick::harness
