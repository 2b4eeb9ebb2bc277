#include "soak/upstream.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <optional>
#include <utility>

#include "filbertwick/harness/direct_upstream.h"
#include "filbertwick/harness/random.h"
#include "filbertwick/http/client.h"
#include "filbertwick/http/server.h"
#include "filbertwick/http/target.h"
#include "filbertwick/platform/json_fields.h"
#include "soak/run_after.h"

namespace filbertwick::soak {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using core::direct::CommandHeader;
using core::direct::CommandResult;
using core::direct::EndKind;
using core::direct::ListCommand;
using core::direct::StartCommand;
using core::direct::TaskRun;
using filbertwick::harness::DirectUpstream;
using http::Request;
using http::Responder;
using http::Response;
using ErrorCode = boost::system::error_code;

/// Interval of the checks for ended runs.
constexpr Duration kTick = std::chrono::milliseconds(5);
/// Interval of announcements: a third of the platform's, because soak runs are
/// short.
constexpr Duration kAnnounceInterval = std::chrono::milliseconds(500);
/// An acknowledgement counts only within this time after its announcement, the
/// same as on the platform.
constexpr Duration kAnnounceTimeout = std::chrono::seconds(1);
/// Time from the acknowledgement of a drain to the end of the incarnation, the
/// same as on the platform.
constexpr Duration kDrainTime = std::chrono::milliseconds(2000);
/// Starts are tolerated for this long after kDrainTime, since commands in
/// transit when the drain was acknowledged still arrive.
constexpr Duration kDrainSlack = std::chrono::milliseconds(500);
/// Time from an evacuation to the last permitted start in its zone, the same as
/// on the platform.
constexpr Duration kEvacuationTime = std::chrono::milliseconds(5000);
/// Range of the delay before a late command is executed.
constexpr Duration kLateMin = std::chrono::milliseconds(500);
constexpr Duration kLateMax = std::chrono::milliseconds(2500);
constexpr double kLateProbability = 0.3;
/// Length of a run that hangs: longer than any soak.
constexpr Duration kHangTime = std::chrono::hours(1);
/// Combined with the seed for what other writers send.
constexpr uint64_t kWriterSeed = 0x9e3779b97f4a7c15;
/// Probabilities, at each announcement, of a departure and of a foreign one.
constexpr double kDepartureProbability = 0.1;
constexpr double kForeignProbability = 0.3;
/// Range of the start times of announced processes around that of the upstream.
constexpr Duration kMaxStartDifference = std::chrono::seconds(10);
constexpr int kTaskCpu = 1000;
constexpr int kTaskMemoryMb = 100;

/// Run time that a spec of the form `run MILLISECONDS` asks for; 1 ms if it has
/// no valid number.
Duration ParseRunTime(std::string_view spec) {
  const auto number = http::ParseNumber(spec.substr(spec.find(' ') + 1));
  return std::chrono::milliseconds(number.value_or(1));
}

/// Name of an end in a listing.
std::string_view NameOf(EndKind kind) {
  switch (kind) {
    case EndKind::kDone:
      return "done";
    case EndKind::kStopped:
      return "stopped";
    case EndKind::kLost:
      return "lapsed";
    default:
      return "failed";
  }
}

}  // namespace

