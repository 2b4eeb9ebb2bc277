#ifndef FILBERTWICK_UNIT_TESTS_DIRECT_SIDECAR_FIXTURE_H_
#define FILBERTWICK_UNIT_TESTS_DIRECT_SIDECAR_FIXTURE_H_

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "filbertwick/core/direct/direct_sidecar.h"

namespace filbertwick::test {

using namespace filbertwick::core::direct;

inline constexpr int64_t kTaskCpu = 1000;
inline constexpr Duration kMilli = std::chrono::milliseconds(1);

/// A sidecar with one entry, and an upstream with capacity for four tasks.
class DirectSidecarFixture {
 public:
  explicit DirectSidecarFixture(
      std::function<bool(std::string_view)> has_route_to =
          [](std::string_view) { return true; }) {
    sidecar = DirectSidecar::Create({InstanceName("sidecar"), 1}, 10, {},
                                    {std::move(has_route_to)});
    sidecar->SetPlacementAllowed(now, true, ClearedEffects());
    Announce("up-1", 5, 1, false);
    AnswerListings({});
  }

  SidecarEffects& ClearedEffects() {
    effects.clear();
    return effects;
  }

  static UpstreamAnnouncement MakeAnnouncement(const std::string& id,
                                               int64_t start_time_millis,
                                               uint64_t sequence,
                                               bool draining) {
    UpstreamAnnouncement announcement;
    announcement.id = id;
    announcement.started_unix_millis = start_time_millis;
    announcement.sequence = sequence;
    announcement.draining = draining;
    announcement.profile.service = "service";
    announcement.profile.zone = ZoneName("zone");
    announcement.profile.capacity = {4 * kTaskCpu, 1000, 0};
    announcement.clock = 1000;
    return announcement;
  }

  void Deliver(const UpstreamAnnouncement& announcement) {
    sidecar->OnUpstreamAnnounced(now, announcement, ClearedEffects());
    Collect();
  }

  /// Delivers an announcement of the process at the upstream's address, and
  /// answers the check of its identity.
  void Announce(const std::string& id,
                int64_t start_time_millis,
                uint64_t sequence,
                bool draining) {
    const size_t open = lists.size();
    Deliver(MakeAnnouncement(id, start_time_millis, sequence, draining));
    if (lists.size() > open) {
      const ListCommand check = lists[open];
      lists.erase(lists.begin() + static_cast<std::ptrdiff_t>(open));
      sidecar->OnListing(now, check.header.number,
                         EmptyListing(start_time_millis), 1000,
                         ClearedEffects());
      Collect();
    }
  }

  /// Announces another capacity of the same upstream.
  void AnnounceCapacity(int64_t cpu_millis) {
    UpstreamAnnouncement announcement;
    announcement.id = "up-1";
    announcement.started_unix_millis = 5;
    announcement.sequence = ++last_announcement;
    announcement.profile.service = "service";
    announcement.profile.zone = ZoneName("zone");
    announcement.profile.capacity = {cpu_millis, 1000, 0};
    announcement.clock = 1000;
    sidecar->OnUpstreamAnnounced(now, announcement, ClearedEffects());
    Collect();
  }

  /// Delivers a request which says that the upstream `id` shuts down.
  void Leave(const std::string& id) {
    sidecar->OnUpstreamLeft(now, id, ClearedEffects());
    Collect();
  }

  /// Collects commands to the upstream and messages to the entry.
  void Collect() {
    for (const SidecarEffect& effect : effects) {
      if (const auto* list = std::get_if<ListCommand>(&effect)) {
        lists.push_back(*list);
      } else if (const auto* start = std::get_if<StartCommand>(&effect)) {
        starts.push_back(*start);
      } else if (const auto* stop = std::get_if<StopCommand>(&effect)) {
        stops.push_back(*stop);
      } else if (const auto* record =
                     std::get_if<RecordUpstreamEffect>(&effect)) {
        recorded = record->upstream;
      } else if (const auto* send = std::get_if<SendToEntryEffect>(&effect)) {
        last_message = send->message;
        std::ranges::copy(send->message.ends, std::back_inserter(ends));
      }
    }
  }

