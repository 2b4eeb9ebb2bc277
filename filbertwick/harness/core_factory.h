#ifndef FILBERTWICK_HARNESS_CORE_FACTORY_H_
#define FILBERTWICK_HARNESS_CORE_FACTORY_H_

#include <functional>
#include <memory>

#include "filbertwick/core/core.h"
#include "filbertwick/core/policy/policy_settings.h"
#include "filbertwick/core/settings.h"
#include "filbertwick/harness/deployment.h"

namespace filbertwick::harness {

/// Makes the core of an instance; null when the settings are refused.
using CoreFactory =
    std::function<std::unique_ptr<core::Core>(const core::NodeSettings&)>;

/// Makes the cores that the daemon runs; zone and number of entries in
/// `policy` are filled in.
CoreFactory RealCores(const Deployment& deployment,
                      core::policy::PolicySettings policy = {});

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_CORE_FACTORY_H_
