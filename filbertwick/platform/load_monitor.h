#ifndef FILBERTWICK_PLATFORM_LOAD_MONITOR_H_
#define FILBERTWICK_PLATFORM_LOAD_MONITOR_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "filbertwick/base/counters.h"
#include "filbertwick/base/log_line.h"
#include "filbertwick/net/instance_net.h"

namespace filbertwick::platform {

/// Callbacks of a LoadMonitor, called on the context's thread.
struct LoadMonitorHooks {
  /// Returns the traffic since the previous call.
  std::function<net::InstanceTraffic()> take_traffic;
  /// Writes a line to the process's log.
  std::function<void(const LogLine&)> log;
};

/// Measures how late the event loop runs and how long messages to sidecars and
/// back take. Logs `instance_overloaded`, at most once a second, while either
/// is so late that timeouts expire for no other reason. Updates the metrics
/// `event_loop_delay_seconds`, `datagrams_received_total` and
/// `datagram_bytes_sent_total`. Not thread-safe: runs on the context's thread.
class LoadMonitor {
 public:
  /// Creates a monitor and starts it. `counters` must outlive it.
  static std::unique_ptr<LoadMonitor> Create(boost::asio::io_context& context,
                                             Counters& counters,
                                             LoadMonitorHooks hooks);
  ~LoadMonitor();

 private:
  class Impl;
  explicit LoadMonitor(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_LOAD_MONITOR_H_
