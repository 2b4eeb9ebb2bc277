#include <criterion/criterion.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "filbertwick/core/direct/datagram.h"
#include "filbertwick/core/direct/job_handover.h"
#include "filbertwick/core/policy/message_budget.h"

namespace {

using namespace filbertwick::core::direct;
using filbertwick::Duration;
using filbertwick::InstanceName;
using filbertwick::Instant;
using filbertwick::ZoneName;
using filbertwick::core::policy::kMaxPartBytes;
using filbertwick::core::policy::kMessageBytes;

constexpr Duration kMilli = std::chrono::milliseconds(1);
constexpr size_t kJobs = 1000;
constexpr size_t kSpecBytes = 4000;

/// An origin and a target whose messages arrive in order.
class HandoverPair {
 public:
  HandoverPair() {
    EntryLoad load;
    load.accepts = true;
    origin.OnEntryLoad(now, {InstanceName("target"), 1}, ZoneName("z"), load);
    target.OnEntryLoad(now, {InstanceName("origin"), 1}, ZoneName("z"), load);
  }

  /// Lets both sides exchange messages for a while.
  void Run(Duration duration) {
    const Instant end = now + duration;
    for (; now < end; now += kMilli) {
      (void)origin.OnWakeup(now);
      (void)target.OnWakeup(now);
      for (const auto& [to, message] : origin.ComposeMessages(now, {})) {
        CheckSize(message);
        for (HandoverEvent& event : target.OnMessage(now, message)) {
          if (const auto* offered = std::get_if<JobOfferedEvent>(&event)) {
            offered_requests.push_back(offered->request);
            target.Accept(now, offered->request);
          } else if (const auto* gone = std::get_if<HolderGoneEvent>(&event)) {
            withdrawn.insert(gone->request);
            target.End(now, gone->request, {});
          }
        }
      }
      for (const auto& [to, message] : target.ComposeMessages(now, {})) {
        CheckSize(message);
        for (HandoverEvent& event : origin.OnMessage(now, message)) {
          answered += std::holds_alternative<RelayAnsweredEvent>(event) ? 1 : 0;
        }
      }
    }
  }

  void HandOver(size_t jobs) {
    for (size_t n = handed_over; n < handed_over + jobs; ++n) {
      Relay relay;
      relay.target = InstanceName("target");
      relay.job.id = "job-" + std::to_string(n);
      relay.job.spec.assign(kSpecBytes, 's');
      relay.job.time_limit = std::chrono::seconds(30);
      relay.requests = {n + 1};
      relay.arrived = now;
      relay.deadline = now + std::chrono::seconds(30);
      origin.HandOver(now, std::move(relay));
    }
    handed_over += jobs;
  }

  static void CheckSize(const HandoverMessage& message) {
    cr_assert_leq(EncodedDatagramSize(message), kMaxDatagramBytes);
    cr_assert_leq(EncodedDatagramSize(message), kMessageBytes + kMaxPartBytes);
  }

  Instant now{std::chrono::seconds(100)};
  HandoverTimes times;
  JobHandover origin{{InstanceName("origin"), 1}, times, 1000 * kMilli};
  JobHandover target{{InstanceName("target"), 1}, times, 1000 * kMilli};
  std::vector<uint64_t> offered_requests;
  std::set<uint64_t> withdrawn;
  size_t handed_over = 0;
  size_t answered = 0;
};

}  // namespace

// The results of many jobs that ended together went into one message.
Test(job_handover_size, sends_many_jobs_and_results_in_several_messages) {
  HandoverPair it;
  it.Run(50 * kMilli);
  it.HandOver(kJobs);
  it.Run(400 * kMilli);
  cr_assert_eq(it.offered_requests.size(), kJobs, "%lu jobs arrived",
               it.offered_requests.size());
  for (const uint64_t request : it.offered_requests) {
    HandoverResult result;
    result.end = HandoverEnd::kAnswered;
    result.outcome = JobOutcome::kCompleted;
    result.cause.assign(200, 'c');
    it.target.End(it.now, request, std::move(result));
  }
  it.Run(400 * kMilli);
  cr_assert_eq(it.answered, kJobs, "%lu results arrived", it.answered);
  cr_assert_eq(it.target.CountOpen(it.now), 0);
}

// Withdrawals are never left out of a message, or its echo would renew the
// lease of a withdrawn job. They must fit beside all other items.
Test(job_handover_size, sends_all_withdrawals_beside_further_jobs) {
  HandoverPair it;
  it.Run(50 * kMilli);
  it.HandOver(kJobs);
  it.Run(400 * kMilli);
  std::string withdrawn;
  for (uint64_t request = 1; request <= kJobs; ++request) {
    cr_assert(it.origin.RemoveRequest(request, withdrawn));
  }
  it.Run(400 * kMilli);
  cr_assert_eq(it.withdrawn.size(), kJobs);
}

// A target that confirms nothing gets no further jobs beyond the number whose
// withdrawals fit into a message.
Test(job_handover_size, limits_the_open_jobs_of_a_target) {
  HandoverPair it;
  it.Run(50 * kMilli);
  const auto accepts = [&] {
    const auto all = it.origin.Candidates(it.now, ZoneName("z"));
    return !all.empty() && all.front().second.accepts;
  };
  it.HandOver(1023);
  cr_assert(accepts());
  it.HandOver(1);
  cr_assert_not(accepts());
}

// The socket did not take a message, and the handover waited for its answer.
Test(job_handover_size, sends_again_what_the_socket_has_not_taken) {
  HandoverPair it;
  it.Run(50 * kMilli);
  it.HandOver(1);
  it.Run(25 * kMilli);
  cr_assert_eq(it.offered_requests.size(), 1);
  it.HandOver(1);
  const auto messages = it.origin.ComposeMessages(it.now, {});
  cr_assert_eq(messages.size(), 1);
  cr_assert_eq(messages.front().second.handovers.size(), 1);
  it.origin.OnNotSent(it.now, InstanceName("target"), messages.front().second);
  it.Run(25 * kMilli);
  cr_assert_eq(it.offered_requests.size(), 2);
}
