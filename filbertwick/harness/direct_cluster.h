#ifndef FILBERTWICK_HARNESS_DIRECT_CLUSTER_H_
#define FILBERTWICK_HARNESS_DIRECT_CLUSTER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/core/direct/datagram.h"
#include "filbertwick/core/direct/direct_entry.h"
#include "filbertwick/core/direct/direct_sidecar.h"
#include "filbertwick/harness/direct_upstream.h"
#include "filbertwick/harness/event_loop.h"

namespace filbertwick::harness {

/// A directed connection between an entry and a sidecar.
struct DirectLink {
  uint32_t entry = 0;
  uint32_t sidecar = 0;
  bool to_sidecar = false;
  /// Size of the datagram.
  size_t message_bytes = 0;
};

/// A directed connection between two entries.
struct EntryLink {
  uint32_t from = 0;
  uint32_t to = 0;
  /// Size of the datagram; 0 for a report of the load.
  size_t message_bytes = 0;
};

/// What happens to a command on its way to the upstream.
struct CommandFate {
  Duration delay{0};
  /// The command is not answered, and may meet a later incarnation of the
  /// upstream.
  bool late = false;
};

/// What a DirectCluster leaves to its owner. All must be set but `trace` and
/// those with a default.
struct DirectClusterHooks {
  /// Delay of a message.
  std::function<Duration(const DirectLink&)> message_delay;
  /// Delay of each copy of a message that arrives at another entry; none when
  /// it is lost.
  std::function<std::vector<Duration>(const EntryLink&)> entry_message_delays =
      [](const EntryLink&) {
        return std::vector<Duration>{std::chrono::milliseconds(1)};
      };
  /// An entry has counted something.
  std::function<void(uint32_t entry, core::direct::EntryEvent)> counted =
      [](uint32_t, core::direct::EntryEvent) {};
  /// `is_stop` is true for a stop command, false for a start or a listing.
  std::function<CommandFate(uint32_t sidecar, bool is_stop)> command_fate;
  /// Delay of the answer to a command.
  std::function<Duration()> answer_delay;
  /// How the started task will run at the upstream.
  std::function<DirectUpstream::RunPlan(uint32_t sidecar,
                                        const core::direct::StartCommand&)>
      plan_run;
  /// A start command was executed.
  std::function<void(uint32_t sidecar,
                     const core::direct::StartCommand&,
                     core::direct::CommandResult)>
      started;
  std::function<void(uint32_t entry, const core::direct::AnswerJobEffect&)>
      answered;
  /// Receives one line for each event; may be empty.
  std::function<void(std::string_view line)> trace;
};

/// Time that the work of an entry takes on a whole core.
struct EntryCosts {
  std::chrono::nanoseconds per_request{0};
  std::chrono::nanoseconds per_message_read{0};
  std::chrono::nanoseconds per_message_sent{0};
  /// For each upstream that a placement pass looks at.
  std::chrono::nanoseconds per_candidate{0};
};

struct DirectClusterSettings {
  uint32_t entries = 1;
  uint32_t sidecars = 1;
  core::direct::DirectEntrySettings entry;
  /// What the machine of each entry has. Empty when the entries exchange no
  /// load reports.
  std::vector<core::direct::EntryMeans> entry_means;
  core::direct::DirectSidecarSettings sidecar;
  /// Capacity of the upstream beside each sidecar.
  std::vector<core::direct::Resources> capacities;
  /// Zone and labels of the upstream beside each sidecar; without entries there
  /// are none.
  std::vector<ZoneName> upstream_zones;
  std::vector<std::vector<std::string>> upstream_labels;
  /// Thousandths of a core of each entry. While an entry works, what arrives
  /// for it queues. 0, or no value, is an entry whose work takes no time.
  std::vector<uint32_t> entry_processor_millis;
  EntryCosts entry_costs;
  /// See DirectEntry::SetLoadSharing().
  bool load_sharing = false;
};

/// The service of all upstreams of a DirectCluster.
inline constexpr const char* kClusterService = "service";

/// Entries, sidecars and model upstreams in virtual time: connects the real
/// cores with each other. Its processes can be paused and killed.
class DirectCluster {
 public:
  /// `loop` must outlive the object.
  DirectCluster(EventLoop& loop,
                DirectClusterSettings settings,
                DirectClusterHooks hooks);