class Upstream::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, UpstreamSettings settings, Observer& observer)
      : context_(context),
        settings_(std::move(settings)),
        observer_(observer),
        random_(settings_.seed),
        writer_random_(settings_.seed ^ kWriterSeed),
        tick_(context),
        announce_(context) {}

  absl::Status Listen();
  void Advance() {
    if (runs_) {
      runs_->Advance(Now());
    }
  }
  void Crash();
  void Restart();
  void SetHanging(bool hanging) { hanging_ = hanging; }
  void SetLate(bool late) { late_ = late; }
  void Drain() { draining_ = runs_ != nullptr; }
  void SetZoneEvacuated(bool evacuated) {
    if (!evacuated) {
      evacuated_since_.reset();
    } else if (!evacuated_since_) {
      evacuated_since_ = MonotonicClock::now();
    }
  }

 private:
  /// A command from the sidecar.
  struct Call {
    std::string target;
    CommandHeader header;
    json::object body;
    /// Executed after a delay, when its sender may have given up on it. Its
    /// start isn't held against a drain or an evacuation.
    bool late = false;
  };

  /// A listing request that waits for the end of a run.
  struct PendingListing {
    ListCommand command;
    Instant until;
    Responder respond;
  };

  static TaskRun ParseTaskRun(const Call& call) {
    return {std::string(platform::FindString(call.body, "task").value_or("")),
            static_cast<uint64_t>(
                platform::FindInteger(call.body, "run").value_or(0))};
  }

  Duration Now() const { return MonotonicClock::now() - start_time_; }
  void Tick();
  void Announce();
  Request FormatAnnouncement(const std::string& id,
                             std::string_view service,
                             uint64_t sequence,
                             int64_t started_unix_millis) const;
  /// Sometimes announces another process, or the departure of an earlier one
  /// with the same id, to the sidecar.
  void SendAsOtherWriter();
  void OnAnnounced(const http::CallResult& result);
  void HandleRequest(const Request& request, const Responder& respond);
  void Execute(const Call& call, const Responder& respond);
  Response Start(const Call& call);
  void AnswerList(const Call& call, const Responder& respond);
  /// Answers a listing request. Sets `is_final` if the answer must be sent at
  /// once, because it lists an end or the command was rejected.
  Response List(const ListCommand& command, bool& is_final);
  Response Answer(CommandResult answer) const;
  /// Reports a start that comes too late in a drain or an evacuation.
  void CheckStart(const TaskRun& run);

  asio::io_context& context_;
  const UpstreamSettings settings_;
  Observer& observer_;
  harness::Random random_;
  harness::Random writer_random_;
  asio::steady_timer tick_;
  asio::steady_timer announce_;
  const Instant start_time_ = MonotonicClock::now();
  std::unique_ptr<http::Server> server_;
  std::unique_ptr<http::Client> sidecar_;
  /// Runs of this incarnation; null from Crash() to Restart().
  std::unique_ptr<DirectUpstream> runs_;
  std::list<PendingListing> pending_listings_;
  std::string id_;
  uint64_t incarnation_ = 0;
  uint64_t sequence_ = 0;
  bool hanging_ = false;
  bool late_ = false;
  bool draining_ = false;
  std::optional<Instant> drain_acknowledged_at_;
  std::optional<Instant> evacuated_since_;
};

absl::Status Upstream::Impl::Listen() {
  http::ServerSettings settings;
  settings.host = settings_.listen.host;
  settings.port = settings_.listen.port;
  auto server = http::Server::Create(
      context_, settings,
      [this](const Request& request, const Responder& respond) {
        HandleRequest(request, respond);
      });
  if (!server.ok()) {
    return server.status();
  }
  server_ = *std::move(server);
  http::ClientSettings client;
  client.host = settings_.sidecar.host;
  client.port = settings_.sidecar.port;
  sidecar_ = http::Client::Create(context_, client);
  Restart();
  Tick();
  Announce();
  return absl::OkStatus();
}

void Upstream::Impl::Crash() {
  runs_.reset();
  observer_.OnUpstreamGone(settings_.name);
  for (const PendingListing& wait : std::exchange(pending_listings_, {})) {
    wait.respond({http::kNoResponse, {}, ""});
  }
  draining_ = false;
  drain_acknowledged_at_.reset();
}

void Upstream::Impl::Restart() {
  if (runs_) {
    return;
  }
  id_ = fmt::format("{}-{}", settings_.name, ++incarnation_);
  sequence_ = 0;
  const int64_t started_unix_millis = WallTime::Now().unix_millis;
  runs_ = std::make_unique<DirectUpstream>(started_unix_millis, Now(),
                                           settings_.clock_rate);
  runs_->SetEndHook([this](const TaskRun& run, EndKind kind) {
    observer_.OnEnded(settings_.name, run.task, kind == EndKind::kDone);
  });
}

void Upstream::Impl::Tick() {
  Advance();
  if (drain_acknowledged_at_ &&
      MonotonicClock::now() - *drain_acknowledged_at_ > kDrainTime &&
      runs_->Running().empty()) {
    Crash();
    Restart();
  }
  for (auto it = pending_listings_.begin(); it != pending_listings_.end();) {
    bool is_final = false;
    it->command.lease_until = 0;
    Response response = List(it->command, is_final);
    if (is_final || MonotonicClock::now() >= it->until) {
      it->respond(std::move(response));
      it = pending_listings_.erase(it);
    } else {
      ++it;
    }
  }
  tick_.expires_after(kTick);
  tick_.async_wait([weak = weak_from_this()](const ErrorCode& ec) {
    const auto self = weak.lock();
    if (!ec && self) {
      self->Tick();
    }
  });
}

