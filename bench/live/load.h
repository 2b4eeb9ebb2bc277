#ifndef FILBERTWICK_BENCH_LIVE_LOAD_H_
#define FILBERTWICK_BENCH_LIVE_LOAD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/http/message.h"

namespace filbertwick::bench {

/// Load that is offered for some time.
struct LoadSettings {
  /// Ports that get the requests in turn.
  std::vector<uint16_t> ports;
  /// Requests a second with exponential gaps; 0 keeps `concurrency` requests
  /// open instead.
  double rate = 0;
  uint32_t concurrency = 0;
  Duration time = std::chrono::seconds(5);
  uint64_t seed = 1;
  /// Makes the request of a number.
  std::function<http::Request(uint64_t)> make;
};

/// What came of a load.
struct LoadResult {
  /// Responses by status; -1 counts calls without a response.
  std::map<int, uint64_t> statuses;
  /// Latencies of responses of status 200, sorted. They count from the instant
  /// at which a request was due.
  std::vector<Duration> latencies;
  /// From the first request to the last response.
  Duration time{0};

  /// Latency at a quantile; zero when there is none.
  Duration Quantile(double q) const;
};

/// Offers the load and waits for every response.
LoadResult RunLoad(const LoadSettings& settings);

}  // namespace filbertwick::bench

#endif  // FILBERTWICK_BENCH_LIVE_LOAD_H_
