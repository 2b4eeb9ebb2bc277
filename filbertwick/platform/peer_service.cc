#include "filbertwick/platform/peer_service.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <utility>

#include "filbertwick/http/server.h"
#include "filbertwick/net/instance_net.h"
#include "filbertwick/platform/load_monitor.h"
#include "filbertwick/platform/topic_follower.h"
#include "filbertwick/wire/archive.h"

namespace filbertwick::platform {
namespace {

using core::direct::ControlPosition;
using core::direct::Member;

/// Topic in which the instances register: one record per instance, keyed by its
/// name.
constexpr const char* kInstancesTopic = "keyed.instances";
/// Longest wait of an entry's read of the control stream. Entries are the first
/// to learn of changes and pass them on, and a route that they do not know is
/// missing only if the stream was complete within the configuration bound.
constexpr Duration kEntryPollWait = std::chrono::milliseconds(1500);
/// Longest wait of a sidecar's read of the control stream. Sidecars learn of
/// changes from entries; their own read is the fallback.
constexpr Duration kSidecarPollWait = std::chrono::seconds(3);
/// Longest wait of a read of the instances. New instances also announce
/// themselves to the others directly.
constexpr Duration kInstancesPollWait = std::chrono::seconds(10);
/// Longest usual time from a read at the store until its response is handled.
constexpr Duration kReadDelay = std::chrono::milliseconds(100);
constexpr Duration kRegisterRetryDelay = std::chrono::milliseconds(500);
/// Limit of a request's body. The requests to these listeners have none.
constexpr size_t kMaxBodyBytes = 4 * 1024;
/// Port for collectors of metrics. deploy/system.toml names the same port.
constexpr uint16_t kMetricsPort = 9464;

}  // namespace

class PeerService::Impl {
 public:
  Impl(const PlatformSettings& settings,
       uint64_t incarnation,
       const NodeContext& context,
       PeerServiceHooks hooks)
      : context_(context), hooks_(std::move(hooks)), timer_(context.io) {
    self_.peer = {settings.name, incarnation};
    self_.is_entry = settings.is_entry;
    self_.host = settings.host;
  }

  absl::Status Start(const PlatformSettings& settings) {
    if (absl::Status status = Listen(settings); !status.ok()) {
      return status;
    }
    store_ = StoreClient::Create(context_.io, settings.store_address);
    control_ = ControlFollower::Create(
        context_.io, *store_,
        core::policy::ReadTimes::Within(
            settings.outage_recovery_bound,
            self_.is_entry ? kEntryPollWait : kSidecarPollWait),
        settings.peer_port, settings.configuration_bound - kReadDelay,
        {[this] { OnControlChanged(); }, context_.log});
    if (absl::Status status = StartNetwork(settings); !status.ok()) {
      return status;
    }
    load_monitor_ =
        LoadMonitor::Create(context_.io, context_.counters,
                            {[this] { return network_->TakeTraffic(); },
                             context_.log, hooks_.overload});
    Register();
    if (self_.is_entry) {
      FollowInstances();
    }
    return absl::OkStatus();
  }

  bool Send(const InstanceName& to, const core::direct::Datagram& datagram) {
    return network_->Send(to, datagram);
  }
  void Reload(const PlatformSettings& settings) {
    network_->SetSeeds(settings.seeds);
  }
  StoreClient& store() { return *store_; }
  const core::direct::ControlStreamState& control() const {
    return control_->current();
  }
  const core::direct::ControlFreshness& control_freshness() const {
    return control_->freshness();
  }

 private:
  absl::Status Listen(const PlatformSettings& settings) {
    const ClientLimits limits = DeriveClientLimits(settings.limits);
    auto server =
        ListenAt({settings.host, settings.peer_port},
                 limits.instance_connections, limits.socket_buffer_bytes);
    if (!server.ok()) {
      return server.status();
    }
    peer_server_ = *std::move(server);
    // The same pages on the port that collectors of metrics use. A failure is
    // only logged, because jobs run without the metrics.
    auto metrics =
        ListenAt({settings.host, kMetricsPort}, limits.other_connections,
                 limits.socket_buffer_bytes);
    if (!metrics.ok()) {
      context_.log(LogLine("metrics_not_served").AddCause(metrics.status()));
      return absl::OkStatus();
    }
    metrics_server_ = *std::move(metrics);
    return absl::OkStatus();
  }

  absl::StatusOr<std::unique_ptr<http::Server>> ListenAt(
      const Address& address,
      size_t max_connections,
      size_t socket_buffer_bytes) {
    http::ServerSettings http;
    http.max_body_bytes = kMaxBodyBytes;
    http.max_connections = max_connections;
    http.socket_buffer_bytes = socket_buffer_bytes;
    http.budget = context_.client_budget;
    http.host = address.host;
    http.port = address.port;
    return http::Server::Create(
        context_.io, http,
        [this](const http::Request& request, const http::Responder& respond) {
          respond(HandleRequest(request));
        });
  }

