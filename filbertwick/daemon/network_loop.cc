#include "filbertwick/daemon/network_loop.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <thread>
#include <utility>

#include "filbertwick/base/bounded_queue.h"
#include "filbertwick/http/server.h"
#include "filbertwick/net/caller_api.h"
#include "filbertwick/net/peer_transport.h"
#include "filbertwick/net/upstream_api.h"

namespace filbertwick::daemon {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// Capacity of the network thread's input queue, in batches.
constexpr size_t kMaxQueuedBatches = 4096;
/// Time until the backlog is retried after the core's queue was full.
constexpr Duration kRetryInterval = std::chrono::milliseconds(1);
/// Time between two checks for open connections, requests and executions.
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(5);

}  // namespace

/// Owns the sockets and the backlog of events for the core.
class NetworkLoop::Impl {
 public:
  Impl(const Settings& settings, Counters& counters, NetworkHooks hooks)
      : settings_(settings),
        counters_(counters),
        hooks_(std::move(hooks)),
        dropped_messages_(counters.Get("peer_dropped_overloaded")),
        work_(asio::make_work_guard(context_)),
        retry_timer_(context_),
        drain_timer_(context_),
        inputs_(kMaxQueuedBatches) {}

  ~Impl() { Stop(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  absl::Status Listen() {
    if (absl::Status status = ListenForHttp(); !status.ok()) {
      return status;
    }
    info_ = settings_.node.info;
    net::PeerTransportSettings settings;
    settings.self = {info_.name, info_.incarnation};
    settings.host = info_.address.host;
    settings.udp_port = info_.address.udp_port;
    settings.tcp_port = info_.address.tcp_port;
    settings.http_port = server_->port();
    settings.secret = settings_.peer_secret;
    settings.seed = settings_.node.seed;
    auto transport = net::PeerTransport::Create(
        context_, settings, counters_,
        [this](const InstanceName& name) { return FindPeer(name); },
        [this](wire::Sender from, wire::Message message) {
          OnPeerMessage(std::move(from), std::move(message));
        });
    if (!transport.ok()) {
      return transport.status();
    }
    transport_ = *std::move(transport);
    info_.address = transport_->address();
    return absl::OkStatus();
  }

  void Start() {
    thread_ = std::thread([this] { context_.run(); });
  }

  void Stop() {
    inputs_.Close();
    work_.reset();
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  void Push(NetworkInputs inputs) {
    if (inputs_.Push(std::move(inputs)) && !wakeup_posted_.exchange(true)) {
      asio::post(context_, [this] { HandleInputs(); });
    }
  }

  void Drain(Duration limit, std::function<void()> done) {
    asio::post(context_, [this, limit, done = std::move(done)] {
      server_->StopAccepting();
      PollUntilDrained(MonotonicClock::now() + limit, done);
    });
  }

  const wire::InstanceInfo& info() const { return info_; }

 private:
  bool IsEntry() const {
    return settings_.node.info.role == wire::Role::kEntry;
  }

  absl::Status ListenForHttp() {
    http::ServerSettings settings = settings_.http;
    client_budget_ =
        core::policy::ClientBudget::Create(settings.max_held_bytes);
    settings.budget = client_budget_;
    IsEntry() ? CreateCallerApi() : CreateUpstreamApi();
    auto server = http::Server::Create(
        context_, settings,
        [this](const http::Request& request, const http::Responder& respond) {
          caller_api_ ? caller_api_->Handle(request, respond)
                      : upstream_api_->Handle(request, respond);
        },
        [this](uint64_t number) {
          if (caller_api_) {
            caller_api_->OnDisconnected(number);
          }
        });
    if (!server.ok()) {
      return server.status();
    }
    server_ = *std::move(server);
    return absl::OkStatus();
  }

  void CreateCallerApi() {
    net::CallerApiHooks hooks;
    hooks.offer = [this](core::Event event) {
      return TryPost(std::move(event));
    };
    hooks.post = [this](core::Event event) { Post(std::move(event)); };
    hooks.request_view = [this](net::ViewHook hook) {
      return RequestView(std::move(hook));
    };
    hooks.ready = hooks_.ready;
    hooks.read_audit = hooks_.read_audit;
    hooks.log = hooks_.log;
    hooks.reserve = [this](size_t bytes) {
      return core::policy::ClientReservation::Create(MonotonicClock::now(),
                                                     client_budget_, bytes);
    };
    caller_api_ = net::CallerApi::Create(settings_.operator_token, counters_,
                                         std::move(hooks));
  }

  void CreateUpstreamApi() {
    net::UpstreamApiHooks hooks;
    hooks.post = [this](core::Event event) { Post(std::move(event)); };
    hooks.request_view = [this](net::ViewHook hook) {
      return RequestView(std::move(hook));
    };
    hooks.ready = hooks_.ready;
    net::UpstreamApiSettings settings;
    settings.announce_timeout = settings_.announce_timeout;
    upstream_api_ = net::UpstreamApi::Create(context_, settings, counters_,
                                             std::move(hooks));
  }

  const wire::InstanceInfo* FindPeer(const InstanceName& name) const {
    const auto it = peers_.find(name);
    return it == peers_.end() ? nullptr : &it->second;
  }

  void OnPeerMessage(wire::Sender from, wire::Message message) {
    if (!TryPost(core::MessageEvent{std::move(from), std::move(message)})) {
      dropped_messages_.Add();
    }
  }

  /// Queues an event that may be refused; false when the core's queue is full.
  /// Also refused while the backlog is not empty, since the event would
  /// otherwise overtake those in it.
  bool TryPost(core::Event event) {
    DecisionInput input(std::move(event));
    return backlog_.empty() && hooks_.try_push(input);
  }

  /// Queues an event that must reach the core. It stays in the backlog until
  /// the core's queue has room.
  void Post(core::Event event) {
    backlog_.emplace_back(std::move(event));
    FlushBacklog();
  }

  void FlushBacklog() {
    while (!backlog_.empty() && hooks_.try_push(backlog_.front())) {
      backlog_.pop_front();
    }
    if (backlog_.empty()) {
      return;
    }
    retry_timer_.expires_after(kRetryInterval);
    retry_timer_.async_wait([this](error_code ec) {
      if (!ec) {
        FlushBacklog();
      }
    });
  }

  bool RequestView(net::ViewHook hook) {
    DecisionInput input(
        CoreCallback([this, hook = std::move(hook)](const core::Core& core,
                                                    const core::Now& now) {
          NetworkInputs inputs;
          inputs.emplace_back(
              ViewAnswer{hook, {core.Status(now), hooks_.bundle_text()}});
          Push(std::move(inputs));
        }));
    return backlog_.empty() && hooks_.try_push(input);
  }

  void HandleInputs() {
    // Cleared before the queue is emptied: a batch pushed from here on posts
    // HandleInputs() again, so none is left in the queue.
    wakeup_posted_ = false;
    for (NetworkInputs& inputs : inputs_.PopAll(Instant())) {
      for (NetworkInput& input : inputs) {
        std::visit([this](auto& item) { HandleInput(item); }, input);
      }
    }
  }

  void HandleInput(core::SendEffect& effect) {
    transport_->Send(effect.to, effect.message);
  }
  void HandleInput(core::AnswerEffect& effect) {
    if (caller_api_) {
      caller_api_->Answer(effect);
    }
  }
  void HandleInput(core::OperatorAnswerEffect& effect) {
    if (caller_api_) {
      caller_api_->Answer(effect);
    }
  }
  void HandleInput(core::StartExecutionEffect& effect) {
    if (upstream_api_) {
      upstream_api_->Start(std::move(effect));
    }
  }
  void HandleInput(core::StopExecutionEffect& effect) {
    if (upstream_api_) {
      upstream_api_->Stop(effect);
    }
  }
  void HandleInput(PeerUpdate& update) {
    peers_[update.info.name] = update.info;
  }
  void HandleInput(ViewAnswer& answer) { answer.hook(std::move(answer.view)); }

  void PollUntilDrained(Instant end, const std::function<void()>& done) {
    const bool open = server_->open_connections() > 0 ||
                      (caller_api_ && caller_api_->open_requests() > 0) ||
                      (upstream_api_ && upstream_api_->running() > 0);
    if (!open || MonotonicClock::now() >= end) {
      done();
      return;
    }
    drain_timer_.expires_after(kDrainPollInterval);
    drain_timer_.async_wait([this, end, done](error_code ec) {
      if (!ec) {
        PollUntilDrained(end, done);
      }
    });
  }

  const Settings settings_;
  Counters& counters_;
  const NetworkHooks hooks_;
  Counter& dropped_messages_;
  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  asio::steady_timer retry_timer_;
  asio::steady_timer drain_timer_;
  BoundedQueue<NetworkInputs> inputs_;
  std::atomic<bool> wakeup_posted_ = false;
  wire::InstanceInfo info_;
  /// Newest PeerUpdate of each peer.
  std::map<InstanceName, wire::InstanceInfo> peers_;
  /// Events from Post() that found the core's queue full. Disconnects and ended
  /// executions are bounded by the open requests and running tasks; the
  /// upstream adds an event only when its announcement changes or times out.
  std::deque<DecisionInput> backlog_;
  /// What the listener and the jobs of waiting callers may hold.
  std::shared_ptr<core::policy::ClientBudget> client_budget_;
  std::unique_ptr<net::CallerApi> caller_api_;
  std::unique_ptr<net::UpstreamApi> upstream_api_;
  std::unique_ptr<net::PeerTransport> transport_;
  std::unique_ptr<http::Server> server_;
  std::thread thread_;
};

absl::StatusOr<std::unique_ptr<NetworkLoop>> NetworkLoop::Create(
    const Settings& settings,
    Counters& counters,
    NetworkHooks hooks) {
  auto impl = std::make_unique<Impl>(settings, counters, std::move(hooks));
  if (absl::Status status = impl->Listen(); !status.ok()) {
    return status;
  }
  return std::unique_ptr<NetworkLoop>(new NetworkLoop(std::move(impl)));
}

NetworkLoop::NetworkLoop(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

NetworkLoop::~NetworkLoop() = default;

const wire::InstanceInfo& NetworkLoop::info() const {
  return impl_->info();
}

void NetworkLoop::Start() {
  impl_->Start();
}

void NetworkLoop::Stop() {
  impl_->Stop();
}

void NetworkLoop::Push(NetworkInputs inputs) {
  impl_->Push(std::move(inputs));
}

void NetworkLoop::Drain(Duration limit, std::function<void()> done) {
  impl_->Drain(limit, std::move(done));
}

}  // namespace filbertwick::daemon
