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

namespace filbertwick::soak {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using core::direct::EndKind;
using core::direct::ListOrder;
using core::direct::OrderAnswer;
using core::direct::OrderStamp;
using core::direct::StartOrder;
using core::direct::StopOrder;
using core::direct::TaskRun;
using filbertwick::harness::DirectUpstream;
using http::Request;
using http::Responder;
using http::Response;
using ErrorCode = boost::system::error_code;

/// Time between two looks at what has ended.
constexpr Duration kTick = std::chrono::milliseconds(5);
/// Time between announcements; a third of the platform's, for short runs.
constexpr Duration kAnnounceInterval = std::chrono::milliseconds(500);
/// An acknowledgement counts within this time, as on the platform.
constexpr Duration kAnnounceTimeout = std::chrono::seconds(1);
/// From the acknowledged drain to the end, as on the platform.
constexpr Duration kDrainTime = std::chrono::milliseconds(2000);
/// Orders on their way when the drain was acknowledged still arrive.
constexpr Duration kDrainSlack = std::chrono::milliseconds(500);
/// From an evacuation to the last start in its zone, as on the platform.
constexpr Duration kEvacuationTime = std::chrono::milliseconds(5000);
/// When a late order is carried out.
constexpr Duration kLateMin = std::chrono::milliseconds(500);
constexpr Duration kLateMax = std::chrono::milliseconds(2500);
constexpr double kLateShare = 0.3;
/// A run that hangs is longer than any soak.
constexpr Duration kForever = std::chrono::hours(1);
constexpr int kCpuOfTask = 1000;
constexpr int kMemoryOfTask = 100;

/// Milliseconds that a spec of the form `run NUMBER` asks for.
Duration LengthOf(std::string_view spec) {
  const auto number = http::ParseNumber(spec.substr(spec.find(' ') + 1));
  return std::chrono::milliseconds(number.value_or(1));
}

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
        tick_(context),
        announce_(context) {}

  absl::Status Listen();
  void Advance() {
    if (runs_) {
      runs_->Advance(Now());
    }
  }
  void Die();
  void Revive();
  void SetHanging(bool hanging) { hanging_ = hanging; }
  void SetLate(bool late) { late_ = late; }
  void Drain() { draining_ = runs_ != nullptr; }
  void SetZoneOut(bool out) {
    if (!out) {
      zone_out_since_.reset();
    } else if (!zone_out_since_) {
      zone_out_since_ = MonotonicClock::now();
    }
  }

 private:
  /// A listing that waits for an end.
  struct Wait {
    ListOrder order;
    Instant until;
    Responder respond;
  };

  Duration Now() const { return MonotonicClock::now() - begun_; }
  void Tick();
  void Announce();
  void OnAnnounced(const http::CallResult& result);
  void Take(const Request& request, const Responder& respond);
  Response CarryOut(const Request& request);
  Response Start(const json::object& body, const OrderStamp& stamp);
  Response Stop(const json::object& body, const OrderStamp& stamp);
  bool TakeList(const Request& request, const Responder& respond);
  Response List(const ListOrder& order, bool& has_end);
  Response Answer(OrderAnswer answer) const;
  void CheckStart(const TaskRun& run);
  void Schedule(const Request& request);

  asio::io_context& context_;
  const UpstreamSettings settings_;
  Observer& observer_;
  harness::Random random_;
  asio::steady_timer tick_;
  asio::steady_timer announce_;
  const Instant begun_ = MonotonicClock::now();
  std::unique_ptr<http::Server> server_;
  std::unique_ptr<http::Client> sidecar_;
  /// Absent while it is dead.
  std::unique_ptr<DirectUpstream> runs_;
  std::list<Wait> waits_;
  std::string id_;
  uint64_t lives_ = 0;
  uint64_t sequence_ = 0;
  bool hanging_ = false;
  bool late_ = false;
  bool draining_ = false;
  std::optional<Instant> drain_taken_;
  std::optional<Instant> zone_out_since_;
};

absl::Status Upstream::Impl::Listen() {
  http::ServerSettings settings;
  settings.host = settings_.listen.host;
  settings.port = settings_.listen.port;
  auto server = http::Server::Create(
      context_, settings,
      [this](const Request& request, const Responder& respond) {
        Take(request, respond);
      });
  if (!server.ok()) {
    return server.status();
  }
  server_ = *std::move(server);
  http::ClientSettings client;
  client.host = settings_.sidecar.host;
  client.port = settings_.sidecar.port;
  sidecar_ = http::Client::Create(context_, client);
  Revive();
  Tick();
  Announce();
  return absl::OkStatus();
}

