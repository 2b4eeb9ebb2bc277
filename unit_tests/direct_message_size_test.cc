#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "filbertwick/core/direct/datagram.h"
#include "filbertwick/core/direct/offer_split.h"
#include "filbertwick/core/policy/message_budget.h"
#include "filbertwick/core/policy/send_window.h"
#include "unit_tests/direct_entry_fixture.h"

namespace {

using namespace filbertwick::core::direct;
using filbertwick::Duration;
using filbertwick::core::policy::kMessageBytes;
using filbertwick::core::policy::MessageBudget;
using filbertwick::core::policy::SendWindow;
using filbertwick::test::kMilli;
using filbertwick::test::kTaskCpu;
using Fixture = filbertwick::test::DirectEntryFixture;

/// The largest spec that a caller may send.
constexpr size_t kSpecBytes = 4000;

/// An entry with one usable sidecar, with room for `tasks` tasks.
class OneSidecarFixture : public Fixture {
 public:
  explicit OneSidecarFixture(int64_t tasks) {
    SidecarMessage closed = MessageFrom(1, 0);
    closed.accepts_tasks = false;
    Deliver(closed);
    SendFromSidecar(0, {}, {}, tasks);
    messages.clear();
  }

  JobRequest LargeJob(const std::string& id, uint32_t tasks) {
    JobRequest job = Job(id, tasks);
    job.spec.assign(kSpecBytes, 's');
    job.steps.front().needs = {kTaskCpu, 0, 0};
    return job;
  }

  /// Submits `jobs` jobs of one task while no upstream is free, so that all of
  /// them are placed when it is.
  void PlaceTogether(size_t jobs) {
    SendFromSidecar(0, {}, {}, 0);
    for (size_t n = 0; n < jobs; ++n) {
      Submit(LargeJob("job-" + std::to_string(n), 1));
    }
    messages.clear();
    offers.clear();
    SendFromSidecar(0, {}, {}, static_cast<int64_t>(jobs));
  }

  void CheckSizes() const {
    for (const auto& [n, message] : messages) {
      cr_assert_leq(EncodedDatagramSize(message), kMaxDatagramBytes);
    }
  }
};

std::set<uint64_t> IdsOf(const std::vector<std::pair<size_t, Offer>>& offers) {
  std::set<uint64_t> ids;
  for (const auto& [n, offer] : offers) {
    ids.insert(offer.id);
  }
  return ids;
}

}  // namespace

Test(direct_message_size, closes_a_message_before_the_part_that_does_not_fit) {
  MessageBudget budget(100);
  cr_assert(budget.Take(kMessageBytes));
  cr_assert_not(budget.Take(1));
  MessageBudget other(100);
  cr_assert(other.Take(kMessageBytes - 100));
  cr_assert_not(other.Take(1));
}

Test(direct_message_size, admits_a_limited_amount_without_an_answer) {
  SendWindow window;
  cr_assert(window.Admits(2 * SendWindow::kMaxBytes));
  window.Add(SendWindow::kMaxBytes - 10);
  cr_assert(window.Admits(10));
  cr_assert_not(window.Admits(11));
  SendWindow many;
  for (size_t n = 0; n < SendWindow::kMaxItems; ++n) {
    cr_assert(many.Admits(1));
    many.Add(1);
  }
  cr_assert_not(many.Admits(1));
}

Test(direct_message_size, measures_what_is_encoded) {
  OneSidecarFixture it(40);
  it.PlaceTogether(3);
  cr_assert_gt(it.messages.size(), 0);
  const Datagram datagram(it.messages.front().second);
  cr_assert_eq(EncodedDatagramSize(datagram), EncodeDatagram(datagram).size());
}

// All offers that were due at a sidecar went into one message. Above the limit
// of a datagram it was never sent: a restart under load left every upstream
// reserved for offers that no sidecar received, until their jobs timed out.
Test(direct_message_size, sends_offers_above_a_datagram_in_several_messages) {
  OneSidecarFixture it(40);
  it.PlaceTogether(40);
  it.CheckSizes();
  cr_assert_gt(it.offers.size(), 0);
  std::set<uint64_t> seen;
  for (int round = 0; round < 40 && seen.size() < 40; ++round) {
    seen.merge(IdsOf(it.offers));
    it.AcceptOffers(40);
    it.AdvanceTime(5 * kMilli);
  }
  it.CheckSizes();
  cr_assert_eq(seen.size(), 40, "%lu offers arrived", seen.size());
}

// What waits for a sidecar that has just come up would fill its socket.
Test(direct_message_size, limits_the_offers_without_a_reply) {
  OneSidecarFixture it(200);
  it.PlaceTogether(200);
  size_t bytes = 0;
  for (int round = 0; round < 10; ++round) {
    it.AdvanceTime(kMilli);
  }
  for (const auto& [n, offer] : it.offers) {
    bytes += offer.spec.size();
  }
  cr_assert_leq(bytes, SendWindow::kMaxBytes);
  cr_assert_gt(bytes, SendWindow::kMaxBytes / 2);
  // Each reply makes room for a further offer, which is sent at once.
  const size_t sent = it.offers.size();
  it.SendFromSidecar(0, {{it.offers.front().second.id, {Refusal::kNone}}}, {},
                     200);
  cr_assert_eq(it.offers.size(), sent + 1);
}

