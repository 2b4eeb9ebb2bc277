#include <algorithm>
#include <ranges>

#include "filbertwick/core/direct/job_handover.h"

namespace filbertwick::core::direct {
namespace {

/// Longest delay of the report that a job was taken; shorter than the interval
/// at which the origin sends the job again.
constexpr Duration kAcceptDelay = std::chrono::milliseconds(15);
/// An origin that has not been heard for this long does not hold up the end of
/// this process.
constexpr Duration kMaxDrainSilence = std::chrono::seconds(1);

}  // namespace

void JobHandover::HandleFromOrigin(Instant now,
                                   const HandoverMessage& message,
                                   Neighbour& neighbour,
                                   HandoverEvents& events) {
  if (message.first_open > neighbour.first_open) {
    neighbour.first_open = message.first_open;
    std::vector<uint64_t> closed;
    for (const auto& [number, job] : neighbour.handed_in) {
      if (number >= neighbour.first_open) {
        break;
      }
      if (job.phase == HandedIn::Phase::kOpen) {
        events.emplace_back(
            HolderGoneEvent{neighbour.peer, job.request, "origin_gave_up"});
      } else {
        closed.push_back(number);
      }
    }
    std::ranges::for_each(closed,
                          [&](uint64_t number) { Forget(neighbour, number); });
  }
  for (const uint64_t number : message.withdrawals) {
    HandleWithdrawal(now, neighbour, number, events);
  }
  for (const uint64_t number : message.acknowledged) {
    if (neighbour.ended.erase(number) > 0) {
      HandedIn& job = neighbour.handed_in.at(number);
      job.phase = HandedIn::Phase::kClosed;
      job.result = {};
    }
  }
  const bool is_fresh = message.echoed_clock != 0 &&
                        FromMicros(message.echoed_clock) >= now - times_.lease;
  for (const HandedJob& handed : message.handovers) {
    if (handed.number < neighbour.first_open) {
      continue;
    }
    const auto it = neighbour.handed_in.find(handed.number);
    if (it != neighbour.handed_in.end()) {
      if (it->second.phase == HandedIn::Phase::kOpen) {
        Accept(now, it->second.request);
      }
      continue;
    }
    if (!is_fresh && times_.lease > Duration(0)) {
      // A delayed message. The origin sends the job again, with a new reading,
      // if it still wants it to run.
      neighbour.send_due = true;
      continue;
    }
    HandedIn job;
    job.request = kHandedInBit | ++last_request_;
    handed_in_[job.request] = {neighbour.peer.name, handed.number};
    events.emplace_back(JobOfferedEvent{neighbour.peer, job.request, handed});
    neighbour.open.insert(handed.number);
    neighbour.handed_in.emplace(handed.number, std::move(job));
  }
}

void JobHandover::HandleWithdrawal(Instant now,
                                   Neighbour& neighbour,
                                   uint64_t number,
                                   HandoverEvents& events) {
  if (number < neighbour.first_open) {
    return;
  }
  const auto [it, added] = neighbour.handed_in.try_emplace(number);
  HandedIn& job = it->second;
  if (added) {
    // The handover itself was lost or is late. The number is taken, so that it
    // starts nothing any more.
    job.phase = HandedIn::Phase::kEnded;
    job.ended_at = now;
    job.result.number = number;
    job.result.cause = "withdrawn";
    neighbour.ended.insert(number);
  }
  if (job.phase == HandedIn::Phase::kOpen) {
    events.emplace_back(
        HolderGoneEvent{neighbour.peer, job.request, "withdrawn"});
  } else if (job.phase == HandedIn::Phase::kEnded) {
    job.resend = policy::ResendTimer(now);
  }
}

void JobHandover::DropOpenJobs(const Neighbour& neighbour,
                               std::string_view cause,
                               HandoverEvents& events) const {
  for (const uint64_t number : neighbour.open) {
    events.emplace_back(HolderGoneEvent{neighbour.peer,
                                        neighbour.handed_in.at(number).request,
                                        std::string(cause)});
  }
}

void JobHandover::Forget(Neighbour& neighbour, uint64_t number) {
  neighbour.open.erase(number);
  neighbour.ended.erase(number);
  neighbour.handed_in.erase(number);
}

HandoverEvents JobHandover::TakeExpiredLeases(Instant now) {
  HandoverEvents events;
  for (const Neighbour& neighbour : neighbours_ | std::views::values) {
    if (!neighbour.open.empty() && neighbour.echoed < now - times_.lease) {
      DropOpenJobs(neighbour, "lease_expired", events);
    }
  }
  return events;
}

void JobHandover::Accept(Instant now, uint64_t request) {
  const auto it = handed_in_.find(request);
  if (it == handed_in_.end()) {
    return;
  }
  Neighbour& neighbour = neighbours_.at(it->second.first);
  neighbour.accepted.push_back(it->second.second);
  neighbour.send_by = std::min(neighbour.send_by, now + kAcceptDelay);
}

void JobHandover::Decline(Instant now,
                          uint64_t request,
                          std::string_view cause) {
  HandoverResult result;
  result.end = HandoverEnd::kDeclined;
  result.cause = cause;
  End(now, request, std::move(result));
}

void JobHandover::End(Instant now, uint64_t request, HandoverResult result) {
  const auto it = handed_in_.find(request);
  if (it == handed_in_.end()) {
    return;
  }
  const auto [origin, number] = it->second;
  handed_in_.erase(it);
  Neighbour& neighbour = neighbours_.at(origin);
  const auto job = neighbour.handed_in.find(number);
  // After a restart of the origin its jobs are forgotten, and its numbers may
  // come again.
  if (job == neighbour.handed_in.end() || job->second.request != request) {
    return;
  }
  if (number < neighbour.first_open) {
    Forget(neighbour, number);
    return;
  }
  neighbour.open.erase(number);
  neighbour.ended.insert(number);
  job->second.phase = HandedIn::Phase::kEnded;
  job->second.ended_at = now;
  job->second.resend = policy::ResendTimer(now);
  result.number = number;
  job->second.result = std::move(result);
}

void JobHandover::CloseOldEnds(Instant now, Neighbour& neighbour) {
  std::erase_if(neighbour.ended, [&](uint64_t number) {
    HandedIn& job = neighbour.handed_in.at(number);
    if (now < std::max(neighbour.echoed, job.ended_at) + kEndMemory) {
      return false;
    }
    job.phase = HandedIn::Phase::kClosed;
    job.result = {};
    return true;
  });
}

size_t JobHandover::CountOpen(Instant now) const {
  size_t n = 0;
  for (const Neighbour& neighbour : neighbours_ | std::views::values) {
    n += neighbour.open.size();
    if (neighbour.echoed >= now - kMaxDrainSilence) {
      n += neighbour.ended.size();
    }
  }
  return n;
}

}  // namespace filbertwick::core::direct
