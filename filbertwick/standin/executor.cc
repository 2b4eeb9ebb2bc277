#include "filbertwick/standin/executor.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <map>
#include <optional>
#include <utility>

#include "filbertwick/http/client.h"
#include "filbertwick/http/server.h"
#include "filbertwick/http/target.h"

namespace filbertwick::standin {
namespace {

namespace asio = boost::asio;
using http::Request;
using http::Responder;
using http::Response;
using http::Target;

constexpr Duration kAnnounceTimeout = std::chrono::seconds(2);
constexpr std::string_view kRunTimeField = "\"run_ms\":";

Response MakeNotRunResponse(std::string_view why) {
  return {503, {{"X-Not-Run", "1"}}, std::string(why)};
}

/// Returns `job/index` from the path of a task, or an empty string for any
/// other path.
std::string ParseTaskKey(const Target& target) {
  const auto& segments = target.segments();
  if (segments.size() != 4 || segments[0] != "v1" || segments[1] != "tasks") {
    return {};
  }
  return fmt::format("{}/{}", segments[2], segments[3]);
}

/// A task that holds a slot.
struct RunningTask {
  std::string key;
  std::string payload;
  Responder respond;
  /// Fires when the run time has elapsed. Empty if the task hangs or has no run
  /// time.
  std::optional<asio::steady_timer> timer;
};

}  // namespace

Duration RunTimeOfPayload(std::string_view payload) {
  const size_t field = payload.find(kRunTimeField);
  if (field == payload.npos) {
    return Duration(0);
  }
  payload.remove_prefix(field + kRunTimeField.size());
  payload.remove_prefix(
      std::min(payload.find_first_not_of(' '), payload.size()));
  const size_t end = payload.find_first_not_of("0123456789");
  const auto millis = http::ParseNumber(payload.substr(0, end));
  return std::chrono::milliseconds(millis.value_or(0));
}

class Executor::Impl : public std::enable_shared_from_this<Executor::Impl> {
 public:
  Impl(asio::io_context& context, ExecutorSettings settings)
      : context_(context),
        settings_(std::move(settings)),
        starts_(settings_.starts ? settings_.starts
                                 : std::make_shared<StartCounts>()),
        announce_timer_(context) {}

  absl::Status Listen();
  /// Runs `work` on the thread of the I/O context. Does nothing if the executor
  /// has been destroyed by then.
  void Post(std::function<void(Impl&)> work);
  /// Sends an announcement to the sidecar and schedules the next one.
  void Announce();
  /// Posts Shutdown() to the I/O context. If the context has stopped, and thus
  /// would never run it, calls Shutdown() directly.
  void SimulateCrash();

  uint16_t port() const { return port_; }
  const StartCounts& starts() const { return *starts_; }

  std::atomic<uint32_t> running = 0;
  std::atomic<bool> failing = false;
  std::atomic<bool> hanging = false;
  std::atomic<bool> leaving = false;

 private:
  void Handle(Request request, Responder respond);
  void SetSwitches(const Target& target);
  void StartTask(std::string key, std::string payload, Responder respond);
  void StopTask(const std::string& key, const Responder& respond);
  void OnRunTimeElapsed(uint64_t task_id);
  void FinishTask(std::map<uint64_t, RunningTask>::iterator it,
                  Response response);
  void Shutdown();

