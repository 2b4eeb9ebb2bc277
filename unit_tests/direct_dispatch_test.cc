#include <criterion/criterion.h>

#include <functional>
#include <string>

#include "filbertwick/harness/direct_trial.h"

namespace {

using filbertwick::Duration;
using filbertwick::harness::DirectTrialResult;
using filbertwick::harness::DirectTrialSettings;
using filbertwick::harness::RunDirectTrial;

/// Number of random schedules played with the default settings.
constexpr uint64_t kSeeds = 4000;
/// Number of random schedules played with changed settings. When the change
/// disables a safety rule, a violation must occur in one of them.
constexpr uint64_t kDetectionSeeds = 600;
/// Number of random schedules played with large jobs, which take longer.
constexpr uint64_t kLargeJobSeeds = 40;

DirectTrialResult Play(uint64_t seed, bool faults) {
  DirectTrialSettings settings;
  settings.seed = seed;
  settings.faults = faults;
  return RunDirectTrial(settings);
}

/// Returns true when some schedule shows a violation whose text contains `text`
/// while `disable_rule` applies.
bool DetectsViolation(
    const std::string& text,
    const std::function<void(DirectTrialSettings&)>& disable_rule) {
  for (uint64_t seed = 1; seed <= kDetectionSeeds; ++seed) {
    DirectTrialSettings settings;
    settings.seed = seed;
    disable_rule(settings);
    for (const std::string& line : RunDirectTrial(settings).violations) {
      if (line.find(text) != std::string::npos) {
        return true;
      }
    }
  }
  return false;
}

/// Four entries that hand over jobs.
DirectTrialSettings HandoverTrial(uint64_t seed) {
  DirectTrialSettings settings;
  settings.seed = seed;
  settings.handover = true;
  settings.entries = 4;
  settings.jobs = 48;
  return settings;
}

}  // namespace

Test(direct_dispatch, completes_every_job_without_faults) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    DirectTrialSettings settings;
    settings.seed = seed;
    settings.faults = false;
    // Far more capacity than the jobs of any seed need at a time.
    settings.sidecars = 24;
    settings.longest_task = std::chrono::milliseconds(900);
    const DirectTrialResult result = RunDirectTrial(settings);
    cr_assert(result.violations.empty(), "seed %lu: %s", seed,
              result.violations.front().c_str());
    cr_assert_eq(result.completed, settings.jobs, "seed %lu: %u completed",
                 seed, result.completed);
  }
}

Test(direct_dispatch, shows_no_violation_under_random_faults) {
  uint64_t completed = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const DirectTrialResult result = Play(seed, true);
    cr_assert(result.violations.empty(), "seed %lu: %s", seed,
              result.violations.front().c_str());
    completed += result.completed;
  }
  cr_assert_gt(completed, 0);
}

// Grants are given to entries that pause, die and are cut off.
Test(direct_dispatch, shows_no_violation_with_load_sharing) {
  for (uint64_t seed = 1; seed <= kDetectionSeeds; ++seed) {
    DirectTrialSettings settings;
    settings.seed = seed;
    settings.entries = 4;
    settings.jobs = 48;
    settings.load_sharing = true;
    const DirectTrialResult result = RunDirectTrial(settings);
    cr_assert(result.violations.empty(), "seed %lu: %s", seed,
              result.violations.front().c_str());
  }
}

// Capacity that is granted to an entry that can't use it must not be lost for
// long. The tasks are so short that thousands of jobs are completed.
Test(direct_dispatch, completes_as_many_jobs_with_load_sharing) {
  uint32_t completed = 0;
  uint32_t completed_without = 0;
  for (uint64_t seed = 1; seed <= kDetectionSeeds; ++seed) {
    DirectTrialSettings settings;
    settings.seed = seed;
    settings.entries = 4;
    settings.jobs = 48;
    settings.longest_task = std::chrono::milliseconds(600);
    const DirectTrialResult without = RunDirectTrial(settings);
    settings.load_sharing = true;
    const DirectTrialResult with = RunDirectTrial(settings);
    cr_assert(without.violations.empty(), "seed %lu", seed);
    cr_assert(with.violations.empty(), "seed %lu", seed);
    completed += with.completed;
    completed_without += without.completed;
  }
  cr_assert_geq(completed, completed_without * 0.97, "%u, without %u",
                completed, completed_without);
}

