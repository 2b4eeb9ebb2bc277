#include "soak/callers.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <utility>

#include "filbertwick/harness/random.h"
#include "filbertwick/http/client.h"
#include "filbertwick/http/target.h"
#include "soak/run_after.h"

namespace filbertwick::soak {
namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

/// Delay before a job is sent again, the same as for the platform's callers.
constexpr Duration kResendAfter = std::chrono::milliseconds(1300);
/// Deadline that a caller sends with each job.
constexpr Duration kDeadline = std::chrono::seconds(4);
/// A caller closes its connection when a call stays unanswered for this long.
constexpr Duration kCallTimeout = std::chrono::seconds(6);
/// Interval of the readiness checks, the same as for the platform's load
/// balancer.
constexpr Duration kReadyInterval = std::chrono::seconds(1);
constexpr Duration kReadyTimeout = std::chrono::milliseconds(500);
constexpr int kMaxAttempts = 4;
constexpr uint32_t kMaxTasks = 3;
constexpr uint64_t kMaxRunMillis = 150;
/// Some tasks run longer than kResendAfter, so that a run left over from the
/// first attempt would overlap with a run of the resent job and be noticed.
constexpr uint64_t kMaxLongRunMillis = 3500;
constexpr double kLongRunProbability = 0.1;
/// Some specs are as long as callers may make them, so that the jobs which wait
/// together exceed a datagram.
constexpr size_t kMaxSpecBytes = 4000;
constexpr double kLongSpecProbability = 0.3;
/// A few jobs have as many tasks as callers may give them, which are short: far
/// more than all upstreams run at a time.
constexpr uint32_t kMaxWideTasks = 980;
constexpr uint64_t kMaxWideRunMillis = 5;
constexpr double kWideJobProbability = 0.005;
/// Combined with the seed for the size of jobs.
constexpr uint64_t kSizeSeed = 0x9e3779b97f4a7c15;

}  // namespace

class Callers::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, CallerSettings settings, Observer& observer)
      : context_(context),
        settings_(std::move(settings)),
        observer_(observer),
        random_(settings_.seed),
        size_random_(settings_.seed ^ kSizeSeed),
        load_timer_(context),
        ready_timer_(context),
        ready_(settings_.entries.size(), false) {
    Connect(settings_.entries, clients_);
    Connect(settings_.readiness, readiness_);
  }

  void Start() { PollReadiness(); }
  void SetLoad(bool on);
  void Submit(std::string_view path_prefix, DoneHook done);
  size_t open_jobs() const { return open_; }
  size_t ready_entries() const {
    return static_cast<size_t>(std::ranges::count(ready_, true));
  }

 private:
  struct Job {
    std::string id;
    std::string path_prefix;
    std::string body;
    /// Index of the entry that the job is sent to.
    size_t entry = 0;
    /// Goes to `entry` on the first attempt, whether that is ready or not.
    bool sticky = false;
    int attempts = 0;
    /// False once an attempt went unanswered: its tasks may run although every
    /// later attempt is refused.
    bool only_refusals = true;
    DoneHook done;
  };
  using Clients = std::vector<std::unique_ptr<http::Client>>;

  void Connect(const std::vector<platform::Address>& addresses,
               Clients& clients) {
    for (const platform::Address& address : addresses) {
      http::ClientSettings settings;
      settings.host = address.host;
      settings.port = address.port;
      clients.push_back(http::Client::Create(context_, settings));
    }
  }
  void PollReadiness();
  void ScheduleNext();
  void ChooseEntry(Job& job);
  void Send(const std::shared_ptr<Job>& job);
  void OnResult(const std::shared_ptr<Job>& job,
                const http::CallResult& result);
  void OnRefused(const std::shared_ptr<Job>& job,
                 const http::Response& response);
  void SendAfter(const std::shared_ptr<Job>& job, Duration wait);
  void Finish(const std::shared_ptr<Job>& job, bool completed);

  asio::io_context& context_;
  const CallerSettings settings_;
  Observer& observer_;
  harness::Random random_;
  harness::Random size_random_;
  asio::steady_timer load_timer_;
  asio::steady_timer ready_timer_;
  std::vector<bool> ready_;
  Clients clients_;
  Clients readiness_;
  size_t open_ = 0;
  bool load_on_ = false;
};

void Callers::Impl::PollReadiness() {
  http::Request request;
  request.target = "/api/ready";
  for (size_t n = 0; n < readiness_.size(); ++n) {
    readiness_[n]->Call(
        request, kReadyTimeout, [this, n](const http::CallResult& result) {
          ready_[n] = result.response.ok() && result.response->status == 200;
        });
  }
  ready_timer_.expires_after(kReadyInterval);
  ready_timer_.async_wait([weak = weak_from_this()](const ErrorCode& ec) {
    const auto self = weak.lock();
    if (!ec && self) {
      self->PollReadiness();
    }
  });
}

void Callers::Impl::SetLoad(bool on) {
  load_timer_.cancel();
  load_on_ = on;
  if (on) {
    ScheduleNext();
  }
}

void Callers::Impl::ScheduleNext() {
  const double mean = 1e6 / settings_.jobs_per_second;
  const double wait = -mean * std::log(1.0 - random_.Fraction());
  load_timer_.expires_after(Duration(static_cast<int64_t>(wait)));
  load_timer_.async_wait([weak = weak_from_this()](const ErrorCode& ec) {
    const auto self = weak.lock();
    // The timer may have expired before it was cancelled.
    if (!ec && self && self->load_on_) {
      self->Submit(self->settings_.path_prefix, [](bool) {});
      self->ScheduleNext();
    }
  });
}

