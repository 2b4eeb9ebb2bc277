#include "bench/live/load.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <random>
#include <utility>

#include "filbertwick/http/client.h"

namespace filbertwick::bench {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(15);
constexpr size_t kConnectionsPerPort = 256;

/// State of one RunLoad() call.
class LoadRun {
 public:
  explicit LoadRun(const LoadSettings& settings)
      : settings_(settings),
        timer_(context_),
        random_(settings.seed),
        start_(MonotonicClock::now()) {
    for (const uint16_t port : settings_.ports) {
      http::ClientSettings client;
      client.port = port;
      client.max_connections = kConnectionsPerPort;
      clients_.push_back(http::Client::Create(context_, client));
    }
  }

  LoadResult Run() {
    if (settings_.rate > 0) {
      due_ = start_;
      ScheduleNext();
    } else {
      for (uint32_t i = 0; i < settings_.concurrency; ++i) {
        Send(MonotonicClock::now());
      }
    }
    context_.run();
    result_.time = MonotonicClock::now() - start_;
    std::ranges::sort(result_.latencies);
    return std::move(result_);
  }

 private:
  bool over(Instant now) const { return now - start_ >= settings_.time; }

  void ScheduleNext() {
    std::exponential_distribution<double> gap(settings_.rate);
    due_ += Duration(static_cast<int64_t>(gap(random_) * 1e6));
    timer_.expires_at(
        std::chrono::steady_clock::time_point(due_.time_since_epoch()));
    timer_.async_wait([this](const auto&) { OnDue(); });
  }

  void OnDue() {
    if (over(due_)) {
      sending_ = false;
      StopWhenDone();
      return;
    }
    Send(due_);
    ScheduleNext();
  }

  void Send(Instant due) {
    const uint64_t number = sent_++;
    ++open_;
    clients_[number % clients_.size()]->Call(
        settings_.make(number), kCallTimeout,
        [this, due](const http::CallResult& result) { OnDone(result, due); });
  }

  void OnDone(const http::CallResult& result, Instant due) {
    --open_;
    const Instant now = MonotonicClock::now();
    const int status = result.response.ok() ? result.response->status : -1;
    ++result_.statuses[status];
    if (status == 200) {
      result_.latencies.push_back(now - due);
    }
    if (settings_.rate > 0) {
      StopWhenDone();
    } else if (over(now)) {
      sending_ = false;
      StopWhenDone();
    } else {
      Send(now);
    }
  }

  void StopWhenDone() {
    if (!sending_ && open_ == 0) {
      context_.stop();
    }
  }

  const LoadSettings& settings_;
  boost::asio::io_context context_{1};
  boost::asio::steady_timer timer_;
  std::vector<std::unique_ptr<http::Client>> clients_;
  std::mt19937_64 random_;
  const Instant start_;
  Instant due_;
  uint64_t sent_ = 0;
  uint64_t open_ = 0;
  bool sending_ = true;
  LoadResult result_;
};

}  // namespace

Duration LoadResult::Quantile(double q) const {
  if (latencies.empty()) {
    return Duration(0);
  }
  const auto last = static_cast<double>(latencies.size() - 1);
  return latencies[static_cast<size_t>(q * last)];
}

LoadResult RunLoad(const LoadSettings& settings) {
  return LoadRun(settings).Run();
}

}  // namespace filbertwick::bench
