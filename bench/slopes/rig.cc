#include "bench/slopes/rig.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <ctime>
#include <utility>

#include "filbertwick/core/entry/entry_core.h"
#include "filbertwick/core/sidecar/sidecar_core.h"
#include "filbertwick/wire/codec.h"

namespace filbertwick::bench {
namespace {

/// Start values of the monotonic clock and of the wall clock, the latter in
/// milliseconds since the Unix epoch.
constexpr Duration kMonotonicOrigin = std::chrono::hours(1);
constexpr int64_t kWallOrigin = 1'700'000'000'000;
/// Delay between a message and its reply.
constexpr Duration kRoundTrip = std::chrono::milliseconds(1);
constexpr Duration kLogTime = std::chrono::milliseconds(5);
constexpr Duration kLogPoll = std::chrono::seconds(2);
/// Time until the liveness evidence of all peers is valid and every shard is
/// served.
constexpr Duration kSettleTime = std::chrono::seconds(4);

}  // namespace

double ThreadNanoseconds() {
  timespec at{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
  return static_cast<double>(at.tv_sec) * 1e9 + static_cast<double>(at.tv_nsec);
}

std::string MakeBundleText(const RigSettings& settings, uint64_t version) {
  std::string zones;
  std::string names;
  for (uint32_t n = 0; n < settings.zones; ++n) {
    const bool other =
        settings.other_sidecars > 0 && n >= (settings.zones + 1) / 2;
    const char* comma = n == 0 ? "" : ", ";
    zones += fmt::format("{}{{\"name\": \"zone-{}\", \"region\": \"{}\"}}",
                         comma, n, other ? "away" : "home");
    names += fmt::format("{}\"zone-{}\"", comma, n);
  }
  std::string teams;
  for (uint32_t n = 0; n < settings.teams; ++n) {
    teams += fmt::format(
        "{}\n    {{\"name\": \"team-{}\", \"home_region\": \"home\", "
        "\"weight\": 1, \"quota\": 100000}}",
        n == 0 ? "" : ",", n);
  }
  return fmt::format(
      R"({{
  "version": {}, "based_on": {}, "generation": 1, "dedupe_window_ms": 600000,
  "zones": [{}],
  "services": [{{"name": "quoting", "zones": [{}], "slots": {}, "queue": 1,
    "deadline_class": "urgent", "repeatable": false,
    "task_timeout_ms": 4000}}],
  "teams": [{}]
}}
)",
      version, version - 1, zones, names, settings.slots, teams);
}

Rig::Rig(const RigSettings& settings)
    : settings_(settings),
      frames_(*net::FrameCodec::Create("secret of the rig")) {
  // The cost of reading the clock once is subtracted from every timed interval.
  constexpr int kReadings = 20'000;
  const double begin = ThreadNanoseconds();
  for (int n = 0; n < kReadings; ++n) {
    ThreadNanoseconds();
  }
  clock_read_ns_ = (ThreadNanoseconds() - begin) / kReadings;
  MakeInstances();
  MakeLog();
  core::NodeSettings node;
  node.info = self_;
  node.seed = 1;
  if (settings_.role == wire::Role::kEntry) {
    core::policy::PolicySettings policy;
    policy.own_zone = self_.zone;
    policy.sharing_entries = settings_.entries;
    policy.slow_start = false;
    auto entry = core::EntryCore::Create(node, policy);
    assert(entry.ok());
    encode_ = [core = entry->get()] { return core->control().Encode(); };
    core_ = std::move(*entry);
    Deliver(core::LogReadEvent{0, log_, log_.size()});
    PollLog();
  } else {
    auto sidecar = core::SidecarCore::Create(node);
    assert(sidecar.ok());
    encode_ = [core = sidecar->get()] { return core->control().Encode(); };
    core_ = std::move(*sidecar);
    Receive(*entries_.front(), wire::Records{0, log_});
    Deliver(core::UpstreamEvent{settings_.slots, false});
  }
  ProbeRound();
  Run(kSettleTime);
  ResetUsage();
}

Rig::~Rig() = default;

