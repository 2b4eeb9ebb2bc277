#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "filbertwick/core/direct/direct_sidecar.h"

namespace {

using filbertwick::Duration;
using filbertwick::InstanceName;
using filbertwick::Instant;
using filbertwick::ToMicros;
using filbertwick::ZoneName;
using namespace filbertwick::core::direct;

constexpr int64_t kTaskCpu = 1000;

/// A sidecar with an upstream that has room for four tasks, and one entry.
class Fixture {
 public:
  Fixture() {
    sidecar = DirectSidecar::Create({InstanceName("sidecar"), 1}, 10, {});
    sidecar->SetPlacementAllowed(now, true, Fresh());
    Announce("up-1", 5, 1, false);
    AnswerListings({});
  }

  SidecarEffects& Fresh() {
    effects.clear();
    return effects;
  }

  void Announce(const std::string& id,
                int64_t born,
                uint64_t sequence,
                bool draining) {
    UpstreamAnnouncement said;
    said.id = id;
    said.started_unix_millis = born;
    said.sequence = sequence;
    said.draining = draining;
    said.profile.service = "service";
    said.profile.zone = ZoneName("zone");
    said.profile.capacity = {4 * kTaskCpu, 1000, 0};
    said.clock = 1000;
    sidecar->OnUpstreamAnnounced(now, said, Fresh());
    Collect();
  }

  /// Keeps open orders, and what entries were told.
  void Collect() {
    for (const SidecarEffect& effect : effects) {
      if (const auto* list = std::get_if<ListCommand>(&effect)) {
        lists.push_back(*list);
      } else if (const auto* start = std::get_if<StartCommand>(&effect)) {
        starts.push_back(*start);
      } else if (const auto* stop = std::get_if<StopCommand>(&effect)) {
        stops.push_back(*stop);
      } else if (const auto* send = std::get_if<SendToEntryEffect>(&effect)) {
        told = send->message;
        std::ranges::copy(send->message.ends, std::back_inserter(ends));
      }
    }
  }

  void AnswerListings(const Listing& listing) {
    for (const ListCommand& command : std::exchange(lists, {})) {
      sidecar->OnListing(now, command.header.number, listing, 1000, Fresh());
      Collect();
    }
  }

  void AcceptStarts() {
    for (size_t n = accepted; n < starts.size(); ++n) {
      sidecar->OnCommandResult(now, starts[n].header.number,
                               CommandResult::kAccepted, 1000, Fresh());
      Collect();
    }
    accepted = starts.size();
  }

