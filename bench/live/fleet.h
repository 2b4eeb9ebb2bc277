#ifndef FILBERTWICK_BENCH_LIVE_FLEET_H_
#define FILBERTWICK_BENCH_LIVE_FLEET_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench/live/child_process.h"
#include "filbertwick/base/time.h"

namespace filbertwick::bench {

/// Number of processes to start and where their programs are.
struct FleetSettings {
  /// Directory of the programs.
  std::string programs;
  uint32_t entries = 3;
  uint32_t sidecars = 6;
  uint32_t slots = 8;
};

/// Total resource usage of the processes of each role.
using UsageOfRole = std::map<std::string, Usage>;

/// A log stand-in, entries, and sidecars with their executors, each a process
/// on loopback. The destructor ends all of them.
class Fleet {
 public:
  /// Starts all processes, publishes a bundle and waits until a job completes.
  static absl::StatusOr<std::unique_ptr<Fleet>> Start(
      const FleetSettings& settings);
  ~Fleet();

  /// HTTP ports of the entries and executors.
  const std::vector<uint16_t>& entries() const { return entries_; }
  const std::vector<uint16_t>& executors() const { return executors_; }

  UsageOfRole ReadUsage() const;

  /// Returns the number of tasks started and of tasks started more than once,
  /// summed over all executors.
  std::pair<uint64_t, uint64_t> CountStarts() const;

 private:
  explicit Fleet(const FleetSettings& settings);

  absl::Status StartAll();
  absl::Status StartDaemon(const std::string& role,
                           uint32_t number,
                           uint16_t http_port);
  absl::StatusOr<uint16_t> StartStandin(const std::string& role,
                                        std::vector<std::string> command);
  absl::Status AddProcess(const std::string& role,
                          const std::vector<std::string>& command);
  absl::Status Publish() const;
  absl::Status AwaitJob(uint16_t entry) const;

  const FleetSettings settings_;
  std::string folder_;
  std::string secret_;
  uint16_t log_port_ = 0;
  std::vector<uint16_t> entries_;
  std::vector<uint16_t> executors_;
  std::vector<std::pair<std::string, std::unique_ptr<ChildProcess>>> processes_;
};

}  // namespace filbertwick::bench

#endif  // FILBERTWICK_BENCH_LIVE_FLEET_H_