  void StartEntry(uint32_t n);
  /// Starts a sidecar with placement allowed. It knows no upstream yet.
  void StartSidecar(uint32_t n);
  /// Replaces the upstream beside a sidecar by one that has just started, with
  /// the id `id`; an empty one keeps the present id. `clock_rate` is the speed
  /// of its clock.
  void StartUpstream(uint32_t n, std::string id, double clock_rate);
  /// Ends the upstream beside a sidecar with all its runs. Until another one is
  /// started, commands to it fail.
  void CrashUpstream(uint32_t n);
  /// Sends an announcement of the upstream to its sidecar.
  void Announce(uint32_t n);
  /// Returns what the upstream would announce now, with the sequence number of
  /// its newest announcement.
  core::direct::UpstreamAnnouncement ComposeAnnouncement(uint32_t n) const;
  /// Sends an announcement by any writer to a sidecar.
  void DeliverAnnouncement(
      uint32_t n,
      const core::direct::UpstreamAnnouncement& announcement);
  /// Sends the departure of the upstream `id` to a sidecar.
  void DeliverDeparture(uint32_t n, const std::string& id);
  /// Gives the recorded upstream, if any, to incarnation `incarnation` of the
  /// sidecar.
  void RestoreUpstream(uint32_t n, uint64_t incarnation);

  /// Hands a job to an entry. Returns false when the entry is dead.
  bool Submit(uint32_t n, core::direct::JobRequest job);
  /// Tells an entry that the caller of a request has disconnected. A request
  /// that the entry has not read yet is dropped, as the HTTP server does.
  void Disconnect(uint32_t n, uint64_t request);

  /// Sets the load of the entry itself, 0 idle to 1 saturated. No effect while
  /// it is dead or paused.
  void SetPressure(uint32_t n, double pressure);

  void PauseEntry(uint32_t n, Duration duration);
  void PauseSidecar(uint32_t n, Duration duration);
  /// Ends the present incarnation. The next one begins with `restart` after
  /// `downtime`, unless the process is killed again before.
  void KillEntry(uint32_t n, Duration downtime, std::function<void()> restart);
  void KillSidecar(uint32_t n,
                   Duration downtime,
                   std::function<void()> restart);

  DirectUpstream& upstream(uint32_t n) { return *sidecars_[n].upstream; }
  bool HasCrashed(uint32_t n) const { return sidecars_[n].upstream_crashed; }
  bool HasRecordedUpstream(uint32_t n) const {
    return sidecars_[n].recorded.has_value();
  }
  uint64_t sidecar_incarnation(uint32_t n) const {
    return sidecars_[n].incarnation;
  }
  bool IsEntryDead(uint32_t n) const;
  /// The core of the present incarnation.
  core::direct::DirectEntry& entry(uint32_t n) { return *entries_[n].core; }
  core::direct::DirectEntryStatus EntryStatus(uint32_t n) const;
  /// Returns how long an entry has worked so far; see
  /// DirectClusterSettings::entry_processor_millis.
  Duration EntryWorkTime(uint32_t n) const { return entries_[n].worked; }
  core::direct::DirectSidecarStatus SidecarStatus(uint32_t n) const {
    return sidecars_[n].core->Status();
  }
  int64_t last_upstream_start() const { return last_upstream_start_; }
  /// Messages that were dropped because InstanceNet would not send them: they
  /// were larger than core::direct::kMaxDatagramBytes.
  uint64_t oversized_messages() const { return oversized_messages_; }

 private:
  /// State of a simulated process, which can be paused or killed.
  struct Process {
    Duration paused_until{0};
    Duration dead_until{0};
    /// Number of the current incarnation; events of earlier ones are dropped.
    uint64_t incarnation = 1;
    /// Virtual time of the scheduled wake-up.
    Duration wake{Duration::max()};
  };
  using EntryStep = std::function<void(Instant, core::direct::EntryEffects&)>;
  using SidecarStep =
      std::function<void(Instant, core::direct::SidecarEffects&)>;

