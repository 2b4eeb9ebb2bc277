#ifndef FILBERTWICK_PLATFORM_START_NODE_H_
#define FILBERTWICK_PLATFORM_START_NODE_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <utility>

#include "filbertwick/platform/node.h"

namespace filbertwick::platform {

/// Creates a node of type `NodeType` and starts it; Unavailable when a port
/// can't be bound.
template <typename NodeType>
absl::StatusOr<std::unique_ptr<Node>> StartNode(
    const PlatformSettings& settings,
    uint64_t incarnation,
    NodeContext context) {
  auto node =
      std::make_unique<NodeType>(settings, incarnation, std::move(context));
  if (absl::Status status = node->Start(incarnation); !status.ok()) {
    return status;
  }
  return node;
}

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_START_NODE_H_