void Upstream::Impl::Die() {
  runs_.reset();
  observer_.OnUpstreamGone(settings_.name);
  for (const Wait& wait : std::exchange(waits_, {})) {
    wait.respond({http::kNoResponse, {}, ""});
  }
  draining_ = false;
  drain_taken_.reset();
}

void Upstream::Impl::Revive() {
  if (runs_) {
    return;
  }
  id_ = fmt::format("{}-{}", settings_.name, ++lives_);
  sequence_ = 0;
  const int64_t born = WallTime::Now().unix_millis;
  runs_ = std::make_unique<DirectUpstream>(born, Now(), settings_.clock_rate);
  runs_->SetEndHook([this](const TaskRun& run, EndKind kind) {
    observer_.OnEnded(settings_.name, run.task, kind == EndKind::kDone);
  });
}

void Upstream::Impl::Tick() {
  Advance();
  if (drain_taken_ && MonotonicClock::now() - *drain_taken_ > kDrainTime &&
      runs_->Running().empty()) {
    Die();
    Revive();
  }
  for (auto it = waits_.begin(); it != waits_.end();) {
    bool has_end = false;
    it->order.lease_until = 0;
    Response response = List(it->order, has_end);
    if (has_end || MonotonicClock::now() >= it->until) {
      it->respond(std::move(response));
      it = waits_.erase(it);
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

void Upstream::Impl::Announce() {
  if (runs_) {
    Request request;
    request.method = "PUT";
    request.target = "/api/instances/" + id_;
    request.body = fmt::format(
        R"({{"service":"{}","address":"{}:{}","zone":"{}","version":"v1",)"
        R"("slots":8,"state":"{}","cold-left-ms":0,"capacity":{{"cpu":{},)"
        R"("mem-mb":{},"gpu":0}},"labels":[],"clock-ms":{},"seq":{},)"
        R"("born":{}}})",
        settings_.service, settings_.reached_at.host, settings_.reached_at.port,
        settings_.zone, draining_ ? "draining" : "ready",
        settings_.room * kCpuOfTask, settings_.room * kMemoryOfTask,
        runs_->Clock(Now()), ++sequence_, runs_->born());
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
  if (runs_ && !drain_taken_ && result.response.ok() &&
      result.response->status == 200) {
    drain_taken_ = MonotonicClock::now();
  }
}

void Upstream::Impl::Take(const Request& request, const Responder& respond) {
  if (!runs_) {
    respond({http::kNoResponse, {}, ""});
    return;
  }
  if (late_ && random_.Chance(kLateShare)) {
    Schedule(request);
    return;
  }
  if (!TakeList(request, respond)) {
    respond(CarryOut(request));
  }
}

void Upstream::Impl::Schedule(const Request& request) {
  const auto timer = std::make_shared<asio::steady_timer>(
      context_, random_.Between(kLateMin, kLateMax));
  timer->async_wait(
      [weak = weak_from_this(), timer, request](const ErrorCode& ec) {
        const auto self = weak.lock();
        if (!ec && self && self->runs_) {
          self->CarryOut(request);
        }
      });
}

Response Upstream::Impl::Answer(OrderAnswer answer) const {
  const auto clock = runs_->Clock(Now());
  switch (answer) {
    case OrderAnswer::kAccepted:
      return {200, {}, fmt::format(R"({{"clock-ms":{}}})", clock)};
    case OrderAnswer::kFenced:
      return {
          409, {}, fmt::format(R"({{"clock-ms":{},"reason":"fence"}})", clock)};
    case OrderAnswer::kOtherLife:
      return {421, {}, ""};
    default:
      return {
          409, {}, fmt::format(R"({{"clock-ms":{},"reason":"old"}})", clock)};
  }
}

Response Upstream::Impl::CarryOut(const Request& request) {
  OrderStamp stamp;
  stamp.upstream = request.FindHeader("Filbertwick-Expect-Instance");
  if (stamp.upstream != id_) {
    return Answer(OrderAnswer::kOtherLife);
  }
  const auto value = platform::ParseJson(request.body);
  const json::object* body = value ? platform::AsObject(*value) : nullptr;
  if (body == nullptr) {
    return {400, {}, ""};
  }
  stamp.fencing_token = static_cast<uint64_t>(
      platform::FindInteger(*body, "fencing-token").value_or(0));
  if (request.target == "/api/run-start") {
    return Start(*body, stamp);
  }
  if (request.target == "/api/run-stop") {
    return Stop(*body, stamp);
  }
  // A listing that comes late lists for nobody, but extends the lease.
  ListOrder order;
  order.stamp = stamp;
  order.lease_until = platform::FindInteger(*body, "until-ms").value_or(0);
  bool has_end = false;
  return List(order, has_end);
}

Response Upstream::Impl::Start(const json::object& body,
                               const OrderStamp& stamp) {
  StartOrder order;
  order.stamp = stamp;
  order.run = {
      std::string(platform::FindString(body, "task").value_or("")),
      static_cast<uint64_t>(platform::FindInteger(body, "run").value_or(0))};
  order.spec = platform::FindString(body, "spec").value_or("");
  order.lease_until = platform::FindInteger(body, "until-ms").value_or(0);
  runs_->Advance(Now());
  const size_t before = runs_->Running().size();
  const auto answer =
      runs_->Start(Now(), order, hanging_ ? kForever : LengthOf(order.spec));
  if (runs_->Running().size() > before) {
    observer_.OnStarted(settings_.name, order.run.task, before, settings_.room);
    CheckStart(order.run);
  }
  return Answer(answer);
}

void Upstream::Impl::CheckStart(const TaskRun& run) {
  const Instant now = MonotonicClock::now();
  if (late_) {
    return;  // The order may be an old one.
  }
  if (drain_taken_ && now - *drain_taken_ > kDrainTime + kDrainSlack) {
    observer_.Report("drain", fmt::format("{} starts at {}, which leaves",
                                          run.task, settings_.name));
  }
  if (zone_out_since_ && now - *zone_out_since_ > kEvacuationTime) {
    observer_.Report("evacuation",
                     fmt::format("{} starts at {}, whose zone is out", run.task,
                                 settings_.name));
  }
}

Response Upstream::Impl::Stop(const json::object& body,
                              const OrderStamp& stamp) {
  StopOrder order;
  order.stamp = stamp;
  order.run = {
      std::string(platform::FindString(body, "task").value_or("")),
      static_cast<uint64_t>(platform::FindInteger(body, "run").value_or(0))};
  return Answer(runs_->Stop(Now(), order));
}

bool Upstream::Impl::TakeList(const Request& request,
                              const Responder& respond) {
  const auto value = platform::ParseJson(request.body);
  const json::object* body = value ? platform::AsObject(*value) : nullptr;
  if (request.target != "/api/hold" || body == nullptr ||
      request.FindHeader("Filbertwick-Expect-Instance") != id_) {
    return false;
  }
  ListOrder order;
  order.stamp.fencing_token = static_cast<uint64_t>(
      platform::FindInteger(*body, "fencing-token").value_or(0));
  order.ends_taken = static_cast<uint64_t>(
      platform::FindInteger(*body, "seen-upto").value_or(0));
  order.lease_until = platform::FindInteger(*body, "until-ms").value_or(0);
  const Duration wait =
      platform::FindMillis(*body, "wait-ms").value_or(Duration(0));
  bool has_end = false;
  Response response = List(order, has_end);
  if (has_end || wait == Duration(0) || response.status != 200) {
    respond(std::move(response));
  } else {
    waits_.push_back({order, MonotonicClock::now() + wait, respond});
  }
  return true;
}

Response Upstream::Impl::List(const ListOrder& order, bool& has_end) {
  core::direct::Listing listing;
  const auto answer = runs_->List(Now(), order, listing);
  if (answer != OrderAnswer::kAccepted) {
    has_end = true;
    return Answer(answer);
  }
  has_end = !listing.ended.empty();
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
                  runs_->Clock(Now()), runs_->born(), running, ended)};
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

void Upstream::Die() {
  impl_->Die();
}

void Upstream::Revive() {
  impl_->Revive();
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

void Upstream::SetZoneOut(bool out) {
  impl_->SetZoneOut(out);
}

}  // namespace filbertwick::soak