  /// Replaces the sidecar by a new incarnation, which restores the recorded
  /// upstream.
  void RestartAndRestore() {
    cr_assert(recorded);
    sidecar = DirectSidecar::Create({InstanceName("sidecar"), 1}, 20, {});
    sidecar->SetPlacementAllowed(now, true, ClearedEffects());
    lists.clear();
    sidecar->RestoreUpstream(now, *recorded, ClearedEffects());
    Collect();
  }

  /// Returns a listing without runs of the upstream that started at this time.
  static Listing EmptyListing(int64_t started_unix_millis) {
    Listing listing;
    listing.started_unix_millis = started_unix_millis;
    return listing;
  }

  void AnswerListings(const Listing& listing) {
    for (const ListCommand& command : std::exchange(lists, {})) {
      sidecar->OnListing(now, command.header.number, listing, 1000,
                         ClearedEffects());
      Collect();
    }
  }

  void FailListings(CommandResult result) {
    for (const ListCommand& command : std::exchange(lists, {})) {
      sidecar->OnListingFailed(now, command.header.number, result,
                               ClearedEffects());
      Collect();
    }
  }

  /// Refuses the connections of `n` listings in a row, 10 ms apart.
  void RefuseListings(int n) {
    while (n-- > 0) {
      AdvanceTime(std::chrono::milliseconds(10));
      FailListings(CommandResult::kNotReached);
    }
  }

  void AcceptStarts() {
    for (size_t n = accepted; n < starts.size(); ++n) {
      sidecar->OnCommandResult(now, starts[n].header.number,
                               CommandResult::kAccepted, 1000,
                               ClearedEffects());
      Collect();
    }
    accepted = starts.size();
  }

  /// Offers tasks with these names; returns the refusal of each.
  std::vector<Refusal> Offer(const std::vector<std::string>& tasks,
                             Duration age = Duration(0)) {
    EntryMessage message = Message();
    message.echoed_clock = ToMicros(now - age);
    filbertwick::core::direct::Offer offer;
    offer.id = ++last_offer;
    offer.service = "service";
    for (const std::string& task : tasks) {
      offer.tasks.push_back({{task, 1}, {kTaskCpu, 10, 0}, 100'000});
    }
    message.offers.push_back(offer);
    last_message = SidecarMessage();
    sidecar->OnMessage(now, message, ClearedEffects());
    Collect();
    cr_assert_eq(last_message.replies.size(), 1);
    return last_message.replies.front().refusals;
  }

  EntryMessage Message() const {
    EntryMessage message;
    message.from = {InstanceName("entry"), 7};
    message.to_incarnation = 1;
    message.echoed_clock = ToMicros(now);
    return message;
  }

  void AdvanceTime(Duration duration) {
    now += duration;
    sidecar->OnWakeup(now, ClearedEffects());
    Collect();
  }

  Instant now{std::chrono::seconds(100)};
  std::unique_ptr<DirectSidecar> sidecar;
  SidecarEffects effects;
  std::vector<ListCommand> lists;
  std::vector<StartCommand> starts;
  std::vector<StopCommand> stops;
  std::vector<RunEnd> ends;
  SidecarMessage last_message;
  /// The newest recorded upstream; kept when the sidecar restarts.
  std::optional<UpstreamAnnouncement> recorded;
  size_t accepted = 0;
  uint64_t last_offer = 0;
  uint64_t last_announcement = 1;
};

/// The refusals of an offer with one task.
inline std::vector<Refusal> OneRefusal(Refusal refusal) {
  return {refusal};
}

}  // namespace filbertwick::test

#endif  // FILBERTWICK_UNIT_TESTS_DIRECT_SIDECAR_FIXTURE_H_
