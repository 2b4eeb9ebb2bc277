#ifndef FILBERTWICK_CORE_DIRECT_MEMBERSHIP_H_
#define FILBERTWICK_CORE_DIRECT_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/core/direct/entry_load.h"
#include "filbertwick/core/direct/message.h"
#include "filbertwick/wire/archive.h"

namespace filbertwick::core::direct {

/// An instance and the address on which it listens. All instances listen on the
/// same port.
struct Member {
  Peer peer;
  bool is_entry = false;
  /// IP address.
  std::string host;

  friend bool operator==(const Member&, const Member&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(peer, is_entry, host);
  }
};

/// Exchanges the known members between two instances.
struct MembershipMessage {
  Member self;
  /// Zone and load of the sender, if it is an entry.
  ZoneName zone;
  EntryLoad load;
  ControlPosition control;
  /// Digest of all members that the sender knows.
  uint64_t digest = 0;
  /// Requests the receiver's members in reply.
  bool wants_members = false;
  /// Members that the receiver probably does not know.
  std::vector<Member> members;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(self, zone, load, control, digest, wants_members, members);
  }
};

/// All known instances, as reported by the platform's store, by other instances
/// or by themselves. A later incarnation of an instance replaces an earlier
/// one.
class Membership {
 public:
  /// Adds or updates a member; returns true when this changed anything. A
  /// report by the member itself (`self_reported`) replaces reports by others
  /// even when its incarnation is lower, because incarnations are read from
  /// wall clocks, which may jump back.
  bool Add(const Member& member, bool self_reported);
  const Member* Find(const InstanceName& name) const;
  const std::map<InstanceName, Member>& all() const { return members_; }
  /// Order-independent hash of the names and incarnations of all members.
  uint64_t digest() const { return digest_; }

 private:
  std::map<InstanceName, Member> members_;
  uint64_t digest_ = 0;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_MEMBERSHIP_H_
