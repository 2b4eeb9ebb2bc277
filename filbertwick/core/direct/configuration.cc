#include "filbertwick/core/direct/configuration.h"

#include <algorithm>

namespace filbertwick::core::direct {

const Route* Configuration::FindRoute(std::string_view host,
                                      std::string_view path) const {
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (route.host == host && path.starts_with(route.path_prefix) &&
        (best == nullptr ||
         route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

bool Configuration::HasRouteTo(std::string_view service) const {
  return std::ranges::find(routes, service, &Route::service) != routes.end();
}

}  // namespace filbertwick::core::direct
