#ifndef FILBERTWICK_CORE_DIRECT_SIDECAR_EFFECT_H_
#define FILBERTWICK_CORE_DIRECT_SIDECAR_EFFECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "filbertwick/base/log_line.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/message.h"

namespace filbertwick::core::direct {

/// A time in milliseconds on the upstream's own clock.
using UpstreamMillis = int64_t;

/// Fields of every command to the upstream.
struct CommandHeader {
  /// Number of the command; its result refers to it.
  uint64_t number = 0;
  /// Id of the upstream that is meant; an upstream with another id rejects the
  /// command.
  std::string upstream;
  /// The upstream rejects commands with a lower token than the highest one that
  /// it has seen.
  uint64_t fencing_token = 0;
};

/// An announcement of the upstream about itself.
struct UpstreamAnnouncement {
  /// Id of the upstream. A restarted upstream may keep it; its start time then
  /// tells the incarnations apart.
  std::string id;
  int64_t started_unix_millis = 0;
  /// Higher in every later announcement of one incarnation.
  uint64_t sequence = 0;
  bool draining = false;
  UpstreamProfile profile;
  UpstreamMillis clock = 0;
};

/// Keeps the upstream for later incarnations of this sidecar, in place of the
/// one kept before; see DirectSidecar::RestoreUpstream(). Unset when the
/// upstream has shut down and must not be restored.
struct RecordUpstreamEffect {
  std::optional<UpstreamAnnouncement> upstream;
};

/// Sends a message to an entry.
struct SendToEntryEffect {
  InstanceName to;
  SidecarMessage message;
};

/// Starts a task at the upstream.
struct StartCommand {
  CommandHeader header;
  TaskRun run;
  std::string spec;
  /// End of the lease, on which all runs at the upstream depend.
  UpstreamMillis lease_until = 0;
};

/// Stops a run at the upstream.
struct StopCommand {
  CommandHeader header;
  TaskRun run;
};

/// Lists the present runs and the ended runs of the upstream.
struct ListCommand {
  CommandHeader header;
  /// Acknowledges the ends up to this number; the upstream may drop them.
  uint64_t acknowledged_end = 0;
  /// New end of the lease; 0 leaves the lease as it is.
  UpstreamMillis lease_until = 0;
  /// How long the upstream may hold the answer back until a run ends.
  Duration wait{0};
};

/// All requests of a DirectSidecar to its host.
using SidecarEffect = std::variant<SendToEntryEffect,
                                   StartCommand,
                                   StopCommand,
                                   ListCommand,
                                   RecordUpstreamEffect,
                                   LogLine>;
using SidecarEffects = std::vector<SidecarEffect>;

/// Result of a command to the upstream.
enum class CommandResult : uint8_t {
  kAccepted,
  /// Rejected: the upstream has seen a higher fencing token.
  kFenced,
  /// Not carried out, and will not be later: no capacity, past the lease, a run
  /// that is not new, an unknown task, or an unhealthy upstream.
  kRefused,
  /// Rejected: the running upstream has another id than the command names.
  kOtherIncarnation,
  /// No process accepts connections at the upstream's address; the command was
  /// not carried out.
  kNotReached,
  /// No answer; the command may still be carried out later.
  kUnknown,
};

/// A present run in an upstream's listing.
struct ListedRun {
  TaskRun run;
  /// Progress in percent; 100 at the end.
  int64_t percent = 0;
};

/// An ended run in an upstream's listing.
struct ListedEnd {
  /// Counts up from 1 in each incarnation of the upstream.
  uint64_t number = 0;
  TaskRun run;
  EndKind kind = EndKind::kDone;
};

/// The upstream's answer to a ListCommand.
struct Listing {
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
  /// Start time of the upstream's process; 0 when the answer does not tell it.
  int64_t started_unix_millis = 0;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_SIDECAR_EFFECT_H_
