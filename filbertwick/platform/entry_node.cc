#include <algorithm>
#include <cctype>
#include <chrono>
#include <iterator>
#include <map>
#include <ranges>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "filbertwick/core/direct/direct_entry.h"
#include "filbertwick/core/direct/job_footprint.h"
#include "filbertwick/core/direct/names.h"
#include "filbertwick/core/direct/offer_split.h"
#include "filbertwick/http/json_response.h"
#include "filbertwick/http/server.h"
#include "filbertwick/http/target.h"
#include "filbertwick/platform/core_runner.h"
#include "filbertwick/platform/drain_monitor.h"
#include "filbertwick/platform/early_requests.h"
#include "filbertwick/platform/job_codec.h"
#include "filbertwick/platform/node.h"
#include "filbertwick/platform/peer_service.h"
#include "filbertwick/platform/start_node.h"

namespace filbertwick::platform {
namespace {

using core::direct::AnswerJobEffect;
using core::direct::CountEffect;
using core::direct::DirectEntry;
using core::direct::EntryEffect;
using core::direct::EntryEffects;
using core::direct::EntryEvent;
using core::direct::EntryLoad;
using core::direct::EntryMeans;
using core::direct::JobOutcome;
using core::direct::Route;
using core::direct::SendToPeerEffect;
using core::direct::SendToSidecarEffect;

/// Time for which requests are still accepted after a stop began. The load
/// balancer polls readiness every second and reacts to the second failed poll.
constexpr Duration kMinDrainTime = std::chrono::milliseconds(2500);
/// Bounds of the header limit in the configuration.
constexpr uint32_t kMinHeaderBytes = 1024;
constexpr uint32_t kMaxHeaderBytes = 64 * 1024;
/// Limit of a request's body, whatever the configuration says.
constexpr size_t kMaxBodyBytes = 4 * 1024 * 1024;
/// The same for polls of the readiness, which have none.
constexpr size_t kMaxPollBodyBytes = 4 * 1024;
/// Lower bound of the timeouts in the configuration. A shorter timeout would
/// cut off callers on a loaded link.
constexpr Duration kMinTimeout = std::chrono::milliseconds(100);
/// Lower bound of the time limit of a job whose caller names none, as a
/// multiple of its target latency. A later answer is of no use to the caller.
constexpr int kDefaultTimeLimitFactor = 3;
constexpr int kMinErrorStatus = 400;
/// Longest time for which a request waits for the first configuration. The
/// store or another instance delivers it within some milliseconds, unless the
/// store is slow or away.
constexpr Duration kMaxConfigurationWait = std::chrono::milliseconds(300);
/// Limit of the requests that wait for it; they are held in memory.
constexpr size_t kMaxEarlyRequests = 256;
/// Retry-After for requests that this entry can't serve at present: it has no
/// configuration, or the job needs an unsupported feature.
constexpr std::chrono::seconds kShortRetryAfter{1};

http::Response ErrorResponse(int status, std::string_view cause) {
  return http::JsonResponse(status,
                            "{\"error\":\"" + std::string(cause) + "\"}");
}

http::Response RetryResponse(std::string_view cause, Duration wait) {
  http::Response response = ErrorResponse(503, cause);
  http::AddRetryAfter(wait, response);
  return response;
}

http::Response FormatAnswer(const AnswerJobEffect& answer) {
  switch (answer.outcome) {
    case JobOutcome::kCompleted:
      return http::JsonResponse(200, "{\"state\":\"completed\"}");
    case JobOutcome::kFailed:
      return http::JsonResponse(200, "{\"state\":\"failed\"}");
    case JobOutcome::kRefused:
      return RetryResponse(answer.cause, answer.retry_after);
    case JobOutcome::kTimedOut:
      break;
  }
  return ErrorResponse(504, answer.cause);
}

const char* CounterOf(EntryEvent event) {
  switch (event) {
    case EntryEvent::kJobHandedOver:
      return "jobs_handed_over_total";
    case EntryEvent::kJobTakenOver:
      return "jobs_taken_over_total";
    case EntryEvent::kHandoverDeclined:
      break;
  }
  return "handovers_declined_total";
}

/// The request's host without the port, in lower case.
std::string NormalizeHost(const http::Request& request) {
  std::string host(request.FindHeader("Host"));
  host.resize(std::min(host.size(), host.find(':')));
  std::ranges::transform(host, host.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return host;
}

std::string_view PathOf(const http::Request& request) {
  const std::string_view target = request.target;
  return target.substr(0, target.find('?'));
}

http::RequestLimits ClampLimits(const core::direct::RequestLimits& limits) {
  http::RequestLimits http;
  http.max_header_bytes =
      std::clamp(limits.max_header_bytes, kMinHeaderBytes, kMaxHeaderBytes);
  http.max_body_bytes = std::min(limits.max_body_bytes, kMaxBodyBytes);
  http.header_timeout = std::max(limits.header_timeout, kMinTimeout);
  http.idle_timeout = std::max(limits.idle_timeout, kMinTimeout);
  return http;
}

class EntryNode : public Node {
 public:
  EntryNode(const PlatformSettings& settings,
            uint64_t incarnation,
            NodeContext context)
      : settings_(settings),
        context_(std::move(context)),
        runner_(context_.io,
                CreateCore(settings, incarnation),
                [this](EntryEffect& effect) {
                  std::visit([this](auto& it) { this->Perform(it); }, effect);
                }),
        early_requests_(
            context_.io,
            kMaxConfigurationWait,
            kMaxEarlyRequests,
            [this](const EarlyRequest& early) { RefuseEarly(early); }),
        drain_(
            context_.io,
            settings.stop_grace,
            [this](Duration age) { return TryDrain(age); },
            context_.stopped) {}

  absl::Status Start(uint64_t incarnation) {
    PeerServiceHooks hooks;
    hooks.sidecar_message = [this](core::direct::SidecarMessage it) {
      received_messages_.push_back(std::move(it));
    };
    hooks.handover_message = [this](core::direct::HandoverMessage it) {
      received_handovers_.push_back(std::move(it));
    };
    hooks.own_load = [this] { return core().Load(MonotonicClock::now()); };
    hooks.entry_load = [this](const core::direct::Peer& entry,
                              const ZoneName& zone, const EntryLoad& load) {
      OnEntryLoad(entry, zone, load);
    };
    hooks.batch_ended = [this](bool more_left) {
      HandleReceivedMessages(more_left);
    };
    hooks.overload = &core().overload();
    hooks.member_found = [this](const core::direct::Member& member) {
      if (!member.is_entry) {
        core().AddSidecars(MonotonicClock::now(), {{member.peer.name}});
        runner_.UpdateWakeup();
      }
    };
    hooks.control_changed = [this] { OnControlChanged(); };
    auto peer_service =
        PeerService::Create(settings_, incarnation, context_, std::move(hooks));
    if (!peer_service.ok()) {
      return peer_service.status();
    }
    peer_service_ = *std::move(peer_service);
    return Listen();
  }

  void Stop() override {
    core().BeginStop();
    drain_.Begin();
  }

  void Reload(const PlatformSettings& settings) override {
    peer_service_->Reload(settings);
  }

 private:
  /// A submission that is not answered yet.
  struct OpenRequest {
    http::Responder respond;
    /// For the job.
    core::policy::ClientReservation memory;
  };

  static std::unique_ptr<DirectEntry> CreateCore(
      const PlatformSettings& settings,
      uint64_t incarnation) {
    core::direct::DirectEntrySettings core_settings;
    core_settings.times = core::direct::SessionTimes::ScaledToFit(
        settings.resend_after, settings.max_lease);
    core_settings.handover = core::direct::HandoverTimes::ScaledToFit(
        settings.resend_after, core_settings.times);
    core_settings.means = settings.means;
    // The connections of waiting callers must leave room for others.
    core_settings.max_waiting_jobs =
        std::min(core_settings.max_waiting_jobs,
                 DeriveClientLimits(settings.limits).caller_connections / 2);
    core_settings.zone = settings.zone;
    return DirectEntry::Create({settings.name, incarnation}, core_settings,
                               FormatTaskName);
  }

  DirectEntry& core() { return runner_.core(); }
  const DirectEntry& core() const { return runner_.core(); }

  absl::Status Listen() {
    const ClientLimits limits = DeriveClientLimits(settings_.limits);
    http::ServerSettings http;
    http.host = settings_.caller_listener.host;
    http.port = settings_.caller_listener.port;
    http.max_body_bytes = kMaxBodyBytes;
    http.max_connections = limits.caller_connections;
    http.socket_buffer_bytes = limits.socket_buffer_bytes;
    http.budget = context_.client_budget;
    auto callers = http::Server::Create(
        context_.io, http,
        [this](const http::Request& request, const http::Responder& respond) {
          HandleRequest(request, respond);
        },
        [this](uint64_t request) { OnCallerDisconnected(request); });
    if (!callers.ok()) {
      return callers.status();
    }
    caller_server_ = *std::move(callers);
    http.host = settings_.readiness_listener.host;
    http.port = settings_.readiness_listener.port;
    http.max_body_bytes = kMaxPollBodyBytes;
    http.max_connections = limits.other_connections;
    auto readiness = http::Server::Create(
        context_.io, http,
        [this](const http::Request&, const http::Responder& respond) {
          http::Response response;
          response.status = IsReady() ? 200 : 503;
          respond(std::move(response));
        });
    if (!readiness.ok()) {
      return readiness.status();
    }
    readiness_server_ = *std::move(readiness);
    return absl::OkStatus();
  }

  void HandleReceivedMessages(bool more_left) {
    if (!received_messages_.empty()) {
      runner_.Run([&](Instant now, EntryEffects& out) {
        core().OnMessages(now, received_messages_, out, more_left);
      });
      received_messages_.clear();
    }
    if (!received_handovers_.empty()) {
      runner_.Run([&](Instant now, EntryEffects& out) {
        core().OnHandoverMessages(now, WallTime::Now(), received_handovers_,
                                  out);
      });
      received_handovers_.clear();
    }
  }

  void OnEntryLoad(const core::direct::Peer& entry,
                   const ZoneName& zone,
                   const EntryLoad& load) {
    core().OnEntryLoad(MonotonicClock::now(), entry, zone, load);
    known_means_[settings_.name] = settings_.means;
    known_means_[entry.name] = load.means;
    std::vector<EntryMeans> all;
    std::ranges::copy(known_means_ | std::views::values,
                      std::back_inserter(all));
    core().SetLoadSharing(core::direct::AreMeansUneven(all));
    runner_.UpdateWakeup();
  }

  bool IsReady() const {
    return !drain_.begun() && peer_service_->control().has_configuration() &&
           core().Status(MonotonicClock::now()).usable_sidecars > 0;
  }

  void Perform(SendToSidecarEffect& effect) {
    Send(effect.to, std::move(effect.message));
  }
  void Perform(SendToPeerEffect& effect) {
    Send(effect.to, std::move(effect.message));
  }
  template <typename Message>
  void Send(const InstanceName& to, Message message) {
    const core::direct::Datagram datagram(std::move(message));
    if (!peer_service_->Send(to, datagram)) {
      core().OnNotSent(MonotonicClock::now(), to, std::get<Message>(datagram));
    }
  }
  void Perform(const CountEffect& effect) {
    context_.counters.Get(CounterOf(effect.event)).Add();
  }
  void Perform(const LogLine& line) { context_.log(line); }
  void Perform(const AnswerJobEffect& answer) {
    context_.counters
        .Get("jobs_" + std::string(ToString(answer.outcome)) + "_total")
        .Add();
    context_.counters.GetHistogram("job_seconds").Add(answer.age);
    Respond(answer.request, FormatAnswer(answer));
  }

  void Respond(uint64_t request, http::Response response) {
    const auto it = open_requests_.find(request);
    if (it == open_requests_.end()) {
      return;  // The caller has disconnected.
    }
    const http::Responder respond = std::move(it->second.respond);
    open_requests_.erase(it);
    respond(CloseWhenStopping(std::move(response)));
  }

  /// Adds `Connection: close` during a stop, so that callers move to other
  /// entries.
  http::Response CloseWhenStopping(http::Response response) const {
    if (drain_.begun()) {
      response.headers.push_back({"Connection", "close"});
    }
    return response;
  }

  void OnCallerDisconnected(uint64_t request) {
    early_requests_.Remove(request);
    open_requests_.erase(request);
    runner_.Run([&](Instant now, EntryEffects& out) {
      core().OnCallerGone(now, request, out);
    });
  }

  void HandleRequest(const http::Request& request,
                     const http::Responder& respond) {
    if (!peer_service_->control().has_configuration() &&
        HoldEarly(request, respond)) {
      return;
    }
    HandleRequest(request, respond, Duration(0));
  }

  /// Holds a request until the first configuration; false if there is no room.
  bool HoldEarly(const http::Request& request, const http::Responder& respond) {
    size_t bytes = request.body.size() + request.target.size();
    for (const http::Header& header : request.headers) {
      bytes += sizeof(header) + header.name.size() + header.value.size();
    }
    auto memory = core::policy::ClientReservation::Create(
        MonotonicClock::now(), context_.client_budget, bytes);
    return memory && early_requests_.Add(request, respond, *std::move(memory));
  }

  /// Handles a request that was held for `held` before.
  void HandleRequest(const http::Request& request,
                     const http::Responder& respond,
                     Duration held) {
    if (auto response = DispatchRequest(request, respond, held)) {
      RespondDirectly(request, respond, *std::move(response));
    }
  }

  void RefuseEarly(const EarlyRequest& early) {
    RespondDirectly(early.request, early.respond,
                    RetryResponse("no_configuration", kShortRetryAfter));
  }

  /// Sends a response that the core has no part in.
  void RespondDirectly(const http::Request& request,
                       const http::Responder& respond,
                       http::Response response) {
    if (response.status >= kMinErrorStatus) {
      LogRefusal(request, response);
    }
    respond(CloseWhenStopping(std::move(response)));
  }

  void LogRefusal(const http::Request& request,
                  const http::Response& response) const {
    const std::string_view path = PathOf(request);
    context_.log(
        LogLine("request_refused")
            .Add("job", path.substr(path.rfind('/') + 1))
            .Add("method", request.method)
            .Add("status", response.status)
            .Add("answer", response.body)
            .Add("configuration",
                 static_cast<int64_t>(
                     peer_service_->control().position().version))
            .Add("configuration_age_us", peer_service_->control_freshness()
                                             .Age(MonotonicClock::now())
                                             .value_or(Duration(-1))
                                             .count()));
  }

  /// Returns the response, or nullopt when it is sent later.
  std::optional<http::Response> DispatchRequest(const http::Request& request,
                                                const http::Responder& respond,
                                                Duration held) {
    const core::direct::ControlStreamState& control = peer_service_->control();
    if (!control.has_configuration()) {
      return RetryResponse("no_configuration", kShortRetryAfter);
    }
    const Route* route = control.configuration().FindRoute(
        NormalizeHost(request), PathOf(request));
    if (route == nullptr) {
      // The route may have been added since.
      return peer_service_->control_freshness().IsConfirmed(
                 MonotonicClock::now())
                 ? ErrorResponse(404, "no_such_route")
                 : RetryResponse("configuration_unconfirmed", kShortRetryAfter);
    }
    const std::string_view id =
        PathOf(request).substr(route->path_prefix.size());
    if (request.method == "GET" && id.empty()) {
      return http::JsonResponse(
          200, "{\"pending\":" +
                   std::to_string(core().CountWaitingJobs(route->service)) +
                   "}");
    }
    if (!IsJobId(id)) {
      return ErrorResponse(404, "no_such_job");
    }
    if (request.method == "POST") {
      return Submit(request, respond, *route, id, held);
    }
    if (request.method == "DELETE") {
      return Cancel(id);
    }
    // A job's result is the answer to its submission; it is not kept for later
    // queries.
    return request.method == "GET" ? ErrorResponse(410, "no_such_job")
                                   : ErrorResponse(405, "method_not_allowed");
  }

  std::optional<http::Response> Submit(const http::Request& request,
                                       const http::Responder& respond,
                                       const Route& route,
                                       std::string_view id,
                                       Duration held) {
    const auto& limits = peer_service_->control().configuration().limits;
    if (request.body.size() > limits.max_body_bytes) {
      return ErrorResponse(413, "body_too_large");
    }
    auto job = route.supported ? ParseJob(request.body, route)
                               : absl::UnimplementedError("routes with advice");
    if (!job.ok()) {
      context_.log(
          LogLine("job_not_taken").Add("job", id).AddCause(job.status()));
      if (absl::IsResourceExhausted(job.status())) {
        return ErrorResponse(413, "body_too_large");
      }
      return absl::IsUnimplemented(job.status())
                 ? RetryResponse("unsupported", kShortRetryAfter)
                 : ErrorResponse(400, "no_job");
    }
    if (!core::direct::FitsIntoOffers(*job)) {
      return ErrorResponse(
          400, "spec_service_and_route_above_" +
                   std::to_string(core::direct::kMaxOfferTextBytes) + "_bytes");
    }
    auto memory = core::policy::ClientReservation::Create(
        MonotonicClock::now(), context_.client_budget,
        core::direct::EstimateFootprint(*job));
    if (!memory) {
      return RetryResponse("out_of_memory", kShortRetryAfter);
    }
    job->id = id;
    job->request = request.number;
    // Both count from the arrival of the request.
    job->time_limit = TimeLimit(request, route, job->target) - held;
    job->target -= held;
    open_requests_.emplace(request.number,
                           OpenRequest{respond, *std::move(memory)});
    runner_.Run([&](Instant now, EntryEffects& out) {
      core().OnJob(now, WallTime::Now(), *std::move(job), out);
    });
    return std::nullopt;
  }

  /// Returns how long the caller waits, as its header states. Without the
  /// header, the longer of the route's limit and the time after which an answer
  /// is of no use, so that a nearly finished job is not dropped while its
  /// caller still waits.
  static Duration TimeLimit(const http::Request& request,
                            const Route& route,
                            Duration target) {
    const auto limit =
        http::ParseNumber(request.FindHeader("Filbertwick-Deadline-Ms"));
    return limit ? std::chrono::milliseconds(*limit)
                 : std::max(route.time_limit, target * kDefaultTimeLimitFactor);
  }

  http::Response Cancel(std::string_view id) {
    bool found = false;
    runner_.Run([&](Instant now, EntryEffects& out) {
      found = core().Cancel(now, id, out);
    });
    return found ? http::JsonResponse(200, "{}")
                 : ErrorResponse(410, "no_such_job");
  }

  void OnControlChanged() {
    const core::direct::ControlStreamState& control = peer_service_->control();
    core().SetControlPosition(control.position());
    core().SetZonesOut(control.snapshot().zones_out);
    if (control.has_configuration()) {
      caller_server_->SetLimits(ClampLimits(control.configuration().limits));
      for (const EarlyRequest& early : early_requests_.TakeAll()) {
        HandleRequest(early.request, early.respond,
                      MonotonicClock::now() - early.arrived);
      }
    }
    runner_.UpdateWakeup();
  }

  /// Returns true when all submissions are answered, and the outcomes of the
  /// jobs taken over from other entries have arrived there. `age` is the time
  /// since the stop began. Before kMinDrainTime the load balancer may not have
  /// noticed the stop, so the result is false; from then on, no connection is
  /// accepted.
  bool TryDrain(Duration age) {
    if (age < kMinDrainTime) {
      return false;
    }
    caller_server_->StopAccepting();
    return open_requests_.empty() && early_requests_.empty() &&
           core().Status(MonotonicClock::now()).handed_in_jobs == 0;
  }

  const PlatformSettings settings_;
  const NodeContext context_;
  CoreRunner<DirectEntry, EntryEffects> runner_;
  /// Requests that arrived before the first configuration.
  EarlyRequests early_requests_;
  DrainMonitor drain_;
  /// Messages from sidecars that have arrived together; empty between two
  /// batches.
  std::vector<core::direct::SidecarMessage> received_messages_;
  /// The same for messages from other entries.
  std::vector<core::direct::HandoverMessage> received_handovers_;
  /// What the machines of the known entries have.
  std::map<InstanceName, EntryMeans> known_means_;
  /// The submissions that are not answered yet, by request number.
  std::map<uint64_t, OpenRequest> open_requests_;
  std::unique_ptr<PeerService> peer_service_;
  std::unique_ptr<http::Server> caller_server_;
  std::unique_ptr<http::Server> readiness_server_;
};

}  // namespace

absl::StatusOr<std::unique_ptr<Node>> CreateEntryNode(
    const PlatformSettings& settings,
    uint64_t incarnation,
    NodeContext context) {
  return StartNode<EntryNode>(settings, incarnation, std::move(context));
}

}  // namespace filbertwick::platform
