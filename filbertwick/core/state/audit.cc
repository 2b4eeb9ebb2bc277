#include "filbertwick/core/state/audit.h"

#include <fmt/format.h>

namespace filbertwick::core {
namespace {

/// One description for each kind of record.
struct Describer {
  std::string operator()(const wire::PublishBundle& publish) const {
    return fmt::format("bundle {} based on {}", publish.version,
                       publish.based_on);
  }
  std::string operator()(const wire::SetZone& zone) const {
    return fmt::format("zone {} {}", zone.zone.value(),
                       zone.out ? "out" : "in");
  }
  std::string operator()(const wire::JoinInstance& join) const {
    return fmt::format("join {} incarnation {:016x} in zone {}",
                       join.info.name.value(), join.info.incarnation,
                       join.info.zone.value());
  }
  std::string operator()(const wire::LeaveInstance& leave) const {
    return fmt::format("leave {} incarnation {:016x}", leave.name.value(),
                       leave.incarnation);
  }
  std::string operator()(const wire::SettleMembers& settle) const {
    return fmt::format("members of {} settled through {}",
                       settle.region.value(), settle.through);
  }
  std::string operator()(const wire::TakeShards& take) const {
    if (take.shards.empty()) {
      return "no shards taken";
    }
    const wire::Epoch& epoch = take.shards.front().epoch;
    return fmt::format("{} shards of {} to {}, first {} under epoch {}.{}.{}",
                       take.shards.size(), take.region.value(),
                       epoch.owner.value(), take.shards.front().shard,
                       epoch.generation, epoch.number, epoch.handovers);
  }
  std::string operator()(const wire::ResetRegion& reset) const {
    return fmt::format("region {} formed again as generation {} by {} members",
                       reset.region.value(), reset.generation,
                       reset.members.size());
  }
  std::string operator()(const wire::Checkpoint& checkpoint) const {
    return fmt::format("checkpoint at {}", checkpoint.offset);
  }
  std::string operator()(const wire::UpstreamEjection& ejection) const {
    return fmt::format("upstream of {} {}: {}", ejection.sidecar.value(),
                       ejection.ejected ? "set aside" : "taken back",
                       ejection.why);
  }
};

}  // namespace

std::string DescribeChange(const wire::ControlBody& body) {
  return std::visit(Describer(), body);
}

AuditEffect MakeAudit(wire::LogOffset offset,
                      const wire::ControlRecord& record,
                      const ApplyResult& result) {
  AuditEffect audit;
  audit.offset = offset;
  audit.written = record.written;
  audit.author = record.author;
  audit.change = record.change;
  audit.what = DescribeChange(record.body);
  audit.accepted = result.accepted;
  audit.why = result.why;
  return audit;
}

}  // namespace filbertwick::core
