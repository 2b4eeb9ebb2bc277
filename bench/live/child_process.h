#ifndef FILBERTWICK_BENCH_LIVE_CHILD_PROCESS_H_
#define FILBERTWICK_BENCH_LIVE_CHILD_PROCESS_H_

#include <absl/status/statusor.h>
#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace filbertwick::bench {

/// What a process has used so far.
struct Usage {
  /// Processor time, user and system, in seconds.
  double cpu_seconds = 0;
  /// Resident memory, in bytes.
  uint64_t memory_bytes = 0;
};

/// A process started by the measurement; it is ended with this object.
class ChildProcess {
 public:
  /// Starts a program; its standard error goes to the file `log`.
  static absl::StatusOr<std::unique_ptr<ChildProcess>> Start(
      const std::vector<std::string>& command,
      const std::string& log);
  /// Starts a program whose standard output and error are appended to `log`.
  static absl::StatusOr<std::unique_ptr<ChildProcess>> StartLogged(
      const std::vector<std::string>& command,
      const std::string& log);
  /// Sends SIGTERM, then SIGKILL when the process does not end in time.
  ~ChildProcess();

  /// The first line of standard output, without its end.
  std::string ReadLine() const;
  /// Usage from /proc; zeros when the process has ended.
  Usage ReadUsage() const;
  /// Sends a signal; nothing when the process has ended.
  void Signal(int signal);
  /// Ends the process with SIGKILL and waits for its end.
  void Kill();
  /// The status that waitpid(2) gave, once the process has ended.
  std::optional<int> Poll();

 private:
  ChildProcess(pid_t pid, int output) : pid_(pid), output_(output) {}

  const pid_t pid_;
  /// Read end of the child's standard output.
  const int output_;
  /// Set once the process was reaped; its id may belong to another then.
  std::optional<int> end_status_;
};

}  // namespace filbertwick::bench

#endif  // FILBERTWICK_BENCH_LIVE_CHILD_PROCESS_H_