  /// Offers tasks with these names; the answer to each.
  std::vector<Refusal> Offer(const std::vector<std::string>& tasks,
                             Duration age = Duration(0)) {
    EntryMessage message = Message();
    message.echoed = ToMicros(now - age);
    filbertwick::core::direct::Offer offer;
    offer.id = ++last_offer;
    offer.service = "service";
    for (const std::string& task : tasks) {
      offer.tasks.push_back({{task, 1}, {kTaskCpu, 10, 0}, 100'000});
    }
    message.offers.push_back(offer);
    told = SidecarMessage();
    sidecar->OnMessage(now, message, Fresh());
    Collect();
    cr_assert_eq(told.replies.size(), 1);
    return told.replies.front().refusals;
  }

  EntryMessage Message() const {
    EntryMessage message;
    message.from = {InstanceName("entry"), 7};
    message.to_incarnation = 1;
    message.echoed = ToMicros(now);
    return message;
  }

  void Wake(Duration later) {
    now += later;
    sidecar->OnWakeup(now, Fresh());
    Collect();
  }

  Instant now{std::chrono::seconds(100)};
  std::unique_ptr<DirectSidecar> sidecar;
  SidecarEffects effects;
  std::vector<ListCommand> lists;
  std::vector<StartCommand> starts;
  std::vector<StopCommand> stops;
  std::vector<RunEnd> ends;
  SidecarMessage told;
  size_t accepted = 0;
  uint64_t last_offer = 0;
};

/// The answer to an offer of one task.
std::vector<Refusal> Only(Refusal refusal) {
  return {refusal};
}

constexpr Duration kMilli = std::chrono::milliseconds(1);

}  // namespace

Test(direct_sidecar, never_fills_an_upstream_over_its_room) {
  Fixture it;
  const auto refusals = it.Offer({"a", "b", "c", "d", "e"});
  cr_assert_eq(std::ranges::count(refusals, Refusal::kNone), 4);
  cr_assert_eq(refusals.back(), Refusal::kNoRoom);
  it.AcceptStarts();
  // What is being stopped still takes room.
  EntryMessage message = it.Message();
  message.stops.push_back({"a", 1});
  it.sidecar->OnMessage(it.now, message, it.Fresh());
  it.Collect();
  cr_assert_eq(it.stops.size(), 1);
  cr_assert(it.Offer({"f"}) == Only(Refusal::kNoRoom));
  Listing listing;
  listing.ended.push_back({1, {"a", 1}, EndKind::kStopped});
  it.Wake(40 * kMilli);
  it.AnswerListings(listing);
  cr_assert(it.Offer({"g"}) == Only(Refusal::kNone));
}

Test(direct_sidecar, starts_nothing_while_the_upstream_drains) {
  Fixture it;
  it.Announce("up-1", 5, 2, true);
  cr_assert(it.Offer({"a"}) == Only(Refusal::kClosed));
  cr_assert(it.starts.empty());
}

Test(direct_sidecar, starts_nothing_where_its_zone_is_out_or_no_route_leads) {
  Fixture it;
  it.sidecar->SetPlacementAllowed(it.now, false, it.Fresh());
  cr_assert(it.Offer({"a"}) == Only(Refusal::kClosed));
  it.sidecar->SetPlacementAllowed(it.now, true, it.Fresh());
  cr_assert(it.Offer({"a"}) == Only(Refusal::kNone));
}

Test(direct_sidecar, ignores_an_announcement_of_an_earlier_life) {
  Fixture it;
  it.Announce("up-2", 9, 1, false);
  it.AnswerListings({});
  it.Announce("up-1", 5, 3, true);
  cr_assert(it.Offer({"a"}) == Only(Refusal::kNone));
  cr_assert_eq(it.starts.back().header.upstream, "up-2");
}

Test(direct_sidecar, stops_what_it_finds_before_it_starts_anything) {
  Fixture it;
  it.Announce("up-2", 9, 1, false);
  Listing found;
  found.running.push_back({{"left", 3}, 40});
  it.AnswerListings(found);
  cr_assert_eq(it.stops.size(), 1);
  cr_assert_eq(it.stops.front().run.task, "left");
  cr_assert(it.Offer({"a"}) == Only(Refusal::kClosed));
  it.Wake(60 * kMilli);
  it.AnswerListings({});
  cr_assert(it.Offer({"a"}) == Only(Refusal::kNone));
}

Test(direct_sidecar, refuses_old_offers_and_says_so) {
  Fixture it;
  cr_assert(it.Offer({"a"}, 200 * kMilli) == Only(Refusal::kStale));
}

Test(direct_sidecar, answers_an_offer_that_comes_twice_the_same_way) {
  Fixture it;
  it.Offer({"a"});
  --it.last_offer;
  cr_assert(it.Offer({"a"}) == Only(Refusal::kNone));
  cr_assert_eq(it.starts.size(), 1);
}

Test(direct_sidecar, fences_a_start_without_an_answer) {
  Fixture it;
  it.Offer({"a"});
  it.Wake(31 * kMilli);
  cr_assert_eq(it.stops.size(), 1);
  it.sidecar->OnCommandResult(it.now, it.stops.front().header.number,
                              CommandResult::kAccepted, 1000, it.Fresh());
  it.Collect();
  it.now += kMilli;
  it.sidecar->OnWakeup(it.now, it.Fresh());
  it.Collect();
  it.AnswerListings({});
  it.Wake(40 * kMilli);
  it.AnswerListings({});
  cr_assert_eq(it.ends.front().kind, EndKind::kNotStarted);
}

Test(direct_sidecar, stops_the_tasks_of_a_silent_entry) {
  Fixture it;
  it.Offer({"a"});
  it.AcceptStarts();
  Listing listing;
  listing.running.push_back({{"a", 1}, 1});
  for (int n = 1; n <= 42; ++n) {
    ++listing.running.front().percent;
    it.Wake(10 * kMilli);
    it.AnswerListings(listing);
  }
  cr_assert_eq(it.stops.size(), 1);
}

Test(direct_sidecar, stops_a_task_that_stands_still) {
  Fixture it;
  it.Offer({"a"});
  it.AcceptStarts();
  Listing listing;
  listing.running.push_back({{"a", 1}, 40});
  for (int n = 1; n <= 18; ++n) {
    it.sidecar->OnMessage(it.now, it.Message(), it.Fresh());
    it.Collect();
    it.Wake(10 * kMilli);
    it.AnswerListings(listing);
  }
  cr_assert_eq(it.stops.size(), 1);
}

// An entry that dies owes its callers' resends: the lease must lapse when the
// stops stay unanswered, and a higher token must fence what was ordered.
Test(direct_sidecar, lets_the_lease_lapse_only_for_stops_that_are_owed) {
  Fixture it;
  it.Offer({"a"});
  const uint64_t token = it.starts.front().header.fencing_token;
  Listing listing;
  for (int n = 1; n <= 60; ++n) {
    it.sidecar->OnMessage(it.now, it.Message(), it.Fresh());
    it.Collect();
    it.Wake(10 * kMilli);
    it.AnswerListings(listing);
  }
  cr_assert_gt(it.lists.size() + it.stops.size(), 5);
  cr_assert_eq(it.stops.back().header.fencing_token, token);
  // Now the caller is gone.
  for (int n = 1; n <= 120; ++n) {
    EntryMessage message = it.Message();
    message.stops.push_back({"a", 1});
    it.sidecar->OnMessage(it.now, message, it.Fresh());
    it.Collect();
    it.Wake(10 * kMilli);
    it.AnswerListings(listing);
  }
  cr_assert(std::ranges::any_of(
      it.ends, [](const RunEnd& end) { return end.kind == EndKind::kLost; }));
  cr_assert(it.Offer({"b"}) == Only(Refusal::kNone));
  cr_assert_gt(it.starts.back().header.fencing_token, token);
}

// A listing that waits shows what is there when it is answered, so one that was
// asked for later may show less; answers overtake each other.
Test(direct_sidecar, believes_no_listing_that_an_older_question_has_overtaken) {
  Fixture it;
  it.Offer({"a"});
  const std::vector<ListCommand> waiting = std::exchange(it.lists, {});
  cr_assert_eq(waiting.size(), 1);
  it.Offer({"b"});
  it.now += kMilli;
  EntryMessage message = it.Message();
  message.stops.push_back({"b", 1});
  it.sidecar->OnMessage(it.now, message, it.Fresh());
  it.Collect();
  it.sidecar->OnCommandResult(it.now, it.stops.back().header.number,
                              CommandResult::kAccepted, 1000, it.Fresh());
  it.Collect();
  const std::vector<ListCommand> immediate = std::exchange(it.lists, {});
  cr_assert_eq(immediate.size(), 1);
  it.now += kMilli;
  Listing later;
  later.running = {{{"a", 1}, 1}, {{"b", 1}, 1}};
  it.sidecar->OnListing(it.now, waiting.front().header.number, later, 1000,
                        it.Fresh());
  it.Collect();
  it.now += kMilli;
  it.sidecar->OnListing(it.now, immediate.front().header.number, {}, 1000,
                        it.Fresh());
  it.Collect();
  cr_assert(std::ranges::none_of(
      it.ends, [](const RunEnd& end) { return end.run.task == "a"; }));
}
