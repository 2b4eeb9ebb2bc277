#include "filbertwick/platform/process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <memory>
#include <optional>
#include <utility>

#include "filbertwick/base/allocator.h"
#include "filbertwick/base/counters.h"
#include "filbertwick/base/event_log.h"
#include "filbertwick/base/file.h"
#include "filbertwick/platform/node.h"
#include "filbertwick/platform/platform_settings.h"

namespace filbertwick::platform {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr int kOk = 0;
constexpr int kCannotStart = 1;
constexpr int kInvalidSettings = 2;
/// Interval at which the settings file is read, because it may change without a
/// signal.
constexpr Duration kSettingsPollInterval = std::chrono::seconds(2);

/// Runs one node, handles signals and watches the settings file.
class PlatformProcess {
 public:
  PlatformProcess(std::string path, std::string text, PlatformSettings settings)
      : settings_path_(std::move(path)),
        settings_text_(std::move(text)),
        settings_(std::move(settings)),
        log_(settings_.name.value(), StandardOutputSink()),
        signals_(context_, SIGTERM, SIGINT, SIGHUP),
        settings_timer_(context_) {}

  int Run() {
    const auto incarnation = static_cast<uint64_t>(WallTime::Now().unix_millis);
    Log(LogLine("started")
            .Add("role", settings_.is_entry ? "entry" : "sidecar")
            .Add("zone", settings_.zone.value())
            .Add("incarnation", static_cast<int64_t>(incarnation)));
    NodeContext context = {context_, counters_,
                           [this](const LogLine& line) { Log(line); },
                           [this] { context_.stop(); }};
    auto node = settings_.is_entry
                    ? CreateEntryNode(settings_, incarnation, context)
                    : CreateSidecarNode(settings_, incarnation, context);
    if (!node.ok()) {
      Log(LogLine("cannot_start").AddCause(node.status()));
      return kCannotStart;
    }
    node_ = *std::move(node);
    AwaitSignal();
    WatchSettings();
    context_.run();
    Log(LogLine("stopped"));
    return kOk;
  }

 private:
  void Log(const LogLine& line) {
    log_.Write(line, MonotonicClock::now(), WallTime::Now());
  }

  void AwaitSignal() {
    signals_.async_wait([this](error_code ec, int number) {
      if (ec) {
        return;
      }
      if (number == SIGHUP) {
        Reload();
      } else {
        Log(LogLine("stopping").Add("signal", static_cast<int64_t>(number)));
        node_->Stop();
      }
      AwaitSignal();
    });
  }

  void WatchSettings() {
    settings_timer_.expires_after(kSettingsPollInterval);
    settings_timer_.async_wait([this](error_code ec) {
      if (!ec) {
        Reload();
        WatchSettings();
      }
    });
  }

  void Reload() {
    auto text = ReadFile(settings_path_);
    if (!text.ok()) {
      Log(LogLine("settings_unreadable").AddCause(text.status()));
      return;
    }
    if (*text == settings_text_) {
      return;
    }
    settings_text_ = *std::move(text);
    const auto settings = ParsePlatformSettings(settings_text_);
    if (!settings.ok()) {
      Log(LogLine("settings_wrong").AddCause(settings.status()));
      return;
    }
    node_->Reload(*settings);
    Log(LogLine("settings_reloaded"));
  }

  const std::string settings_path_;
  std::string settings_text_;
  const PlatformSettings settings_;
  EventLog log_;
  Counters counters_;
  asio::io_context context_{1};
  asio::signal_set signals_;
  asio::steady_timer settings_timer_;
  std::unique_ptr<Node> node_;
};

/// Parsed settings and the text that they come from.
struct LoadedSettings {
  std::string text;
  PlatformSettings settings;
};

/// Reads and parses the settings file; logs a failure and returns nullopt.
std::optional<LoadedSettings> LoadSettings(const std::string& path) {
  auto text = ReadFile(path);
  auto settings = text.ok() ? ParsePlatformSettings(*text) : text.status();
  if (!settings.ok()) {
    EventLog("unnamed", StandardOutputSink())
        .Write(LogLine("settings_wrong")
                   .Add("file", path)
                   .AddCause(settings.status()),
               MonotonicClock::now(), WallTime::Now());
    return std::nullopt;
  }
  return LoadedSettings{*std::move(text), *std::move(settings)};
}

}  // namespace

int RunProcess(const std::string& settings_path) {
  ReturnLargeBlocksWhenFreed();
  auto loaded = LoadSettings(settings_path);
  return loaded ? PlatformProcess(settings_path, std::move(loaded->text),
                                  std::move(loaded->settings))
                      .Run()
                : kInvalidSettings;
}

int CheckSettings(const std::string& settings_path) {
  return LoadSettings(settings_path) ? kOk : kInvalidSettings;
}

}  // namespace filbertwick::platform
