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

ControlRecord Record(const std::string& change) {
  ControlRecord record;
  record.change = ChangeId(change);
  record.body = SetZone{};
  return record;
}

ControlRecord CheckpointRecord(const std::string& change, uint64_t offset) {
  ControlRecord record = Record(change);
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
         [this](std::span<const ChangeId> changes) { OnFailed(changes); }});
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

  void OnFailed(std::span<const ChangeId> changes) {
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

Test(log_client, appends_come_back_in_order_and_in_groups) {
  constexpr size_t kRecords = 1'000;
  LogTest test;
  test.StartClient();
  for (size_t i = 0; i < kRecords; ++i) {
    test.client().Append(Record(std::to_string(i)));
  }
  const HookCalls heard = test.WaitForChanges(kRecords);
  for (size_t i = 0; i < kRecords; ++i) {
    cr_assert_eq(heard.offsets[i], i);
    cr_assert_eq(heard.changes[i], std::to_string(i));
  }
  cr_assert_lt(test.service().appends(), kRecords / 2);
  test.WaitFor([](const HookCalls& it) { return it.empty_batches > 0; });
}

Test(log_client, a_lost_answer_is_told_and_the_record_stands) {
  LogTest test;
  test.StartClient();
  test.service().LoseAnswers(1);
  test.client().Append(Record("lost"));
  const HookCalls heard = test.WaitFor([](const HookCalls& it) {
    return !it.failed.empty() && !it.changes.empty();
  });
  cr_assert_eq(heard.failed.front(), "lost");
  cr_assert_eq(heard.changes.front(), "lost");
  cr_assert_eq(test.service().head("control"), 1);
}

Test(log_client, an_outage_is_told_while_it_lasts_and_ends) {
  LogTest test;
  test.StartClient();
  test.client().Append(Record("before"));
  test.WaitForChanges(1);
  test.service().SetDown(true);
  test.client().Append(Record("during"));
  const HookCalls heard = test.WaitFor([](const HookCalls& it) {
    return it.read_failures >= 3 && !it.failed.empty();
  });
  cr_assert_eq(heard.failed.front(), "during");
  test.service().SetDown(false);
  test.client().Append(Record("after"));
  const HookCalls after = test.WaitForChanges(2);
  cr_assert_eq(after.changes.back(), "after");
  cr_assert_eq(after.offsets.back(), 1);
}

Test(log_client, a_slow_service_loses_nothing) {
  LogTest test;
  test.service().SetDelay(std::chrono::milliseconds(20));
  test.StartClient();
  test.client().Append(Record("a"));
  test.client().Append(Record("b"));
  const HookCalls heard = test.WaitForChanges(2);
  cr_assert_eq(heard.changes[1], "b");
  cr_assert(heard.failed.empty());
  cr_assert_eq(heard.read_failures, 0);
}

Test(log_client, after_trimming_it_starts_at_the_newest_checkpoint) {
  LogTest test;
  test.StartClient();
  for (const char* change : {"0", "1", "2"}) {
    test.client().Append(Record(change));
  }
  test.client().Append(CheckpointRecord("old checkpoint", 3));
  test.client().Append(Record("4"));
  test.client().Append(CheckpointRecord("checkpoint", 5));
  // Invalid: the checkpoint names offset 5, but is the record at offset 6.
  test.client().Append(CheckpointRecord("6", 5));
  test.WaitForChanges(7);
  test.service().TrimBefore("control", 2);
  test.StartClient(0);
  const HookCalls heard = test.WaitForChanges(9);
  cr_assert_eq(heard.changes[7], "checkpoint");
  cr_assert_eq(heard.offsets[7], 5);
  cr_assert_eq(heard.changes[8], "6");
  test.client().Append(Record("7"));
  cr_assert_eq(test.WaitForChanges(10).offsets[9], 7);
}

Test(log_client,
     a_trimmed_log_without_checkpoint_gives_nothing_until_one_comes) {
  LogTest test;
  test.StartClient();
  for (const char* change : {"0", "1", "2"}) {
    test.client().Append(Record(change));
  }
  test.WaitForChanges(3);
  test.service().TrimBefore("control", 1);
  test.StartClient(0);
  test.WaitFor([](const HookCalls& it) { return it.read_failures >= 2; });
  test.client().Append(CheckpointRecord("checkpoint", 3));
  const HookCalls heard = test.WaitForChanges(4);
  cr_assert_eq(heard.changes[3], "checkpoint");
  cr_assert_eq(heard.offsets[3], 3);
}

}  // namespace
