#include "filbertwick/bundle/bundle.h"

#include <algorithm>
#include <span>

namespace filbertwick::bundle {
namespace {

/// Returns the item called `name`, or null if there is none.
template <typename Item, typename Key>
const Item* FindByName(std::span<const Item> items, const Key& name) {
  const auto it = std::ranges::find(items, name, &Item::name);
  return it == items.end() ? nullptr : &*it;
}

}  // namespace

const Service* Bundle::FindService(const ServiceName& name) const {
  return FindByName<Service>(services, name);
}

const Team* Bundle::FindTeam(const TeamName& name) const {
  return FindByName<Team>(teams, name);
}

const Zone* Bundle::FindZone(const ZoneName& name) const {
  return FindByName<Zone>(zones, name);
}

}  // namespace filbertwick::bundle
