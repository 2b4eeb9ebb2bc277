#include "filbertwick/harness/operator_pool.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace filbertwick::harness {
namespace {

/// An operator sends a change without an answer to another entry after this
/// time.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(1'500);
/// Interval at which an operator polls the status of a zone that it took out.
constexpr Duration kZonePollInterval = std::chrono::milliseconds(50);
/// Number of repeated polls of a zone after which the operator gives up.
constexpr int kMaxZonePolls = 400;

}  // namespace

class OperatorPool::Impl {
 public:
  Impl(World& shared_world, Observer& shared_observer, uint64_t seed)
      : world(shared_world),
        observer(shared_observer),
        random(seed),
        entries(
            shared_world.settings().deployment.NamesOf(wire::Role::kEntry)) {}

  struct Change {
    ChangeResult result;
    wire::ControlRecord record;
    InstanceName entry;
  };

  /// Adds a change, sends it to `entry`, or to an entry that is ready when
  /// `entry` is empty, and returns its index.
  size_t AddChange(wire::ControlBody body, const InstanceName& entry);
  /// Sends a change, and sends it again to another entry if no answer comes.
  void Send(Change& change);
  void OnAnswer(Change& change, const core::OperatorAnswerEffect* effect);
  /// Polls an entry until it reports that no task can start in the zone of
  /// `change`; `polls` counts the polls so far.
  void PollZone(Change& change, int polls);
  /// Returns a random entry that is ready, other than `avoid`; any entry if
  /// there is none.
  InstanceName PickEntry(const InstanceName& avoid);

  World& world;
  Observer& observer;
  Random random;
  std::vector<InstanceName> entries;
  std::vector<std::unique_ptr<Change>> changes;
};

InstanceName OperatorPool::Impl::PickEntry(const InstanceName& avoid) {
  std::vector<InstanceName> ready;
  std::ranges::copy_if(
      entries, std::back_inserter(ready),
      [&](const InstanceName& it) { return it != avoid && world.IsReady(it); });
  return ready.empty() ? entries[random.Below(entries.size())]
                       : ready[random.Below(ready.size())];
}

size_t OperatorPool::Impl::AddChange(wire::ControlBody body,
                                     const InstanceName& entry) {
  const size_t index = changes.size();
  Change& change = *changes.emplace_back(std::make_unique<Change>());
  change.record.change = ChangeId(fmt::format("operator-{}", index));
  change.record.author = AuthorName("operator");
  change.record.written.unix_millis = world.WallMillis();
  change.record.body = std::move(body);
  change.result.body = change.record.body;
  change.result.requested = world.loop().now();
  change.entry = entry.empty() ? PickEntry(InstanceName()) : entry;
  if (const auto* zone = std::get_if<wire::SetZone>(&change.record.body)) {
    observer.OnZoneRequest(zone->zone, zone->out, world.loop().now());
  }
  Send(change);
  return index;
}

void OperatorPool::Impl::Send(Change& change) {
  world.SubmitChange(change.entry, change.record,
                     [this, &change](const core::OperatorAnswerEffect* effect) {
                       OnAnswer(change, effect);
                     });
  world.loop().After(kAnswerTimeout, [this, &change] {
    if (change.result.answered < Duration(0)) {
      change.entry = PickEntry(change.entry);
      Send(change);
    }
  });
}

void OperatorPool::Impl::OnAnswer(Change& change,
                                  const core::OperatorAnswerEffect* effect) {
  // After a broken connection the timer of Send() retries the change. Answers
  // after the first are ignored.
  if (!effect || change.result.answered >= Duration(0)) {
    return;
  }
  const Duration now = world.loop().now();
  change.result.answered = now;
  change.result.accepted = effect->accepted;
  change.result.text = effect->text;
  if (const auto* zone = std::get_if<wire::SetZone>(&change.record.body)) {
    observer.OnZoneAnswer(zone->zone, zone->out, effect->accepted, now);
    if (zone->out && effect->accepted) {
      PollZone(change, 0);
    }
  }
}

void OperatorPool::Impl::PollZone(Change& change, int polls) {
  const ZoneName& zone = std::get<wire::SetZone>(change.record.body).zone;
  if (!world.FindCore(change.entry) || world.IsPaused(change.entry)) {
    change.entry = PickEntry(change.entry);
  } else {
    const auto zones = world.Status(change.entry).zones;
    const auto it = std::ranges::find(zones, zone, &core::ZoneStatus::zone);
    if (it != zones.end() && it->out && it->certainly_out) {
      change.result.confirmed_out = world.loop().now();
      observer.OnCertainlyOut(zone, world.loop().now());
      return;
    }
  }
  if (polls < kMaxZonePolls) {
    world.loop().After(kZonePollInterval,
                       [this, &change, polls] { PollZone(change, polls + 1); });
  }
}

OperatorPool::OperatorPool(World& world, Observer& observer, uint64_t seed)
    : impl_(std::make_unique<Impl>(world, observer, seed)) {}
OperatorPool::~OperatorPool() = default;

size_t OperatorPool::Publish(uint64_t version,
                             uint64_t based_on,
                             const std::string& text,
                             const InstanceName& entry) {
  return impl_->AddChange(wire::PublishBundle{version, based_on, text}, entry);
}

size_t OperatorPool::SetZone(const ZoneName& zone,
                             bool out,
                             const InstanceName& entry) {
  return impl_->AddChange(wire::SetZone{zone, out}, entry);
}

size_t OperatorPool::RemoveInstance(const wire::InstanceInfo& info) {
  return impl_->AddChange(wire::LeaveInstance{info.name, info.incarnation},
                          InstanceName());
}

const ChangeResult& OperatorPool::result(size_t change) const {
  return impl_->changes.at(change)->result;
}

size_t OperatorPool::size() const {
  return impl_->changes.size();
}

}  // namespace filbertwick::harness
