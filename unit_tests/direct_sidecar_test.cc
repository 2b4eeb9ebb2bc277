#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "filbertwick/core/direct/datagram.h"
#include "filbertwick/core/policy/message_budget.h"
#include "unit_tests/direct_sidecar_fixture.h"

namespace {

using namespace filbertwick::core::direct;
using filbertwick::Duration;
using filbertwick::InstanceName;
using filbertwick::Instant;
using filbertwick::core::policy::kMessageBytes;
using filbertwick::test::kMilli;
using filbertwick::test::kTaskCpu;
using filbertwick::test::OneRefusal;
using Fixture = filbertwick::test::DirectSidecarFixture;

}  // namespace

Test(direct_sidecar, never_exceeds_the_capacity_of_the_upstream) {
  Fixture it;
  const auto refusals = it.Offer({"a", "b", "c", "d", "e"});
  cr_assert_eq(std::ranges::count(refusals, Refusal::kNone), 4);
  cr_assert_eq(refusals.back(), Refusal::kNoCapacity);
  it.AcceptStarts();
  // A run that is being stopped still holds its resources.
  EntryMessage message = it.Message();
  message.stops.push_back({"a", 1});
  it.sidecar->OnMessage(it.now, message, it.ClearedEffects());
  it.Collect();
  cr_assert_eq(it.stops.size(), 1);
  cr_assert(it.Offer({"f"}) == OneRefusal(Refusal::kNoCapacity));
  Listing listing;
  listing.ended.push_back({1, {"a", 1}, EndKind::kStopped});
  it.AdvanceTime(40 * kMilli);
  it.AnswerListings(listing);
  cr_assert(it.Offer({"g"}) == OneRefusal(Refusal::kNone));
}

Test(direct_sidecar, starts_nothing_while_the_upstream_drains) {
  Fixture it;
  it.Announce("up-1", 5, 2, true);
  cr_assert(it.Offer({"a"}) == OneRefusal(Refusal::kNotAccepting));
  cr_assert(it.starts.empty());
}

Test(direct_sidecar, starts_nothing_while_placement_is_not_allowed) {
  Fixture it;
  it.sidecar->SetPlacementAllowed(it.now, false, it.ClearedEffects());
  cr_assert(it.Offer({"a"}) == OneRefusal(Refusal::kNotAccepting));
  it.sidecar->SetPlacementAllowed(it.now, true, it.ClearedEffects());
  cr_assert(it.Offer({"a"}) == OneRefusal(Refusal::kNone));
}

Test(direct_sidecar, refuses_stale_offers) {
  Fixture it;
  cr_assert(it.Offer({"a"}, 200 * kMilli) == OneRefusal(Refusal::kStale));
}

Test(direct_sidecar, answers_a_repeated_offer_the_same_way) {
  Fixture it;
  it.Offer({"a"});
  --it.last_offer;
  cr_assert(it.Offer({"a"}) == OneRefusal(Refusal::kNone));
  cr_assert_eq(it.starts.size(), 1);
}

// A tenth of the commands is left unanswered and carried out late.
Test(direct_sidecar, sends_an_unanswered_start_again_and_then_stops_it) {
  Fixture it;
  it.Offer({"a"});
  it.AdvanceTime(11 * kMilli);
  it.AdvanceTime(11 * kMilli);
  cr_assert_eq(it.starts.size(), 3);
  cr_assert(it.starts[2].run == it.starts[0].run);
  cr_assert_eq(it.starts[2].spec, it.starts[0].spec);
  cr_assert(it.stops.empty());
  it.AdvanceTime(31 * kMilli);
  cr_assert_eq(it.starts.size(), 3);
  cr_assert_eq(it.stops.size(), 1);
  it.sidecar->OnCommandResult(it.now, it.stops.front().header.number,
                              CommandResult::kAccepted, 1000,
                              it.ClearedEffects());
  it.Collect();
  it.now += kMilli;
  it.sidecar->OnWakeup(it.now, it.ClearedEffects());
  it.Collect();
  it.AnswerListings({});
  it.AdvanceTime(40 * kMilli);
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
    it.AdvanceTime(10 * kMilli);
    it.AnswerListings(listing);
  }
  cr_assert_eq(it.stops.size(), 1);
}

