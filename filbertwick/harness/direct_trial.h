#ifndef FILBERTWICK_HARNESS_DIRECT_TRIAL_H_
#define FILBERTWICK_HARNESS_DIRECT_TRIAL_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/core/direct/direct_settings.h"

namespace filbertwick::harness {

/// Parameters of one random trial of entries, sidecars and model upstreams.
struct DirectTrialSettings {
  uint64_t seed = 1;
  core::direct::DirectEntrySettings entry;
  core::direct::DirectSidecarSettings sidecar;
  uint32_t entries = 2;
  uint32_t sidecars = 3;
  uint32_t jobs = 24;
  /// The default is longer than the time after which a caller sends its job
  /// again, so that only a stop or an expired lease prevents two concurrent
  /// runs of a task.
  Duration longest_task = std::chrono::milliseconds(2500);
  /// Probability that a start or list command is executed seconds late and
  /// never answered.
  double late_commands = 0.05;
  /// The same probability for stop commands.
  double late_stops = 0.05;
  /// Injects faults: processes pause and die, links are cut, messages and
  /// commands are late, callers lose their connections.
  bool faults = true;
  /// See DirectEntry::SetLoadSharing().
  bool load_sharing = false;
  /// The entries hand over jobs: each is saturated from time to time. Faults
  /// also hit the links between entries, whose messages are lost, late and
  /// duplicated.
  bool handover = false;
  /// Other writers announce upstreams and departures; see OtherWriters. Some
  /// jobs have many steps, each of which names all earlier ones.
  bool other_writers = false;
  /// Jobs have specs of up to 4,000 bytes and up to 980 tasks, which are so
  /// small that a wide job fits on one upstream. Once, all sidecars restart
  /// together while further jobs with such specs arrive.
  bool large_jobs = false;
  /// Jobs that arrive then.
  static constexpr uint32_t kJobsAtRestart = 160;
  /// Receives one line for each event of the trial; may be empty.
  std::function<void(std::string_view line)> trace;
};

/// Outcome of one trial, as seen by its callers and upstreams.
struct DirectTrialResult {
  /// Violated guarantees, one line each with the virtual time.
  std::vector<std::string> violations;
  /// Messages that were not sent because they exceeded a datagram.
  uint64_t oversized_messages = 0;
  /// Number of answers by outcome.
  uint32_t completed = 0;
  uint32_t failed = 0;
  uint32_t refused = 0;
  uint32_t timed_out = 0;
  /// Number of jobs that entries have taken over from others, and of those that
  /// were declined.
  uint32_t taken_over = 0;
  uint32_t declined = 0;
  /// Sidecars that accept no tasks at the end.
  uint32_t closed_sidecars = 0;
  /// Number of start commands that were executed, accepted or not.
  uint64_t starts = 0;
  /// Digest of all starts; equal for equal settings.
  uint64_t digest = 0;
};

/// Runs the real entry and sidecar cores against model upstreams in virtual
/// time. Checks, from what the upstreams see, that a task never has two runs at
/// the same time, that no upstream runs more tasks than its capacity allows,
/// and that no task of a refused job starts.
DirectTrialResult RunDirectTrial(const DirectTrialSettings& settings);

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_DIRECT_TRIAL_H_
