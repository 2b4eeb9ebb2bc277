#include "filbertwick/platform/load_monitor.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <utility>

#include "filbertwick/base/time.h"

namespace filbertwick::platform {
namespace {

/// Interval at which the delay of the event loop is measured.
constexpr Duration kMeasureInterval = std::chrono::milliseconds(250);
/// Interval of the reports: this many measurements.
constexpr int kMeasurementsPerReport = 4;
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
        refused_(counters.Get("datagrams_refused_total")),
        too_large_(counters.Get("datagrams_too_large_total")),
        hooks_(std::move(hooks)) {
    if (hooks_.entry_overload != nullptr) {
      own_delay_ = &counters.GetHistogram("entry_own_delay_seconds");
      is_overloaded_ = &counters.Get("entry_overloaded");
    }
  }

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
    const Instant now = MonotonicClock::now();
    const Duration delay = std::max(Duration(0), now - due_);
    loop_delay_.Add(delay);
    loop_overload_.OnTimer(now, due_);
    max_loop_delay_ = std::max(max_loop_delay_, delay);
    if (++measurements_ == kMeasurementsPerReport) {
      measurements_ = 0;
      CountTraffic();
    }
    const core::policy::OverloadDetector& overload =
        own_delay_ != nullptr ? *hooks_.entry_overload : loop_overload_;
    const Duration own_delay = overload.OwnDelay(now);
    if (own_delay_ != nullptr) {
      own_delay_->Add(own_delay);
      is_overloaded_->Set(overload.IsOverloaded(now) ? 1 : 0);
    }
    Report(now, own_delay,
           overload.IsOverloaded(now) || round_trip_ >= kReportedRoundTrip);
  }

  void CountTraffic() {
    const net::InstanceTraffic traffic = hooks_.take_traffic();
    received_.Add(traffic.datagrams_received);
    bytes_sent_.Add(traffic.bytes_sent);
    refused_.Add(traffic.datagrams_refused);
    too_large_.Add(traffic.datagrams_too_large);
    round_trip_ = traffic.shortest_echo.value_or(Duration(0));
    traffic_.datagrams_received += traffic.datagrams_received;
    traffic_.bytes_received += traffic.bytes_received;
    traffic_.datagrams_sent += traffic.datagrams_sent;
    traffic_.bytes_sent += traffic.bytes_sent;
  }

  /// Logs the begin and the end of an overload.
  void Report(Instant now, Duration own_delay, bool overloaded) {
    max_own_delay_ = std::max(max_own_delay_, own_delay);
    max_round_trip_ = std::max(max_round_trip_, round_trip_);
    if (overloaded && !overloaded_since_) {
      hooks_.log(AddDelays(LogLine("instance_overloaded")));
      overloaded_since_ = now;
    } else if (!overloaded && overloaded_since_) {
      hooks_.log(
          AddDelays(LogLine("instance_recovered"))
              .Add("lasted_us", (now - *overloaded_since_).count())
              .Add("datagrams_received",
                   static_cast<int64_t>(traffic_.datagrams_received))
              .Add("bytes_received",
                   static_cast<int64_t>(traffic_.bytes_received))
              .Add("datagrams_sent",
                   static_cast<int64_t>(traffic_.datagrams_sent))
              .Add("bytes_sent", static_cast<int64_t>(traffic_.bytes_sent)));
      overloaded_since_.reset();
    } else if (overloaded) {
      return;
    }
    max_own_delay_ = max_loop_delay_ = max_round_trip_ = Duration(0);
    traffic_ = {};
  }

  /// Adds the highest values since the last change.
  LogLine AddDelays(LogLine line) const {
    return std::move(line)
        .Add("own_delay_us", max_own_delay_.count())
        .Add("loop_delay_us", max_loop_delay_.count())
        .Add("round_trip_us", max_round_trip_.count());
  }

  boost::asio::steady_timer timer_;
  Histogram& loop_delay_;
  Counter& received_;
  Counter& bytes_sent_;
  Counter& refused_;
  Counter& too_large_;
  const LoadMonitorHooks hooks_;
  /// When the timer should expire.
  Instant due_;
  int measurements_ = 0;
  /// Shortest round trip of the last report interval.
  Duration round_trip_{0};
  /// Judges the delay of the event loop alone.
  core::policy::OverloadDetector loop_overload_;
  /// Metrics of an entry; null for a sidecar.
  Histogram* own_delay_ = nullptr;
  Counter* is_overloaded_ = nullptr;
  /// Begin of the present overload; unset when there is none.
  std::optional<Instant> overloaded_since_;
  /// Highest values, and the traffic, of the present overload.
  Duration max_own_delay_{0};
  Duration max_loop_delay_{0};
  Duration max_round_trip_{0};
  net::InstanceTraffic traffic_;
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
