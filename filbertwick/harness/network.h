#ifndef FILBERTWICK_HARNESS_NETWORK_H_
#define FILBERTWICK_HARNESS_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/harness/event_loop.h"
#include "filbertwick/harness/random.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::harness {

/// What a network does to messages beyond its latency.
struct Disturbance {
  /// Share of messages lost, doubled, and overtaken by later ones.
  double loss = 0;
  double duplication = 0;
  double reordering = 0;
  /// Longest extra delay of a doubled or overtaken message.
  Duration late{0};
};

/// The messages between instances: latency, jitter and faults, in virtual time.
class Network {
 public:
  /// One-way latency between two instances.
  using Latency =
      std::function<Duration(const InstanceName&, const InstanceName&)>;
  /// False loses the message; for scenarios that aim at one message.
  using Filter = std::function<bool(const InstanceName& from,
                                    const InstanceName& to,
                                    const wire::Message& message)>;

  /// Delays vary by up to `jitter` as a share of the latency.
  Network(EventLoop& loop, uint64_t seed, Latency latency, double jitter)
      : loop_(loop),
        random_(seed),
        latency_(std::move(latency)),
        jitter_(jitter) {}

  /// Calls `deliver` for each copy of the message that arrives, in virtual
  /// time. Messages other than probes keep their order on an undisturbed link.
  void Send(const InstanceName& from,
            const InstanceName& to,
            const wire::Message& message,
            const std::function<void()>& deliver);

  /// Stops messages one way. With `hold`, those of connections arrive once the
  /// link is healed; datagrams are lost.
  void Cut(const InstanceName& from, const InstanceName& to, bool hold);
  /// Lets messages pass again, one way.
  void Heal(const InstanceName& from, const InstanceName& to);
  /// Heals every cut.
  void HealAll();
  /// Disturbs every link from now on.
  void SetDisturbance(const Disturbance& disturbance) {
    disturbance_ = disturbance;
  }
  /// Sets the filter; an empty one passes all.
  void SetFilter(Filter filter) { filter_ = std::move(filter); }

 private:
  using Link = std::pair<InstanceName, InstanceName>;
  struct CutLink {
    bool hold = false;
    std::vector<std::function<void()>> held;
  };
  struct LinkState {
    Duration latency{-1};
    /// When the newest message of a connection arrives.
    Duration last_arrival{0};
  };

  LinkState& FindLinkState(const InstanceName& from, const InstanceName& to);
  size_t IndexOf(const InstanceName& name);
  Duration DrawDelay(const LinkState& state);

  EventLoop& loop_;
  Random random_;
  Latency latency_;
  double jitter_;
  Disturbance disturbance_;
  Filter filter_;
  std::map<Link, CutLink> cuts_;
  /// Number of each instance seen so far, and the links between them.
  std::unordered_map<InstanceName, size_t> indexes_;
  std::vector<std::vector<LinkState>> links_;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_NETWORK_H_
