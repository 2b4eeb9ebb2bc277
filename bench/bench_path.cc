// Measures the whole request path on loopback: the latency added to a task in
// comparison with a direct call to the executor, and the tasks that one entry
// starts per second.
#include <fmt/core.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_future.hpp>
#include <cstdlib>
#include <exception>
#include <functional>
#include <future>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "filbertwick/daemon/daemon.h"
#include "filbertwick/http/client.h"
#include "filbertwick/json/text_writer.h"
#include "filbertwick/standin/executor.h"
#include "filbertwick/standin/log_service.h"

namespace filbertwick {
namespace {

constexpr int kSidecars = 3;
constexpr int kSlots = 8;
constexpr Duration kRunTime = std::chrono::milliseconds(10);
constexpr double kLoad = 0.3;
constexpr int kLatencySamples = 3'000;
constexpr Duration kThroughputTime = std::chrono::seconds(4);
constexpr Duration kCallTimeout = std::chrono::seconds(30);
constexpr const char* kToken = "bench operator token";
constexpr const char* kBundle =
    R"({"version":1,"based_on":0,"zones":[{"name":"a","region":"r"}],)"
    R"("services":[{"name":"s","zones":["a"]}],)"
    R"("teams":[{"name":"t","home_region":"r","quota":100000}]})";

/// Returns the value, or prints the error and exits the program.
template <typename Value>
Value ValueOrExit(absl::StatusOr<Value> value) {
  if (!value.ok()) {
    fmt::print(stderr, "bench: {}\n", value.status().ToString());
    std::exit(EXIT_FAILURE);
  }
  return *std::move(value);
}

/// An io_context that runs on its own thread.
class LoopThread {
 public:
  LoopThread() : work_(boost::asio::make_work_guard(context_)) {
    thread_ = std::thread([this] { context_.run(); });
  }
  ~LoopThread() {
    context_.stop();
    thread_.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  boost::asio::io_context& context() { return context_; }

  /// Runs `task` on the thread and blocks until it returns.
  template <typename Task>
  void Run(Task task) {
    boost::asio::post(context_, boost::asio::use_future(task)).get();
  }

 private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread thread_;
};

/// One entry, its sidecars and executors, and a control log.
class Deployment {
 public:
  Deployment() {
    platform_.Run([this] {
      log_ = ValueOrExit(standin::LogService::Create(platform_.context(), {}));
    });
    entry_ = Start("entry", wire::Role::kEntry);
    for (int n = 0; n < kSidecars; ++n) {
      sidecars_.push_back(
          Start(fmt::format("sidecar-{}", n), wire::Role::kSidecar));
      standin::ExecutorSettings settings;
      settings.slots = kSlots;
      settings.sidecar_port = sidecars_.back()->info().address.http_port;
      platform_.Run([&] {
        executors_.push_back(ValueOrExit(
            standin::Executor::Create(platform_.context(), settings)));
      });
    }
    Publish();
    while (!entry_->ready() ||
           !std::ranges::all_of(sidecars_, &daemon::Daemon::ready)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  uint16_t entry_port() const { return entry_->info().address.http_port; }
  uint16_t executor_port(size_t n) const { return executors_[n]->port(); }

 private:
  std::unique_ptr<daemon::Daemon> Start(const std::string& name,
                                        wire::Role role) {
    daemon::Settings settings;
    wire::InstanceInfo& info = settings.node.info;
    info.name = InstanceName(name);
    info.role = role;
    info.region = RegionName("r");
    info.zone = ZoneName("a");
    info.address.host = "127.0.0.1";
    info.service = ServiceName(role == wire::Role::kSidecar ? "s" : "");
    settings.policy.own_zone = info.zone;
    settings.log.port = log_->port();
    settings.peer_secret = std::string(daemon::kPeerSecretBytes, 's');
    settings.operator_token = kToken;
    return ValueOrExit(daemon::Daemon::Create(
        settings, [](std::string_view) {}, [](bool) {}));
  }

  void Publish() const {
    json::TextWriter writer;
    writer.BeginObject().Member("change", "c").Member("author", "bench");
    writer.Key("publish").BeginObject().Member("version", 1);
    writer.Member("based_on", 0).Member("text", kBundle);
    writer.EndObject().EndObject();
    http::Request request{"POST", "/v1/changes", {}, writer.Take(), 0};
    request.headers = {{"Authorization", std::string("Bearer ") + kToken}};
    http::ClientSettings settings;
    settings.port = entry_port();
    const auto response =
        ValueOrExit(http::CallOnce(settings, std::move(request), kCallTimeout));
    if (response.status != 200) {
      fmt::print(stderr, "bench: {}\n", response.body);
      std::exit(EXIT_FAILURE);
    }
  }

  LoopThread platform_;
  std::unique_ptr<standin::LogService> log_;
  std::unique_ptr<daemon::Daemon> entry_;
  std::vector<std::unique_ptr<daemon::Daemon>> sidecars_;
  std::vector<std::unique_ptr<standin::Executor>> executors_;
};

std::string MakeJob(int tasks, Duration run_time) {
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(run_time).count();
  std::string body =
      R"({"service":"s","team":"t","deadline_ms":20000,"tasks":[)";
  for (int n = 0; n < tasks; ++n) {
    body += fmt::format(R"({}{{"run_ms":{}}})", n == 0 ? "" : ",", millis);
  }
  return body + "]}";
}

/// Open-loop load generator: sends requests at random times, independent of the
/// responses, and records the latency of each from its sending.
class OpenLoop {
 public:
  using Send = std::function<void(int n, http::CallHook done)>;

  /// Sends `kLatencySamples` requests at a mean of `rate` per second, with
  /// exponential intervals. Returns their latencies in milliseconds, sorted.
  static std::vector<double> Run(boost::asio::io_context& context,
                                 double rate,
                                 Send send) {
    auto loop = std::make_shared<OpenLoop>(context, rate, std::move(send));
    boost::asio::post(context, [loop] { loop->Next(loop); });
    loop->finished_.get_future().wait();
    std::ranges::sort(loop->millis_);
    return loop->millis_;
  }

  OpenLoop(boost::asio::io_context& context, double rate, Send send)
      : timer_(context), gap_(rate), send_(std::move(send)) {}

 private:
  void Next(const std::shared_ptr<OpenLoop>& self) {
    if (sent_ == kLatencySamples) {
      return;
    }
    due_ += Duration(static_cast<int64_t>(gap_(random_) * 1e6));
    timer_.expires_after(std::max(due_ - MonotonicClock::now(), Duration(0)));
    timer_.async_wait([this, self](const boost::system::error_code&) {
      const Instant start = MonotonicClock::now();
      send_(sent_++, [this, self, start](const http::CallResult& result) {
        const auto body = ValueOrExit(result.response).body;
        if (body.find("\"refused\"") != std::string::npos ||
            body.find("\"failed\"") != std::string::npos) {
          ++failed_;
        }
        millis_.push_back(
            static_cast<double>((MonotonicClock::now() - start).count()) / 1e3);
        if (millis_.size() == kLatencySamples) {
          fmt::print("  {} of {} not complete\n", failed_, kLatencySamples);
          finished_.set_value();
        }
      });
      Next(self);
    });
  }

  boost::asio::steady_timer timer_;
  std::mt19937_64 random_{1};
  std::exponential_distribution<double> gap_;
  Send send_;
  Instant due_ = MonotonicClock::now();
  int sent_ = 0;
  int failed_ = 0;
  std::vector<double> millis_;
  std::promise<void> finished_;
};

double Quantile(const std::vector<double>& sorted, double q) {
  return sorted[static_cast<size_t>(q *
                                    static_cast<double>(sorted.size() - 1))];
}

void PrintLatency(const char* name, const std::vector<double>& millis) {
  fmt::print("{}: p50 {:.3f} ms, p90 {:.3f} ms, p95 {:.3f} ms, p99 {:.3f} ms\n",
             name, Quantile(millis, 0.5), Quantile(millis, 0.9),
             Quantile(millis, 0.95), Quantile(millis, 0.99));
}

std::unique_ptr<http::Client> Connect(LoopThread& loop, uint16_t port) {
  http::ClientSettings settings;
  settings.port = port;
  settings.max_connections = 256;
  return http::Client::Create(loop.context(), settings);
}

void MeasureLatency(const Deployment& deployment, LoopThread& loop) {
  const double capacity =
      kSidecars * kSlots * 1e6 / static_cast<double>(kRunTime.count());
  const double rate = kLoad * capacity;
  std::vector<std::unique_ptr<http::Client>> executors;
  executors.reserve(kSidecars);
  for (int n = 0; n < kSidecars; ++n) {
    executors.push_back(Connect(loop, deployment.executor_port(n)));
  }
  const auto entry = Connect(loop, deployment.entry_port());
  const std::string payload = R"({"run_ms":10})";
  const std::string job = MakeJob(1, kRunTime);
  const auto direct =
      OpenLoop::Run(loop.context(), rate, [&](int n, http::CallHook done) {
        http::Request request{"POST",
                              fmt::format("/v1/tasks/direct-{}/0?attempt=1", n),
                              {},
                              payload,
                              0};
        executors[n % kSidecars]->Call(std::move(request), kCallTimeout,
                                       std::move(done));
      });
  PrintLatency("direct", direct);
  const auto through =
      OpenLoop::Run(loop.context(), rate, [&](int n, http::CallHook done) {
        http::Request request{
            "PUT", fmt::format("/v1/jobs/latency-{}", n), {}, job, 0};
        entry->Call(std::move(request), kCallTimeout, std::move(done));
      });
  PrintLatency("through filbertwick", through);
  fmt::print("added at {:.0f} tasks/s: p50 {:.3f} ms, p99 {:.3f} ms\n", rate,
             Quantile(through, 0.5) - Quantile(direct, 0.5),
             Quantile(through, 0.99) - Quantile(direct, 0.99));
}

/// Measures throughput in a closed loop: keeps `open_jobs` jobs open and counts
/// the tasks that complete.
void MeasureThroughput(const Deployment& deployment,
                       LoopThread& loop,
                       int open_jobs,
                       int tasks) {
  const auto entry = Connect(loop, deployment.entry_port());
  const std::string job = MakeJob(tasks, Duration(0));
  std::atomic<int> left = open_jobs;
  std::promise<void> finished;
  int number = 0;
  int complete = 0;
  int other = 0;
  const Instant start = MonotonicClock::now();
  std::function<void()> next = [&] {
    http::Request request{
        "PUT", fmt::format("/v1/jobs/rate-{}-{}", tasks, number++), {}, job, 0};
    entry->Call(std::move(request), kCallTimeout,
                [&](const http::CallResult& result) {
                  const bool good =
                      ValueOrExit(result.response).body.find("\"complete\"") !=
                      std::string::npos;
                  (good ? complete : other) += 1;
                  if (MonotonicClock::now() - start < kThroughputTime) {
                    next();
                  } else if (--left == 0) {
                    finished.set_value();
                  }
                });
  };
  boost::asio::post(loop.context(), [&] {
    for (int n = 0; n < open_jobs; ++n) {
      next();
    }
  });
  finished.get_future().wait();
  const double seconds =
      static_cast<double>((MonotonicClock::now() - start).count()) / 1e6;
  fmt::print(
      "{} open jobs of {} tasks: {:.0f} starts/s, {} jobs complete, {} "
      "not\n",
      open_jobs, tasks, complete * tasks / seconds, complete, other);
}

void Run() {
  const Deployment deployment;
  LoopThread loop;
  MeasureLatency(deployment, loop);
  MeasureThroughput(deployment, loop, 64, 1);
  MeasureThroughput(deployment, loop, 8, 100);
}

}  // namespace
}  // namespace filbertwick

int main() {
  try {
    filbertwick::Run();
  } catch (const std::exception& error) {
    fmt::print(stderr, "bench: {}\n", error.what());
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
