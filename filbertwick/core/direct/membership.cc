#include "filbertwick/core/direct/membership.h"

#include "filbertwick/base/hash.h"

namespace filbertwick::core::direct {
namespace {

uint64_t DigestOf(const Member& member) {
  Hasher hasher;
  hasher.Add(member.peer.name.value());
  hasher.Add(member.peer.incarnation);
  return hasher.digest();
}

}  // namespace

bool Membership::Add(const Member& member, bool self_reported) {
  const auto [it, added] = members_.try_emplace(member.peer.name, member);
  if (added) {
    digest_ ^= DigestOf(member);
    return true;
  }
  if (self_reported ? member == it->second
                    : member.peer.incarnation <= it->second.peer.incarnation) {
    return false;
  }
  digest_ ^= DigestOf(it->second) ^ DigestOf(member);
  it->second = member;
  return true;
}

const Member* Membership::Find(const InstanceName& name) const {
  const auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

}  // namespace filbertwick::core::direct
