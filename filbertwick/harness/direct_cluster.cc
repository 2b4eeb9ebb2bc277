#include "filbertwick/harness/direct_cluster.h"

#include <fmt/format.h>

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace filbertwick::harness {
namespace {

namespace direct = core::direct;

constexpr Duration kMilli = std::chrono::milliseconds(1);
/// Number of fencing tokens that one incarnation of a sidecar may use: its
/// first token is its incarnation times this number. Tokens that start from the
/// wall clock are much further apart between two incarnations.
constexpr uint64_t kTokensPerIncarnation = 1000;
/// A held listing looks for ends of runs that started after it at least this
/// often.
constexpr Duration kMaxListingRecheck = 5 * kMilli;
/// Messages that an entry reads at once; as many as its host does.
constexpr size_t kMaxMessagesAtOnce = 64;
constexpr uint32_t kMillisPerCore = 1000;
constexpr int64_t kWallStartUnixMillis = 1'768'840'000'000;
/// Interval of the load reports between entries; that of InstanceNet's
/// membership messages.
constexpr Duration kLoadReportInterval = 500 * kMilli;

InstanceName EntryName(uint32_t n) {
  return InstanceName(fmt::format("entry-{}", n));
}

InstanceName SidecarName(uint32_t n) {
  return InstanceName(fmt::format("sidecar-{}", n));
}

uint32_t IndexOf(const InstanceName& name) {
  return static_cast<uint32_t>(
      std::stoul(name.value().substr(name.value().find('-') + 1)));
}

}  // namespace

DirectCluster::DirectCluster(EventLoop& loop,
                             DirectClusterSettings settings,
                             DirectClusterHooks hooks)
    : loop_(loop),
      settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      entries_(settings_.entries),
      sidecars_(settings_.sidecars) {}

void DirectCluster::Trace(const std::function<std::string()>& format) const {
  if (hooks_.trace) {
    hooks_.trace(fmt::format("{} us: {}", loop_.now().count(), format()));
  }
}

bool DirectCluster::IsEntryDead(uint32_t n) const {
  return loop_.now() < entries_[n].dead_until;
}

direct::DirectEntryStatus DirectCluster::EntryStatus(uint32_t n) const {
  return entries_[n].core->Status(Now());
}

/// Runs `action` now, or when the process resumes if it is paused. Drops it if
/// the process is dead or `incarnation` has ended by then.
void DirectCluster::RunWhenAvailable(Process& process,
                                     uint64_t incarnation,
                                     const std::function<void()>& action) {
  if (process.incarnation != incarnation || loop_.now() < process.dead_until) {
    return;
  }
  if (loop_.now() < process.paused_until) {
    loop_.At(process.paused_until, [this, &process, incarnation, action] {
      RunWhenAvailable(process, incarnation, action);
    });
    return;
  }
  action();
}

void DirectCluster::StartEntry(uint32_t n) {
  Entry& entry = entries_[n];
  entry.unread_requests.clear();
  entry.inbox.clear();
  entry.is_busy = false;
  entry.has_wakeup = false;
  direct::DirectEntrySettings core_settings = settings_.entry;
  if (!settings_.entry_means.empty()) {
    core_settings.means = settings_.entry_means[n];
  }
  entry.core = direct::DirectEntry::Create(
      {EntryName(n), entry.incarnation}, core_settings,
      [](std::string_view job, size_t step, size_t index) {
        return fmt::format("{}.{}.{}", job, step, index);
      });
  std::vector<InstanceName> names;
  for (uint32_t k = 0; k < settings_.sidecars; ++k) {
    names.push_back(SidecarName(k));
  }
  entry.core->AddSidecars(Now(), names);
  entry.core->SetLoadSharing(settings_.load_sharing ||
                             direct::AreMeansUneven(settings_.entry_means));
  StepEntry(n, [](Instant, direct::EntryEffects&) {});
  if (!settings_.entry_means.empty()) {
    ReportLoad(n, entry.incarnation);
  }
}

void DirectCluster::ReportLoad(uint32_t n, uint64_t incarnation) {
  RunWhenAvailable(entries_[n], incarnation, [this, n, incarnation] {
    const direct::Peer self = {EntryName(n), incarnation};
    const direct::EntryLoad load = entries_[n].core->Load(Now());
    for (uint32_t to = 0; to < settings_.entries; ++to) {
      if (to == n) {
        continue;
      }
      for (const Duration delay : hooks_.entry_message_delays({n, to, 0})) {
        loop_.After(delay, [this, to, self, load] {
          RunWhenAvailable(
              entries_[to], entries_[to].incarnation, [this, to, self, load] {
                StepEntry(to, [&](Instant now, direct::EntryEffects&) {
                  entries_[to].core->OnEntryLoad(now, self, {}, load);
                });
              });
        });
      }
    }
    loop_.After(kLoadReportInterval,
                [this, n, incarnation] { ReportLoad(n, incarnation); });
  });
}

void DirectCluster::SetPressure(uint32_t n, double pressure) {
  if (!IsEntryDead(n) && loop_.now() >= entries_[n].paused_until) {
    entries_[n].core->SetPressure(Now(), pressure);
  }
}

void DirectCluster::StartSidecar(uint32_t n) {
  Sidecar& sidecar = sidecars_[n];
  sidecar.core = direct::DirectSidecar::Create(
      {SidecarName(n), sidecar.incarnation},
      sidecar.incarnation * kTokensPerIncarnation, settings_.sidecar);
  StepSidecar(n, [this, n](Instant now, direct::SidecarEffects& out) {
    sidecars_[n].core->SetPlacementAllowed(now, true, out);
  });
}

void DirectCluster::StartUpstream(uint32_t n,
                                  std::string id,
                                  double clock_rate) {
  Sidecar& sidecar = sidecars_[n];
  sidecar.upstream = std::make_unique<DirectUpstream>(++last_upstream_start_,
                                                      loop_.now(), clock_rate);
  sidecar.announcements = 0;
  sidecar.upstream_crashed = false;
  if (!id.empty()) {
    sidecar.upstream_id = std::move(id);
  }
  Trace([&] {
    return fmt::format("upstream {} starts beside sidecar-{}",
                       last_upstream_start_, n);
  });
}

void DirectCluster::CrashUpstream(uint32_t n) {
  // A fresh upstream has no runs; commands do not reach it.
  StartUpstream(n, "", 1);
  sidecars_[n].upstream_crashed = true;
}

direct::UpstreamAnnouncement DirectCluster::ComposeAnnouncement(
    uint32_t n) const {
  const Sidecar& sidecar = sidecars_[n];
  direct::UpstreamAnnouncement announcement;
  announcement.id = sidecar.upstream_id;
  announcement.started_unix_millis = sidecar.upstream->started_unix_millis();
  announcement.sequence = sidecar.announcements;
  announcement.profile.service = kClusterService;
  announcement.profile.capacity = settings_.capacities[n];
  if (!settings_.upstream_zones.empty()) {
    announcement.profile.zone = settings_.upstream_zones[n];
  }
  if (!settings_.upstream_labels.empty()) {
    announcement.profile.labels = settings_.upstream_labels[n];
  }
  announcement.clock = sidecar.upstream->Clock(loop_.now());
  return announcement;
}

void DirectCluster::Announce(uint32_t n) {
  ++sidecars_[n].announcements;
  DeliverAnnouncement(n, ComposeAnnouncement(n));
}

void DirectCluster::DeliverAnnouncement(
    uint32_t n,
    const direct::UpstreamAnnouncement& announcement) {
  Sidecar& sidecar = sidecars_[n];
  RunWhenAvailable(sidecar, sidecar.incarnation, [this, n, announcement] {
    StepSidecar(n, [&](Instant now, direct::SidecarEffects& out) {
      sidecars_[n].core->OnUpstreamAnnounced(now, announcement, out);
    });
  });
}

void DirectCluster::DeliverDeparture(uint32_t n, const std::string& id) {
  Sidecar& sidecar = sidecars_[n];
  RunWhenAvailable(sidecar, sidecar.incarnation, [this, n, id] {
    StepSidecar(n, [&](Instant now, direct::SidecarEffects& out) {
      sidecars_[n].core->OnUpstreamLeft(now, id, out);
    });
  });
}

void DirectCluster::RestoreUpstream(uint32_t n, uint64_t incarnation) {
  RunWhenAvailable(sidecars_[n], incarnation, [this, n] {
    if (!sidecars_[n].recorded) {
      return;
    }
    StepSidecar(n, [this, n](Instant now, direct::SidecarEffects& out) {
      sidecars_[n].core->RestoreUpstream(now, *sidecars_[n].recorded, out);
    });
  });
}

bool DirectCluster::Submit(uint32_t n, direct::JobRequest job) {
  if (IsEntryDead(n)) {
    return false;
  }
  Entry& entry = entries_[n];
  entry.unread_requests.insert(job.request);
  RunWhenAvailable(entry, entry.incarnation, [this, n, job = std::move(job)] {
    GiveToEntry(n, {{},
                    [this, n, job](Instant now, direct::EntryEffects& out) {
                      const WallTime wall = {kWallStartUnixMillis +
                                             loop_.now() / kMilli};
                      entries_[n].core->OnJob(now, wall, job, out);
                    },
                    job.request});
  });
  return true;
}

void DirectCluster::Disconnect(uint32_t n, uint64_t request) {
  Entry& entry = entries_[n];
  if (entry.unread_requests.erase(request) > 0) {
    return;
  }
  RunWhenAvailable(entry, entry.incarnation, [this, n, request] {
    GiveToEntry(
        n, {{}, [this, n, request](Instant now, direct::EntryEffects& out) {
              entries_[n].core->OnCallerGone(now, request, out);
            }});
  });
}

void DirectCluster::PauseEntry(uint32_t n, Duration duration) {
  Pause(entries_[n], duration);
  Trace([&] {
    return fmt::format("entry-{} pauses until {}", n,
                       entries_[n].paused_until.count());
  });
}

void DirectCluster::PauseSidecar(uint32_t n, Duration duration) {
  Pause(sidecars_[n], duration);
  Trace([&] {
    return fmt::format("sidecar-{} pauses until {}", n,
                       sidecars_[n].paused_until.count());
  });
}

void DirectCluster::Pause(Process& process, Duration duration) {
  process.paused_until = std::max(process.paused_until, loop_.now() + duration);
}

void DirectCluster::KillEntry(uint32_t n,
                              Duration downtime,
                              std::function<void()> restart) {
  Trace([&] { return fmt::format("entry-{} is killed", n); });
  Kill(entries_[n], downtime, std::move(restart));
}

void DirectCluster::KillSidecar(uint32_t n,
                                Duration downtime,
                                std::function<void()> restart) {
  Trace([&] { return fmt::format("sidecar-{} is killed", n); });
  Kill(sidecars_[n], downtime, std::move(restart));
}

void DirectCluster::Kill(Process& process,
                         Duration downtime,
                         std::function<void()> restart) {
  const uint64_t incarnation = ++process.incarnation;
  process.paused_until = Duration(0);
  process.dead_until = loop_.now() + downtime;
  loop_.At(process.dead_until,
           [&process, incarnation, restart = std::move(restart)] {
             if (process.incarnation == incarnation) {
               restart();
             }
           });
}

void DirectCluster::StepEntry(uint32_t n, const EntryStep& step) {
  direct::EntryEffects effects;
  step(Now(), effects);
  PerformEffects(n, effects);
  ScheduleEntryWakeup(n);
}

void DirectCluster::PerformEffects(uint32_t n, direct::EntryEffects& effects) {
  for (auto& effect : effects) {
    if (auto* send = std::get_if<direct::SendToSidecarEffect>(&effect)) {
      SendToSidecar(n, std::move(*send));
    } else if (const auto* to_peer =
                   std::get_if<direct::SendToPeerEffect>(&effect)) {
      SendToPeer(n, *to_peer);
    } else if (const auto* count = std::get_if<direct::CountEffect>(&effect)) {
      hooks_.counted(n, count->event);
    } else if (auto* answer = std::get_if<direct::AnswerJobEffect>(&effect)) {
      hooks_.answered(n, *answer);
    } else if (auto* line = std::get_if<LogLine>(&effect)) {
      Trace([&] { return fmt::format("entry-{} {}", n, line->Text()); });
    }
  }
}

void DirectCluster::ScheduleEntryWakeup(uint32_t n) {
  Entry& entry = entries_[n];
  if (entry.has_wakeup) {
    return;
  }
  ScheduleWakeup(entry, entry.core->NextWakeup(), [this, n] {
    if (std::exchange(entries_[n].has_wakeup, true)) {
      return;
    }
    GiveToEntry(n, {{}, [this, n](Instant now, direct::EntryEffects& out) {
                      entries_[n].has_wakeup = false;
                      entries_[n].core->OnWakeup(now, out);
                    }});
  });
}

uint32_t DirectCluster::ProcessorMillis(uint32_t n) const {
  return n < settings_.entry_processor_millis.size()
             ? settings_.entry_processor_millis[n]
             : 0;
}

void DirectCluster::GiveToEntry(uint32_t n, EntryInput input) {
  Entry& entry = entries_[n];
  entry.inbox.push_back(std::move(input));
  if (!entry.is_busy) {
    HandleNextInput(n);
  }
}

void DirectCluster::HandleNextInput(uint32_t n) {
  Entry& entry = entries_[n];
  // Drops the requests whose callers have gone.
  while (!entry.inbox.empty() && entry.inbox.front().request != 0 &&
         entry.unread_requests.erase(entry.inbox.front().request) == 0) {
    entry.inbox.pop_front();
  }
  if (entry.inbox.empty()) {
    return;
  }
  const EntryInput first = std::move(entry.inbox.front());
  entry.inbox.pop_front();
  std::vector<direct::SidecarMessage> messages;
  if (first.message) {
    messages.push_back(*first.message);
    std::erase_if(entry.inbox, [&](EntryInput& input) {
      if (!input.message || messages.size() == kMaxMessagesAtOnce) {
        return false;
      }
      messages.push_back(*std::move(input.message));
      return true;
    });
  }
  const bool more_left = std::ranges::any_of(
      entry.inbox,
      [](const EntryInput& input) { return input.message.has_value(); });
  const EntryStep step = [&](Instant now, direct::EntryEffects& out) {
    if (first.message) {
      entry.core->OnMessages(now, messages, out, more_left);
    } else {
      first.step(now, out);
    }
  };
  const uint32_t processor_millis = ProcessorMillis(n);
  if (processor_millis == 0) {
    StepEntry(n, step);
    return;
  }
  const uint64_t examined = entry.core->CountExaminedCandidates();
  auto effects = std::make_shared<direct::EntryEffects>();
  step(Now(), *effects);
  const auto sent = std::ranges::count_if(*effects, [](const auto& effect) {
    return std::holds_alternative<direct::SendToSidecarEffect>(effect) ||
           std::holds_alternative<direct::SendToPeerEffect>(effect);
  });
  const EntryCosts& costs = settings_.entry_costs;
  const std::chrono::nanoseconds on_whole_core =
      (first.request != 0 ? costs.per_request : std::chrono::nanoseconds(0)) +
      costs.per_message_read *
          (messages.size() + (first.is_peer_message ? 1 : 0)) +
      costs.per_message_sent * sent +
      costs.per_candidate * (entry.core->CountExaminedCandidates() - examined);
  const auto time = std::chrono::ceil<Duration>(on_whole_core * kMillisPerCore /
                                                processor_millis);
  entry.worked += time;
  entry.is_busy = true;
  loop_.After(time, [this, n, effects, incarnation = entry.incarnation] {
    RunWhenAvailable(entries_[n], incarnation, [this, n, effects] {
      entries_[n].is_busy = false;
      PerformEffects(n, *effects);
      ScheduleEntryWakeup(n);
      HandleNextInput(n);
    });
  });
}

void DirectCluster::StepSidecar(uint32_t n, const SidecarStep& step) {
  Sidecar& sidecar = sidecars_[n];
  direct::SidecarEffects effects;
  step(Now(), effects);
  for (auto& effect : effects) {
    std::visit([this, n](auto& it) { HandleEffect(n, it); }, effect);
  }
  ScheduleWakeup(sidecar, sidecar.core->NextWakeup(), [this, n] {
    StepSidecar(n, [&](Instant now, direct::SidecarEffects& out) {
      sidecars_[n].core->OnWakeup(now, out);
    });
  });
}

void DirectCluster::ScheduleWakeup(Process& process,
                                   Instant due,
                                   std::function<void()> wake) {
  if (due == Instant::max()) {
    return;
  }
  const Duration when =
      std::max(due - Instant(Duration(1)), loop_.now() + kMilli);
  if (process.wake > loop_.now() && process.wake <= when) {
    return;
  }
  process.wake = when;
  const uint64_t incarnation = process.incarnation;
  loop_.At(when, [this, &process, incarnation, when, wake = std::move(wake)] {
    if (process.wake == when) {
      process.wake = Duration::max();
    }
    RunWhenAvailable(process, incarnation, wake);
  });
}

std::optional<size_t> DirectCluster::MeasureDatagram(
    const direct::Datagram& datagram) {
  const size_t bytes = direct::EncodedDatagramSize(datagram);
  if (bytes <= direct::kMaxDatagramBytes) {
    return bytes;
  }
  ++oversized_messages_;
  Trace([&] {
    return fmt::format("a {} message of {} bytes is not sent",
                       direct::KindOf(datagram), bytes);
  });
  return std::nullopt;
}

void DirectCluster::SendToSidecar(uint32_t from,
                                  direct::SendToSidecarEffect send) {
  const uint32_t to = IndexOf(send.to);
  direct::Datagram datagram(std::move(send.message));
  const auto bytes = MeasureDatagram(datagram);
  if (!bytes) {
    return;
  }
  const Duration delay = hooks_.message_delay({from, to, true, *bytes});
  // A datagram reaches the incarnation that runs when it arrives.
  loop_.After(
      delay, [this, to,
              message = std::get<direct::EntryMessage>(std::move(datagram))] {
        RunWhenAvailable(
            sidecars_[to], sidecars_[to].incarnation, [this, to, message] {
              StepSidecar(to, [&](Instant now, direct::SidecarEffects& out) {
                sidecars_[to].core->OnMessage(now, message, out);
              });
            });
      });
}

void DirectCluster::SendToPeer(uint32_t from,
                               const direct::SendToPeerEffect& send) {
  const uint32_t to = IndexOf(send.to);
  const auto bytes = MeasureDatagram(send.message);
  if (!bytes) {
    return;
  }
  for (const Duration delay : hooks_.entry_message_delays({from, to, *bytes})) {
    loop_.After(delay, [this, to, message = send.message] {
      RunWhenAvailable(
          entries_[to], entries_[to].incarnation, [this, to, message] {
            const EntryStep step = [this, to, message](
                                       Instant now, direct::EntryEffects& out) {
              const WallTime wall = {kWallStartUnixMillis +
                                     loop_.now() / kMilli};
              entries_[to].core->OnHandoverMessages(now, wall, {&message, 1},
                                                    out);
            };
            GiveToEntry(to, {{}, step, 0, true});
          });
    });
  }
}

void DirectCluster::HandleEffect(uint32_t from,
                                 direct::SendToEntryEffect& send) {
  const uint32_t to = IndexOf(send.to);
  direct::Datagram datagram(std::move(send.message));
  const auto bytes = MeasureDatagram(datagram);
  if (!bytes) {
    return;
  }
  const Duration delay = hooks_.message_delay({to, from, false, *bytes});
  loop_.After(
      delay, [this, to,
              message = std::get<direct::SidecarMessage>(std::move(datagram))] {
        RunWhenAvailable(entries_[to], entries_[to].incarnation,
                         [this, to, message] {
                           GiveToEntry(to, {message, {}});
                         });
      });
}

void DirectCluster::HandleEffect(uint32_t n,
                                 const direct::RecordUpstreamEffect& effect) {
  sidecars_[n].recorded = effect.upstream;
}

void DirectCluster::HandleEffect(uint32_t n, const LogLine& line) {
  Trace([&] { return fmt::format("sidecar-{} {}", n, line.Text()); });
}

template <typename Command>
void DirectCluster::HandleEffect(uint32_t n, const Command& command) {
  const CommandFate fate =
      hooks_.command_fate(n, std::is_same_v<Command, direct::StopCommand>);
  const CommandOrigin origin = {sidecars_[n].incarnation,
                                sidecars_[n].upstream->started_unix_millis(),
                                fate.late};
  loop_.After(fate.delay, [this, n, command, origin] {
    const DirectUpstream& upstream = *sidecars_[n].upstream;
    // Drops a late command for an earlier incarnation of the upstream with the
    // same id, if the current one has seen no fencing token yet: a sidecar
    // cannot fence off such a command, as PLATFORM.md states.
    if (origin.late &&
        upstream.started_unix_millis() != origin.upstream_start &&
        !upstream.has_token()) {
      return;
    }
    Duration wait_end = loop_.now();
    if constexpr (std::is_same_v<Command, direct::ListCommand>) {
      wait_end += command.wait;
    }
    Execute(n, command, origin, wait_end);
  });
}

template <typename Command>
void DirectCluster::Execute(uint32_t n,
                            const Command& command,
                            const CommandOrigin& origin,
                            Duration wait_end) {
  if (sidecars_[n].upstream_crashed) {
    Reply(n, origin, command, direct::CommandResult::kNotReached, {});
    return;
  }
  if (command.header.upstream != sidecars_[n].upstream_id) {
    Reply(n, origin, command, direct::CommandResult::kOtherIncarnation, {});
    return;
  }
  direct::Listing listing;
  const auto answer = ExecuteCommand(n, command, listing);
  if constexpr (std::is_same_v<Command, direct::ListCommand>) {
    if (answer == direct::CommandResult::kAccepted && listing.ended.empty() &&
        loop_.now() < wait_end) {
      const Duration next =
          std::min({wait_end, loop_.now() + kMaxListingRecheck,
                    std::max(sidecars_[n].upstream->NextEnd(),
                             loop_.now() + kMilli / 10)});
      loop_.At(next, [this, n, command, origin, wait_end] {
        Execute(n, command, origin, wait_end);
      });
      return;
    }
  }
  Reply(n, origin, command, answer, std::move(listing));
}

direct::CommandResult DirectCluster::ExecuteCommand(
    uint32_t n,
    const direct::StartCommand& command,
    direct::Listing&) {
  const DirectUpstream::RunPlan plan = hooks_.plan_run(n, command);
  const auto answer = sidecars_[n].upstream->Start(loop_.now(), command, plan);
  Trace([&] {
    return fmt::format("{} starts run {} of {}: {}", command.header.upstream,
                       command.run.run, command.run.task,
                       static_cast<int>(answer));
  });
  hooks_.started(n, command, answer);
  return answer;
}

direct::CommandResult DirectCluster::ExecuteCommand(
    uint32_t n,
    const direct::StopCommand& command,
    direct::Listing&) {
  Trace([&] {
    return fmt::format("{} stops run {} of {}", command.header.upstream,
                       command.run.run, command.run.task);
  });
  return sidecars_[n].upstream->Stop(loop_.now(), command);
}

direct::CommandResult DirectCluster::ExecuteCommand(
    uint32_t n,
    const direct::ListCommand& command,
    direct::Listing& listing) {
  return sidecars_[n].upstream->List(loop_.now(), command, listing);
}

template <typename Command>
void DirectCluster::Reply(uint32_t n,
                          const CommandOrigin& origin,
                          const Command& command,
                          direct::CommandResult answer,
                          direct::Listing listing) {
  if (origin.late) {
    return;
  }
  const uint64_t incarnation = origin.incarnation;
  const uint64_t number = command.header.number;
  const auto clock = sidecars_[n].upstream->Clock(loop_.now());
  loop_.After(hooks_.answer_delay(), [this, n, incarnation, number, answer,
                                      clock, listing = std::move(listing)] {
    RunWhenAvailable(
        sidecars_[n], incarnation, [this, n, number, answer, clock, listing] {
          StepSidecar(n, [&](Instant now, direct::SidecarEffects& out) {
            direct::DirectSidecar& core = *sidecars_[n].core;
            if constexpr (!std::is_same_v<Command, direct::ListCommand>) {
              core.OnCommandResult(now, number, answer, clock, out);
            } else if (answer == direct::CommandResult::kAccepted) {
              core.OnListing(now, number, listing, clock, out);
            } else {
              core.OnListingFailed(now, number, answer, out);
            }
          });
        });
  });
}

}  // namespace filbertwick::harness