  http::Response HandleRequest(const http::Request& request) const {
    if (request.target == "/control") {
      return control_->SnapshotResponse();
    }
    http::Response response;
    if (request.target == "/metrics") {
      response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
      response.body = context_.counters.Format();
    } else {
      response.status = 404;
    }
    return response;
  }

  absl::Status StartNetwork(const PlatformSettings& settings) {
    net::InstanceNetHooks hooks;
    hooks.entry_message = hooks_.entry_message;
    hooks.sidecar_message = hooks_.sidecar_message;
    hooks.handover_message = hooks_.handover_message;
    hooks.own_load = hooks_.own_load;
    hooks.entry_load = hooks_.entry_load;
    hooks.batch_ended = hooks_.batch_ended;
    hooks.member_found = hooks_.member_found;
    hooks.control_position_received = [this](const std::string& host,
                                             const ControlPosition& position) {
      control_->OnPeerPosition(host, position);
    };
    hooks.log = context_.log;
    auto net = net::InstanceNet::Create(
        context_.io, {self_, settings.peer_port, settings.seeds, settings.zone},
        std::move(hooks));
    if (!net.ok()) {
      return net.status();
    }
    network_ = *std::move(net);
    return absl::OkStatus();
  }

  void OnControlChanged() {
    if (network_) {
      network_->SetControlPosition(control_->current().position());
    }
    hooks_.control_changed();
  }

  void Register() {
    store_->Append(kInstancesTopic, self_.peer.name.value(),
                   wire::EncodeValue(self_),
                   [this](const absl::Status& status) {
                     if (!status.ok()) {
                       RegisterLater(status);
                     }
                   });
  }

  void RegisterLater(const absl::Status& status) {
    context_.log(LogLine("instance_not_registered").AddCause(status));
    timer_.expires_after(kRegisterRetryDelay);
    timer_.async_wait([this](boost::system::error_code ec) {
      if (!ec) {
        Register();
      }
    });
  }

  void FollowInstances() {
    const auto add_instances = [this](std::span<const StoreRecord> records,
                                      uint64_t) {
      std::ranges::for_each(records,
                            [this](const StoreRecord& it) { AddInstance(it); });
    };
    // The last hook does nothing: ControlFollower already logs when the store
    // becomes unreachable.
    core::policy::ReadTimes times;
    times.poll_wait = kInstancesPollWait;
    instances_follower_ = TopicFollower::Create(
        context_.io, *store_, kInstancesTopic, times,
        {add_instances, add_instances, [](const absl::Status&) {}});
  }

  void AddInstance(const StoreRecord& record) {
    if (!record.value) {
      return;
    }
    const auto member = wire::DecodeValue<Member>(*record.value);
    if (!member.ok()) {
      context_.log(LogLine("instance_unreadable")
                       .Add("key", record.key)
                       .AddCause(member.status()));
      return;
    }
    network_->AddMember(*member);
  }

  const NodeContext context_;
  const PeerServiceHooks hooks_;
  Member self_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<StoreClient> store_;
  std::unique_ptr<http::Server> peer_server_;
  std::unique_ptr<http::Server> metrics_server_;
  std::unique_ptr<ControlFollower> control_;
  std::unique_ptr<net::InstanceNet> network_;
  std::unique_ptr<TopicFollower> instances_follower_;
  std::unique_ptr<LoadMonitor> load_monitor_;
};

PeerService::PeerService(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
PeerService::~PeerService() = default;

absl::StatusOr<std::unique_ptr<PeerService>> PeerService::Create(
    const PlatformSettings& settings,
    uint64_t incarnation,
    const NodeContext& context,
    PeerServiceHooks hooks) {
  auto impl =
      std::make_unique<Impl>(settings, incarnation, context, std::move(hooks));
  if (absl::Status status = impl->Start(settings); !status.ok()) {
    return status;
  }
  return std::unique_ptr<PeerService>(new PeerService(std::move(impl)));
}

bool PeerService::Send(const InstanceName& to,
                       const core::direct::Datagram& datagram) {
  return impl_->Send(to, datagram);
}
void PeerService::Reload(const PlatformSettings& settings) {
  impl_->Reload(settings);
}
StoreClient& PeerService::store() {
  return impl_->store();
}
const core::direct::ControlStreamState& PeerService::control() const {
  return impl_->control();
}
const core::direct::ControlFreshness& PeerService::control_freshness() const {
  return impl_->control_freshness();
}

}  // namespace filbertwick::platform