  /// Something that an entry reads: a message, or a step of another kind.
  struct EntryInput {
    std::optional<core::direct::SidecarMessage> message;
    EntryStep step;
    /// Request that the step hands over; 0 for none.
    uint64_t request = 0;
    /// The step handles a message of another entry.
    bool is_peer_message = false;
  };
  struct Entry : Process {
    std::unique_ptr<core::direct::DirectEntry> core;
    /// Requests that the entry has not read yet, because it is paused or busy.
    std::set<uint64_t> unread_requests;
    /// What arrived while the entry was busy, oldest first.
    std::deque<EntryInput> inbox;
    bool is_busy = false;
    /// `inbox` contains a wake-up.
    bool has_wakeup = false;
    Duration worked{0};
  };
  struct Sidecar : Process {
    std::unique_ptr<core::direct::DirectSidecar> core;
    std::unique_ptr<DirectUpstream> upstream;
    /// Id that the upstream announces.
    std::string upstream_id;
    uint64_t announcements = 0;
    bool upstream_crashed = false;
    /// The recorded upstream; kept when the sidecar restarts.
    std::optional<core::direct::UpstreamAnnouncement> recorded;
  };

  /// Where a command comes from.
  struct CommandOrigin {
    /// Incarnation of the sidecar.
    uint64_t incarnation = 0;
    /// Start time of the upstream that the sidecar meant.
    int64_t upstream_start = 0;
    bool late = false;
  };

  Instant Now() const { return Instant(loop_.now() + Duration(1)); }
  void RunWhenAvailable(Process& process,
                        uint64_t incarnation,
                        const std::function<void()>& action);
  void Pause(Process& process, Duration duration);
  void Kill(Process& process, Duration downtime, std::function<void()> restart);
  void StepEntry(uint32_t n, const EntryStep& step);
  /// Handles the input at once, or when the entry has handled those before it.
  void GiveToEntry(uint32_t n, EntryInput input);
  /// Handles the oldest input of an entry that is not busy, and with a message
  /// all others that have arrived.
  void HandleNextInput(uint32_t n);
  uint32_t ProcessorMillis(uint32_t n) const;
  void PerformEffects(uint32_t n, core::direct::EntryEffects& effects);
  void ScheduleEntryWakeup(uint32_t n);
  void StepSidecar(uint32_t n, const SidecarStep& step);
  void ScheduleWakeup(Process& process,
                      Instant due,
                      std::function<void()> wake);
  /// Returns the size of a datagram; nullopt, and counts it, when it is too
  /// large to be sent.
  std::optional<size_t> MeasureDatagram(const core::direct::Datagram& datagram);
  void SendToSidecar(uint32_t from, core::direct::SendToSidecarEffect send);
  void SendToPeer(uint32_t from, const core::direct::SendToPeerEffect& send);
  /// Reports the load of an entry to all others, and again after an interval.
  void ReportLoad(uint32_t n, uint64_t incarnation);
  void HandleEffect(uint32_t from, core::direct::SendToEntryEffect& send);
  void HandleEffect(uint32_t n,
                    const core::direct::RecordUpstreamEffect& effect);
  void HandleEffect(uint32_t n, const LogLine& line);
  /// Executes a command, after a delay, at the upstream that runs by then.
  template <typename Command>
  void HandleEffect(uint32_t n, const Command& command);
  /// Executes a command that has arrived at the upstream. A listing without
  /// ends is repeated until there is one, or until `wait_end`.
  template <typename Command>
  void Execute(uint32_t n,
               const Command& command,
               const CommandOrigin& origin,
               Duration wait_end);
  core::direct::CommandResult ExecuteCommand(
      uint32_t n,
      const core::direct::StartCommand& command,
      core::direct::Listing& listing);
  core::direct::CommandResult ExecuteCommand(
      uint32_t n,
      const core::direct::StopCommand& command,
      core::direct::Listing& listing);
  core::direct::CommandResult ExecuteCommand(
      uint32_t n,
      const core::direct::ListCommand& command,
      core::direct::Listing& listing);
  template <typename Command>
  void Reply(uint32_t n,
             const CommandOrigin& origin,
             const Command& command,
             core::direct::CommandResult answer,
             core::direct::Listing listing);
  void Trace(const std::function<std::string()>& format) const;

  EventLoop& loop_;
  const DirectClusterSettings settings_;
  const DirectClusterHooks hooks_;
  std::vector<Entry> entries_;
  std::vector<Sidecar> sidecars_;
  int64_t last_upstream_start_ = 0;
  uint64_t oversized_messages_ = 0;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_DIRECT_CLUSTER_H_
