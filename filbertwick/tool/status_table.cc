#include "filbertwick/tool/status_table.h"

#include <fmt/format.h>

#include <chrono>
#include <iterator>
#include <map>
#include <string_view>

namespace filbertwick::tool {
namespace {

/// Total load of the upstreams of one service.
struct ServiceLoad {
  uint32_t upstreams = 0;
  uint32_t slots = 0;
  uint32_t running = 0;
  uint32_t queued = 0;
  uint32_t ejected = 0;
};

std::string FormatAge(Duration age) {
  if (age < Duration(0)) {
    return "none";
  }
  return fmt::format(
      "{} ms",
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
}

std::string_view DescribeZone(const core::ZoneStatus& zone) {
  if (!zone.out) {
    return "in";
  }
  return zone.certainly_out ? "out" : "going out";
}

std::map<ServiceName, ServiceLoad> SumServices(const core::CoreStatus& status) {
  std::map<ServiceName, ServiceLoad> services;
  for (const core::PeerStatus& peer : status.peers) {
    if (peer.info.role != wire::Role::kSidecar) {
      continue;
    }
    ServiceLoad& load = services[peer.info.service];
    ++load.upstreams;
    load.slots += peer.load.slots;
    load.running += peer.load.running;
    load.queued += peer.load.queued;
    load.ejected += peer.ejected ? 1 : 0;
  }
  return services;
}

std::string FormatEntrySummary(const core::CoreStatus& status) {
  return fmt::format(
      "entry {} ({}{}): bundle {}, generation {}, offset {}, evidence {}\n"
      "shards {} owned, {} serving; jobs {} running; tasks {} waiting\n",
      status.info.name.value(), status.ready ? "ready" : "not ready",
      status.stopping ? ", stopping" : "", status.bundle_version,
      status.generation, status.offset, FormatAge(status.evidence_age),
      status.shards_owned, status.shards_serving, status.jobs_running,
      status.tasks_waiting);
}

}  // namespace

std::string FormatStatusTable(const core::CoreStatus& status) {
  std::string text = FormatEntrySummary(status);
  auto out = std::back_inserter(text);
  fmt::format_to(out, "\n{:<20} {:<12} {:<10} {:>7}\n", "ZONE", "REGION",
                 "STATE", "RUNNING");
  for (const core::ZoneStatus& zone : status.zones) {
    fmt::format_to(out, "{:<20} {:<12} {:<10} {:>7}\n", zone.zone.value(),
                   zone.region.value(), DescribeZone(zone), zone.running);
  }
  fmt::format_to(out, "\n{:<20} {:>9} {:>6} {:>7} {:>6} {:>7}\n", "SERVICE",
                 "UPSTREAMS", "SLOTS", "RUNNING", "QUEUED", "EJECTED");
  for (const auto& [name, load] : SumServices(status)) {
    fmt::format_to(out, "{:<20} {:>9} {:>6} {:>7} {:>6} {:>7}\n", name.value(),
                   load.upstreams, load.slots, load.running, load.queued,
                   load.ejected);
  }
  fmt::format_to(out, "\n{:<20} {:<8} {:<12} {:>8} {:>9} {:>9} {}\n",
                 "INSTANCE", "ROLE", "ZONE", "OFFSET", "HEARD", "LOAD", "");
  for (const core::PeerStatus& peer : status.peers) {
    fmt::format_to(out, "{:<20} {:<8} {:<12} {:>8} {:>9} {:>9} {}{}\n",
                   peer.info.name.value(),
                   peer.info.role == wire::Role::kSidecar ? "sidecar" : "entry",
                   peer.info.zone.value(), peer.offset, FormatAge(peer.age),
                   fmt::format("{}+{}/{}", peer.load.running, peer.load.queued,
                               peer.load.slots),
                   peer.is_voter ? "" : "no vouch ",
                   peer.ejected ? "ejected" : "");
  }
  return text;
}

}  // namespace filbertwick::tool