Request Upstream::Impl::FormatAnnouncement(const std::string& id,
                                           std::string_view service,
                                           uint64_t sequence,
                                           int64_t started_unix_millis) const {
  Request request;
  request.method = "PUT";
  request.target = "/api/instances/" + id;
  request.body = fmt::format(
      R"({{"service":"{}","address":"{}:{}","zone":"{}","version":"v1",)"
      R"("slots":8,"state":"{}","cold-left-ms":0,"capacity":{{"cpu":{},)"
      R"("mem-mb":{},"gpu":0}},"labels":[],"clock-ms":{},"seq":{},)"
      R"("born":{}}})",
      service, settings_.announced_address.host,
      settings_.announced_address.port, settings_.zone,
      draining_ ? "draining" : "ready", settings_.max_running_tasks * kTaskCpu,
      settings_.max_running_tasks * kTaskMemoryMb, runs_->Clock(Now()),
      sequence, started_unix_millis);
  return request;
}

void Upstream::Impl::SendAsOtherWriter() {
  Request request;
  if (writer_random_.Chance(kDepartureProbability)) {
    request.method = "DELETE";
    request.target = "/api/instances/" + id_;
  } else if (writer_random_.Chance(kForeignProbability)) {
    const bool is_copy = writer_random_.Chance(0.5);
    const auto later = writer_random_.Between(Duration(0), kMaxStartDifference);
    request = FormatAnnouncement(
        is_copy ? id_ : "other",
        writer_random_.Chance(0.5) ? settings_.service : "no-such-service",
        sequence_ + 1000,
        runs_->started_unix_millis() +
            std::chrono::duration_cast<std::chrono::milliseconds>(
                later - kMaxStartDifference / 2)
                .count());
  } else {
    return;
  }
  sidecar_->Call(std::move(request), kAnnounceTimeout,
                 [](const http::CallResult&) {});
}

void Upstream::Impl::Announce() {
  if (runs_) {
    SendAsOtherWriter();
    Request request = FormatAnnouncement(id_, settings_.service, ++sequence_,
                                         runs_->started_unix_millis());
    sidecar_->Call(
        std::move(request), kAnnounceTimeout,
        [this, id = id_, draining = draining_](const http::CallResult& result) {
          if (id == id_ && draining) {
            OnAnnounced(result);
          }
        });
  }
  announce_.expires_after(kAnnounceInterval);
  announce_.async_wait([weak = weak_from_this()](const ErrorCode& ec) {
    const auto self = weak.lock();
    if (!ec && self) {
      self->Announce();
    }
  });
}

void Upstream::Impl::OnAnnounced(const http::CallResult& result) {
  if (runs_ && !drain_acknowledged_at_ && result.response.ok() &&
      result.response->status == 200) {
    drain_acknowledged_at_ = MonotonicClock::now();
  }
}

void Upstream::Impl::HandleRequest(const Request& request,
                                   const Responder& respond) {
  if (!runs_) {
    respond({http::kNoResponse, {}, ""});
    return;
  }
  auto body = platform::ParseObject(request.body);
  if (!body) {
    respond({400, {}, ""});
    return;
  }
  Call call;
  call.target = request.target;
  call.header.upstream = request.FindHeader("Filbertwick-Expect-Instance");
  call.header.fencing_token = static_cast<uint64_t>(
      platform::FindInteger(*body, "fencing-token").value_or(0));
  call.body = *std::move(body);
  call.late = late_ && random_.Chance(kLateProbability);
  if (!call.late) {
    Execute(call, respond);
    return;
  }
  RunAfter(context_, random_.Between(kLateMin, kLateMax),
           [weak = weak_from_this(), call = std::move(call)] {
             const auto self = weak.lock();
             if (self && self->runs_) {
               self->Execute(call, [](const Response&) {});
             }
           });
}

Response Upstream::Impl::Answer(CommandResult answer) const {
  const auto clock = runs_->Clock(Now());
  switch (answer) {
    case CommandResult::kAccepted:
      return {200, {}, fmt::format(R"({{"clock-ms":{}}})", clock)};
    case CommandResult::kFenced:
      return {
          409, {}, fmt::format(R"({{"clock-ms":{},"reason":"fence"}})", clock)};
    case CommandResult::kOtherIncarnation:
      return {421, {}, ""};
    default:
      return {
          409, {}, fmt::format(R"({{"clock-ms":{},"reason":"old"}})", clock)};
  }
}

