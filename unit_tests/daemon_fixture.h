#ifndef FILBERTWICK_UNIT_TESTS_DAEMON_FIXTURE_H_
#define FILBERTWICK_UNIT_TESTS_DAEMON_FIXTURE_H_

#include <criterion/criterion.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <memory>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "filbertwick/standin/executor.h"
#include "filbertwick/standin/log_service.h"
#include "filbertwick/standin/start_counts.h"

namespace filbertwick::daemon {

/// Stand-ins for the systems around the daemons of a test, on a thread of its
/// own: a log service, and executors whose tasks take `run_time`.
class StandinPlatform {
 public:
  explicit StandinPlatform(Duration run_time)
      : run_time_(run_time),
        work_(boost::asio::make_work_guard(context_)),
        thread_([this] { context_.run(); }) {
    RunOnThread([this] {
      auto log = standin::LogService::Create(context_, {});
      cr_assert(log.ok());
      log_ = *std::move(log);
    });
  }
  ~StandinPlatform() {
    context_.stop();
    thread_.join();
  }
  StandinPlatform(const StandinPlatform&) = delete;
  StandinPlatform& operator=(const StandinPlatform&) = delete;

  standin::LogService& log() { return *log_; }
  const standin::StartCounts& starts() const { return *starts_; }

  /// Starts an executor that announces itself to the sidecar at `sidecar_port`.
  void AddExecutor(uint16_t sidecar_port) {
    standin::ExecutorSettings settings;
    settings.sidecar_port = sidecar_port;
    settings.run_time = [run_time = run_time_](std::string_view) {
      return run_time;
    };
    settings.starts = starts_;
    RunOnThread([&] {
      auto executor = standin::Executor::Create(context_, settings);
      cr_assert(executor.ok());
      executors_.push_back(*std::move(executor));
    });
  }

 private:
  template <typename Task>
  void RunOnThread(Task task) {
    boost::asio::post(context_, boost::asio::use_future(task)).get();
  }

  const Duration run_time_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::shared_ptr<standin::StartCounts> starts_ =
      std::make_shared<standin::StartCounts>();
  std::unique_ptr<standin::LogService> log_;
  std::vector<std::unique_ptr<standin::Executor>> executors_;
  std::thread thread_;
};

}  // namespace filbertwick::daemon

#endif  // FILBERTWICK_UNIT_TESTS_DAEMON_FIXTURE_H_
