#ifndef FILBERTWICK_CORE_DIRECT_SIDECAR_EFFECT_H_
#define FILBERTWICK_CORE_DIRECT_SIDECAR_EFFECT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "filbertwick/base/log_line.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/message.h"

namespace filbertwick::core::direct {

/// Milliseconds on the upstream's own clock.
using UpstreamMillis = int64_t;

/// What every order to the upstream carries.
struct CommandHeader {
  /// Number of the order; its answer names it.
  uint64_t number = 0;
  /// The life of the upstream that is meant; any other refuses the order.
  std::string upstream;
  /// The upstream ignores orders below the highest token it has seen.
  uint64_t fencing_token = 0;
};

/// Send a message to an entry.
struct SendToEntryEffect {
  InstanceName to;
  SidecarMessage message;
};

/// Start a task at the upstream.
struct StartCommand {
  CommandHeader header;
  TaskRun run;
  std::string spec;
  /// End of the lease on everything that runs there.
  UpstreamMillis lease_until = 0;
};

/// Stop a run at the upstream.
struct StopCommand {
  CommandHeader header;
  TaskRun run;
};

/// List what runs and what ended at the upstream.
struct ListCommand {
  CommandHeader header;
  /// Ends up to this number may be forgotten.
  uint64_t acknowledged_end = 0;
  /// Extends the lease; 0 leaves it as it is.
  UpstreamMillis lease_until = 0;
  /// How long the answer may wait for an end.
  Duration wait{0};
};

/// Everything that a DirectSidecar asks of its host.
using SidecarEffect = std::
    variant<SendToEntryEffect, StartCommand, StopCommand, ListCommand, LogLine>;
using SidecarEffects = std::vector<SidecarEffect>;

/// How the upstream answered an order.
enum class CommandResult : uint8_t {
  kAccepted,
  /// A higher fencing token was seen.
  kFenced,
  /// Not done, and will not be done later: no room, too late, a run that is
  /// not new, an unknown task, an unhealthy upstream.
  kRefused,
  /// Another life of the upstream is there.
  kOtherIncarnation,
  /// No answer; the order may be carried out later.
  kUnknown,
};

/// A task in the upstream's listing.
struct ListedRun {
  TaskRun run;
  /// Progress; 100 at the end.
  int64_t percent = 0;
};

/// An end in the upstream's listing.
struct ListedEnd {
  /// Counts up from 1 in each life of the upstream.
  uint64_t number = 0;
  TaskRun run;
  EndKind kind = EndKind::kDone;
};

/// Answer to a ListCommand.
struct Listing {
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
  /// When the upstream's process started; 0 when not told.
  int64_t started_unix_millis = 0;
};

/// What the upstream says of itself.
struct UpstreamAnnouncement {
  /// Names this life of the upstream.
  std::string id;
  int64_t started_unix_millis = 0;
  /// Rises with every announcement of one life.
  uint64_t sequence = 0;
  bool draining = false;
  UpstreamProfile profile;
  UpstreamMillis clock = 0;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_SIDECAR_EFFECT_H_
