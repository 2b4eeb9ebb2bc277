#ifndef FILBERTWICK_WIRE_CONTROL_RECORD_H_
#define FILBERTWICK_WIRE_CONTROL_RECORD_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/wire/epoch.h"

namespace filbertwick::wire {

/// Whether an instance takes jobs from callers, or starts tasks at the upstream
/// beside it.
enum class Role : uint8_t { kEntry, kSidecar };

/// Identifies one run of an instance's process; every restart draws a new one.
using Incarnation = uint64_t;

/// Network address of an instance.
struct InstanceAddress {
  /// Numeric IP address.
  std::string host;
  uint16_t udp_port = 0;
  uint16_t tcp_port = 0;
  /// HTTP port that serves callers (at an entry) or the upstream (at a
  /// sidecar).
  uint16_t http_port = 0;

  friend bool operator==(const InstanceAddress&,
                         const InstanceAddress&) = default;

  /// Reads or writes the address through a cereal archive.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, udp_port, tcp_port, http_port);
  }
};

/// Description of an instance, as announced by its join record.
struct InstanceInfo {
  InstanceName name;
  Incarnation incarnation = 0;
  Role role = Role::kEntry;
  RegionName region;
  ZoneName zone;
  InstanceAddress address;
  /// Service provided by the upstream of a sidecar; empty for entries.
  ServiceName service;

  friend bool operator==(const InstanceInfo&, const InstanceInfo&) = default;

  /// Reads or writes the description through a cereal archive.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation, role, region, zone, address, service);
  }
};

/// Proposes a bundle. Accepted only if `based_on` is the version in force, so
/// that of two concurrent proposals the first in log order wins.
struct PublishBundle {
  uint64_t version = 0;
  uint64_t based_on = 0;
  /// Text of the bundle file as published: JSON with comments.
  std::string text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, based_on, text);
  }
};

/// Takes an availability zone out of service or returns it to service.
struct SetZone {
  ZoneName zone;
  bool out = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(zone, out);
  }
};

/// Registers an instance, under a new name or as a new incarnation of a
/// registered one.
struct JoinInstance {
  InstanceInfo info;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(info);
  }
};

/// Removes an instance that has stopped or that an operator removes. An
/// incarnation of 0 matches any.
struct LeaveInstance {
  InstanceName name;
  Incarnation incarnation = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation);
  }
};

/// Settles a membership change: a quorum of the member sets before and after it
/// has applied the change, and the fence wait has passed since. From this
/// record on, the set before the change no longer takes part in quorums.
struct SettleMembers {
  RegionName region;
  /// MemberSet::since of the member set that becomes the settled one.
  LogOffset through = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(region, through);
  }
};

/// Records that an entry took ownership of shards under higher epochs, by
/// takeover or by handover.
struct TakeShards {
  RegionName region;
  std::vector<ShardEpoch> shards;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(region, shards);
  }
};

/// A founding member of a new generation of a region.
struct ResetMember {
  InstanceName name;
  Incarnation incarnation = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation);
  }
};

/// Starts a new generation of a region: its first one, or a further one after
/// the majority of its members is gone. `members` are the founding members, and
/// every shard gets a new epoch.
struct ResetRegion {
  RegionName region;
  uint32_t generation = 0;
  std::vector<ResetMember> members;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(region, generation, members);
  }
};

/// The control state just before this record; records before it may be trimmed
/// from the log. Valid only if `offset` is the offset of the record itself:
/// otherwise another record was appended first and `state` doesn't include it.
struct Checkpoint {
  LogOffset offset = 0;
  /// Result of ControlState::Encode().
  std::string state;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(offset, state);
  }
};

/// Reports that an upstream was ejected or readmitted. Changes no control
/// state; recorded for the audit trail only.
struct UpstreamEjection {
  InstanceName sidecar;
  bool ejected = false;
  std::string why;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sidecar, ejected, why);
  }
};

/// Body of a control record: exactly one change.
using ControlBody = std::variant<PublishBundle,
                                 SetZone,
                                 JoinInstance,
                                 LeaveInstance,
                                 SettleMembers,
                                 TakeShards,
                                 ResetRegion,
                                 Checkpoint,
                                 UpstreamEjection>;

/// A record of the control stream.
struct ControlRecord {
  /// Identical in all retries of an append, so that duplicates are recognized
  /// and the change is applied only once.
  ChangeId change;
  AuthorName author;
  WallTime written;
  ControlBody body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(change, author, written, body);
  }
};

}  // namespace filbertwick::wire

#endif  // FILBERTWICK_WIRE_CONTROL_RECORD_H_
