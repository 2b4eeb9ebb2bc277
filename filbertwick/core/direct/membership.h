#ifndef FILBERTWICK_CORE_DIRECT_MEMBERSHIP_H_
#define FILBERTWICK_CORE_DIRECT_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/core/direct/message.h"
#include "filbertwick/wire/archive.h"

namespace filbertwick::core::direct {

/// A process of the system and where it listens. All use the same port.
struct Member {
  Peer peer;
  bool is_entry = false;
  /// IP number.
  std::string host;

  friend bool operator==(const Member&, const Member&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(peer, is_entry, host);
  }
};

/// What instances tell one another of who there is.
struct MembershipMessage {
  Member self;
  ControlPosition control;
  /// Digest of all members the sender knows.
  uint64_t digest = 0;
  /// The sender wants the receiver's members.
  bool wants_members = false;
  /// Members the receiver lacks, as far as the sender can tell.
  std::vector<Member> members;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(self, control, digest, wants_members, members);
  }
};

/// Every instance heard of, whoever told of it: the platform's store, another
/// instance or itself. Later lives replace earlier ones.
class Membership {
 public:
  /// Takes a member in; true when it is new or in a later life. What a member
  /// says of itself (`self_reported`) replaces whatever others said, also when
  /// its incarnation is lower: wall clocks may jump back.
  bool Add(const Member& member, bool self_reported);
  const Member* Find(const InstanceName& name) const;
  const std::map<InstanceName, Member>& all() const { return members_; }
  /// Equal for equal contents.
  uint64_t digest() const { return digest_; }

 private:
  std::map<InstanceName, Member> members_;
  uint64_t digest_ = 0;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_MEMBERSHIP_H_
