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

/// Role of an instance.
enum class Role : uint8_t { kEntry, kSidecar };

/// One start of one instance. A restart draws a new number.
using Incarnation = uint64_t;

/// Where an instance can be reached, by IP number.
struct InstanceAddress {
  std::string host;
  uint16_t udp_port = 0;
  uint16_t tcp_port = 0;
  /// HTTP port for callers (entries) or the upstream (sidecars).
  uint16_t http_port = 0;

  friend bool operator==(const InstanceAddress&,
                         const InstanceAddress&) = default;

  /// Reads or writes the address through a cereal archive.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, udp_port, tcp_port, http_port);
  }
};

/// What an instance says of itself when it joins.
struct InstanceInfo {
  InstanceName name;
  Incarnation incarnation = 0;
  Role role = Role::kEntry;
  RegionName region;
  ZoneName zone;
  InstanceAddress address;
  /// Service of the upstream beside a sidecar; empty for entries.
  ServiceName service;

  friend bool operator==(const InstanceInfo&, const InstanceInfo&) = default;

  /// Reads or writes the description through a cereal archive.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation, role, region, zone, address, service);
  }
};

/// Proposes a bundle; accepted when `based_on` is the accepted version.
struct PublishBundle {
  uint64_t version = 0;
  uint64_t based_on = 0;
  /// The bundle file as it was published: JSON with comments.
  std::string text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, based_on, text);
  }
};

/// Takes an availability zone out or brings it back.
struct SetZone {
  ZoneName zone;
  bool out = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(zone, out);
  }
};

/// An instance starts, under a new name or as a new incarnation of an old one.
struct JoinInstance {
  InstanceInfo info;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(info);
  }
};

/// An instance has stopped, or operators have it removed.
struct LeaveInstance {
  InstanceName name;
  Incarnation incarnation = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation);
  }
};

/// The newest change of a region's member set reached more than half of the
/// sets before and after it, and the fence wait has passed.
struct SettleMembers {
  RegionName region;
  /// Offset of the last membership record that is settled.
  LogOffset through = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(region, through);
  }
};

/// An entry takes shards under higher epochs, by takeover or handover.
struct TakeShards {
  RegionName region;
  std::vector<ShardEpoch> shards;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(region, shards);
  }
};

/// An instance that forms the members of a new generation.
struct ResetMember {
  InstanceName name;
  Incarnation incarnation = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation);
  }
};

/// Forms a region's members again after the old majority is gone; every shard
/// gets a new epoch.
struct ResetRegion {
  RegionName region;
  uint32_t generation = 0;
  std::vector<ResetMember> members;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(region, generation, members);
  }
};

/// The folded state just before this record, so that older records may go. It
/// counts only when `offset` is the record's own offset: no other record came
/// between.
struct Checkpoint {
  LogOffset offset = 0;
  /// State as ControlState::Encode() gives it.
  std::string state;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(offset, state);
  }
};

/// An upstream was set aside or taken back; for the audit trail only.
struct UpstreamEjection {
  InstanceName sidecar;
  bool ejected = false;
  std::string why;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sidecar, ejected, why);
  }
};

/// Body of a control record.
using ControlBody = std::variant<PublishBundle,
                                 SetZone,
                                 JoinInstance,
                                 LeaveInstance,
                                 SettleMembers,
                                 TakeShards,
                                 ResetRegion,
                                 Checkpoint,
                                 UpstreamEjection>;

/// One record of the control stream.
struct ControlRecord {
  /// The same over all retries of one change, so that it folds once.
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