void Rig::MakeInstances() {
  const auto make = [&](bool entry, bool home, uint32_t n) {
    wire::InstanceInfo info;
    info.name = InstanceName(fmt::format("{}-{}-{:04}", home ? "home" : "away",
                                         entry ? "entry" : "sidecar", n));
    info.incarnation = 0x9e3779b97f4a7c15ULL * (n + 1) | 1;
    info.role = entry ? wire::Role::kEntry : wire::Role::kSidecar;
    info.region = RegionName(home ? "home" : "away");
    info.zone = ZoneName(fmt::format("zone-{}", n % settings_.zones));
    info.address = {fmt::format("10.20.{}.{}", n / 250, n % 250), 7001, 7002,
                    7003};
    if (!entry) {
      info.service = ServiceName("quoting");
    }
    return info;
  };
  const bool is_entry = settings_.role == wire::Role::kEntry;
  self_ = make(is_entry, true, 0);
  for (uint32_t n = is_entry ? 1 : 0; n < settings_.entries; ++n) {
    const wire::InstanceInfo info = make(true, true, n);
    entries_.push_back(&(stubs_[info.name] = {info, 0}));
  }
  for (uint32_t n = is_entry ? 0 : 1; n < settings_.sidecars; ++n) {
    const wire::InstanceInfo info = make(false, true, n);
    sidecars_.push_back(&(stubs_[info.name] = {info, 0}));
  }
  for (uint32_t n = 0; n < settings_.other_entries; ++n) {
    others_.push_back(make(true, false, n));
  }
  for (uint32_t n = 0; n < settings_.other_sidecars; ++n) {
    others_.push_back(make(false, false, n));
  }
}

wire::ControlRecord Rig::MakeRecord(wire::ControlBody body) {
  wire::ControlRecord record;
  record.change = ChangeId(fmt::format("change/{:016}", ++changes_));
  record.author = AuthorName("operator");
  record.written = CurrentTime().wall;
  record.body = std::move(body);
  return record;
}

void Rig::MakeLog() {
  wire::ResetRegion home{RegionName("home"), 1, {}};
  wire::ResetRegion away{RegionName("away"), 1, {}};
  const auto join = [&](const wire::InstanceInfo& info,
                        wire::ResetRegion& region) {
    log_.push_back(MakeRecord(wire::JoinInstance{info}));
    region.members.push_back({info.name, info.incarnation});
  };
  join(self_, home);
  for (const auto& [name, stub] : stubs_) {
    join(stub.info, home);
  }
  for (const wire::InstanceInfo& info : others_) {
    join(info, away);
  }
  bundle_version_ = 1;
  log_.push_back(MakeRecord(
      wire::PublishBundle{1, 0, MakeBundleText(settings_, bundle_version_)}));
  log_.push_back(MakeRecord(home));
  if (!others_.empty()) {
    log_.push_back(MakeRecord(away));
  }
  for (const wire::ControlRecord& record : log_) {
    control_.Apply(record);
  }
}

