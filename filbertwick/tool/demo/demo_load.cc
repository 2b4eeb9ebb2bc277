#include "filbertwick/tool/demo/demo_load.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

#include "filbertwick/json/document.h"
#include "filbertwick/json/text_writer.h"
#include "filbertwick/tool/entry_responses.h"
#include "filbertwick/tool/job_id.h"
#include "filbertwick/tool/job_target.h"

namespace filbertwick::tool {
namespace {

constexpr Duration kDeadline = std::chrono::seconds(10);
/// One job is submitted again once 1/kResubmitDivisor of the jobs have been
/// submitted.
constexpr uint32_t kResubmitDivisor = 3;

/// Id and payloads of a job, and the run time of its longest task.
struct DemoJob {
  std::string id;
  std::vector<std::string> payloads;
  uint32_t longest_millis = 0;
};

http::Request MakeRequest(const DemoJob& job) {
  json::TextWriter writer;
  writer.BeginObject()
      .Member("service", "quote")
      .Member("team", "demo")
      .Member("deadline_ms", kDeadline / std::chrono::milliseconds(1))
      .Key("tasks")
      .BeginArray();
  for (const std::string& payload : job.payloads) {
    writer.Value(payload);
  }
  writer.EndArray().EndObject();
  http::Request request;
  request.method = "PUT";
  request.target = JobTarget(job.id);
  request.headers = {{"Content-Type", "application/json"}};
  request.body = writer.Take();
  return request;
}

}  // namespace

/// Runs the timer and the HTTP clients on one thread.
class DemoLoad::Impl {
 public:
  Impl(const DemoLoadSettings& settings,
       std::vector<http::ClientSettings> entries)
      : settings_(settings), random_(settings.seed), timer_(context_) {
    for (http::ClientSettings& entry : entries) {
      clients_.push_back(http::Client::Create(context_, std::move(entry)));
    }
    next_at_ = std::chrono::steady_clock::now();
    Schedule();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~Impl() {
    context_.stop();
    thread_.join();
  }

  uint32_t answered() const {
    std::lock_guard lock(mutex_);
    return answered_;
  }

  bool done() const {
    std::lock_guard lock(mutex_);
    return answered_ == settings_.jobs + 1;
  }

  DemoLoadStats stats() const {
    std::lock_guard lock(mutex_);
    return stats_;
  }

 private:
  void Schedule() {
    timer_.expires_at(next_at_);
    timer_.async_wait([this](const boost::system::error_code& ec) {
      if (!ec) {
        SubmitNext();
      }
    });
  }

  void SubmitNext() {
    const DemoJob job = MakeJob();
    Submit(job, submitted_ % clients_.size());
    ++submitted_;
    // Submits the same job through the other entry while it still runs.
    if (submitted_ == settings_.jobs / kResubmitDivisor) {
      Submit(job, submitted_ % clients_.size());
    }
    if (submitted_ < settings_.jobs) {
      next_at_ += settings_.interval;
      Schedule();
    }
  }

  DemoJob MakeJob() {
    DemoJob job;
    job.id = MakeJobId(WallTime::Now(), random_(), random_());
    std::uniform_int_distribution<uint32_t> tasks(1, settings_.max_tasks);
    std::uniform_int_distribution<uint32_t> millis(settings_.min_run_millis,
                                                   settings_.max_run_millis);
    const uint32_t n = tasks(random_);
    for (uint32_t i = 0; i < n; ++i) {
      const uint32_t run = millis(random_);
      job.longest_millis = std::max(job.longest_millis, run);
      job.payloads.push_back(fmt::format(
          "{{\"job\":\"{}\",\"task\":{},\"run_ms\":{}}}", job.id, i, run));
    }
    return job;
  }

  void Submit(const DemoJob& job, size_t client) {
    const Instant sent = MonotonicClock::now();
    clients_[client]->Call(MakeRequest(job),
                           kDeadline + std::chrono::seconds(3),
                           [this, job, sent](const http::CallResult& result) {
                             Record(job, MonotonicClock::now() - sent, result);
                           });
  }

  void Record(const DemoJob& job,
              Duration took,
              const http::CallResult& result) {
    std::lock_guard lock(mutex_);
    ++answered_;
    ++stats_.jobs;
    if (!result.response.ok()) {
      ++stats_.unanswered;
      return;
    }
    const std::string& body = result.response->body;
    const auto job_result = ParseJobResponse(body);
    if (!job_result.ok()) {
      ++stats_.unanswered;
    } else if (job_result->outcome == "complete") {
      ++stats_.complete;
      stats_.partial += HasAllResults(job, body) ? 0 : 1;
      stats_.slowdowns.push_back(static_cast<double>(took.count()) /
                                 (job.longest_millis * 1000.0));
    } else if (job_result->outcome == "failed") {
      ++stats_.failed;
    } else {
      ++stats_.refused;
    }
  }

  /// True when the answer holds exactly one result for each task, in order, and
  /// each result equals the payload of its task.
  static bool HasAllResults(const DemoJob& job, const std::string& body) {
    const auto document =
        json::Document::Parse("answer", body, json::Comments::kForbidden);
    const auto tasks =
        document.parsed() ? document.root().Child("tasks") : std::nullopt;
    if (!tasks) {
      return false;
    }
    for (size_t i = 0; i < job.payloads.size(); ++i) {
      const auto task = tasks->Child(std::to_string(i));
      const auto text = task ? task->Child("result") : std::nullopt;
      if (!text || text->AsString() != job.payloads[i]) {
        return false;
      }
    }
    return !tasks->Child(std::to_string(job.payloads.size()));
  }

  DemoLoadSettings settings_;
  std::mt19937_64 random_;
  boost::asio::io_context context_;
  boost::asio::steady_timer timer_;
  std::chrono::steady_clock::time_point next_at_;
  std::vector<std::unique_ptr<http::Client>> clients_;
  uint32_t submitted_ = 0;
  mutable std::mutex mutex_;
  uint32_t answered_ = 0;
  DemoLoadStats stats_;
  std::thread thread_;
};

DemoLoad::DemoLoad(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
DemoLoad::~DemoLoad() = default;

std::unique_ptr<DemoLoad> DemoLoad::Start(
    const DemoLoadSettings& settings,
    std::vector<http::ClientSettings> entries) {
  return std::unique_ptr<DemoLoad>(
      new DemoLoad(std::make_unique<Impl>(settings, std::move(entries))));
}

uint32_t DemoLoad::answered() const {
  return impl_->answered();
}

bool DemoLoad::done() const {
  return impl_->done();
}

DemoLoadStats DemoLoad::stats() const {
  return impl_->stats();
}

}  // namespace filbertwick::tool