  asio::io_context& context_;
  const ExecutorSettings settings_;
  const std::shared_ptr<StartCounts> starts_;
  asio::steady_timer announce_timer_;
  std::unique_ptr<http::Server> server_;
  std::unique_ptr<http::Client> sidecar_;
  std::map<uint64_t, RunningTask> tasks_;
  uint64_t last_task_id_ = 0;
  uint16_t port_ = 0;
};

absl::Status Executor::Impl::Listen() {
  http::ServerSettings settings;
  settings.host = settings_.host;
  settings.port = settings_.port;
  auto server = http::Server::Create(
      context_, settings,
      [weak = weak_from_this()](Request request, Responder respond) {
        if (const auto self = weak.lock()) {
          self->Handle(std::move(request), std::move(respond));
        }
      });
  if (!server.ok()) {
    return server.status();
  }
  server_ = *std::move(server);
  port_ = server_->port();
  http::ClientSettings sidecar;
  sidecar.host = settings_.sidecar_host;
  sidecar.port = settings_.sidecar_port;
  sidecar.max_connections = 1;
  sidecar_ = http::Client::Create(context_, sidecar);
  return absl::OkStatus();
}

void Executor::Impl::Post(std::function<void(Impl&)> work) {
  asio::post(context_, [weak = weak_from_this(), work = std::move(work)] {
    if (const auto self = weak.lock()) {
      work(*self);
    }
  });
}

void Executor::Impl::Announce() {
  if (!sidecar_ || settings_.sidecar_port == 0) {
    return;
  }
  Request request;
  request.method = "POST";
  request.target = "/v1/upstream";
  request.headers = {{"Content-Type", "application/json"}};
  request.body =
      fmt::format(R"({{"slots":{},"host":"{}","port":{},"leaving":{}}})",
                  settings_.slots, settings_.host, port_, leaving.load());
  sidecar_->Call(std::move(request), kAnnounceTimeout,
                 [](const http::CallResult&) {});
  announce_timer_.expires_after(settings_.announce_interval);
  announce_timer_.async_wait([weak = weak_from_this()](const auto& ec) {
    const auto self = weak.lock();
    if (!ec && self) {
      self->Announce();
    }
  });
}

void Executor::Impl::Handle(Request request, Responder respond) {
  const Target target = Target::Parse(request.target);
  std::string key = ParseTaskKey(target);
  if (!key.empty() && request.method == "POST") {
    StartTask(std::move(key), std::move(request.body), std::move(respond));
  } else if (!key.empty() && request.method == "DELETE") {
    StopTask(key, respond);
  } else if (request.target == "/v1/starts") {
    respond({200, {}, starts_->Format()});
  } else if (request.target.starts_with("/v1/switches?")) {
    SetSwitches(target);
    respond({204, {}, ""});
  } else {
    respond({404, {{"X-Not-Run", "1"}}, ""});
  }
}

void Executor::Impl::SetSwitches(const Target& target) {
  if (const auto on = target.FindNumber("failing")) {
    failing = *on != 0;
  }
  if (const auto on = target.FindNumber("hanging")) {
    hanging = *on != 0;
  }
  if (const auto on = target.FindNumber("leaving")) {
    leaving = *on != 0;
    Announce();
  }
}

void Executor::Impl::StartTask(std::string key,
                               std::string payload,
                               Responder respond) {
  if (tasks_.size() >= settings_.slots) {
    respond(MakeNotRunResponse("all slots are taken"));
    return;
  }
  starts_->Add(key);
  const Duration run_time = settings_.run_time(payload);
  const uint64_t id = ++last_task_id_;
  const auto it =
      tasks_
          .emplace(id, RunningTask{std::move(key), std::move(payload),
                                   std::move(respond), std::nullopt})
          .first;
  running = static_cast<uint32_t>(tasks_.size());
  if (hanging) {
    return;
  }
  if (run_time == Duration(0)) {
    OnRunTimeElapsed(id);
    return;
  }
  it->second.timer.emplace(context_, run_time);
  it->second.timer->async_wait([weak = weak_from_this(), id](const auto& ec) {
    const auto self = weak.lock();
    if (!ec && self) {
      self->OnRunTimeElapsed(id);
    }
  });
}

void Executor::Impl::OnRunTimeElapsed(uint64_t task_id) {
  const auto it = tasks_.find(task_id);
  if (it == tasks_.end()) {
    return;
  }
  if (failing) {
    FinishTask(it, {500, {}, "the task failed"});
  } else {
    FinishTask(it, {200, {}, std::move(it->second.payload)});
  }
}

void Executor::Impl::StopTask(const std::string& key,
                              const Responder& respond) {
  const auto it = std::ranges::find_if(
      tasks_, [&](const auto& item) { return item.second.key == key; });
  if (it == tasks_.end()) {
    respond({404, {}, ""});
    return;
  }
  FinishTask(it, {500, {}, "the task was stopped"});
  respond({204, {}, ""});
}

void Executor::Impl::FinishTask(std::map<uint64_t, RunningTask>::iterator it,
                                Response response) {
  const Responder respond = std::move(it->second.respond);
  tasks_.erase(it);
  running = static_cast<uint32_t>(tasks_.size());
  respond(std::move(response));
}

void Executor::Impl::Shutdown() {
  announce_timer_.cancel();
  server_.reset();
  sidecar_.reset();
  tasks_.clear();
  running = 0;
}

void Executor::Impl::SimulateCrash() {
  if (context_.stopped()) {
    Shutdown();
    return;
  }
  asio::post(context_, [self = shared_from_this()] { self->Shutdown(); });
}

Executor::Executor(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

Executor::~Executor() {
  try {
    SimulateCrash();
  } catch (const std::exception&) {
    // Posting failed for lack of memory. Handlers that are still pending
    // release their state when the I/O context is destroyed.
  }
}

absl::StatusOr<std::unique_ptr<Executor>> Executor::Create(
    asio::io_context& context,
    ExecutorSettings settings) {
  auto impl = std::make_shared<Impl>(context, std::move(settings));
  if (absl::Status status = impl->Listen(); !status.ok()) {
    return status;
  }
  impl->Post([](Impl& it) { it.Announce(); });
  return std::unique_ptr<Executor>(new Executor(std::move(impl)));
}

uint16_t Executor::port() const {
  return impl_->port();
}

const StartCounts& Executor::starts() const {
  return impl_->starts();
}

uint32_t Executor::running() const {
  return impl_->running;
}

void Executor::SetFailing(bool failing) {
  impl_->failing = failing;
}

void Executor::SetHanging(bool hanging) {
  impl_->hanging = hanging;
}

void Executor::SetLeaving(bool leaving) {
  impl_->leaving = leaving;
  impl_->Post([](Impl& it) { it.Announce(); });
}

void Executor::SimulateCrash() {
  impl_->SimulateCrash();
}

}  // namespace filbertwick::standin
