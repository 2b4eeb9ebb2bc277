#ifndef FILBERTWICK_STANDIN_EXECUTOR_H_
#define FILBERTWICK_STANDIN_EXECUTOR_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "filbertwick/base/time.h"
#include "filbertwick/standin/start_counts.h"

namespace filbertwick::standin {

/// Returns how long a task with the given payload runs.
using RunTime = std::function<Duration(std::string_view payload)>;

/// Reads the run time in milliseconds from `"run_ms":N` in a payload. Returns
/// zero if the field is absent or has no number.
Duration RunTimeOfPayload(std::string_view payload);

/// Configuration of a stand-in executor and the address of its sidecar.
struct ExecutorSettings {
  std::string host = "127.0.0.1";
  /// TCP port to listen on; 0 picks a free port.
  uint16_t port = 0;
  /// Maximum number of concurrent tasks. A task beyond that is answered with
  /// status 503 and the header `X-Not-Run: 1` and does not start.
  uint32_t slots = 8;
  std::string sidecar_host = "127.0.0.1";
  /// HTTP port of the sidecar; 0 disables announcements.
  uint16_t sidecar_port = 0;
  Duration announce_interval = std::chrono::seconds(1);
  RunTime run_time = RunTimeOfPayload;
  /// Counter for task starts, which executors may share. If null, the executor
  /// creates its own.
  std::shared_ptr<StartCounts> starts;
};

/// Stand-in for an upstream in tests, benchmarks and the demo; not for
/// production. It runs each task for a configured time and returns the task's
/// payload as its result. Its HTTP interface:
///   POST   /v1/tasks/{job}/{index}?attempt=A   runs a task
///   DELETE /v1/tasks/{job}/{index}?attempt=A   stops a running task
///   GET    /v1/starts                          StartCounts::Format()
///   PUT    /v1/switches?failing=1&hanging=0&leaving=0
/// The executor announces its address, its slots and whether it is leaving to
/// the sidecar once per `announce_interval`. The switches may be set from any
/// thread.
class Executor {
 public:
  /// Starts to listen and to announce the executor to its sidecar. Returns
  /// Unavailable if the port cannot be opened.
  static absl::StatusOr<std::unique_ptr<Executor>> Create(
      boost::asio::io_context& context,
      ExecutorSettings settings);
  ~Executor();

  /// TCP port that the server listens on.
  uint16_t port() const;
  /// Number of starts of each task so far.
  const StartCounts& starts() const;
  /// Number of tasks that are running now.
  uint32_t running() const;

  /// While set, every task fails with status 500 when its run time has elapsed.
  void SetFailing(bool failing);
  /// While set, a task that starts never finishes by itself; it holds its slot
  /// until a DELETE stops it.
  void SetHanging(bool hanging);
  /// Announces at once whether the executor is leaving. It still runs the tasks
  /// that it receives.
  void SetLeaving(bool leaving);
  /// Acts like a killed process: drops all connections and running tasks and
  /// sends no further announcement.
  void SimulateCrash();

 private:
  class Impl;
  explicit Executor(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::standin

#endif  // FILBERTWICK_STANDIN_EXECUTOR_H_
