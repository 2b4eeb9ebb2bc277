#include "filbertwick/platform/start_node.h"

#include "filbertwick/platform/client_limits.h"

namespace filbertwick::platform {

std::shared_ptr<core::policy::ClientBudget> CreateClientBudget(
    const PlatformSettings& settings,
    const NodeContext& context) {
  using core::policy::ClientBudget;
  const size_t max_bytes = DeriveClientLimits(settings.limits).held_bytes;
  Counter& for_memory = context.counters.Get("clients_closed_for_memory_total");
  Counter& for_connections =
      context.counters.Get("clients_closed_for_connections_total");
  return ClientBudget::Create(
      max_bytes, [log = context.log, &for_memory, &for_connections, max_bytes](
                     ClientBudget::Shortage shortage, size_t count) {
        const bool is_memory = shortage == ClientBudget::Shortage::kMemory;
        (is_memory ? for_memory : for_connections).Add(count);
        log(LogLine("clients_closed")
                .Add("shortage", is_memory ? "memory" : "connections")
                .Add("closed", static_cast<int64_t>(count))
                .Add("max_held_bytes", static_cast<int64_t>(max_bytes)));
      });
}

}  // namespace filbertwick::platform
