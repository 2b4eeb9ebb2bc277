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

/// Run time of a task with this payload.
using RunTime = std::function<Duration(std::string_view payload)>;

/// The value of `"run_ms":N` in a payload; no time when there is none.
Duration RunTimeOfPayload(std::string_view payload);

/// What a stand-in executor is and where its sidecar is.
struct ExecutorSettings {
  std::string host = "127.0.0.1";
  /// 0 lets the system choose.
  uint16_t port = 0;
  /// Tasks at a time; more are answered "not run".
  uint32_t slots = 8;
  std::string sidecar_host = "127.0.0.1";
  /// HTTP port of the sidecar; 0 announces nothing.
  uint16_t sidecar_port = 0;
  Duration announce_interval = std::chrono::seconds(1);
  RunTime run_time = RunTimeOfPayload;
  /// Starts are counted here; an own object is made when null.
  std::shared_ptr<StartCounts> starts;
};

/// Takes the place of an upstream in tests and the demo; no production server.
/// A task's result is its payload. Takes
/// `POST /v1/tasks/{job}/{index}?attempt=A`, `DELETE` of the same path,
/// `GET /v1/starts` with one line a task, and
/// `PUT /v1/switches?failing=1&hanging=0&leaving=0`. The switches may be set
/// on any thread.
class Executor {
 public:
  /// Listens and announces itself, or fails with Unavailable.
  static absl::StatusOr<std::unique_ptr<Executor>> Create(
      boost::asio::io_context& context,
      ExecutorSettings settings);
  ~Executor();

  /// The port listened on.
  uint16_t port() const;
  /// Starts counted so far.
  const StartCounts& starts() const;
  /// Tasks that run now.
  uint32_t running() const;

  /// Every task fails as soon as it ran.
  void SetFailing(bool failing);
  /// Tasks that start from now on never end, unless they are stopped.
  void SetHanging(bool hanging);
  /// Announces that it is leaving; still runs what it gets.
  void SetLeaving(bool leaving);
  /// Ends like a killed process: connections drop, nothing is announced.
  void SimulateCrash();

 private:
  class Impl;
  explicit Executor(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::standin

#endif  // FILBERTWICK_STANDIN_EXECUTOR_H_
