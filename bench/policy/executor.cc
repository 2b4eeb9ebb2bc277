#include "bench/policy/executor.h"

#include <algorithm>
#include <utility>

namespace filbertwick::bench {

using core::policy::PlacementOutcome;
using core::policy::TaskRef;

namespace {

/// Run time of a task on an executor that fails every task.
constexpr Duration kFailTime = std::chrono::milliseconds(2);

}  // namespace

Executor::Executor(EventLoop& loop,
                   const Behaviour& behaviour,
                   Lookup lookup,
                   ReportCallback report)
    : loop_(loop),
      behaviour_(behaviour),
      lookup_(std::move(lookup)),
      report_(std::move(report)) {}

void Executor::OnOffers(uint32_t entry, const std::vector<TaskRef>& tasks) {
  for (const TaskRef& task : tasks) {
    const Offer offer{entry, task};
    if (zone_out_) {
      QueueReport(offer, PlacementOutcome::kNotStarted, Duration(0));
    } else if (running_.size() < behaviour_.slots) {
      Start(offer);
    } else if (queue_.size() < behaviour_.queue) {
      queue_.push_back(offer);
    } else {
      QueueReport(offer, PlacementOutcome::kNotStarted, Duration(0));
    }
  }
  Flush();
}

void Executor::OnWithdraw(uint32_t entry,
                          const std::vector<TaskRef>& tasks,
                          bool stop) {
  for (const TaskRef& task : tasks) {
    const auto queued = std::ranges::find(queue_, task, &Offer::task);
    if (queued != queue_.end()) {
      queue_.erase(queued);
      QueueReport({entry, task}, PlacementOutcome::kNotStarted, Duration(0));
    } else if (stop && std::erase(running_, task) > 0) {
      QueueReport({entry, task}, PlacementOutcome::kStopped, Duration(0));
    }
  }
  StartQueued();
  Flush();
}

void Executor::SetZoneOut(bool out) {
  zone_out_ = out;
  if (out) {
    for (const Offer& offer : queue_) {
      QueueReport(offer, PlacementOutcome::kNotStarted, Duration(0));
    }
    queue_.clear();
  }
  Flush();
}

void Executor::Break(bool fails, bool hangs) {
  behaviour_.fails = fails;
  behaviour_.hangs = hangs;
}

wire::Load Executor::load() const {
  return {.slots = behaviour_.slots,
          .running = static_cast<uint32_t>(running_.size()),
          .queued = static_cast<uint32_t>(queue_.size())};
}

void Executor::Start(const Offer& offer) {
  ++starts_;
  running_.push_back(offer.task);
  QueueReport(offer, std::nullopt, Duration(0));
  const Execution execution = lookup_(offer.task);
  auto run_time = std::chrono::duration_cast<Duration>(execution.run_time /
                                                       behaviour_.speed);
  bool failed = execution.fails;
  if (failed) {
    run_time /= 2;
  }
  if (behaviour_.fails) {
    run_time = kFailTime;
    failed = true;
  }
  if (!behaviour_.hangs) {
    loop_.Post(loop_.now() + run_time, [this, offer, run_time, failed] {
      End(offer, run_time, failed);
    });
  }
}

void Executor::End(const Offer& offer, Duration run_time, bool failed) {
  // The end of a stopped task has already been reported.
  if (std::erase(running_, offer.task) == 0) {
    return;
  }
  QueueReport(offer,
              failed ? PlacementOutcome::kFailed : PlacementOutcome::kSucceeded,
              run_time);
  StartQueued();
  Flush();
}

void Executor::StartQueued() {
  while (running_.size() < behaviour_.slots && !queue_.empty()) {
    const Offer offer = queue_.front();
    queue_.pop_front();
    Start(offer);
  }
}

void Executor::QueueReport(const Offer& offer,
                           std::optional<PlacementOutcome> end,
                           Duration run_time) {
  outbox_[offer.entry].push_back({offer.task, end, run_time});
}

void Executor::Flush() {
  for (auto& [entry, reports] : std::exchange(outbox_, {})) {
    report_(entry, std::move(reports));
  }
}

}  // namespace filbertwick::bench
