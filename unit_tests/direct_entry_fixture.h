#ifndef FILBERTWICK_UNIT_TESTS_DIRECT_ENTRY_FIXTURE_H_
#define FILBERTWICK_UNIT_TESTS_DIRECT_ENTRY_FIXTURE_H_

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "filbertwick/core/direct/direct_entry.h"

namespace filbertwick::test {

using namespace filbertwick::core::direct;

inline constexpr Duration kMilli = std::chrono::milliseconds(1);
inline constexpr int64_t kTaskCpu = 1000;

/// An entry with two sidecars that have capacity for two tasks each. Collects
/// the entry's messages, answers and log lines.
class DirectEntryFixture {
 public:
  DirectEntryFixture() {
    entry = DirectEntry::Create(
        {InstanceName("entry"), 7}, {},
        [](std::string_view job, size_t step, size_t index) {
          return std::string(job) + "." + std::to_string(step) + "." +
                 std::to_string(index);
        });
    const std::vector<InstanceName> names = {InstanceName("s0"),
                                             InstanceName("s1")};
    entry->AddSidecars(now, names);
    AdvanceTime(Duration(0));
    SendFromSidecar(0, {}, {});
    SendFromSidecar(1, {}, {});
  }

  void Collect(EntryEffects& effects) {
    for (EntryEffect& effect : effects) {
      if (auto* send = std::get_if<SendToSidecarEffect>(&effect)) {
        const size_t n = send->to.value() == "s0" ? 0 : 1;
        last_sent_at[n] = send->message.sent_at;
        messages.emplace_back(n, send->message);
        claims.emplace_back(n, send->message.claims);
        for (const Offer& offer : send->message.offers) {
          offers.push_back({n, offer});
        }
        std::ranges::copy(send->message.stops, std::back_inserter(stops));
      } else if (auto* answer = std::get_if<AnswerJobEffect>(&effect)) {
        answers.push_back(*answer);
      } else if (const auto* line = std::get_if<LogLine>(&effect)) {
        lines.push_back(line->Text());
      }
    }
  }

  /// Delivers a message from sidecar `n` to the entry. The message reports
  /// capacity for `free_tasks` tasks.
  void SendFromSidecar(size_t n,
                       std::vector<OfferReply> replies,
                       std::vector<RunEnd> ends,
                       int64_t free_tasks = 2) {
    SidecarMessage message = MessageFrom(n, free_tasks);
    message.replies = std::move(replies);
    message.ends = std::move(ends);
    Deliver(message);
  }

  /// Returns a message of sidecar `n` with capacity for `free_tasks` tasks.
  SidecarMessage MessageFrom(size_t n, int64_t free_tasks) const {
    SidecarMessage message;
    message.from = {InstanceName(n == 0 ? "s0" : "s1"), 3};
    message.to_incarnation = 7;
    message.echoed_sent_at = last_sent_at[n];
    message.clock = ToMicros(now);
    message.accepts_tasks = true;
    message.upstream.service = "service";
    message.upstream.zone = ZoneName(n == 0 ? "z0" : "z1");
    message.upstream.capacity = {std::max<int64_t>(2, free_tasks) * kTaskCpu,
                                 100, 0};
    message.free = {free_tasks * kTaskCpu, 100, 0};
    return message;
  }

  void Deliver(const SidecarMessage& message) {
    EntryEffects effects;
    entry->OnMessage(now, message, effects);
    Collect(effects);
  }

  JobRequest Job(const std::string& id, uint32_t tasks) {
    JobRequest job;
    job.request = ++last_request;
    job.id = id;
    job.service = "service";
    job.max_attempts = 2;
    job.expected = 100 * kMilli;
    job.target = 220 * kMilli;
    job.time_limit = 1500 * kMilli;
    JobStep step;
    step.count = tasks;
    step.needs = {kTaskCpu, 1, 0};
    step.estimate = 100 * kMilli;
    job.steps.push_back(step);
    return job;
  }

  /// Delivers a message of a new incarnation of sidecar `n` that has not found
  /// its upstream yet.
  void RestartWithoutUpstream(size_t n) {
    SidecarMessage message;
    message.from = {InstanceName(n == 0 ? "s0" : "s1"), 4};
    message.to_incarnation = 7;
    message.echoed_sent_at = ToMicros(now);
    message.clock = ToMicros(now);
    EntryEffects effects;
    entry->OnMessage(now, message, effects);
    Collect(effects);
  }

  void Submit(JobRequest job) {
    EntryEffects effects;
    entry->OnJob(now, {1'800'000'000'000}, std::move(job), effects);
    Collect(effects);
  }

  void AdvanceTime(Duration duration) {
    now += duration;
    EntryEffects effects;
    entry->OnWakeup(now, effects);
    Collect(effects);
  }

  /// Accepts all offers collected so far, each with a message that reports
  /// capacity for `free_tasks` tasks. Returns the sidecar and the run of each
  /// accepted task.
  std::vector<std::pair<size_t, TaskRun>> AcceptOffers(int64_t free_tasks = 2) {
    std::vector<std::pair<size_t, TaskRun>> runs;
    for (const auto& [n, offer] : std::exchange(offers, {})) {
      SendFromSidecar(n, {{offer.id, std::vector<Refusal>(offer.tasks.size())}},
                      {}, free_tasks);
      for (const OfferedTask& task : offer.tasks) {
        runs.emplace_back(n, task.run);
      }
    }
    return runs;
  }

  void EndRun(size_t n, const TaskRun& run, EndKind kind) {
    SendFromSidecar(n, {}, {{++last_end[n], run, kind, 90'000}});
  }

  Instant now{std::chrono::seconds(100)};
  std::unique_ptr<DirectEntry> entry;
  /// The sidecar and the whole of each message.
  std::vector<std::pair<size_t, EntryMessage>> messages;
  std::vector<std::pair<size_t, Offer>> offers;
  std::vector<TaskRun> stops;
  /// The sidecar and the claims of each message.
  std::vector<std::pair<size_t, std::vector<Claim>>> claims;
  std::vector<AnswerJobEffect> answers;
  std::vector<std::string> lines;
  int64_t last_sent_at[2] = {0, 0};
  uint64_t last_end[2] = {0, 0};
  uint64_t last_request = 0;
};

}  // namespace filbertwick::test

#endif  // FILBERTWICK_UNIT_TESTS_DIRECT_ENTRY_FIXTURE_H_
