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

/// Random faults that apply to all links.
struct Disturbance {
  /// Probability that a message is lost, is delivered twice, or may arrive
  /// after messages sent later on the same link.
  double loss = 0;
  double duplication = 0;
  double reordering = 0;
  /// Largest extra delay of a duplicate or reordered message.
  Duration max_extra_delay{0};
};

/// Simulated network between instances, with latency, jitter and faults in
/// virtual time. Probes and their replies travel as UDP datagrams, all other
/// messages over TCP connections. A link is one direction between two
/// instances.
class Network {
 public:
  /// Returns the one-way latency between two instances.
  using Latency =
      std::function<Duration(const InstanceName&, const InstanceName&)>;
  /// Decides whether a message is sent; false drops it. Lets a scenario drop
  /// one particular message.
  using Filter = std::function<bool(const InstanceName& from,
                                    const InstanceName& to,
                                    const wire::Message& message)>;

  /// Adds a random delay of up to `jitter` times the latency to each message.
  Network(EventLoop& loop, uint64_t seed, Latency latency, double jitter)
      : loop_(loop),
        random_(seed),
        latency_(std::move(latency)),
        jitter_(jitter) {}

  /// Calls `deliver` for each copy of the message at the virtual time at which
  /// it arrives. Messages other than probes and their replies keep their order
  /// on a link unless Disturbance::reordering is set.
  void Send(const InstanceName& from,
            const InstanceName& to,
            const wire::Message& message,
            const std::function<void()>& deliver);

  /// Stops messages on one link. With `hold`, messages on connections are kept
  /// and arrive once the link is healed; datagrams are always lost.
  void Cut(const InstanceName& from, const InstanceName& to, bool hold);
  /// Lets messages pass on one link again and sends those that were held.
  void Heal(const InstanceName& from, const InstanceName& to);
  /// Heals all cut links.
  void HealAll();
  /// Applies `disturbance` to all messages sent from now on.
  void SetDisturbance(const Disturbance& disturbance) {
    disturbance_ = disturbance;
  }
  /// Sets the filter; an empty one drops nothing.
  void SetFilter(Filter filter) { filter_ = std::move(filter); }

 private:
  using Link = std::pair<InstanceName, InstanceName>;
  struct CutLink {
    bool hold = false;
    std::vector<std::function<void()>> held;
  };
  struct LinkState {
    /// Negative until the latency has been looked up.
    Duration latency{-1};
    /// Arrival time of the last message scheduled on the connection.
    Duration last_arrival{0};
  };

  /// Returns the state of a link; created at its first use.
  LinkState& FindLinkState(const InstanceName& from, const InstanceName& to);
  /// Returns the index of an instance; assigned at its first use.
  size_t IndexOf(const InstanceName& name);
  /// Returns the latency of a link plus random jitter.
  Duration DrawDelay(const LinkState& state);

  EventLoop& loop_;
  Random random_;
  Latency latency_;
  double jitter_;
  Disturbance disturbance_;
  Filter filter_;
  std::map<Link, CutLink> cuts_;
  /// Index of each instance seen so far, and the links by the indexes of their
  /// sender and receiver.
  std::unordered_map<InstanceName, size_t> indexes_;
  std::vector<std::vector<LinkState>> links_;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_NETWORK_H_