Test(direct_sidecar, stops_a_task_without_progress) {
  Fixture it;
  it.Offer({"a"});
  it.AcceptStarts();
  Listing listing;
  listing.running.push_back({{"a", 1}, 40});
  for (int n = 1; n <= 18; ++n) {
    it.sidecar->OnMessage(it.now, it.Message(), it.ClearedEffects());
    it.Collect();
    it.AdvanceTime(10 * kMilli);
    it.AnswerListings(listing);
  }
  cr_assert_eq(it.stops.size(), 1);
}

// After an entry dies, its callers resend their jobs to another one. If a stop
// of an old run then stays unanswered, the run could overlap with a new one.
// The sidecar must let the lease expire, report the run as lost and use a
// higher token, so that the upstream rejects delayed commands. A stop that
// the sidecar decides on its own, here after an unanswered start, must not
// cause this: the entry still waits for the end of the run.
Test(direct_sidecar, lets_the_lease_expire_only_for_required_stops) {
  Fixture it;
  it.Offer({"a"});
  const uint64_t token = it.starts.front().header.fencing_token;
  Listing listing;
  for (int n = 1; n <= 60; ++n) {
    it.sidecar->OnMessage(it.now, it.Message(), it.ClearedEffects());
    it.Collect();
    it.AdvanceTime(10 * kMilli);
    it.AnswerListings(listing);
  }
  cr_assert_gt(it.lists.size() + it.stops.size(), 5);
  cr_assert_eq(it.stops.back().header.fencing_token, token);
  // The caller has gone; from now on the entry asks for the stop.
  for (int n = 1; n <= 120; ++n) {
    EntryMessage message = it.Message();
    message.stops.push_back({"a", 1});
    it.sidecar->OnMessage(it.now, message, it.ClearedEffects());
    it.Collect();
    it.AdvanceTime(10 * kMilli);
    it.AnswerListings(listing);
  }
  cr_assert(std::ranges::any_of(
      it.ends, [](const RunEnd& end) { return end.kind == EndKind::kLost; }));
  cr_assert(it.Offer({"b"}) == OneRefusal(Refusal::kNone));
  cr_assert_gt(it.starts.back().header.fencing_token, token);
}

// A held listing shows the runs at the time of its answer. An immediate listing
// that was requested later, but produced earlier, may lack a run that the held
// one has already shown. If its answer arrives last, it must not count as proof
// that the run has ended.
Test(direct_sidecar, ignores_a_listing_overtaken_by_an_older_request) {
  Fixture it;
  it.Offer({"a"});
  const std::vector<ListCommand> held = std::exchange(it.lists, {});
  cr_assert_eq(held.size(), 1);
  it.Offer({"b"});
  it.now += kMilli;
  EntryMessage message = it.Message();
  message.stops.push_back({"b", 1});
  it.sidecar->OnMessage(it.now, message, it.ClearedEffects());
  it.Collect();
  it.sidecar->OnCommandResult(it.now, it.stops.back().header.number,
                              CommandResult::kAccepted, 1000,
                              it.ClearedEffects());
  it.Collect();
  const std::vector<ListCommand> immediate = std::exchange(it.lists, {});
  cr_assert_eq(immediate.size(), 1);
  it.now += kMilli;
  Listing held_listing;
  held_listing.running = {{{"a", 1}, 1}, {{"b", 1}, 1}};
  it.sidecar->OnListing(it.now, held.front().header.number, held_listing, 1000,
                        it.ClearedEffects());
  it.Collect();
  it.now += kMilli;
  it.sidecar->OnListing(it.now, immediate.front().header.number, {}, 1000,
                        it.ClearedEffects());
  it.Collect();
  cr_assert(std::ranges::none_of(
      it.ends, [](const RunEnd& end) { return end.run.task == "a"; }));
}

