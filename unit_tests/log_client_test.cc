#include <criterion/criterion.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "filbertwick/platform/log_client.h"
#include "filbertwick/standin/log_service.h"
#include "unit_tests/http_fixture.h"

namespace {

using filbertwick::ChangeId;
using filbertwick::platform::LogBatch;
using filbertwick::platform::LogClient;
using filbertwick::platform::LogClientSettings;
using filbertwick::standin::LogService;
using filbertwick::test::LoopThread;
using filbertwick::wire::Checkpoint;
using filbertwick::wire::ControlRecord;
using filbertwick::wire::SetZone;

ControlRecord MakeRecord(const std::string& change) {
  ControlRecord record;
  record.change = ChangeId(change);
  record.body = SetZone{};
  return record;
}

ControlRecord MakeCheckpoint(const std::string& change, uint64_t offset) {
  ControlRecord record = MakeRecord(change);
  Checkpoint checkpoint;
  checkpoint.offset = offset;
  checkpoint.state = "state";
  record.body = std::move(checkpoint);
  return record;
}

/// What the hooks of a client have received.
struct HookCalls {
  std::vector<uint64_t> offsets;
  std::vector<std::string> changes;
  std::vector<std::string> failed;
  uint32_t read_failures = 0;
  uint32_t empty_batches = 0;
};

/// A log service and one client of it.
class LogTest {
 public:
  LogTest() {
    loop_.Run([&] { service_ = *LogService::Create(loop_.context(), {}); });
  }
  ~LogTest() {
    loop_.Stop();
    client_.reset();
    service_.reset();
  }

  /// Starts a client that reads from the offset `from`, in place of an earlier
  /// one.
  void StartClient(uint64_t from = 0) {
    LogClientSettings settings;
    settings.port = service_->port();
    settings.retry_min = std::chrono::milliseconds(1);
    settings.retry_max = std::chrono::milliseconds(5);
    client_ = LogClient::Create(
        loop_.context(), settings, from,
        {[this](const LogBatch& batch) { OnBatch(batch); },
         [this](const absl::Status&) {
           UpdateCalls([](HookCalls& it) { ++it.read_failures; });
         },
         [this](std::span<const ChangeId> changes) {
           OnAppendFailed(changes);
         }});
  }

  /// Waits until the received calls meet the condition; a test in which they
  /// never do times out.
  HookCalls WaitFor(const std::function<bool(const HookCalls&)>& predicate) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return predicate(calls_); });
    return calls_;
  }

  HookCalls WaitForChanges(size_t n) {
    return WaitFor([n](const HookCalls& it) { return it.changes.size() >= n; });
  }

  LogService& service() { return *service_; }
  LogClient& client() { return *client_; }

 private:
  void UpdateCalls(const std::function<void(HookCalls&)>& change) {
    {
      const std::lock_guard lock(mutex_);
      change(calls_);
    }
    changed_.notify_all();
  }

  void OnBatch(const LogBatch& batch) {
    UpdateCalls([&](HookCalls& it) {
      it.empty_batches += batch.records.empty() ? 1 : 0;
      uint64_t offset = batch.first;
      for (const ControlRecord& record : batch.records) {
        it.offsets.push_back(offset++);
        it.changes.push_back(record.change.value());
      }
    });
  }

  void OnAppendFailed(std::span<const ChangeId> changes) {
    UpdateCalls([&](HookCalls& it) {
      for (const ChangeId& change : changes) {
        it.failed.push_back(change.value());
      }
    });
  }

  LoopThread loop_;
  std::unique_ptr<LogService> service_;
  std::unique_ptr<LogClient> client_;
  std::mutex mutex_;
  std::condition_variable changed_;
  HookCalls calls_;
};

