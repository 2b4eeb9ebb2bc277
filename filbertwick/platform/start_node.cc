#include "filbertwick/platform/start_node.h"

#include "filbertwick/platform/client_limits.h"

namespace filbertwick::platform {

std::shared_ptr<core::policy::ClientBudget> CreateClientBudget(
    const PlatformSettings& settings,
    const NodeContext& context) {
  const ClientLimits limits = DeriveClientLimits(settings.limits);
  Counter& closed = context.counters.Get("clients_closed_for_memory_total");
  return core::policy::ClientBudget::Create(
      limits.held_bytes, [log = context.log, &closed, limits](size_t count) {
        closed.Add(count);
        log(LogLine("client_memory_short")
                .Add("clients_closed", static_cast<int64_t>(count))
                .Add("limit_bytes", static_cast<int64_t>(limits.held_bytes)));
      });
}

}  // namespace filbertwick::platform
