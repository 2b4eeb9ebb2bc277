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

/// Resource usage of a process so far.
struct Usage {
  /// Processor time, user and system, in seconds.
  double cpu_seconds = 0;
  /// Resident memory, in bytes.
  uint64_t memory_bytes = 0;
};

/// A child process of the benchmark. The destructor ends it.
class ChildProcess {
 public:
  /// Starts a program with its standard output on a pipe and its standard error
  /// appended to the file `log`.
  static absl::StatusOr<std::unique_ptr<ChildProcess>> Start(
      const std::vector<std::string>& command,
      const std::string& log);
  /// Starts a program whose standard output and error are appended to `log`.
  static absl::StatusOr<std::unique_ptr<ChildProcess>> StartLogged(
      const std::vector<std::string>& command,
      const std::string& log);
  /// Sends SIGTERM, then SIGKILL if the process does not end in time.
  ~ChildProcess();

  pid_t pid() const { return pid_; }
  /// Reads a line from standard output and returns it without its line end.
  std::string ReadLine() const;
  /// Reads the usage from /proc; all zero if the process has ended.
  Usage ReadUsage() const;
  /// Sends a signal; does nothing if the process has ended.
  void Signal(int signal);
  /// Sends SIGKILL and waits until the process has ended.
  void Kill();
  /// Returns the status from waitpid(2) if the process has ended.
  std::optional<int> Poll();

 private:
  ChildProcess(pid_t pid, int output) : pid_(pid), output_(output) {}

  const pid_t pid_;
  /// Read end of the child's standard output.
  const int output_;
  /// Set once the process has been reaped. Its id may then belong to another
  /// process and must not be signalled.
  std::optional<int> end_status_;
};

}  // namespace filbertwick::bench

#endif  // FILBERTWICK_BENCH_LIVE_CHILD_PROCESS_H_
