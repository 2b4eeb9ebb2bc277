#include "filbertwick/daemon/platform_loop.h"

#include <span>
#include <utility>

namespace filbertwick::daemon {

PlatformLoop::PlatformLoop(const platform::LogClientSettings& settings,
                           PushEvent push)
    : push_(std::move(push)), work_(boost::asio::make_work_guard(context_)) {
  platform::LogClientHooks hooks;
  hooks.read = [this](platform::LogBatch batch) {
    push_(
        core::LogReadEvent{batch.first, std::move(batch.records), batch.head});
  };
  hooks.read_failed = [this](const absl::Status&) {
    push_(core::LogReadFailedEvent{});
  };
  hooks.append_failed = [this](std::span<const ChangeId> changes) {
    for (const ChangeId& change : changes) {
      push_(core::AppendFailedEvent{change});
    }
  };
  client_ =
      platform::LogClient::Create(context_, settings, 0, std::move(hooks));
  thread_ = std::thread([this] { context_.run(); });
}

PlatformLoop::~PlatformLoop() {
  work_.reset();
  context_.stop();
  thread_.join();
}

void PlatformLoop::Append(wire::ControlRecord record) {
  client_->Append(std::move(record));
}

}  // namespace filbertwick::daemon
