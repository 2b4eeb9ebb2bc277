#include "soak/instance.h"

#include <fmt/format.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <string_view>
#include <system_error>
#include <utility>

namespace filbertwick::soak {
namespace {

/// Time from SIGTERM to SIGKILL, the same as on the platform.
constexpr Duration kGrace = std::chrono::seconds(6);

/// setpriv sets the parent-death signal, so that the processes are killed when
/// the soak ends, even by a crash.
constexpr std::string_view kSetpriv = "/usr/bin/setpriv";
constexpr std::string_view kEnv = "/usr/bin/env";

/// Size in bytes; 0 for a file that doesn't exist yet.
uintmax_t SizeOf(const std::string& file) {
  std::error_code ec;
  const uintmax_t size = std::filesystem::file_size(file, ec);
  return ec ? 0 : size;
}

std::string Describe(int status) {
  return WIFSIGNALED(status) ? fmt::format("signal {}", WTERMSIG(status))
                             : fmt::format("status {}", WEXITSTATUS(status));
}

}  // namespace

Instance::Instance(std::string name,
                   std::string program,
                   std::string settings_file,
                   std::string log,
                   Observer& observer)
    : name_(std::move(name)),
      program_(std::move(program)),
      settings_file_(std::move(settings_file)),
      log_(std::move(log)),
      observer_(observer) {}

Instance::~Instance() {
  Kill();
}

void Instance::Start() {
  if (process_) {
    start_after_stop_ = stop_requested_at_.has_value();
    return;
  }
  const uintmax_t log_size = SizeOf(log_);
  auto process = bench::ChildProcess::StartLogged(
      {std::string(kSetpriv), "--pdeathsig", "KILL", std::string(kEnv),
       "FILBERTWICK_SETTINGS=" + settings_file_, program_},
      log_);
  if (!process.ok()) {
    observer_.Report("start", std::string(process.status().message()));
    return;
  }
  process_ = *std::move(process);
  log_size_at_start_ = log_size;
  stop_requested_at_.reset();
  start_after_stop_ = false;
  paused_ = false;
  was_paused_ = false;
}

void Instance::Kill() {
  if (process_) {
    CheckExit();
  }
  if (process_) {
    process_->Kill();
    process_.reset();
  }
}

void Instance::Stop() {
  if (process_ && !stop_requested_at_) {
    stop_requested_at_ = MonotonicClock::now();
    was_paused_ = paused_;
    process_->Signal(SIGTERM);
  }
}

void Instance::Pause() {
  if (process_) {
    paused_ = true;
    was_paused_ = true;
    process_->Signal(SIGSTOP);
  }
}

void Instance::Resume() {
  if (process_ && std::exchange(paused_, false)) {
    process_->Signal(SIGCONT);
  }
}

void Instance::Reload() {
  if (process_) {
    process_->Signal(SIGHUP);
  }
}

void Instance::CheckExit() {
  if (!process_) {
    return;
  }
  const std::optional<int> end = process_->Poll();
  if (!end) {
    if (stop_requested_at_ && !was_paused_ &&
        MonotonicClock::now() - *stop_requested_at_ > kGrace) {
      observer_.Report(
          "grace", fmt::format("{} still runs after its grace period", name_));
      process_->Kill();
      process_.reset();
    }
    return;
  }
  // SIGTERM that arrives before the program has started up ends the process by
  // the signal; that isn't reported.
  const bool never_started = stop_requested_at_ && WIFSIGNALED(*end) &&
                             WTERMSIG(*end) == SIGTERM &&
                             SizeOf(log_) == log_size_at_start_;
  if (!never_started && (!stop_requested_at_ || *end != 0)) {
    observer_.Report("exit", fmt::format("{} exited unexpectedly with {}",
                                         name_, Describe(*end)));
  }
  process_.reset();
  stop_requested_at_.reset();
  if (std::exchange(start_after_stop_, false)) {
    Start();
  }
}

}  // namespace filbertwick::soak
