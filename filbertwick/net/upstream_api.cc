#include "filbertwick/net/upstream_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <optional>
#include <utility>
#include <vector>

#include "filbertwick/http/client.h"
#include "filbertwick/http/json_response.h"
#include "filbertwick/net/announcement.h"
#include "filbertwick/net/json_response.h"
#include "filbertwick/net/percent_encoding.h"

namespace filbertwick::net {
namespace {

using boost::system::error_code;

/// Time limit of a task whose effect has none.
constexpr Duration kDefaultTaskTimeout = std::chrono::seconds(30);
/// Time limit of a request that stops a task.
constexpr Duration kStopTimeout = std::chrono::seconds(5);
/// Maximum number of bytes kept of an upstream's error text.
constexpr size_t kMaxErrorBytes = 1024;
constexpr std::string_view kAnnounceSegments[] = {"v1", "upstream"};
constexpr std::string_view kNotRunHeader = "X-Not-Run";

std::string TaskTarget(const wire::TaskKey& key, uint32_t attempt) {
  return fmt::format("/v1/tasks/{}/{}?attempt={}",
                     PercentEncode(key.job.value()), key.index, attempt);
}

/// Returns the result of a task whose call failed: it may have run if the
/// request was sent.
wire::TaskResult ResultOfFailedCall(const http::CallResult& result) {
  const bool sent = result.progress == http::CallProgress::kSent;
  return {sent ? wire::TaskOutcome::kMayHaveRun : wire::TaskOutcome::kNotRun,
          StatusMessage(result.response.status())};
}

/// Returns the result of a task from the upstream's response.
wire::TaskResult ResultOfResponse(http::Response response) {
  using wire::TaskOutcome;
  if (response.status == 200 && response.body.size() > wire::kMaxTaskBytes) {
    return {TaskOutcome::kRan, fmt::format("the result has more than {} bytes",
                                           wire::kMaxTaskBytes)};
  }
  if (response.status == 200) {
    return {TaskOutcome::kSucceeded, std::move(response.body)};
  }
  const bool refused =
      response.status == 503 && response.FindHeader(kNotRunHeader) == "1";
  return {refused ? TaskOutcome::kNotRun : TaskOutcome::kRan,
          fmt::format("status {}: {}", response.status,
                      response.body.substr(0, kMaxErrorBytes))};
}

}  // namespace

/// Holds the last announcement of the upstream and the calls to it.
class UpstreamApi::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& context,
       const UpstreamApiSettings& settings,
       Counters& counters,
       UpstreamApiHooks hooks)
      : context_(context),
        settings_(settings),
        hooks_(std::move(hooks)),
        status_endpoints_(counters, hooks_.request_view, hooks_.ready),
        announce_timer_(context),
        started_(counters.Get("upstream_tasks_started")),
        ended_(counters.Get("upstream_tasks_ended")),
        may_have_run_(counters.Get("upstream_tasks_may_have_run")),
        silences_(counters.Get("upstream_silences")) {}

  void Handle(const http::Request& request, const http::Responder& respond) {
    const auto target = http::Target::Parse(request.target);
    if (status_endpoints_.Handle(target, request.method, respond)) {
      return;
    }
    if (!std::ranges::equal(target.segments(), kAnnounceSegments)) {
      respond(ErrorResponse(404, "there is no such page"));
    } else if (request.method != "POST") {
      respond(ErrorResponse(405, "only POST is allowed here"));
    } else {
      HandleAnnouncement(request, respond);
    }
  }

  void Start(core::StartExecutionEffect effect) {
    if (!client_) {
      PostExecutionEnded(effect.key, effect.attempt,
                         {wire::TaskOutcome::kNotRun, "there is no upstream"});
      return;
    }
    started_.Add();
    ++running_tasks_;
    ++open_calls_;
    http::Request request;
    request.method = "POST";
    request.target = TaskTarget(effect.key, effect.attempt);
    request.headers = {{"Content-Type", "application/octet-stream"},
                       {"X-Service", effect.service.value()}};
    request.body = std::move(effect.payload);
    const Duration timeout =
        effect.timeout > Duration(0) ? effect.timeout : kDefaultTaskTimeout;
    client_->Call(std::move(request), timeout,
                  [this, client = client_.get(), key = effect.key,
                   attempt = effect.attempt](http::CallResult result) {
                    OnCallEnded(*client, key, attempt, std::move(result));
                  });
  }

  void Stop(const core::StopExecutionEffect& effect) {
    if (client_) {
      SendStop(*client_, effect.key, effect.attempt);
    }
  }

  void Close() {
    announce_timer_.cancel();
    replaced_clients_.clear();
    client_.reset();
  }

  size_t running() const { return running_tasks_; }

 private:
  void HandleAnnouncement(const http::Request& request,
                          const http::Responder& respond) {
    const auto announcement = ParseAnnouncement(request.body);
    if (!announcement.ok()) {
      respond(ErrorResponse(400, StatusMessage(announcement.status())));
      return;
    }
    ApplyAnnouncement(*announcement);
    RestartAnnounceTimer();
    respond(http::JsonResponse(200, R"({"accepted":true})"));
  }

  void ApplyAnnouncement(const Announcement& announcement) {
    if (announcement_ == announcement) {
      return;
    }
    const bool moved = !announcement_ ||
                       announcement_->host != announcement.host ||
                       announcement_->port != announcement.port;
    if (moved) {
      ReplaceClient(announcement);
    }
    announcement_ = announcement;
    hooks_.post(core::UpstreamEvent{announcement.slots, announcement.leaving});
  }

  void ReplaceClient(const Announcement& announcement) {
    http::ClientSettings settings;
    settings.host = announcement.host;
    settings.port = announcement.port;
    settings.max_connections = settings_.max_connections;
    settings.max_body_bytes = 2 * wire::kMaxTaskBytes;
    if (client_) {
      replaced_clients_.push_back(std::move(client_));
    }
    client_ = http::Client::Create(context_, settings);
  }

  void RestartAnnounceTimer() {
    announce_timer_.expires_after(settings_.announce_timeout);
    announce_timer_.async_wait([weak = weak_from_this()](error_code ec) {
      const auto self = weak.lock();
      if (!ec && self) {
        self->OnAnnounceTimeout();
      }
    });
  }

  /// Reports to the core that the upstream has no slots. The client is kept, so
  /// that open calls can still complete.
  void OnAnnounceTimeout() {
    silences_.Add();
    announcement_.reset();
    hooks_.post(core::UpstreamEvent{0, false});
  }

  void OnCallEnded(http::Client& client,
                   const wire::TaskKey& key,
                   uint32_t attempt,
                   http::CallResult result) {
    --running_tasks_;
    ended_.Add();
    const bool timed_out = absl::IsDeadlineExceeded(result.response.status()) &&
                           result.progress == http::CallProgress::kSent;
    wire::TaskResult task_result =
        result.response.ok() ? ResultOfResponse(*std::move(result.response))
                             : ResultOfFailedCall(result);
    if (task_result.outcome == wire::TaskOutcome::kMayHaveRun) {
      may_have_run_.Add();
    }
    if (timed_out) {
      SendStop(client, key, attempt);
    }
    PostExecutionEnded(key, attempt, std::move(task_result));
    ReleaseCall();
  }

  /// Counts a call as closed. Replaced clients are kept until no call is open.
  /// They are destroyed from a posted handler, because this function runs in a
  /// hook of such a client.
  void ReleaseCall() {
    --open_calls_;
    if (replaced_clients_.empty()) {
      return;
    }
    boost::asio::post(context_, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && self->open_calls_ == 0) {
        self->replaced_clients_.clear();
      }
    });
  }

  void SendStop(http::Client& client,
                const wire::TaskKey& key,
                uint32_t attempt) {
    http::Request request;
    request.method = "DELETE";
    request.target = TaskTarget(key, attempt);
    ++open_calls_;
    client.Call(std::move(request), kStopTimeout,
                [this](const http::CallResult&) { ReleaseCall(); });
  }

  void PostExecutionEnded(const wire::TaskKey& key,
                          uint32_t attempt,
                          wire::TaskResult result) {
    hooks_.post(core::ExecutionEndedEvent{key, attempt, std::move(result)});
  }

  boost::asio::io_context& context_;
  const UpstreamApiSettings settings_;
  const UpstreamApiHooks hooks_;
  const StatusEndpoints status_endpoints_;
  boost::asio::steady_timer announce_timer_;
  Counter& started_;
  Counter& ended_;
  Counter& may_have_run_;
  Counter& silences_;
  /// The last announcement; empty after the announce timeout.
  std::optional<Announcement> announcement_;
  /// Client for the current address. Its hooks capture `this`; they are never
  /// called after its destruction in Close().
  std::unique_ptr<http::Client> client_;
  /// Clients for earlier addresses, kept while they may have open calls.
  std::vector<std::unique_ptr<http::Client>> replaced_clients_;
  size_t running_tasks_ = 0;
  size_t open_calls_ = 0;
};

std::unique_ptr<UpstreamApi> UpstreamApi::Create(
    boost::asio::io_context& context,
    const UpstreamApiSettings& settings,
    Counters& counters,
    UpstreamApiHooks hooks) {
  return std::unique_ptr<UpstreamApi>(new UpstreamApi(
      std::make_shared<Impl>(context, settings, counters, std::move(hooks))));
}

UpstreamApi::UpstreamApi(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

UpstreamApi::~UpstreamApi() {
  try {
    impl_->Close();
  } catch (const std::exception&) {
    // The timer is released with the io_context.
  }
}

void UpstreamApi::Handle(const http::Request& request,
                         const http::Responder& respond) {
  impl_->Handle(request, respond);
}

void UpstreamApi::Start(core::StartExecutionEffect effect) {
  impl_->Start(std::move(effect));
}

void UpstreamApi::Stop(const core::StopExecutionEffect& effect) {
  impl_->Stop(effect);
}

size_t UpstreamApi::running() const {
  return impl_->running();
}

}  // namespace filbertwick::net
