#ifndef FILBERTWICK_SOAK_INSTANCE_H_
#define FILBERTWICK_SOAK_INSTANCE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "bench/live/child_process.h"
#include "filbertwick/base/time.h"
#include "soak/observer.h"

namespace filbertwick::soak {

/// One instance of the real program, across restarts of its process. It is
/// controlled with signals, as a platform controls it.
class Instance {
 public:
  /// `settings_file` must exist already. The output of all processes is written
  /// to the file `log`.
  Instance(std::string name,
           std::string program,
           std::string settings_file,
           std::string log,
           Observer& observer);
  ~Instance();

  /// Starts a process. If the present one was asked to stop, a new one starts
  /// after its exit; if it runs on, nothing happens. A program that can't be
  /// started is reported to the observer.
  void Start();
  /// Ends the process with SIGKILL.
  void Kill();
  /// Sends SIGTERM. The process must exit within the grace period.
  void Stop();
  /// Freezes the process with SIGSTOP until Resume().
  void Pause();
  void Resume();
  /// Sends SIGHUP.
  void Reload();
  /// Reports a process that exited without being asked to stop or with a
  /// failure, and one that is still running after the grace period, which is
  /// killed. Starts the next process if Start() was called during a stop.
  void CheckExit();

 private:
  const std::string name_;
  const std::string program_;
  const std::string settings_file_;
  const std::string log_;
  Observer& observer_;
  std::unique_ptr<bench::ChildProcess> process_;
  std::optional<Instant> stop_requested_at_;
  /// Bytes in the log when the process started. A process that hasn't written
  /// anything since counts as not started up.
  uintmax_t log_size_at_start_ = 0;
  bool start_after_stop_ = false;
  bool paused_ = false;
  /// Set if the process was frozen at any time between SIGTERM and its exit.
  /// The grace period is not enforced then, because time spent frozen doesn't
  /// count against it.
  bool was_paused_ = false;
};

}  // namespace filbertwick::soak

#endif  // FILBERTWICK_SOAK_INSTANCE_H_
