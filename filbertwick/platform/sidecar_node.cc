#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "filbertwick/core/direct/direct_sidecar.h"
#include "filbertwick/http/client.h"
#include "filbertwick/http/json_response.h"
#include "filbertwick/http/server.h"
#include "filbertwick/http/target.h"
#include "filbertwick/platform/core_runner.h"
#include "filbertwick/platform/drain_monitor.h"
#include "filbertwick/platform/node.h"
#include "filbertwick/platform/peer_service.h"
#include "filbertwick/platform/start_node.h"
#include "filbertwick/platform/upstream_codec.h"
#include "filbertwick/platform/upstream_record.h"

namespace filbertwick::platform {
namespace {

using core::direct::CommandResult;
using core::direct::DirectSidecar;
using core::direct::ListCommand;
using core::direct::RecordUpstreamEffect;
using core::direct::SendToEntryEffect;
using core::direct::SidecarEffect;
using core::direct::SidecarEffects;
using core::direct::StartCommand;
using core::direct::StopCommand;
using core::direct::UpstreamAnnouncement;

/// Timeout of a start or stop, and time added to the wait of a list request.
/// Longer than the core's own timeouts: the core gives up first, and a slow
/// answer does not close the connection.
constexpr Duration kCallTimeoutMargin = std::chrono::milliseconds(100);
/// Idle time after which a connection is not reused, because the upstream
/// closes connections that idle for longer.
constexpr Duration kIdleTimeout = std::chrono::milliseconds(1200);
/// Limit of connections to the upstream, well below what it accepts. A call
/// takes about a millisecond, so a dozen carry the starts of a job with many
/// tasks at once; as many again may be held by calls that are not answered.
constexpr size_t kMaxConnections = 24;
constexpr size_t kMaxAnnouncementBytes = 4 * 1024 * 1024;
/// Path prefix of announcements; the id of the upstream follows.
constexpr std::string_view kAnnouncementPath = "/api/instances/";

class SidecarNode : public Node {
 public:
  SidecarNode(const PlatformSettings& settings,
              uint64_t incarnation,
              NodeContext context)
      : settings_(settings),
        context_(std::move(context)),
        runner_(context_.io,
                CreateCore(incarnation),
                [this](SidecarEffect& effect) {
                  std::visit([this](auto& it) { this->Perform(it); }, effect);
                }),
        drain_(
            context_.io,
            settings.stop_grace,
            [this](Duration) { return core().Status().runs == 0; },
            context_.stopped) {
    http::ClientSettings http;
    http.host = settings.upstream_address.host;
    http.port = settings.upstream_address.port;
    http.max_connections = kMaxConnections;
    http.idle_timeout = kIdleTimeout;
    upstream_ = http::Client::Create(context_.io, http);
  }

  absl::Status Start(uint64_t incarnation) {
    PeerServiceHooks hooks;
    hooks.entry_message = [this](const core::direct::EntryMessage& it) {
      runner_.Run([&](Instant now, SidecarEffects& out) {
        core().OnMessage(now, it, out);
      });
    };
    hooks.control_changed = [this] { OnControlChanged(); };
    auto peer_service =
        PeerService::Create(settings_, incarnation, context_, std::move(hooks));
    if (!peer_service.ok()) {
      return peer_service.status();
    }
    peer_service_ = *std::move(peer_service);
    record_ = UpstreamRecord::Create(
        context_.io, peer_service_->store(), settings_.store_partitions,
        settings_.name,
        {[this](const UpstreamAnnouncement& it) {
           runner_.Run([&](Instant now, SidecarEffects& out) {
             core().RestoreUpstream(now, it, out);
           });
         },
         context_.log});
    http::ServerSettings http;
    http.host = settings_.announcement_listener.host;
    http.port = settings_.announcement_listener.port;
    http.max_body_bytes = kMaxAnnouncementBytes;
    const ClientLimits limits = DeriveClientLimits(settings_.limits);
    http.max_connections = limits.other_connections;
    http.socket_buffer_bytes = limits.socket_buffer_bytes;
    http.budget = context_.client_budget;
    auto server = http::Server::Create(
        context_.io, http,
        [this](const http::Request& request, const http::Responder& respond) {
          respond(HandleRequest(request));
        });
    if (!server.ok()) {
      return server.status();
    }
    announcement_server_ = *std::move(server);
    return absl::OkStatus();
  }

  void Stop() override {
    if (drain_.begun()) {
      return;
    }
    runner_.Run(
        [this](Instant now, SidecarEffects& out) { core().Stop(now, out); });
    drain_.Begin();
  }

  void Reload(const PlatformSettings& settings) override {
    peer_service_->Reload(settings);
  }

 private:
  std::unique_ptr<DirectSidecar> CreateCore(uint64_t incarnation) {
    core::direct::DirectSidecarSettings core_settings;
    core_settings.times = core::direct::SessionTimes::ScaledToFit(
        settings_.resend_after, settings_.max_lease);
    core_settings.max_lease = settings_.max_lease;
    core::direct::DirectSidecarHooks hooks;
    hooks.has_route_to = [this](std::string_view service) {
      return HasRouteTo(service);
    };
    // The incarnation, which is the wall clock in milliseconds, is the first
    // fencing token. It exceeds the tokens of earlier incarnations unless that
    // clock was set back.
    return DirectSidecar::Create({settings_.name, incarnation}, incarnation,
                                 core_settings, std::move(hooks));
  }