Test(log_client, reads_appends_in_order_and_groups_requests) {
  constexpr size_t kRecords = 1'000;
  LogTest test;
  test.StartClient();
  for (size_t i = 0; i < kRecords; ++i) {
    test.client().Append(MakeRecord(std::to_string(i)));
  }
  const HookCalls calls = test.WaitForChanges(kRecords);
  for (size_t i = 0; i < kRecords; ++i) {
    cr_assert_eq(calls.offsets[i], i);
    cr_assert_eq(calls.changes[i], std::to_string(i));
  }
  cr_assert_lt(test.service().appends(), kRecords / 2);
  test.WaitFor([](const HookCalls& it) { return it.empty_batches > 0; });
}

Test(log_client, lost_answer_reports_a_failure_and_keeps_the_record) {
  LogTest test;
  test.StartClient();
  test.service().LoseAnswers(1);
  test.client().Append(MakeRecord("lost"));
  const HookCalls calls = test.WaitFor([](const HookCalls& it) {
    return !it.failed.empty() && !it.changes.empty();
  });
  cr_assert_eq(calls.failed.front(), "lost");
  cr_assert_eq(calls.changes.front(), "lost");
  cr_assert_eq(test.service().head("control"), 1);
}

Test(log_client, reports_failed_reads_until_an_outage_ends) {
  LogTest test;
  test.StartClient();
  test.client().Append(MakeRecord("before"));
  test.WaitForChanges(1);
  test.service().SetDown(true);
  test.client().Append(MakeRecord("during"));
  const HookCalls calls = test.WaitFor([](const HookCalls& it) {
    return it.read_failures >= 3 && !it.failed.empty();
  });
  cr_assert_eq(calls.failed.front(), "during");
  test.service().SetDown(false);
  test.client().Append(MakeRecord("after"));
  const HookCalls after = test.WaitForChanges(2);
  cr_assert_eq(after.changes.back(), "after");
  cr_assert_eq(after.offsets.back(), 1);
}

Test(log_client, slow_service_loses_no_records) {
  LogTest test;
  test.service().SetDelay(std::chrono::milliseconds(20));
  test.StartClient();
  test.client().Append(MakeRecord("a"));
  test.client().Append(MakeRecord("b"));
  const HookCalls calls = test.WaitForChanges(2);
  cr_assert_eq(calls.changes[1], "b");
  cr_assert(calls.failed.empty());
  cr_assert_eq(calls.read_failures, 0);
}

Test(log_client, starts_at_the_newest_checkpoint_after_trimming) {
  LogTest test;
  test.StartClient();
  for (const char* change : {"0", "1", "2"}) {
    test.client().Append(MakeRecord(change));
  }
  test.client().Append(MakeCheckpoint("old checkpoint", 3));
  test.client().Append(MakeRecord("4"));
  test.client().Append(MakeCheckpoint("checkpoint", 5));
  // Invalid: the checkpoint names offset 5, but is the record at offset 6.
  test.client().Append(MakeCheckpoint("6", 5));
  test.WaitForChanges(7);
  test.service().TrimBefore("control", 2);
  test.StartClient(0);
  const HookCalls calls = test.WaitForChanges(9);
  cr_assert_eq(calls.changes[7], "checkpoint");
  cr_assert_eq(calls.offsets[7], 5);
  cr_assert_eq(calls.changes[8], "6");
  test.client().Append(MakeRecord("7"));
  cr_assert_eq(test.WaitForChanges(10).offsets[9], 7);
}

Test(log_client, trimmed_log_delivers_nothing_before_a_checkpoint) {
  LogTest test;
  test.StartClient();
  for (const char* change : {"0", "1", "2"}) {
    test.client().Append(MakeRecord(change));
  }
  test.WaitForChanges(3);
  test.service().TrimBefore("control", 1);
  test.StartClient(0);
  test.WaitFor([](const HookCalls& it) { return it.read_failures >= 2; });
  test.client().Append(MakeCheckpoint("checkpoint", 3));
  const HookCalls calls = test.WaitForChanges(4);
  cr_assert_eq(calls.changes[3], "checkpoint");
  cr_assert_eq(calls.offsets[3], 3);
}

}  // namespace
