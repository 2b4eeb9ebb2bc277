#include "filbertwick/platform/load_monitor.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "filbertwick/base/time.h"

namespace filbertwick::platform {
namespace {

/// Interval at which the delay of the event loop is measured.
constexpr Duration kMeasureInterval = std::chrono::milliseconds(250);
/// Interval of the reports: this many measurements.
constexpr int kMeasurementsPerReport = 4;
/// A delay from which on messages are resent because their answers are not read
/// in time.
constexpr Duration kReportedLoopDelay = std::chrono::milliseconds(50);
/// A round trip from which on the entry takes a sidecar for unresponsive.
constexpr Duration kReportedRoundTrip = std::chrono::milliseconds(200);

}  // namespace

class LoadMonitor::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& context,
       Counters& counters,
       LoadMonitorHooks hooks)
      : timer_(context),
        loop_delay_(counters.GetHistogram("event_loop_delay_seconds")),
        received_(counters.Get("datagrams_received_total")),
        bytes_sent_(counters.Get("datagram_bytes_sent_total")),
        hooks_(std::move(hooks)) {}

  void Start() {
    due_ = MonotonicClock::now() + kMeasureInterval;
    timer_.expires_after(kMeasureInterval);
    timer_.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
      const auto self = weak.lock();
      if (!ec && self) {
        self->Measure();
        self->Start();
      }
    });
  }

 private:
  void Measure() {
    const Duration delay = std::max(Duration(0), MonotonicClock::now() - due_);
    loop_delay_.Add(delay);
    max_delay_ = std::max(max_delay_, delay);
    if (++measurements_ == kMeasurementsPerReport) {
      measurements_ = 0;
      Report(std::exchange(max_delay_, Duration(0)));
    }
  }

  void Report(Duration max_delay) {
    const net::InstanceTraffic traffic = hooks_.take_traffic();
    received_.Add(traffic.datagrams_received);
    bytes_sent_.Add(traffic.bytes_sent);
    const Duration round_trip = traffic.shortest_echo.value_or(Duration(0));
    if (max_delay < kReportedLoopDelay && round_trip < kReportedRoundTrip) {
      return;
    }
    hooks_.log(
        LogLine("instance_overloaded")
            .Add("loop_delay_us", max_delay.count())
            .Add("round_trip_us", round_trip.count())
            .Add("datagrams_received",
                 static_cast<int64_t>(traffic.datagrams_received))
            .Add("bytes_received", static_cast<int64_t>(traffic.bytes_received))
            .Add("datagrams_sent", static_cast<int64_t>(traffic.datagrams_sent))
            .Add("bytes_sent", static_cast<int64_t>(traffic.bytes_sent)));
  }

  boost::asio::steady_timer timer_;
  Histogram& loop_delay_;
  Counter& received_;
  Counter& bytes_sent_;
  const LoadMonitorHooks hooks_;
  /// When the timer should expire.
  Instant due_;
  Duration max_delay_{0};
  int measurements_ = 0;
};

LoadMonitor::LoadMonitor(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}
LoadMonitor::~LoadMonitor() = default;

std::unique_ptr<LoadMonitor> LoadMonitor::Create(
    boost::asio::io_context& context,
    Counters& counters,
    LoadMonitorHooks hooks) {
  auto impl = std::make_shared<Impl>(context, counters, std::move(hooks));
  impl->Start();
  return std::unique_ptr<LoadMonitor>(new LoadMonitor(std::move(impl)));
}

}  // namespace filbertwick::platform