// Jobs with large specs and many tasks. Everything that was due at a sidecar
// went into one message; above the limit of a datagram it was never sent, and
// neither was any stop among it.
Test(direct_dispatch, shows_no_violation_with_large_jobs) {
  for (uint64_t seed = 1; seed <= kLargeJobSeeds; ++seed) {
    DirectTrialSettings settings;
    settings.seed = seed;
    settings.large_jobs = true;
    const DirectTrialResult result = RunDirectTrial(settings);
    cr_assert(result.violations.empty(), "seed %lu: %s", seed,
              result.violations.front().c_str());
  }
}

// Without faults, large jobs lost their capacity to offers above the limit of a
// datagram, and timed out.
Test(direct_dispatch, completes_every_large_job_without_faults) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    DirectTrialSettings settings;
    settings.seed = seed;
    settings.faults = false;
    settings.large_jobs = true;
    settings.longest_task = std::chrono::milliseconds(300);
    const DirectTrialResult result = RunDirectTrial(settings);
    cr_assert(result.violations.empty(), "seed %lu: %s", seed,
              result.violations.front().c_str());
    cr_assert_eq(result.completed,
                 settings.jobs + DirectTrialSettings::kJobsAtRestart,
                 "seed %lu: %u completed", seed, result.completed);
  }
}

// Announcements of other processes and late ones of earlier incarnations, late
// departures, and jobs of many steps, alone and together with all faults. They
// made tasks run twice, closed sidecars for good and hung entries.
Test(direct_dispatch, shows_no_violation_beside_other_writers) {
  for (uint64_t seed = 1; seed <= kDetectionSeeds; ++seed) {
    DirectTrialSettings settings;
    settings.seed = seed;
    settings.other_writers = true;
    const DirectTrialResult result = RunDirectTrial(settings);
    cr_assert(result.violations.empty(), "seed %lu: %s", seed,
              result.violations.front().c_str());
  }
}

// The check of a copied announcement was answered by a restarted upstream,
// which then started a late command for its predecessor.
Test(direct_dispatch, fences_a_restarted_upstream_that_a_check_has_shown) {
  DirectTrialSettings settings;
  settings.seed = 10277;
  settings.other_writers = true;
  settings.late_commands = 0.7;
  settings.late_stops = 0.7;
  const DirectTrialResult result = RunDirectTrial(settings);
  cr_assert(result.violations.empty(), "%s", result.violations.front().c_str());
}

Test(direct_dispatch, uses_all_upstreams_beside_other_writers) {
  for (uint64_t seed = 1; seed <= kDetectionSeeds; ++seed) {
    DirectTrialSettings settings;
    settings.seed = seed;
    settings.faults = false;
    settings.other_writers = true;
    const DirectTrialResult result = RunDirectTrial(settings);
    cr_assert(result.violations.empty(), "seed %lu: %s", seed,
              result.violations.front().c_str());
    cr_assert_eq(result.closed_sidecars, 0, "seed %lu: %u closed", seed,
                 result.closed_sidecars);
  }
}

Test(direct_dispatch, repeats_exactly_for_the_same_seed) {
  cr_assert_eq(Play(7, true).digest, Play(7, true).digest);
  cr_assert_neq(Play(7, true).digest, Play(8, true).digest);
}

Test(direct_dispatch, detects_sessions_that_never_time_out) {
  cr_assert(DetectsViolation("twice", [](DirectTrialSettings& settings) {
    settings.sidecar.times.session_timeout = std::chrono::seconds(20);
  }));
}

Test(direct_dispatch, detects_offers_without_an_age_limit) {
  cr_assert(DetectsViolation("", [](DirectTrialSettings& settings) {
    settings.sidecar.times.max_offer_age = std::chrono::seconds(20);
    settings.sidecar.times.session_timeout = std::chrono::seconds(20);
  }));
}

