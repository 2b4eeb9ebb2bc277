#include "filbertwick/harness/core_factory.h"

#include <utility>

#include "filbertwick/core/entry/entry_core.h"
#include "filbertwick/core/sidecar/sidecar_core.h"

namespace filbertwick::harness {
namespace {

std::unique_ptr<core::Core> MakeCore(
    const core::NodeSettings& settings,
    const core::policy::PolicySettings& policy) {
  if (settings.info.role == wire::Role::kEntry) {
    auto entry = core::EntryCore::Create(settings, policy);
    return entry.ok() ? std::move(*entry) : nullptr;
  }
  auto sidecar = core::SidecarCore::Create(settings);
  return sidecar.ok() ? std::move(*sidecar) : nullptr;
}

}  // namespace

CoreFactory MakeDaemonCoreFactory(const Deployment& deployment,
                                  core::policy::PolicySettings policy) {
  policy.sharing_entries =
      static_cast<uint32_t>(deployment.NamesOf(wire::Role::kEntry).size());
  return [policy](const core::NodeSettings& settings) mutable {
    policy.own_zone = settings.info.zone;
    return MakeCore(settings, policy);
  };
}

}  // namespace filbertwick::harness
