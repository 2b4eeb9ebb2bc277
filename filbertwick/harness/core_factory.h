#ifndef FILBERTWICK_HARNESS_CORE_FACTORY_H_
#define FILBERTWICK_HARNESS_CORE_FACTORY_H_

#include <functional>
#include <memory>

#include "filbertwick/core/core.h"
#include "filbertwick/core/policy/policy_settings.h"
#include "filbertwick/core/settings.h"
#include "filbertwick/harness/deployment.h"

namespace filbertwick::harness {

/// Makes the core of an instance; returns null if its settings are invalid.
using CoreFactory =
    std::function<std::unique_ptr<core::Core>(const core::NodeSettings&)>;

/// Returns a factory for the cores that the daemon runs. It sets `own_zone` and
/// `sharing_entries` of `policy` from the instance and the deployment.
CoreFactory MakeDaemonCoreFactory(const Deployment& deployment,
                                  core::policy::PolicySettings policy = {});

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_CORE_FACTORY_H_