Test(direct_dispatch, detects_an_entry_that_expires_sidecars_too_early) {
  cr_assert(DetectsViolation("twice", [](DirectTrialSettings& settings) {
    settings.entry.times.session_timeout = Duration(0);
    settings.entry.times.stop_confirm_timeout = Duration(0);
    settings.entry.times.lease = Duration(0);
    settings.entry.times.max_offer_age = std::chrono::milliseconds(100);
  }));
}

Test(direct_dispatch, detects_a_lease_longer_than_the_orphan_bound) {
  cr_assert(DetectsViolation("twice", [](DirectTrialSettings& settings) {
    settings.late_stops = 1;
    settings.sidecar.times.lease = std::chrono::milliseconds(1000);
    settings.sidecar.times.stop_confirm_timeout = std::chrono::seconds(20);
  }));
}

Test(direct_dispatch, shows_no_violation_while_most_commands_are_late) {
  for (uint64_t seed = 1; seed <= kDetectionSeeds; ++seed) {
    DirectTrialSettings settings;
    settings.seed = seed;
    settings.late_commands = 0.7;
    settings.late_stops = 0.7;
    const DirectTrialResult result = RunDirectTrial(settings);
    cr_assert(result.violations.empty(), "seed %lu: %s", seed,
              result.violations.front().c_str());
  }
}

Test(direct_dispatch, lets_the_lease_expire_when_no_stop_is_answered) {
  for (uint64_t seed = 1; seed <= kDetectionSeeds; ++seed) {
    DirectTrialSettings settings;
    settings.seed = seed;
    settings.late_stops = 1;
    const DirectTrialResult result = RunDirectTrial(settings);
    cr_assert(result.violations.empty(), "seed %lu: %s", seed,
              result.violations.front().c_str());
  }
}

Test(direct_dispatch, completes_every_handed_over_job_without_faults) {
  uint32_t taken_over = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    DirectTrialSettings settings = HandoverTrial(seed);
    settings.faults = false;
    settings.sidecars = 48;
    settings.longest_task = std::chrono::milliseconds(900);
    const DirectTrialResult result = RunDirectTrial(settings);
    cr_assert(result.violations.empty(), "seed %lu: %s", seed,
              result.violations.front().c_str());
    cr_assert_eq(result.completed, settings.jobs, "seed %lu: %u completed",
                 seed, result.completed);
    taken_over += result.taken_over;
  }
  cr_assert_gt(taken_over, 0);
}

Test(direct_dispatch, shows_no_violation_while_jobs_are_handed_over) {
  uint64_t completed = 0;
  uint64_t taken_over = 0;
  for (uint64_t seed = 1; seed <= kDetectionSeeds; ++seed) {
    const DirectTrialResult result = RunDirectTrial(HandoverTrial(seed));
    cr_assert(result.violations.empty(), "seed %lu: %s", seed,
              result.violations.front().c_str());
    completed += result.completed;
    taken_over += result.taken_over;
  }
  cr_assert_gt(completed, 0);
  cr_assert_gt(taken_over, kDetectionSeeds);
}

// A delayed message of an earlier incarnation of an entry arrives at a sidecar
// that wakes up from a pause. The session of the present one, with the refusals
// that it was given, must not be replaced.
Test(direct_dispatch, starts_no_run_that_was_placed_again_after_a_pause) {
  for (const uint64_t seed : {1008, 12924}) {
    const DirectTrialResult result = RunDirectTrial(HandoverTrial(seed));
    cr_assert(result.violations.empty(), "seed %lu: %s", seed,
              result.violations.front().c_str());
  }
}

// A late command for an earlier incarnation had extended the lease of the
// present one. The sidecar woke up from a pause, counted the lease as expired,
// and the tasks started elsewhere while they ran on.
Test(direct_dispatch, waits_for_leases_that_late_commands_have_extended) {
  const DirectTrialResult result = RunDirectTrial(HandoverTrial(2724));
  cr_assert(result.violations.empty(), "%s", result.violations.front().c_str());
}

Test(direct_dispatch, detects_handovers_without_a_lease) {
  cr_assert(DetectsViolation("twice", [](DirectTrialSettings& settings) {
    // Seeds 912 and 973 are among those that show one.
    settings = HandoverTrial(settings.seed + kDetectionSeeds);
    settings.entry.handover.lease = std::chrono::hours(1);
  }));
}
