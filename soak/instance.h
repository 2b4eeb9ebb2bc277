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

/// One instance of the real program, process after process, steered by signals
/// as a platform does.
class Instance {
 public:
  /// The settings file is written already; output goes to `log`.
  Instance(std::string name,
           std::string program,
           std::string settings_file,
           std::string log,
           Observer& observer);
  ~Instance();

  /// Starts a process, or sees to it that one follows a planned stop; nothing
  /// while one runs. A program that can't be started is reported.
  void Start();
  void Kill();
  /// Asks the process to stop; it has to within the grace.
  void Stop();
  void Pause();
  void Resume();
  void Reload();
  /// Looks whether the process has ended, and judges how.
  void CheckExit();

 private:
  const std::string name_;
  const std::string program_;
  const std::string settings_file_;
  const std::string log_;
  Observer& observer_;
  std::unique_ptr<bench::ChildProcess> process_;
  std::optional<Instant> stop_requested_at_;
  /// A process that has written nothing since never began.
  uintmax_t log_size_at_start_ = 0;
  bool start_after_stop_ = false;
  bool paused_ = false;
  /// Time spent frozen does not count against the grace.
  bool was_paused_ = false;
};

}  // namespace filbertwick::soak

#endif  // FILBERTWICK_SOAK_INSTANCE_H_
