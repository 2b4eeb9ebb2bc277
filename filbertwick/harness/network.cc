#include "filbertwick/harness/network.h"

#include <algorithm>
#include <variant>

namespace filbertwick::harness {
namespace {

/// Returns true for messages that are sent over UDP.
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
  // A cut link holds the message or drops it.
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
  LinkState& state = FindLinkState(from, to);
  Duration when = loop_.now() + DrawDelay(state);
  // A reordered message may arrive after later ones. Otherwise messages on a
  // connection arrive in the order in which they were sent.
  if (random_.Chance(disturbance_.reordering)) {
    when += random_.Between(Duration(0), disturbance_.max_extra_delay);
  } else if (!datagram) {
    when = std::max(when, state.last_arrival);
    state.last_arrival = when;
  }
  loop_.At(when, deliver);
  if (random_.Chance(disturbance_.duplication)) {
    loop_.At(when + random_.Between(Duration(0), disturbance_.max_extra_delay),
             deliver);
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
    LinkState& state = FindLinkState(from, to);
    state.last_arrival =
        std::max(loop_.now() + DrawDelay(state), state.last_arrival);
    loop_.At(state.last_arrival, deliver);
  }
}

void Network::HealAll() {
  while (!cuts_.empty()) {
    const Link link = cuts_.begin()->first;
    Heal(link.first, link.second);
  }
}

Network::LinkState& Network::FindLinkState(const InstanceName& from,
                                           const InstanceName& to) {
  const size_t from_index = IndexOf(from);
  const size_t to_index = IndexOf(to);
  if (from_index >= links_.size()) {
    links_.resize(from_index + 1);
  }
  if (to_index >= links_[from_index].size()) {
    links_[from_index].resize(to_index + 1);
  }
  LinkState& state = links_[from_index][to_index];
  if (state.latency < Duration(0)) {
    state.latency = latency_(from, to);
  }
  return state;
}

size_t Network::IndexOf(const InstanceName& name) {
  return indexes_.emplace(name, indexes_.size()).first->second;
}

Duration Network::DrawDelay(const LinkState& state) {
  const auto max_jitter = static_cast<int64_t>(
      static_cast<double>(state.latency.count()) * jitter_);
  return state.latency + random_.Between(Duration(0), Duration(max_jitter));
}

}  // namespace filbertwick::harness
