#ifndef FILBERTWICK_PLATFORM_LOAD_MONITOR_H_
#define FILBERTWICK_PLATFORM_LOAD_MONITOR_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "filbertwick/base/counters.h"
#include "filbertwick/base/log_line.h"
#include "filbertwick/core/policy/overload_detector.h"
#include "filbertwick/net/instance_net.h"

namespace filbertwick::platform {

/// Callbacks of a LoadMonitor, called on the context's thread.
struct LoadMonitorHooks {
  /// Returns the traffic since the previous call.
  std::function<net::InstanceTraffic()> take_traffic;
  /// Writes a line to the process's log.
  std::function<void(const LogLine&)> log;
  /// The overload detector of an entry, which must outlive the monitor; null
  /// for a sidecar, which is judged by the delay of its event loop.
  const core::policy::OverloadDetector* entry_overload = nullptr;
};

/// Measures how late the event loop runs and how long messages to sidecars and
/// back take. Logs `instance_overloaded` when either becomes so late that
/// timeouts expire for no other reason, and `instance_recovered` when it is
/// over. Updates the metrics `event_loop_delay_seconds`,
/// `datagrams_received_total`, `datagram_bytes_sent_total`, and for an entry
/// `entry_own_delay_seconds` and `entry_overloaded` (0 or 1). Not thread-safe:
/// runs on the context's thread.
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
