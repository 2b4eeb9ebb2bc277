#include "filbertwick/daemon/decision_loop.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <condition_variable>
#include <future>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "filbertwick/base/output_loop.h"
#include "filbertwick/daemon/audit_trail.h"

namespace {

using filbertwick::InstanceName;
using filbertwick::Instant;
using filbertwick::OutputLoop;
using filbertwick::daemon::AuditTrail;
using filbertwick::daemon::DecisionInput;
using filbertwick::daemon::DecisionLoop;
namespace core = filbertwick::core;
namespace wire = filbertwick::wire;

constexpr size_t kCapacity = 4;
constexpr int kEvents = 1'000;

/// A core that emits a LogEffect for each query, and for one wake-up that it
/// requests 5 ms after its creation.
class FakeCore : public core::Core {
 public:
  void Handle(const core::Now& now,
              core::Event event,
              core::Effects& effects) override {
    if (const auto* query = std::get_if<core::QueryEvent>(&event)) {
      effects.emplace_back(core::LogEffect{std::to_string(query->request)});
    } else if (std::holds_alternative<core::WakeupEvent>(event)) {
      cr_assert(now.monotonic >= wakeup_);
      wakeup_ = Instant::max();
      effects.emplace_back(core::LogEffect{"woken"});
    }
  }
  Instant NextWakeup() const override { return wakeup_; }
  uint64_t StateHash() const override { return 0; }
  const wire::InstanceInfo* FindPeer(const InstanceName&) const override {
    return nullptr;
  }
  core::CoreStatus Status(const core::Now&) const override {
    core::CoreStatus status;
    status.ready = true;
    return status;
  }

 private:
  Instant wakeup_ =
      filbertwick::MonotonicClock::now() + std::chrono::milliseconds(5);
};

/// Collects the texts of log effects. Thread-safe.
class LineCollector {
 public:
  void Add(std::string line) {
    std::lock_guard lock(mutex_);
    lines_.push_back(std::move(line));
    changed_.notify_all();
  }
  std::vector<std::string> WaitForLines(size_t n) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return lines_.size() >= n; });
    return lines_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> lines_;
};

std::unique_ptr<DecisionLoop> MakeLoop(LineCollector& lines) {
  return std::make_unique<DecisionLoop>(
      std::make_unique<FakeCore>(), kCapacity,
      [&](const core::Core&, core::Effects& effects) {
        for (const core::Effect& effect : effects) {
          lines.Add(std::get<core::LogEffect>(effect).text);
        }
      });
}

core::Event Query(int n) {
  return core::QueryEvent{static_cast<wire::RequestId>(n), {}, {}};
}

Test(decision_loop, wakes_the_core_and_keeps_the_order) {
  LineCollector lines;
  const auto loop = MakeLoop(lines);
  loop->Start();
  cr_assert(lines.WaitForLines(1)[0] == "woken");
  for (int n = 0; n < kEvents; ++n) {
    cr_assert(loop->Push(Query(n)));
  }
  const auto all = lines.WaitForLines(kEvents + 1);
  for (int n = 0; n < kEvents; ++n) {
    cr_assert(all[n + 1] == std::to_string(n));
  }
  // A callback runs after the inputs that were queued before it.
  lines.Add("mark");
  loop->Push(filbertwick::daemon::CoreCallback(
      [&](const core::Core& core, const core::Now& now) {
        lines.Add(core.Status(now).ready ? "ready" : "not ready");
      }));
  cr_assert(lines.WaitForLines(kEvents + 3).back() == "ready");
}

Test(decision_loop, full_queue_leaves_the_input_unchanged) {
  LineCollector lines;
  const auto loop = MakeLoop(lines);
  for (size_t n = 0; n < kCapacity; ++n) {
    DecisionInput input(Query(static_cast<int>(n)));
    cr_assert(loop->TryPushFrom(input));
  }
  DecisionInput last(Query(77));
  cr_assert_not(loop->TryPushFrom(last));
  cr_assert_eq(std::get<core::QueryEvent>(std::get<core::Event>(last)).request,
               77);
  loop->Start();
  cr_assert(loop->Push(std::move(last)));
  // The wake-up adds one line, which may come before, between or after the
  // others.
  const auto all = lines.WaitForLines(kCapacity + 2);
  cr_assert(std::ranges::count(all, "77") == 1);
  loop->Close();
  cr_assert_not(loop->Push(Query(1)));
}

Test(audit_trail, keeps_the_newest_lines_and_reads_from_an_offset) {
  AuditTrail trail(3);
  for (wire::LogOffset offset = 0; offset < 5; ++offset) {
    core::AuditEffect line;
    line.offset = offset;
    trail.Add(line);
  }
  cr_assert_eq(trail.Read(0).size(), 3);
  cr_assert_eq(trail.Read(4).size(), 1);
  core::AuditEffect refused;
  refused.offset = 9;
  refused.what = "zone a out";
  refused.author = filbertwick::AuthorName("ann");
  refused.change = filbertwick::ChangeId("c1");
  refused.why = "bob was first";
  cr_assert(filbertwick::daemon::FormatAuditLine(refused) ==
            "offset 9: zone a out by ann (change c1): refused, bob was first");
}

Test(output_loop, writes_all_lines_in_order_before_it_ends) {
  std::vector<std::string> written;
  {
    OutputLoop output(
        [&](std::string_view line) { written.emplace_back(line); });
    for (int n = 0; n < kEvents; ++n) {
      output.Write("part", std::to_string(n));
    }
  }
  cr_assert_eq(written.size(), kEvents);
  cr_assert(written[7] == "part: 7");
}

// Lines that hold texts of clients were bounded by their number only, while the
// output is blocked.
Test(output_loop, drops_lines_above_a_size_while_the_output_is_blocked) {
  constexpr size_t kLineBytes = 64 * 1024;
  constexpr size_t kLines = 1000;
  std::promise<void> unblocked;
  const std::shared_future<void> output_works(unblocked.get_future());
  size_t written = 0;
  bool reports_drops = false;
  {
    OutputLoop output([&](std::string_view line) {
      output_works.wait();
      written += line.size();
      reports_drops |= line.find("lines dropped") != line.npos;
    });
    for (size_t n = 0; n < kLines; ++n) {
      output.Write("", std::string(kLineBytes, 'x'));
    }
    unblocked.set_value();
  }
  cr_assert_gt(written, kLineBytes);
  cr_assert_leq(written, 5UL * 1024 * 1024);
  cr_assert(reports_drops);
}

}  // namespace
