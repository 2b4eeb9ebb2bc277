#include "filbertwick/core/direct/direct_sidecar_impl.h"
#include "filbertwick/core/direct/names.h"

namespace filbertwick::core::direct {
namespace {

/// A run that was started at most this long before a crash may be its cause.
constexpr Duration kCrashSuspicion = std::chrono::milliseconds(20);
/// Most tasks of a crash notice. More are started at a time only by a wide job,
/// whose tasks are alike.
constexpr size_t kMaxCrashSuspects = 8;
/// Maximum encoded size of these tasks, in bytes. Every message to an entry
/// contains them for some seconds.
constexpr size_t kMaxCrashSuspectBytes = 4 * 1024;
/// Most tasks that one log line names; bounds the line.
constexpr size_t kMaxLoggedTasks = 64;

}  // namespace

void DirectSidecar::Impl::NoticeCrash(Instant now) {
  if (std::exchange(crash_noticed_, true)) {
    return;
  }
  const auto runs = run_table_.runs() | std::views::values;
  const Instant crashed_at =
      listings_failing_since_ ? listings_broken_at_ : now;
  ++crash_.number;
  crash_.suspects.clear();
  size_t bytes = 0;
  for (const ActiveRun& run : runs) {
    if (!run.seen_running || run.start_sent_at < crashed_at - kCrashSuspicion ||
        crash_.suspects.size() == kMaxCrashSuspects) {
      continue;
    }
    CrashSuspect suspect = {run.id.task, run.queue};
    const size_t suspect_bytes = wire::EncodedSize(suspect);
    if (bytes + suspect_bytes <= kMaxCrashSuspectBytes) {
      bytes += suspect_bytes;
      crash_.suspects.push_back(std::move(suspect));
    }
  }
  crash_noticed_at_ = now;
  NotifyAllEntries();
}

void DirectSidecar::Impl::TakeLostRuns(Instant now,
                                       EndKind kind,
                                       std::string_view cause) {
  if (run_table_.runs().empty()) {
    return;
  }
  if (kind == EndKind::kCrashed) {
    NoticeCrash(now);
  }
  std::vector<ActiveRun> lost = run_table_.Clear();
  std::string tasks;
  for (const ActiveRun& run : lost | std::views::take(kMaxLoggedTasks)) {
    tasks += (tasks.empty() ? "" : " ") + run.id.task;
  }
  effects_.push_back(LogLine("upstream_runs_lost")
                         .Add("upstream", upstream_->id)
                         .Add("cause", cause)
                         .Add("kind", ToString(kind))
                         .Add("runs", static_cast<int64_t>(lost.size()))
                         .Add("tasks", tasks));
  for (ActiveRun& run : lost) {
    // Without an answer to its start, the run may never have begun.
    const bool has_crashed = kind == EndKind::kCrashed && run.seen_running;
    const bool is_suspect =
        has_crashed &&
        std::ranges::find(crash_.suspects, run.id.task, &CrashSuspect::task) !=
            crash_.suspects.end();
    const auto suspects =
        is_suspect ? static_cast<uint32_t>(crash_.suspects.size()) : 0;
    const EndKind kind_of_run = has_crashed ? kind : EndKind::kLost;
    unreported_lost_runs_.push_back({std::move(run), kind_of_run, suspects});
  }
}

void DirectSidecar::Impl::DropAllRuns(Instant now,
                                      EndKind kind,
                                      std::string_view cause) {
  TakeLostRuns(now, kind, cause);
  ReportLostRuns(now);
}

void DirectSidecar::Impl::ReportLostRuns(Instant now) {
  for (const LostRun& lost : std::exchange(unreported_lost_runs_, {})) {
    if (Session* session = sessions_.Find(lost.run.owner)) {
      SessionTable::AddEnd(*session, {0, lost.run.id, lost.kind,
                                      (now - lost.run.start_sent_at).count(),
                                      lost.crash_suspects});
    }
  }
}

}  // namespace filbertwick::core::direct