// An upstream lists 500 ends at a time. Runs whose ends did not fit counted as
// lost, and were run again although they were done.
Test(direct_sidecar, does_not_lose_runs_whose_ends_did_not_fit_into_a_listing) {
  Fixture it;
  cr_assert_eq(it.Offer({"a"}), OneRefusal(Refusal::kNone));
  it.AcceptStarts();
  it.AdvanceTime(kMilli);
  Listing running = Fixture::EmptyListing(5);
  running.running.push_back({{"a", 1}, 10});
  it.AnswerListings(running);
  Listing full = Fixture::EmptyListing(5);
  while (full.ended.size() < 500) {
    full.ended.push_back({full.ended.size() + 1, {"other", 1}, EndKind::kDone});
  }
  it.AnswerListings(full);
  cr_assert(it.ends.empty());
  cr_assert_eq(it.lists.back().acknowledged_end, 500);
  Listing rest = Fixture::EmptyListing(5);
  rest.ended.push_back({501, {"a", 1}, EndKind::kDone});
  it.AnswerListings(rest);
  cr_assert_eq(it.ends.size(), 1);
  cr_assert_eq(it.ends.front().kind, EndKind::kDone);
}

Test(direct_sidecar, accepts_the_answer_to_any_of_the_start_commands) {
  Fixture it;
  it.Offer({"a"});
  it.AdvanceTime(11 * kMilli);
  cr_assert_eq(it.starts.size(), 2);
  it.sidecar->OnCommandResult(it.now, it.starts[0].header.number,
                              CommandResult::kAccepted, 1000,
                              it.ClearedEffects());
  it.Collect();
  it.AdvanceTime(60 * kMilli);
  cr_assert_eq(it.starts.size(), 2);
  cr_assert(it.stops.empty());
}

// The unanswered first command has started the task, which has ended by the
// time the second one is refused. Had this counted as "not started", the task
// would run again.
Test(direct_sidecar, does_not_take_a_refused_resend_for_a_run_that_never_was) {
  Fixture it;
  it.Offer({"a"});
  it.AdvanceTime(11 * kMilli);
  it.sidecar->OnCommandResult(it.now, it.starts[1].header.number,
                              CommandResult::kRefused, 1000,
                              it.ClearedEffects());
  it.Collect();
  cr_assert(it.ends.empty());
  Listing listing;
  listing.ended.push_back({1, it.starts[0].run, EndKind::kDone});
  it.AdvanceTime(kMilli);
  it.AnswerListings(listing);
  cr_assert_eq(it.ends.size(), 1);
  cr_assert_eq(it.ends.front().kind, EndKind::kDone);
}

// The start is carried out, but its answer is lost.
Test(direct_sidecar, does_not_wake_for_a_start_that_a_listing_has_shown) {
  Fixture it;
  it.Offer({"a"});
  it.AdvanceTime(kMilli);
  Listing listing = Fixture::EmptyListing(5);
  listing.running.push_back({it.starts.front().run, 10});
  it.AnswerListings(listing);
  it.AdvanceTime(12 * kMilli);
  cr_assert_eq(it.starts.size(), 1);
  cr_assert_gt(it.sidecar->NextWakeup().time_since_epoch().count(),
               it.now.time_since_epoch().count());
}

// One repetition covers a lost message. More of them would keep the link of an
// entry full that is behind already.
Test(direct_sidecar, does_not_resend_ends_to_an_entry_that_does_not_answer) {
  Fixture it;
  it.Offer({"a"});
  it.AcceptStarts();
  Listing listing;
  listing.ended.push_back({1, {"a", 1}, EndKind::kDone});
  it.AdvanceTime(10 * kMilli);
  it.AnswerListings(listing);
  cr_assert_eq(it.ends.size(), 1);
  for (int n = 1; n <= 35; ++n) {
    it.AdvanceTime(10 * kMilli);
  }
  cr_assert_eq(it.ends.size(), 2, "%lu ends sent", it.ends.size());
  it.sidecar->OnMessage(it.now, it.Message(), it.ClearedEffects());
  it.Collect();
  cr_assert_eq(it.ends.size(), 3);
}