// A stop that was due together with too many offers never arrived, and the run
// went on beside that of the resent job.
Test(direct_message_size, sends_stops_before_offers) {
  OneSidecarFixture it(40);
  it.Submit(it.LargeJob("running", 1));
  it.AcceptOffers(40);
  const uint64_t request = it.last_request;
  it.SendFromSidecar(0, {}, {}, 0);
  for (int n = 0; n < 39; ++n) {
    it.Submit(it.LargeJob("job-" + std::to_string(n), 1));
  }
  it.messages.clear();
  // The stop and the placement of all waiting jobs fall due in one step.
  EntryEffects effects;
  it.entry->OnCallerGone(it.now, request, effects);
  it.Collect(effects);
  it.SendFromSidecar(0, {}, {}, 39);
  it.CheckSizes();
  cr_assert_eq(it.stops.size(), 1);
  cr_assert_eq(it.messages.front().second.stops.size(), 1);
}

// An offer of a wide job exceeded a datagram by itself.
Test(direct_message_size, splits_an_offer_by_its_tasks) {
  OneSidecarFixture it(980);
  it.Submit(it.LargeJob("wide", 980));
  std::set<std::string> tasks;
  for (int round = 0; round < 20 && tasks.size() < 980; ++round) {
    for (const auto& [n, offer] : it.offers) {
      cr_assert_leq(filbertwick::wire::EncodedSize(offer), kMaxOfferBytes);
      cr_assert_eq(offer.spec.size(), kSpecBytes);
      for (const OfferedTask& task : offer.tasks) {
        cr_assert(tasks.insert(task.run.task).second, "%s is offered twice",
                  task.run.task.c_str());
      }
    }
    it.AcceptOffers(980);
    it.AdvanceTime(5 * kMilli);
  }
  it.CheckSizes();
  cr_assert_eq(tasks.size(), 980);
}

Test(direct_message_size, refuses_a_job_whose_task_fits_into_no_offer) {
  OneSidecarFixture it(4);
  JobRequest job = it.LargeJob("j", 1);
  job.queue.assign(kMaxOfferBytes, 'q');
  cr_assert_not(FitsIntoOffers(job));
  it.Submit(std::move(job));
  cr_assert(it.offers.empty());
  cr_assert_eq(it.answers.size(), 1);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kRefused);
  cr_assert_eq(it.answers.front().cause, "task_too_large");
}

// A path that loses every large datagram held the capacity of the upstream
// until the time limit of the job.
Test(direct_message_size, withdraws_an_offer_that_is_lost_again_and_again) {
  Fixture it;
  it.Submit(it.Job("j", 1));
  cr_assert_eq(it.offers.size(), 1);
  const size_t n = it.offers.front().first;
  const TaskRun run = it.offers.front().second.tasks.front().run;
  // All other messages arrive and are answered.
  for (int step = 0; step < 40 && it.stops.empty(); ++step) {
    it.AdvanceTime(10 * kMilli);
    it.SendFromSidecar(n, {}, {});
  }
  cr_assert_eq(it.stops.size(), 1, "the offer is not withdrawn");
  cr_assert_eq(it.stops.front(), run);
  const size_t sends = it.offers.size();
  it.EndRun(n, run, EndKind::kNotStarted);
  cr_assert_eq(it.offers.size(), sends + 1);
  cr_assert_eq(it.offers.back().first, 1 - n, "not placed elsewhere");
  cr_assert(it.answers.empty());
}

// A run that was never offered is neither stopped nor waited for.
Test(direct_message_size, stops_no_run_whose_offer_was_not_sent) {
  OneSidecarFixture it(200);
  it.PlaceTogether(200);
  const std::set<uint64_t> sent = IdsOf(it.offers);
  // The newest job goes first, so that no room is made for another offer.
  for (uint64_t request = it.last_request; request > 0; --request) {
    EntryEffects effects;
    it.entry->OnCallerGone(it.now, request, effects);
    it.Collect(effects);
  }
  cr_assert_eq(it.stops.size(), sent.size());
}

// The socket did not take a message, and the core waited for its answer.
Test(direct_message_size, sends_again_what_the_socket_has_not_taken) {
  Fixture it;
  it.Submit(it.Job("j", 1));
  cr_assert_eq(it.offers.size(), 1);
  const auto [n, message] = it.messages.back();
  cr_assert_eq(message.offers.size(), 1);
  it.entry->OnNotSent(it.now,
                      n == 0 ? filbertwick::InstanceName("s0")
                             : filbertwick::InstanceName("s1"),
                      message);
  it.AdvanceTime(20 * kMilli);
  cr_assert_eq(it.offers.size(), 2);
  cr_assert_eq(it.offers.back().second.id, it.offers.front().second.id);
}

// Thousands of stops that are due at once go into several messages.
Test(direct_message_size, sends_many_stops_in_several_messages) {
  OneSidecarFixture it(2940);
  std::vector<uint64_t> requests;
  for (int n = 0; n < 3; ++n) {
    it.Submit(it.LargeJob("wide-" + std::to_string(n), 980));
    requests.push_back(it.last_request);
    for (int round = 0; round < 10; ++round) {
      it.AcceptOffers(2940 - 980 * (n + 1));
      it.AdvanceTime(5 * kMilli);
    }
  }
  it.messages.clear();
  for (const uint64_t request : requests) {
    EntryEffects effects;
    it.entry->OnCallerGone(it.now, request, effects);
    it.Collect(effects);
  }
  for (int round = 0; round < 10; ++round) {
    it.AdvanceTime(2 * kMilli);
  }
  it.CheckSizes();
  cr_assert_eq(it.stops.size(), 2940, "%lu stops sent", it.stops.size());
}
