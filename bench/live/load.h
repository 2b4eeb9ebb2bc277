#ifndef FILBERTWICK_BENCH_LIVE_LOAD_H_
#define FILBERTWICK_BENCH_LIVE_LOAD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/http/message.h"

namespace filbertwick::bench {

/// Parameters of a load that is generated for a fixed time.
struct LoadSettings {
  /// Ports that receive the requests round-robin.
  std::vector<uint16_t> ports;
  /// Requests per second with exponential intervals (open loop). If 0, keeps
  /// `concurrency` requests open instead (closed loop).
  double rate = 0;
  uint32_t concurrency = 0;
  Duration time = std::chrono::seconds(5);
  uint64_t seed = 1;
  /// Creates the request with the given number.
  std::function<http::Request(uint64_t)> make;
};

/// Responses and latencies of a load.
struct LoadResult {
  /// Responses by status; -1 counts calls without a response.
  std::map<int, uint64_t> statuses;
  /// Latencies of responses with status 200, sorted. Each counts from the time
  /// at which the request was due, so that a late send is included.
  std::vector<Duration> latencies;
  /// From the start of the load until no request is open and none will follow.
  Duration time{0};

  /// Returns the latency at quantile `q`; zero without latencies.
  Duration Quantile(double q) const;
};

/// Generates the load and blocks until every response has arrived.
LoadResult RunLoad(const LoadSettings& settings);

}  // namespace filbertwick::bench

#endif  // FILBERTWICK_BENCH_LIVE_LOAD_H_
