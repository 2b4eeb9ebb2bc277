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

constexpr int kEndChecks = 100;
constexpr std::chrono::milliseconds kEndCheckPause(20);
/// Fields of /proc/PID/stat between the name and utime.
constexpr int kFieldsBeforeCpu = 11;

}  // namespace

absl::StatusOr<std::unique_ptr<ChildProcess>> ChildProcess::Start(
    const std::vector<std::string>& command,
    const std::string& log) {
  std::array<int, 2> ends = {-1, -1};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) {
    return absl::UnavailableError("no pipe");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  std::vector<char*> arguments;
  std::ranges::transform(
      command, std::back_inserter(arguments),
      [](const std::string& it) { return const_cast<char*>(it.c_str()); });
  arguments.push_back(nullptr);
  pid_t pid = 0;
  const int error = posix_spawn(&pid, command[0].c_str(), &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(ends[1]);
  if (error != 0) {
    close(ends[0]);
    return absl::UnavailableError(fmt::format("can't start {}", command[0]));
  }
  return std::unique_ptr<ChildProcess>(new ChildProcess(pid, ends[0]));
}

ChildProcess::~ChildProcess() {
  kill(pid_, SIGTERM);
  for (int i = 0; i < kEndChecks; ++i) {
    if (waitpid(pid_, nullptr, WNOHANG) != 0) {
      close(output_);
      return;
    }
    std::this_thread::sleep_for(kEndCheckPause);
  }
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  close(output_);
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
