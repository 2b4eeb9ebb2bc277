#include <criterion/criterion.h>

#include <memory>
#include <string>

#include "filbertwick/http/client.h"
#include "filbertwick/http/server.h"
#include "filbertwick/standin/executor.h"
#include "unit_tests/http_fixture.h"

namespace {

using filbertwick::Duration;
using filbertwick::http::CallOnce;
using filbertwick::http::Request;
using filbertwick::http::Responder;
using filbertwick::http::Response;
using filbertwick::standin::Executor;
using filbertwick::standin::ExecutorSettings;
using filbertwick::test::LoopThread;

constexpr Duration kCallTimeout = std::chrono::seconds(60);

struct TestExecutor {
  explicit TestExecutor(const ExecutorSettings& settings = {}) {
    loop.Run([&] { executor = *Executor::Create(loop.context(), settings); });
  }
  ~TestExecutor() {
    loop.Stop();
    executor.reset();
  }

  absl::StatusOr<Response> Send(const std::string& method,
                                const std::string& target,
                                const std::string& body) {
    filbertwick::http::ClientSettings settings;
    settings.port = executor->port();
    return CallOnce(settings, {method, target, {}, body}, kCallTimeout);
  }

  absl::StatusOr<Response> RunTask(const std::string& task,
                                   const std::string& payload) {
    return Send("POST", "/v1/tasks/" + task + "?attempt=1", payload);
  }

  LoopThread loop;
  std::unique_ptr<Executor> executor;
};

Test(standin_executor, runs_tasks_and_counts_starts) {
  TestExecutor test;
  cr_assert_eq(test.RunTask("job/0", "{\"run_ms\": 2}")->body,
               "{\"run_ms\": 2}");
  cr_assert_eq(test.RunTask("job/0", "x")->status, 200);
  cr_assert_eq(test.RunTask("job/1", "y")->body, "y");
  cr_assert_eq(test.executor->starts().Count("job/0"), 2);
  cr_assert_eq(test.executor->starts().tasks_started_twice(), 1);
  cr_assert_eq(test.Send("GET", "/v1/starts", "")->body, "job/0 2\njob/1 1\n");
}

Test(standin_executor, reads_run_time_from_payload) {
  using filbertwick::standin::RunTimeOfPayload;
  cr_assert(RunTimeOfPayload("{\"a\":1,\"run_ms\": 25}") ==
            std::chrono::milliseconds(25));
  cr_assert(RunTimeOfPayload("{\"run_ms\":").count() == 0);
  cr_assert(RunTimeOfPayload("").count() == 0);
}

Test(standin_executor, failing_executor_fails_every_task) {
  TestExecutor test;
  test.executor->SetFailing(true);
  cr_assert_eq(test.RunTask("job/0", "")->status, 500);
  cr_assert_eq(test.executor->starts().Count("job/0"), 1);
}

Test(standin_executor, hanging_tasks_hold_slots_until_stopped) {
  ExecutorSettings settings;
  settings.slots = 1;
  TestExecutor test(settings);
  test.executor->SetHanging(true);
  auto hanging =
      std::async(std::launch::async, [&] { return test.RunTask("job/0", ""); });
  while (test.executor->running() == 0) {
    std::this_thread::yield();
  }
  const auto refused = test.RunTask("job/1", "");
  cr_assert_eq(refused->status, 503);
  cr_assert_eq(refused->FindHeader("X-Not-Run"), "1");
  cr_assert_eq(test.executor->starts().Count("job/1"), 0);
  cr_assert_eq(test.Send("DELETE", "/v1/tasks/job/0?attempt=1", "")->status,
               204);
  cr_assert_eq(hanging.get()->status, 500);
}

Test(standin_executor, killed_executor_drops_its_connections) {
  TestExecutor test;
  test.executor->SetHanging(true);
  auto hanging =
      std::async(std::launch::async, [&] { return test.RunTask("job/0", ""); });
  while (test.executor->running() == 0) {
    std::this_thread::yield();
  }
  test.executor->SimulateCrash();
  cr_assert(absl::IsUnavailable(hanging.get().status()));
  cr_assert(absl::IsUnavailable(test.RunTask("job/1", "").status()));
}

Test(standin_executor, announces_itself_and_its_leaving) {
  std::promise<std::string> first_announcement;
  std::promise<std::string> leaving_announcement;
  std::unique_ptr<filbertwick::http::Server> sidecar;
  LoopThread loop;
  int announcements = 0;
  loop.Run([&] {
    sidecar = *filbertwick::http::Server::Create(
        loop.context(), {},
        [&](const Request& request, const Responder& respond) {
          (announcements == 0 ? first_announcement : leaving_announcement)
              .set_value(request.target + " " + request.body);
          ++announcements;
          respond({204, {}, ""});
        });
  });
  ExecutorSettings settings;
  settings.sidecar_port = sidecar->port();
  settings.announce_interval = std::chrono::hours(1);
  TestExecutor test(settings);
  const std::string address = "\"host\":\"127.0.0.1\",\"port\":" +
                              std::to_string(test.executor->port());
  cr_assert_eq(first_announcement.get_future().get(),
               "/v1/upstream {\"slots\":8," + address + ",\"leaving\":false}");
  test.executor->SetLeaving(true);
  cr_assert_eq(leaving_announcement.get_future().get(),
               "/v1/upstream {\"slots\":8," + address + ",\"leaving\":true}");
  loop.Stop();
  sidecar.reset();
}

}  // namespace
