#include "filbertwick/platform/control_follower.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "filbertwick/http/client.h"
#include "filbertwick/http/target.h"
#include "filbertwick/platform/job_codec.h"
#include "filbertwick/platform/topic_follower.h"
#include "filbertwick/wire/archive.h"

namespace filbertwick::platform {
namespace {

using core::direct::ControlPosition;
using core::direct::ControlSnapshot;
using core::direct::ControlStreamState;

/// Topic of the operator's control stream.
constexpr std::string_view kTopic = "keyed.op";
/// Key of the configuration.
constexpr std::string_view kConfigurationKey = "config";
/// Prefix of the keys of zones that are out of service; the zone follows.
constexpr std::string_view kZonePrefix = "evacuate/";
/// Time for which other instances must stay ahead before a snapshot is fetched.
/// In most cases the read from the store delivers the same records before then.
constexpr Duration kFetchDelay = std::chrono::milliseconds(200);
/// The same before the first read from the store has succeeded: callers may
/// wait for the configuration.
constexpr Duration kFirstFetchDelay = std::chrono::milliseconds(20);
constexpr Duration kFetchTimeout = std::chrono::milliseconds(500);
/// Header of a snapshot: microseconds since it was known to be the newest.
constexpr std::string_view kAgeHeader = "Control-Age-Micros";

}  // namespace

class ControlFollower::Impl
    : public std::enable_shared_from_this<ControlFollower::Impl> {
 public:
  Impl(boost::asio::io_context& context,
       uint16_t peer_port,
       Duration bound,
       ControlFollowerHooks hooks)
      : context_(context),
        peer_port_(peer_port),
        hooks_(std::move(hooks)),
        freshness_(bound) {}

  void StartFollowing(StoreClient& store,
                      const core::policy::ReadTimes& times) {
    TopicFollowerHooks hooks;
    hooks.newest = [this](std::span<const StoreRecord> records, uint64_t end) {
      ApplyNewest(records, end);
    };
    hooks.read = [this](std::span<const StoreRecord> records, uint64_t end) {
      std::ranges::for_each(records,
                            [this](const StoreRecord& it) { ApplyRecord(it); });
      control_.Advance(end);
      hooks_.changed();
    };
    hooks.call_ended = [this](const absl::Status& status, Instant complete_at) {
      if (status.ok()) {
        freshness_.Confirm(complete_at);
      } else {
        hooks_.log(LogLine("control_read_failed")
                       .AddCause(status)
                       .Add("age_us", LoggedAge()));
      }
    };
    hooks.store_changed = [this](const absl::Status& status) {
      hooks_.log(
          LogLine(status.ok() ? "store_regained" : "store_lost")
              .AddCause(status)
              .Add("offset", static_cast<int64_t>(control_.position().offset)));
    };
    follower_ = TopicFollower::Create(context_, store, std::string(kTopic),
                                      times, std::move(hooks));
  }

  void StopFollowing() { follower_.reset(); }

  void OnPeerPosition(const std::string& host,
                      const ControlPosition& position) {
    if (position.offset <= control_.position().offset) {
      behind_since_.reset();
      return;
    }
    const Instant now = MonotonicClock::now();
    if (!behind_since_) {
      behind_since_ = now;
    }
    const Duration delay =
        control_.position().offset == 0 ? kFirstFetchDelay : kFetchDelay;
    if (now - *behind_since_ >= delay && !fetching_) {
      FetchSnapshot(host);
    }
  }

  http::Response SnapshotResponse() const {
    http::Response response;
    if (const auto age = freshness_.Age(MonotonicClock::now())) {
      response.headers.push_back(
          {std::string(kAgeHeader), std::to_string(age->count())});
    }
    response.body = wire::EncodeValue(control_.snapshot());
    return response;
  }

  const ControlStreamState& current() const { return control_; }
  const core::direct::ControlFreshness& freshness() const { return freshness_; }

 private:
  /// Age in microseconds for a log line; -1 when it is not known.
  int64_t LoggedAge() const {
    return freshness_.Age(MonotonicClock::now()).value_or(Duration(-1)).count();
  }

  /// Applies the newest records of all keys. Zones without a record are back in
  /// service; without a readable record of the configuration, the present one
  /// stays in force.
  void ApplyNewest(std::span<const StoreRecord> records, uint64_t end) {
    std::set<ZoneName> zones;
    for (const StoreRecord& record : records) {
      if (record.key.starts_with(kZonePrefix)) {
        zones.emplace(record.key.substr(kZonePrefix.size()));
      } else {
        ApplyRecord(record);
      }
    }
    control_.ResetZones(end, std::move(zones));
    hooks_.changed();
  }

  /// Applies one record. Keys that are neither the configuration nor a zone are
  /// ignored.
  void ApplyRecord(const StoreRecord& record) {
    if (record.key == kConfigurationKey) {
      if (record.value) {
        ApplyConfiguration(record.offset, *record.value, "store");
      }
    } else if (record.key.starts_with(kZonePrefix)) {
      const ZoneName zone(record.key.substr(kZonePrefix.size()));
      if (control_.SetZone(record.offset, zone, record.value.has_value())) {
        hooks_.log(LogLine(record.value ? "zone_out" : "zone_in")
                       .Add("zone", zone.value())
                       .Add("offset", static_cast<int64_t>(record.offset)));
      }
    }
  }

  /// Parses a configuration and puts it into force unless the present one has
  /// the same or a higher version.
  /// `source` is "store" or the host that it was fetched from.
  void ApplyConfiguration(uint64_t offset,
                          const std::string& text,
                          std::string_view source) {
    auto configuration = ParseConfiguration(text);
    if (!configuration.ok()) {
      hooks_.log(LogLine("configuration_unreadable")
                     .Add("offset", static_cast<int64_t>(offset))
                     .AddCause(configuration.status()));
      return;
    }
    const auto routes = static_cast<int64_t>(configuration->routes.size());
    const core::direct::RequestLimits limits = configuration->limits;
    if (control_.Publish(offset, text, *std::move(configuration))) {
      hooks_.log(
          LogLine("configuration_in_force")
              .Add("version", static_cast<int64_t>(control_.position().version))
              .Add("routes", routes)
              .Add("max_header_bytes", limits.max_header_bytes)
              .Add("max_body_bytes",
                   static_cast<int64_t>(limits.max_body_bytes))
              .Add("header_timeout_ms",
                   limits.header_timeout / std::chrono::milliseconds(1))
              .Add("idle_timeout_ms",
                   limits.idle_timeout / std::chrono::milliseconds(1))
              .Add("source", source));
    }
  }

  void FetchSnapshot(const std::string& host) {
    fetching_ = true;
    auto& client = clients_[host];
    if (!client) {
      http::ClientSettings settings;
      settings.host = host;
      settings.port = peer_port_;
      client = http::Client::Create(context_, settings);
    }
    http::Request request;
    request.target = "/control";
    client->Call(
        std::move(request), kFetchTimeout,
        [weak = weak_from_this(), host,
         sent_at = MonotonicClock::now()](const http::CallResult& result) {
          if (const auto self = weak.lock()) {
            self->OnFetched(host, sent_at, result);
          }
        });
  }

  void OnFetched(const std::string& host,
                 Instant sent_at,
                 const http::CallResult& result) {
    fetching_ = false;
    behind_since_.reset();
    if (!result.response.ok() || result.response->status != 200) {
      hooks_.log(LogLine("snapshot_not_fetched")
                     .Add("host", host)
                     .AddCause(result.response.status())
                     .Add("age_us", LoggedAge()));
      // The next position that is ahead starts kFetchDelay again; one that is
      // still ahead after it triggers another fetch.
      return;
    }
    auto snapshot = wire::DecodeValue<ControlSnapshot>(result.response->body);
    if (!snapshot.ok()) {
      hooks_.log(LogLine("snapshot_unreadable")
                     .Add("host", host)
                     .AddCause(snapshot.status()));
      return;
    }
    const uint64_t offset = snapshot->position.offset;
    if (offset <= control_.position().offset) {
      return;
    }
    if (!snapshot->configuration.empty()) {
      // Takes the offset of a record; a position is the offset after it.
      ApplyConfiguration(offset - 1, snapshot->configuration, host);
    }
    control_.ResetZones(offset, std::move(snapshot->zones_out));
    if (const auto age =
            http::ParseNumber(result.response->FindHeader(kAgeHeader))) {
      freshness_.Confirm(sent_at - Duration(static_cast<int64_t>(*age)));
    }
    hooks_.changed();
  }

  boost::asio::io_context& context_;
  const uint16_t peer_port_;
  const ControlFollowerHooks hooks_;
  ControlStreamState control_;
  std::unique_ptr<TopicFollower> follower_;
  std::map<std::string, std::unique_ptr<http::Client>> clients_;
  /// Arrival of the first of the latest received positions that were all ahead
  /// of this instance; unset when the last one was not.
  std::optional<Instant> behind_since_;
  bool fetching_ = false;
  core::direct::ControlFreshness freshness_;
};

ControlFollower::ControlFollower(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

ControlFollower::~ControlFollower() {
  impl_->StopFollowing();
}

std::unique_ptr<ControlFollower> ControlFollower::Create(
    boost::asio::io_context& context,
    StoreClient& store,
    const core::policy::ReadTimes& times,
    uint16_t peer_port,
    Duration bound,
    ControlFollowerHooks hooks) {
  auto impl =
      std::make_shared<Impl>(context, peer_port, bound, std::move(hooks));
  impl->StartFollowing(store, times);
  return std::unique_ptr<ControlFollower>(new ControlFollower(std::move(impl)));
}

void ControlFollower::OnPeerPosition(
    const std::string& host,
    const core::direct::ControlPosition& position) {
  impl_->OnPeerPosition(host, position);
}

http::Response ControlFollower::SnapshotResponse() const {
  return impl_->SnapshotResponse();
}

const ControlStreamState& ControlFollower::current() const {
  return impl_->current();
}

const core::direct::ControlFreshness& ControlFollower::freshness() const {
  return impl_->freshness();
}

}  // namespace filbertwick::platform