  DirectSidecar& core() { return runner_.core(); }

  void Perform(SendToEntryEffect& effect) {
    // Every change of these figures causes a message or comes with one.
    const core::policy::GrantFigures grants = core().Status().grants;
    grants_made_.Set(grants.granted);
    grants_lapsed_.Set(grants.lapsed);
    grants_declined_.Set(grants.declined);
    grant_refusals_.Set(grants.refused);
    const core::direct::Datagram datagram(std::move(effect.message));
    if (!peer_service_->Send(effect.to, datagram)) {
      core().OnNotSent(MonotonicClock::now(), effect.to,
                       std::get<core::direct::SidecarMessage>(datagram));
    }
  }
  void Perform(const LogLine& line) { context_.log(line); }
  void Perform(const StartCommand& command) {
    context_.counters.Get("starts_ordered_total").Add();
    CallUpstream(FormatStart(command), command.header.number);
  }
  void Perform(const StopCommand& command) {
    CallUpstream(FormatStop(command), command.header.number);
  }
  void Perform(const ListCommand& command) {
    const uint64_t number = command.header.number;
    upstream_->Call(FormatList(command), command.wait + kCallTimeoutMargin,
                    [this, number](const http::CallResult& result) {
                      OnListing(number, result);
                    });
  }

  void Perform(const RecordUpstreamEffect& effect) {
    record_->Save(effect.upstream);
  }

  /// Returns the upstream's answer, or why there is none.
  static ParsedAnswer ToAnswer(const http::CallResult& result) {
    if (result.response.ok()) {
      return ParseAnswer(*result.response);
    }
    ParsedAnswer none;
    if (result.progress == http::CallProgress::kNotConnected) {
      none.answer = CommandResult::kNotReached;
    }
    return none;
  }

  void CallUpstream(http::Request request, uint64_t number) {
    upstream_->Call(std::move(request), kCallTimeoutMargin,
                    [this, number](const http::CallResult& result) {
                      const ParsedAnswer parsed = ToAnswer(result);
                      runner_.Run([&](Instant now, SidecarEffects& out) {
                        core().OnCommandResult(now, number, parsed.answer,
                                               parsed.clock, out);
                      });
                    });
  }

  void OnListing(uint64_t number, const http::CallResult& result) {
    if (result.response.ok() && result.response->status == 200) {
      const auto parsed = ParseListing(result.response->body);
      if (parsed.ok()) {
        runner_.Run([&](Instant now, SidecarEffects& out) {
          core().OnListing(now, number, parsed->listing, parsed->clock, out);
        });
        return;
      }
      context_.log(LogLine("listing_unreadable").AddCause(parsed.status()));
    }
    const CommandResult answer = ToAnswer(result).answer;
    runner_.Run([&](Instant now, SidecarEffects& out) {
      core().OnListingFailed(now, number, answer, out);
    });
  }

  http::Response HandleRequest(const http::Request& request) {
    if (!request.target.starts_with(kAnnouncementPath)) {
      return http::JsonResponse(404, "{}");
    }
    const std::string id = request.target.substr(kAnnouncementPath.size());
    if (request.method == "DELETE") {
      runner_.Run([&](Instant now, SidecarEffects& out) {
        core().OnUpstreamLeft(now, id, out);
      });
      return http::JsonResponse(200, "{}");
    }
    const auto announcement = ParseAnnouncement(id, request.body);
    if (!announcement.ok()) {
      context_.log(LogLine("announcement_unreadable")
                       .Add("upstream", id)
                       .AddCause(announcement.status()));
      return http::JsonResponse(400, "{}");
    }
    runner_.Run([&](Instant now, SidecarEffects& out) {
      core().OnUpstreamAnnounced(now, *announcement, out);
    });
    return http::JsonResponse(200, "{}");
  }

  bool HasRouteTo(std::string_view service) const {
    return peer_service_ != nullptr &&
           peer_service_->control().has_configuration() &&
           peer_service_->control().configuration().HasRouteTo(service);
  }

  void OnControlChanged() {
    const core::direct::ControlStreamState& control = peer_service_->control();
    core().SetControlPosition(control.position());
    const bool allowed = !control.IsZoneOut(settings_.zone);
    runner_.Run([this, allowed](Instant now, SidecarEffects& out) {
      core().SetPlacementAllowed(now, allowed, out);
    });
  }

  const PlatformSettings settings_;
  const NodeContext context_;
  Counter& grants_made_ = context_.counters.Get("capacity_grants_total");
  Counter& grants_lapsed_ =
      context_.counters.Get("capacity_grants_lapsed_total");
  Counter& grants_declined_ =
      context_.counters.Get("capacity_grants_declined_total");
  Counter& grant_refusals_ =
      context_.counters.Get("tasks_refused_for_grants_total");
  CoreRunner<DirectSidecar, SidecarEffects> runner_;
  DrainMonitor drain_;
  std::unique_ptr<PeerService> peer_service_;
  std::unique_ptr<UpstreamRecord> record_;
  std::unique_ptr<http::Client> upstream_;
  std::unique_ptr<http::Server> announcement_server_;
};

}  // namespace

absl::StatusOr<std::unique_ptr<Node>> CreateSidecarNode(
    const PlatformSettings& settings,
    uint64_t incarnation,
    NodeContext context) {
  return StartNode<SidecarNode>(settings, incarnation, std::move(context));
}

}  // namespace filbertwick::platform
