#include "bench/live/child_process.h"

#include <absl/status/status.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

namespace filbertwick::bench {
namespace {

/// Value of `output_` for a process whose output goes to a file.
constexpr int kNoOutput = -1;
constexpr int kExitChecks = 100;
constexpr std::chrono::milliseconds kExitCheckInterval(20);
/// Number of fields in /proc/PID/stat between the name and utime.
constexpr int kFieldsBeforeCpu = 11;

/// Starts a program and destroys `actions`.
absl::StatusOr<pid_t> Spawn(const std::vector<std::string>& command,
                            posix_spawn_file_actions_t& actions) {
  std::vector<char*> arguments;
  std::ranges::transform(
      command, std::back_inserter(arguments),
      [](const std::string& it) { return const_cast<char*>(it.c_str()); });
  arguments.push_back(nullptr);
  pid_t pid = 0;
  const int error = posix_spawn(&pid, command[0].c_str(), &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    return absl::UnavailableError(fmt::format("can't start {}", command[0]));
  }
  return pid;
}

}  // namespace

absl::StatusOr<std::unique_ptr<ChildProcess>> ChildProcess::Start(
    const std::vector<std::string>& command,
    const std::string& log) {
  std::array<int, 2> ends = {-1, -1};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) {
    return absl::UnavailableError("can't create a pipe");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  const auto pid = Spawn(command, actions);
  close(ends[1]);
  if (!pid.ok()) {
    close(ends[0]);
    return pid.status();
  }
  return std::unique_ptr<ChildProcess>(new ChildProcess(*pid, ends[0]));
}

absl::StatusOr<std::unique_ptr<ChildProcess>> ChildProcess::StartLogged(
    const std::vector<std::string>& command,
    const std::string& log) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const auto pid = Spawn(command, actions);
  if (!pid.ok()) {
    return pid.status();
  }
  return std::unique_ptr<ChildProcess>(new ChildProcess(*pid, kNoOutput));
}

ChildProcess::~ChildProcess() {
  Signal(SIGTERM);
  for (int i = 0; i < kExitChecks && !Poll(); ++i) {
    std::this_thread::sleep_for(kExitCheckInterval);
  }
  Kill();
  if (output_ != kNoOutput) {
    close(output_);
  }
}

void ChildProcess::Signal(int signal) {
  if (!Poll()) {
    kill(pid_, signal);
  }
}

void ChildProcess::Kill() {
  int status = 0;
  if (!Poll() && kill(pid_, SIGKILL) == 0 &&
      waitpid(pid_, &status, 0) == pid_) {
    end_status_ = status;
  }
}

std::optional<int> ChildProcess::Poll() {
  int status = 0;
  if (!end_status_ && waitpid(pid_, &status, WNOHANG) == pid_) {
    end_status_ = status;
  }
  return end_status_;
}

std::string ChildProcess::ReadLine() const {
  std::string line;
  char c = 0;
  while (read(output_, &c, 1) == 1 && c != '\n') {
    line += c;
  }
  return line;
}

Usage ChildProcess::ReadUsage() const {
  std::ifstream stat(fmt::format("/proc/{}/stat", pid_));
  std::string text;
  std::getline(stat, text);
  const size_t name_end = text.rfind(')');
  if (name_end == text.npos) {
    return {};
  }
  std::istringstream fields(text.substr(name_end + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeCpu; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  std::ifstream statm(fmt::format("/proc/{}/statm", pid_));
  uint64_t total = 0;
  uint64_t resident = 0;
  statm >> total >> resident;
  return {(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)),
          resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE))};
}

}  // namespace filbertwick::bench