void Upstream::Impl::Execute(const Call& call, const Responder& respond) {
  if (call.header.upstream != id_) {
    respond(Answer(CommandResult::kOtherIncarnation));
  } else if (call.target == "/api/run-start") {
    respond(Start(call));
  } else if (call.target == "/api/run-stop") {
    respond(Answer(runs_->Stop(Now(), {call.header, ParseTaskRun(call)})));
  } else if (call.target == "/api/hold") {
    AnswerList(call, respond);
  } else {
    respond({404, {}, ""});
  }
}

Response Upstream::Impl::Start(const Call& call) {
  StartCommand command;
  command.header = call.header;
  command.run = ParseTaskRun(call);
  command.spec = platform::FindString(call.body, "spec").value_or("");
  command.lease_until =
      platform::FindInteger(call.body, "until-ms").value_or(0);
  runs_->Advance(Now());
  const size_t before = runs_->Running().size();
  const auto answer = runs_->Start(
      Now(), command, {hanging_ ? kHangTime : ParseRunTime(command.spec)});
  if (runs_->Running().size() > before) {
    observer_.OnStarted(settings_.name, command.run.task, before,
                        settings_.max_running_tasks);
    if (!call.late) {
      CheckStart(command.run);
    }
  }
  return Answer(answer);
}

void Upstream::Impl::CheckStart(const TaskRun& run) {
  const Instant now = MonotonicClock::now();
  if (drain_acknowledged_at_ &&
      now - *drain_acknowledged_at_ > kDrainTime + kDrainSlack) {
    observer_.Report("drain", fmt::format("{} starts at {}, which is draining",
                                          run.task, settings_.name));
  }
  if (evacuated_since_ && now - *evacuated_since_ > kEvacuationTime) {
    observer_.Report("evacuation",
                     fmt::format("{} starts at {}, whose zone is evacuated",
                                 run.task, settings_.name));
  }
}

void Upstream::Impl::AnswerList(const Call& call, const Responder& respond) {
  ListCommand command;
  command.header = call.header;
  command.acknowledged_end = static_cast<uint64_t>(
      platform::FindInteger(call.body, "seen-upto").value_or(0));
  command.lease_until =
      platform::FindInteger(call.body, "until-ms").value_or(0);
  const Duration wait =
      platform::FindMillis(call.body, "wait-ms").value_or(Duration(0));
  bool is_final = false;
  Response response = List(command, is_final);
  if (is_final || wait == Duration(0)) {
    respond(std::move(response));
  } else {
    pending_listings_.push_back(
        {command, MonotonicClock::now() + wait, respond});
  }
}

Response Upstream::Impl::List(const ListCommand& command, bool& is_final) {
  core::direct::Listing listing;
  const auto answer = runs_->List(Now(), command, listing);
  if (answer != CommandResult::kAccepted) {
    is_final = true;
    return Answer(answer);
  }
  is_final = !listing.ended.empty();
  std::string running;
  for (const auto& item : listing.running) {
    running += fmt::format(R"({}["{}",{},"",{},0])", running.empty() ? "" : ",",
                           item.run.task, item.run.run, item.percent);
  }
  std::string ended;
  for (const auto& item : listing.ended) {
    ended += fmt::format(R"({}[{},"{}",{},"{}",""])", ended.empty() ? "" : ",",
                         item.number, item.run.task, item.run.run,
                         NameOf(item.kind));
  }
  return {
      200,
      {},
      fmt::format(R"({{"clock-ms":{},"born":{},"running":[{}],"ended":[{}]}})",
                  runs_->Clock(Now()), runs_->started_unix_millis(), running,
                  ended)};
}

Upstream::Upstream(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

Upstream::~Upstream() = default;

absl::StatusOr<std::unique_ptr<Upstream>> Upstream::Create(
    asio::io_context& context,
    UpstreamSettings settings,
    Observer& observer) {
  auto impl = std::make_shared<Impl>(context, std::move(settings), observer);
  if (absl::Status status = impl->Listen(); !status.ok()) {
    return status;
  }
  return std::unique_ptr<Upstream>(new Upstream(std::move(impl)));
}

void Upstream::Advance() {
  impl_->Advance();
}

void Upstream::Crash() {
  impl_->Crash();
}

void Upstream::Restart() {
  impl_->Restart();
}

void Upstream::SetHanging(bool hanging) {
  impl_->SetHanging(hanging);
}

void Upstream::SetLate(bool late) {
  impl_->SetLate(late);
}

void Upstream::Drain() {
  impl_->Drain();
}

void Upstream::SetZoneEvacuated(bool evacuated) {
  impl_->SetZoneEvacuated(evacuated);
}

}  // namespace filbertwick::soak