core::Now Rig::CurrentTime() const {
  const Duration at = loop_.now();
  return {Instant(kMonotonicOrigin + at), {kWallOrigin + at.count() / 1'000}};
}

void Rig::Run(Duration span) {
  loop_.RunUntil(loop_.now() + span);
}

void Rig::Deliver(core::Event event) {
  ++usage_.events;
  const core::Now now = CurrentTime();
  core::Effects effects;
  const double begin = ThreadNanoseconds();
  core_->Handle(now, std::move(event), effects);
  const Instant next = core_->NextWakeup();
  const double end = ThreadNanoseconds();
  usage_.core_ns += end - begin - clock_read_ns_;
  for (core::Effect& effect : effects) {
    std::visit([&](auto& it) { Apply(it); }, effect);
  }
  // The event loop starts at zero, the core's clock at kMonotonicOrigin.
  const Duration when = next == Instant::max() ? Duration::max()
                                               : std::max(next, now.monotonic) -
                                                     Instant(kMonotonicOrigin);
  if (when == wakeup_ || when == Duration::max()) {
    return;
  }
  wakeup_ = when;
  loop_.At(when, [this, when] {
    if (wakeup_ == when) {
      wakeup_ = Duration(-1);
      Deliver(core::WakeupEvent());
    }
  });
}

void Rig::Receive(const Stub& from, const wire::Message& message) {
  const std::string bytes = Seal(from.info, self_, message);
  auto& traffic = usage_.received[message.index()];
  ++traffic.messages;
  traffic.bytes += bytes.size();
  const double begin = ThreadNanoseconds();
  const auto frame = frames_.Open(bytes, {});
  auto decoded = wire::DecodeMessage(frame->body);
  usage_.codec_ns += ThreadNanoseconds() - begin - clock_read_ns_;
  Deliver(core::MessageEvent{{from.info.name, from.info.incarnation},
                             *std::move(decoded)});
}

std::string Rig::Seal(const wire::InstanceInfo& from,
                      const wire::InstanceInfo& to,
                      const wire::Message& message) const {
  const bool datagram = std::holds_alternative<wire::Probe>(message) ||
                        std::holds_alternative<wire::ProbeReply>(message);
  net::FrameHeader header;
  header.from = {from.name, from.incarnation};
  header.to = to.name;
  header.to_incarnation = to.incarnation;
  header.sequence = usage_.events;
  if (datagram) {
    header.address = from.address;
  }
  return frames_.SealDatagram(header, wire::EncodeMessage(message));
}

void Rig::ProbeRound() {
  // Every other entry of the region sends a probe to the measured instance.
  for (size_t n = 0; n < entries_.size(); ++n) {
    loop_.After(Duration(100 * n), [this, stub = entries_[n]] {
      wire::Probe probe;
      probe.sent = ToMicros(CurrentTime().monotonic);
      probe.summary.offset = log_.size();
      probe.renewal = settings_.role == wire::Role::kSidecar
                          ? ToMicros(CurrentTime().monotonic - kRoundTrip)
                          : 0;
      probe.is_voter = true;
      Receive(*stub, probe);
    });
  }
  loop_.After(core::TimingSettings().probe_interval, [this] { ProbeRound(); });
}

void Rig::PollLog() {
  loop_.After(kLogPoll, [this] {
    Deliver(core::LogReadEvent{log_.size(), {}, log_.size()});
    PollLog();
  });
}

void Rig::Append(const wire::ControlRecord& record) {
  const wire::LogOffset at = log_.size();
  log_.push_back(record);
  if (settings_.role == wire::Role::kEntry) {
    Deliver(core::LogReadEvent{at, {record}, log_.size()});
  }
}

void Rig::Publish(wire::ControlBody body) {
  if (const auto* bundle = std::get_if<wire::PublishBundle>(&body)) {
    bundle_version_ = bundle->version;
  }
  Append(MakeRecord(std::move(body)));
}

void Rig::RequestRecords(uint32_t sidecar, wire::LogOffset offset) {
  Receive(*sidecars_.at(sidecar), wire::RecordsRequest{offset});
}

void Rig::Submit(uint32_t tasks, size_t payload_bytes) {
  core::SubmitEvent event;
  event.request = ++jobs_;
  const int64_t millis = CurrentTime().wall.unix_millis;
  event.spec.id = JobId(fmt::format(
      "{:08x}-{:04x}-7000-8000-{:012x}", static_cast<uint64_t>(millis) >> 16,
      static_cast<uint64_t>(millis) & 0xffff, jobs_));
  event.spec.service = ServiceName("quoting");
  event.spec.team = TeamName("team-0");
  event.spec.payloads.assign(tasks, std::string(payload_bytes, 'p'));
  event.spec.digest = wire::DigestJob(event.spec);
  Deliver(std::move(event));
}

void Rig::Offer(size_t payload_bytes) {
  wire::TaskOffer offer;
  const int64_t millis = CurrentTime().wall.unix_millis;
  offer.key.job = JobId(fmt::format(
      "{:08x}-{:04x}-7000-8000-{:012x}", static_cast<uint64_t>(millis) >> 16,
      static_cast<uint64_t>(millis) & 0xffff, ++jobs_));
  offer.shard = static_cast<wire::ShardId>(jobs_ % wire::kShardsPerRegion);
  offer.epoch = EpochOf(offer.shard);
  offer.service = ServiceName("quoting");
  offer.token = ToMicros(CurrentTime().monotonic - kRoundTrip);
  offer.timeout = std::chrono::seconds(4);
  offer.payload.assign(payload_bytes, 'p');
  const Stub& owner = stubs_.at(offer.epoch.owner);
  wire::Offers offers{self_.incarnation, {}};
  offers.offers.push_back(std::move(offer));
  Receive(owner, std::move(offers));
}

void Rig::Apply(core::SendEffect& effect) {
  const auto it = stubs_.find(effect.to);
  if (it == stubs_.end()) {
    return;
  }
  const double begin = ThreadNanoseconds();
  const std::string bytes = Seal(self_, it->second.info, effect.message);
  usage_.codec_ns += ThreadNanoseconds() - begin - clock_read_ns_;
  auto& traffic = usage_.sent[effect.message.index()];
  ++traffic.messages;
  traffic.bytes += bytes.size();
  std::visit([&](const auto& message) { Answer(it->second, message); },
             effect.message);
}

void Rig::Apply(core::AppendEffect& effect) {
  ++usage_.appends;
  usage_.append_bytes += wire::EncodeRecord(effect.record).size();
  loop_.After(kLogTime,
              [this, record = std::move(effect.record)] { Append(record); });
}

void Rig::Apply(core::AnswerEffect& effect) {
  if (effect.answer.outcome == wire::JobOutcome::kComplete) {
    ++usage_.jobs_complete;
  } else {
    ++usage_.jobs_other;
  }
}

void Rig::Apply(core::StartExecutionEffect& effect) {
  ++usage_.starts;
  loop_.After(
      settings_.task_time, [this, key = effect.key, attempt = effect.attempt] {
        core::ExecutionEndedEvent event;
        event.key = key;
        event.attempt = attempt;
        event.result = {wire::TaskOutcome::kSucceeded, std::string(64, 'r')};
        Deliver(std::move(event));
      });
}

void Rig::Answer(Stub& stub, const wire::Probe& probe) {
  loop_.After(kRoundTrip, [this, &stub, sent = probe.sent] {
    wire::ProbeReply reply;
    reply.echo = sent;
    reply.summary.offset = log_.size();
    reply.is_voter = true;
    reply.token = ToMicros(CurrentTime().monotonic);
    if (stub.info.role == wire::Role::kSidecar) {
      reply.load = {settings_.slots, stub.running, 0};
    }
    Receive(stub, reply);
  });
}

void Rig::Answer(Stub& stub, const wire::Offers& offers) {
  loop_.After(kRoundTrip, [this, &stub, offers] {
    wire::TaskUpdates task_updates;
    for (const wire::TaskOffer& offer : offers.offers) {
      ++stub.running;
      ++usage_.starts;
      wire::TaskUpdate update;
      update.key = offer.key;
      update.attempt = offer.attempt;
      update.state = wire::TaskState::kStarted;
      task_updates.updates.push_back(std::move(update));
      loop_.After(settings_.task_time,
                  [this, &stub, offer] { End(stub, offer); });
    }
    task_updates.load = {settings_.slots, stub.running, 0};
    task_updates.token = ToMicros(CurrentTime().monotonic);
    Receive(stub, std::move(task_updates));
  });
}

void Rig::End(Stub& stub, const wire::TaskOffer& offer) {
  --stub.running;
  wire::TaskUpdate update;
  update.key = offer.key;
  update.attempt = offer.attempt;
  update.state = wire::TaskState::kEnded;
  update.result = {wire::TaskOutcome::kSucceeded, std::string(64, 'r')};
  update.run_time = settings_.task_time;
  wire::TaskUpdates task_updates;
  task_updates.updates.push_back(std::move(update));
  task_updates.load = {settings_.slots, stub.running, 0};
  task_updates.token = ToMicros(CurrentTime().monotonic);
  Receive(stub, std::move(task_updates));
}

void Rig::Answer(Stub& stub, const wire::TaskUpdates& updates) {
  wire::Acknowledge acknowledgement;
  for (const wire::TaskUpdate& update : updates.updates) {
    if (update.state == wire::TaskState::kEnded) {
      acknowledgement.keys.push_back(update.key);
    }
  }
  if (!acknowledgement.keys.empty()) {
    loop_.After(kRoundTrip, [this, &stub, acknowledgement] {
      Receive(stub, acknowledgement);
    });
  }
}

void Rig::Answer(Stub& stub, const wire::RecordsRequest& request) {
  loop_.After(kRoundTrip, [this, &stub, from = request.from] {
    wire::Records records;
    records.first = from;
    records.records.assign(log_.begin() + static_cast<int64_t>(from),
                           log_.end());
    Receive(stub, std::move(records));
  });
}

const wire::Epoch& Rig::EpochOf(wire::ShardId shard) const {
  return control_.FindRegion(self_.region)->epochs.at(shard);
}

std::string Rig::EncodeControl() const {
  return encode_();
}

}  // namespace filbertwick::bench