Test(direct_sidecar, starts_nothing_beyond_a_capacity_that_has_shrunk) {
  Fixture it;
  cr_assert(it.Offer({"a", "b"}) == std::vector<Refusal>(2, Refusal::kNone));
  it.AcceptStarts();
  it.AnnounceCapacity(2 * kTaskCpu);
  cr_assert(it.Offer({"c"}) == OneRefusal(Refusal::kNoCapacity));
  it.AnnounceCapacity(kTaskCpu);
  Listing listing;
  listing.running.push_back({{"b", 1}, 50});
  listing.ended.push_back({1, {"a", 1}, EndKind::kDone});
  it.AnswerListings(listing);
  cr_assert(it.Offer({"c"}) == OneRefusal(Refusal::kNoCapacity));
  it.AnnounceCapacity(2 * kTaskCpu);
  cr_assert(it.Offer({"c"}) == OneRefusal(Refusal::kNone));
}

// A crash of the upstream shows by refused connections within some tens of
// milliseconds. Tasks that are sent there until its silence has lasted for long
// are lost with the others.
Test(direct_sidecar, takes_no_tasks_for_an_upstream_that_refuses_connections) {
  Fixture it;
  // The lease that an upstream may have had before it was opened has ended.
  it.AdvanceTime(std::chrono::seconds(1));
  it.Offer({"a"});
  it.AcceptStarts();
  it.FailListings(CommandResult::kUnknown);
  it.RefuseListings(5);
  cr_assert(it.Offer({"b"}) == OneRefusal(Refusal::kNotAccepting));
  // The lease may be all that ends a run when connections are refused on the
  // way.
  cr_assert(it.ends.empty());
  for (int n = 0; n < 50; ++n) {
    it.AdvanceTime(10 * kMilli);
  }
  cr_assert_eq(it.ends.front().kind, EndKind::kCrashed);
  cr_assert_eq(it.ends.front().crash_suspects, 1);
}

Test(direct_sidecar, looks_for_its_upstream_when_a_start_is_not_accepted) {
  Fixture it;
  it.Offer({"a"});
  it.sidecar->OnCommandResult(it.now, it.starts.back().header.number,
                              CommandResult::kNotReached, 0,
                              it.ClearedEffects());
  it.Collect();
  cr_assert_eq(it.ends.back().kind, EndKind::kNotStarted);
  cr_assert(it.Offer({"b"}) == OneRefusal(Refusal::kNotAccepting));
  it.AnswerListings({});
  cr_assert(it.Offer({"c"}) == OneRefusal(Refusal::kNone));
}

// An entry that has restarted must not learn anew, by further crashes, which
// tasks crash upstreams.
Test(direct_sidecar, tells_a_restarted_entry_of_an_earlier_crash) {
  Fixture it;
  it.Offer({"a"});
  it.AcceptStarts();
  it.FailListings(CommandResult::kUnknown);
  it.RefuseListings(5);
  cr_assert_eq(it.last_message.crash.number, 1);
  it.AdvanceTime(4000 * kMilli);
  EntryMessage message = it.Message();
  message.from.incarnation = 8;
  message.wants_reply = true;
  it.last_message = SidecarMessage();
  it.sidecar->OnMessage(it.now, message, it.ClearedEffects());
  it.Collect();
  cr_assert_eq(it.last_message.crash.number, 1);
  cr_assert_geq(it.last_message.crash.age_micros, 4'000'000);
}

// Connections were refused on the way, and the upstream works on.
Test(direct_sidecar, notices_a_crash_after_a_false_alarm) {
  Fixture it;
  it.Offer({"a"});
  it.AcceptStarts();
  it.RefuseListings(5);
  cr_assert_eq(it.last_message.crash.number, 1);
  Listing listing;
  listing.running.push_back({{"a", 1}, 1});
  it.AdvanceTime(20 * kMilli);
  it.AnswerListings(listing);
  it.AdvanceTime(kMilli);
  cr_assert(it.last_message.accepts_tasks);
  it.RefuseListings(5);
  cr_assert_eq(it.last_message.crash.number, 2);
}

// The upstream was gone before the start reached it, or may have been. The task
// must not be given up for it.
Test(direct_sidecar, counts_no_crash_under_a_run_that_may_not_have_started) {
  Fixture it;
  it.Offer({"a", "b"});
  it.sidecar->OnCommandResult(it.now, it.starts[0].header.number,
                              CommandResult::kAccepted, 1000,
                              it.ClearedEffects());
  it.Collect();
  it.FailListings(CommandResult::kUnknown);
  it.RefuseListings(60);
  cr_assert_eq(it.last_message.crash.suspects.size(), 1);
  cr_assert_eq(it.last_message.crash.suspects.front().task, "a");
  for (const RunEnd& end : it.ends) {
    cr_assert_eq(end.kind,
                 end.run.task == "a" ? EndKind::kCrashed : EndKind::kLost);
  }
}