void Callers::Impl::Submit(std::string_view path_prefix, DoneHook done) {
  const auto job = std::make_shared<Job>();
  job->id = fmt::format("{:016x}", random_.Next());
  job->path_prefix = path_prefix;
  job->done = std::move(done);
  job->sticky = random_.Chance(0.5);
  job->entry = random_.Below(clients_.size());
  uint32_t tasks = 1 + static_cast<uint32_t>(random_.Below(kMaxTasks));
  uint64_t length =
      1 + random_.Below(random_.Chance(kLongRunProbability) ? kMaxLongRunMillis
                                                            : kMaxRunMillis);
  if (size_random_.Chance(kWideJobProbability)) {
    tasks = 1 + static_cast<uint32_t>(size_random_.Below(kMaxWideTasks));
    length = 1 + size_random_.Below(kMaxWideRunMillis);
  }
  const size_t digits =
      size_random_.Chance(kLongSpecProbability) ? kMaxSpecBytes - 4 : 1;
  const std::string spec = fmt::format("run {:0{}}", length, digits);
  job->body =
      fmt::format(R"({{"spec":"{}","best-effort":true,"steps":[{{"count":{},)"
                  R"("cpu":1000,"mem-mb":100,"estimate-ms":{}}}]}})",
                  spec, tasks, length);
  observer_.OnSubmitted(job->id, tasks);
  ++open_;
  Send(job);
}

void Callers::Impl::ChooseEntry(Job& job) {
  if (job.sticky && job.attempts == 0) {
    return;
  }
  std::vector<size_t> ready;
  for (size_t n = 0; n < ready_.size(); ++n) {
    if (ready_[n]) {
      ready.push_back(n);
    }
  }
  job.entry = ready.empty() ? random_.Below(clients_.size())
                            : ready[random_.Below(ready.size())];
}

void Callers::Impl::Send(const std::shared_ptr<Job>& job) {
  ChooseEntry(*job);
  ++job->attempts;
  http::Request request;
  request.method = "POST";
  request.target = job->path_prefix + job->id;
  request.headers = {
      {"Host", settings_.host},
      {"Content-Type", "application/json"},
      {"Filbertwick-Deadline-Ms",
       std::to_string(kDeadline / std::chrono::milliseconds(1))}};
  request.body = job->body;
  clients_[job->entry]->Call(
      std::move(request), kCallTimeout,
      [this, job](const http::CallResult& result) { OnResult(job, result); });
}

void Callers::Impl::OnResult(const std::shared_ptr<Job>& job,
                             const http::CallResult& result) {
  if (!result.response.ok()) {
    job->only_refusals = false;
    if (job->attempts >= kMaxAttempts) {
      ++observer_.counts().given_up;
      Finish(job, false);
      return;
    }
    ++observer_.counts().resent;
    SendAfter(job, kResendAfter);
    return;
  }
  const http::Response& response = *result.response;
  if (response.status == 503) {
    OnRefused(job, response);
    return;
  }
  const bool completed = response.status == 200 &&
                         response.body.find("completed") != std::string::npos;
  if (completed) {
    observer_.OnCompleted(job->id);
  } else if (response.status != 200 && response.status != 504) {
    observer_.Report("answer", fmt::format("{}: unexpected status {}", job->id,
                                           response.status));
  }
  Finish(job, completed);
}

void Callers::Impl::OnRefused(const std::shared_ptr<Job>& job,
                              const http::Response& response) {
  const auto seconds = http::ParseNumber(response.FindHeader("Retry-After"));
  if (!seconds) {
    observer_.Report("answer",
                     fmt::format("{}: refusal without Retry-After", job->id));
  }
  if (job->attempts < kMaxAttempts && seconds) {
    SendAfter(job, std::chrono::seconds(*seconds));
    return;
  }
  if (job->only_refusals) {
    observer_.OnRefused(job->id);
  }
  Finish(job, false);
}

void Callers::Impl::SendAfter(const std::shared_ptr<Job>& job, Duration wait) {
  RunAfter(context_, wait, [weak = weak_from_this(), job] {
    if (const auto self = weak.lock()) {
      self->Send(job);
    }
  });
}

void Callers::Impl::Finish(const std::shared_ptr<Job>& job, bool completed) {
  --open_;
  job->done(completed);
}

Callers::Callers(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

Callers::~Callers() = default;

std::unique_ptr<Callers> Callers::Create(asio::io_context& context,
                                         CallerSettings settings,
                                         Observer& observer) {
  auto impl = std::make_shared<Impl>(context, std::move(settings), observer);
  impl->Start();
  return std::unique_ptr<Callers>(new Callers(std::move(impl)));
}

void Callers::SetLoad(bool on) {
  impl_->SetLoad(on);
}

void Callers::Submit(std::string_view path_prefix, DoneHook done) {
  impl_->Submit(path_prefix, std::move(done));
}

size_t Callers::open_jobs() const {
  return impl_->open_jobs();
}

size_t Callers::ready_entries() const {
  return impl_->ready_entries();
}

}  // namespace filbertwick::soak
