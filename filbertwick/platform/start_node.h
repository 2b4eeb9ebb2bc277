#ifndef FILBERTWICK_PLATFORM_START_NODE_H_
#define FILBERTWICK_PLATFORM_START_NODE_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <utility>

#include "filbertwick/platform/node.h"

namespace filbertwick::platform {

/// Creates the budget for what the process holds for clients. It logs and
/// counts the connections that it closes.
std::shared_ptr<core::policy::ClientBudget> CreateClientBudget(
    const PlatformSettings& settings,
    const NodeContext& context);

/// Creates a node of type `NodeType` and starts it; Unavailable when a port
/// can't be bound.
template <typename NodeType>
absl::StatusOr<std::unique_ptr<Node>> StartNode(
    const PlatformSettings& settings,
    uint64_t incarnation,
    NodeContext context) {
  context.client_budget = CreateClientBudget(settings, context);
  auto node =
      std::make_unique<NodeType>(settings, incarnation, std::move(context));
  if (absl::Status status = node->Start(incarnation); !status.ok()) {
    return status;
  }
  return node;
}

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_START_NODE_H_