// An entry that stood still with thousands of runs open got all their ends in
// each message. Above the limit of a datagram none arrived, and the entry was
// never ready again.
Test(direct_sidecar, sends_ends_above_a_datagram_in_several_messages) {
  Fixture it;
  constexpr uint64_t kRuns = 3000;
  EntryMessage stops = it.Message();
  for (uint64_t n = 1; n <= kRuns; ++n) {
    stops.stops.push_back({"0123456789abcdef.0.0." + std::to_string(n), 1});
  }
  it.sidecar->OnMessage(it.now, stops, it.ClearedEffects());
  it.Collect();
  uint64_t acknowledged = 0;
  for (int round = 0; round < 50 && acknowledged < kRuns; ++round) {
    cr_assert_leq(EncodedDatagramSize(it.last_message), kMaxDatagramBytes);
    cr_assert(!it.last_message.ends.empty());
    // No number is left out: the acknowledgement covers all lower ones.
    for (const RunEnd& end : it.last_message.ends) {
      cr_assert_eq(end.number, ++acknowledged);
    }
    EntryMessage answer = it.Message();
    answer.acknowledged_end = acknowledged;
    it.last_message = SidecarMessage();
    it.sidecar->OnMessage(it.now, answer, it.ClearedEffects());
    it.Collect();
  }
  cr_assert_eq(acknowledged, kRuns);
}

// Hundreds of offers that arrive together are answered in several messages.
Test(direct_sidecar, sends_replies_above_a_message_in_several) {
  Fixture it;
  EntryMessage message = it.Message();
  constexpr uint64_t kOffers = 60;
  constexpr size_t kTasks = 900;
  for (uint64_t n = 1; n <= kOffers; ++n) {
    filbertwick::core::direct::Offer offer;
    offer.id = n;
    offer.service = "service";
    for (size_t task = 0; task < kTasks; ++task) {
      offer.tasks.push_back(
          {{std::to_string(n) + "." + std::to_string(task), 1},
           {64 * kTaskCpu, 10, 0},
           100'000});
    }
    message.offers.push_back(std::move(offer));
  }
  it.sidecar->OnMessage(it.now, message, it.ClearedEffects());
  std::set<uint64_t> answered;
  for (const SidecarEffect& effect : it.effects) {
    if (const auto* send = std::get_if<SendToEntryEffect>(&effect)) {
      cr_assert_leq(EncodedDatagramSize(send->message), 2 * kMessageBytes);
      for (const OfferReply& reply : send->message.replies) {
        cr_assert_eq(reply.refusals.size(), kTasks);
        answered.insert(reply.id);
      }
    }
  }
  cr_assert_eq(answered.size(), kOffers);
}

// A message that the socket does not take is sent again without being asked
// for.
Test(direct_sidecar, sends_again_what_the_socket_has_not_taken) {
  Fixture it;
  cr_assert_eq(it.Offer({"a"}), OneRefusal(Refusal::kNone));
  const SidecarMessage lost = it.last_message;
  it.last_message = SidecarMessage();
  it.sidecar->OnNotSent(it.now, InstanceName("entry"), lost);
  it.AdvanceTime(20 * kMilli);
  cr_assert_eq(it.last_message.replies.size(), 1);
}

// Every message to an entry contains the profile, which any writer may send.
Test(direct_sidecar, rejects_a_profile_that_fills_its_messages) {
  Fixture it;
  UpstreamAnnouncement announcement =
      Fixture::MakeAnnouncement("up-1", 5, 9, false);
  announcement.profile.labels.assign(1000, "label-" + std::string(100, 'x'));
  it.Deliver(announcement);
  EntryMessage question = it.Message();
  question.wants_reply = true;
  it.sidecar->OnMessage(it.now, question, it.ClearedEffects());
  it.Collect();
  cr_assert(it.last_message.accepts_tasks);
  cr_assert(it.last_message.upstream.labels.empty());
}
