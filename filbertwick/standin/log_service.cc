#include "filbertwick/standin/log_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <utility>

#include "filbertwick/http/server.h"
#include "filbertwick/http/target.h"
#include "filbertwick/platform/log_protocol.h"
#include "filbertwick/wire/record_batch.h"

namespace filbertwick::standin {
namespace {

namespace asio = boost::asio;
using http::Request;
using http::Responder;
using http::Response;
using http::Target;

/// Upper limit for the `wait_ms` of a read, in milliseconds.
constexpr uint64_t kMaxWaitMillis = 60'000;

/// The records of one stream that have not been trimmed.
struct Stream {
  uint64_t first_offset = 0;
  std::deque<std::string> records;

  /// Offset after the newest record.
  uint64_t head() const { return first_offset + records.size(); }
};

/// A read at the head of a stream that waits for the next append.
struct LongPoll {
  std::string stream;
  uint64_t from = 0;
  Responder respond;
  std::unique_ptr<asio::steady_timer> timer;
};

Response EmptyResponse(int status) {
  return {status, {}, ""};
}

std::string FormatNumber(uint64_t n) {
  return fmt::format_int(n).str();
}

}  // namespace

class LogService::Impl : public std::enable_shared_from_this<LogService::Impl> {
 public:
  Impl(asio::io_context& context, const LogServiceSettings& settings)
      : context_(context), settings_(settings) {}

  absl::Status Listen();
  void Shutdown();

  uint16_t port() const { return server_->port(); }
  void SetDown(bool down);
  void SetDelay(Duration delay);
  void LoseAnswers(uint32_t n);
  void TrimBefore(std::string_view stream, uint64_t offset);
  uint64_t head(std::string_view stream) const;
  uint64_t appends() const;
  uint64_t reads() const;

 private:
  void Handle(Request request, Responder respond);
  /// Serves a request after `delay`, unless the service is destroyed before.
  void HandleLater(Duration delay, Request request, Responder respond);
  void Serve(const Request& request, const Responder& respond);
  void SetSwitches(const Target& target);
  void Append(const std::string& stream,
              const Request& request,
              const Responder& respond);
  void Read(const std::string& stream,
            const Target& target,
            const Responder& respond);
  Response FormatRead(const Stream& stream, uint64_t from);
  void AddLongPoll(LongPoll poll, Duration time);
  void OnPollTimeout(uint64_t poll_id);
  /// Answers every long poll whose stream has grown. While the service is down,
  /// closes the connections of all long polls instead.
  void AnswerLongPolls();

  asio::io_context& context_;
  const LogServiceSettings settings_;
  std::unique_ptr<http::Server> server_;
  mutable std::mutex mutex_;
  std::map<std::string, Stream, std::less<>> streams_;
  std::map<uint64_t, LongPoll> long_polls_;
  uint64_t last_poll_id_ = 0;
  bool down_ = false;
  Duration delay_{0};
  uint32_t answers_to_lose_ = 0;
  uint64_t appends_ = 0;
  uint64_t reads_ = 0;
};

absl::Status LogService::Impl::Listen() {
  http::ServerSettings settings;
  settings.host = settings_.host;
  settings.port = settings_.port;
  auto server = http::Server::Create(
      context_, settings,
      [weak = weak_from_this()](Request request, Responder respond) {
        if (const auto self = weak.lock()) {
          self->Handle(std::move(request), std::move(respond));
        }
      });
  if (!server.ok()) {
    return server.status();
  }
  server_ = *std::move(server);
  return absl::OkStatus();
}

void LogService::Impl::Shutdown() {
  server_.reset();
  const std::lock_guard lock(mutex_);
  long_polls_.clear();
}

void LogService::Impl::Handle(Request request, Responder respond) {
  const Target target = Target::Parse(request.target);
  if (target.segments().size() == 2 && target.segments()[1] == "switches") {
    SetSwitches(target);
    respond(EmptyResponse(204));
    return;
  }
  Duration delay{0};
  {
    const std::lock_guard lock(mutex_);
    delay = delay_;
  }
  if (delay > Duration(0)) {
    HandleLater(delay, std::move(request), std::move(respond));
  } else {
    Serve(request, respond);
  }
}

void LogService::Impl::HandleLater(Duration delay,
                                   Request request,
                                   Responder respond) {
  const auto timer = std::make_shared<asio::steady_timer>(context_, delay);
  timer->async_wait([timer, weak = weak_from_this(),
                     request = std::move(request),
                     respond = std::move(respond)](const auto& ec) {
    const auto self = weak.lock();
    if (!ec && self) {
      self->Serve(request, respond);
    }
  });
}

void LogService::Impl::Serve(const Request& request, const Responder& respond) {
  const Target target = Target::Parse(request.target);
  const auto& segments = target.segments();
  const bool known = segments.size() == 4 && segments[0] == "v1" &&
                     segments[1] == "streams" && segments[3] == "records";
  {
    const std::lock_guard lock(mutex_);
    if (down_) {
      respond(EmptyResponse(http::kNoResponse));
      return;
    }
  }
  if (!known) {
    respond(EmptyResponse(404));
  } else if (request.method == "POST") {
    Append(std::string(segments[2]), request, respond);
  } else if (request.method == "GET") {
    Read(std::string(segments[2]), target, respond);
  } else {
    respond(EmptyResponse(405));
  }
}

void LogService::Impl::SetSwitches(const Target& target) {
  if (const auto down = target.FindNumber("down")) {
    SetDown(*down != 0);
  }
  if (const auto delay = target.FindNumber("delay_ms")) {
    SetDelay(std::chrono::milliseconds(*delay));
  }
  if (const auto answers = target.FindNumber("lose_answers")) {
    LoseAnswers(static_cast<uint32_t>(*answers));
  }
  if (const auto offset = target.FindNumber("trim_before")) {
    TrimBefore(target.Find("stream").value_or("control"), *offset);
  }
}

void LogService::Impl::Append(const std::string& stream,
                              const Request& request,
                              const Responder& respond) {
  auto batch = wire::DecodeBatch(request.body);
  if (!batch.ok()) {
    respond(EmptyResponse(400));
    return;
  }
  uint64_t first_offset = 0;
  bool lost = false;
  {
    const std::lock_guard lock(mutex_);
    Stream& stored = streams_[stream];
    first_offset = stored.head();
    std::ranges::move(*batch, std::back_inserter(stored.records));
    ++appends_;
    lost = answers_to_lose_ > 0;
    answers_to_lose_ -= lost ? 1 : 0;
  }
  respond(lost ? EmptyResponse(http::kNoResponse)
               : Response{200,
                          {{std::string(platform::kFirstOffsetHeader),
                            FormatNumber(first_offset)}},
                          ""});
  AnswerLongPolls();
}

void LogService::Impl::Read(const std::string& stream,
                            const Target& target,
                            const Responder& respond) {
  const auto from = target.FindNumber("from");
  if (!from) {
    respond(EmptyResponse(400));
    return;
  }
  const uint64_t wait_ms =
      std::min(target.FindNumber("wait_ms").value_or(0), kMaxWaitMillis);
  Response response;
  {
    const std::lock_guard lock(mutex_);
    const Stream& stored = streams_[stream];
    response = FormatRead(stored, *from);
    if (*from == stored.head() && wait_ms > 0) {
      AddLongPoll({stream, *from, respond, nullptr},
                  std::chrono::milliseconds(wait_ms));
      return;
    }
  }
  respond(std::move(response));
}

Response LogService::Impl::FormatRead(const Stream& stream, uint64_t from) {
  if (from < stream.first_offset) {
    return {platform::kTrimmedStatus,
            {{std::string(platform::kFirstAvailableHeader),
              FormatNumber(stream.first_offset)}},
            ""};
  }
  if (from > stream.head()) {
    return EmptyResponse(416);
  }
  const auto begin = stream.records.begin() +
                     static_cast<ptrdiff_t>(from - stream.first_offset);
  const uint64_t n =
      std::min<uint64_t>(stream.head() - from, settings_.max_records_per_read);
  const wire::RecordBatch batch(begin, begin + static_cast<ptrdiff_t>(n));
  reads_ += n > 0 ? 1 : 0;
  return {
      200,
      {{std::string(platform::kFirstOffsetHeader), FormatNumber(from)},
       {std::string(platform::kHeadOffsetHeader), FormatNumber(stream.head())}},
      wire::EncodeBatch(batch)};
}

void LogService::Impl::AddLongPoll(LongPoll poll, Duration time) {
  const uint64_t id = ++last_poll_id_;
  poll.timer = std::make_unique<asio::steady_timer>(context_, time);
  poll.timer->async_wait([weak = weak_from_this(), id](const auto& ec) {
    const auto self = weak.lock();
    if (!ec && self) {
      self->OnPollTimeout(id);
    }
  });
  long_polls_.emplace(id, std::move(poll));
}

void LogService::Impl::OnPollTimeout(uint64_t poll_id) {
  const std::lock_guard lock(mutex_);
  const auto it = long_polls_.find(poll_id);
  if (it != long_polls_.end()) {
    const auto& [id, expired] = *it;
    expired.respond(FormatRead(streams_[expired.stream], expired.from));
    long_polls_.erase(it);
  }
}

void LogService::Impl::AnswerLongPolls() {
  const std::lock_guard lock(mutex_);
  std::erase_if(long_polls_, [&](const auto& item) {
    const LongPoll& poll = item.second;
    const Stream& stream = streams_[poll.stream];
    if (!down_ && poll.from == stream.head()) {
      return false;
    }
    poll.respond(down_ ? EmptyResponse(http::kNoResponse)
                       : FormatRead(stream, poll.from));
    return true;
  });
}

void LogService::Impl::SetDown(bool down) {
  {
    const std::lock_guard lock(mutex_);
    down_ = down;
  }
  asio::post(context_, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->AnswerLongPolls();
    }
  });
}

void LogService::Impl::SetDelay(Duration delay) {
  const std::lock_guard lock(mutex_);
  delay_ = delay;
}

void LogService::Impl::LoseAnswers(uint32_t n) {
  const std::lock_guard lock(mutex_);
  answers_to_lose_ = n;
}

void LogService::Impl::TrimBefore(std::string_view stream, uint64_t offset) {
  const std::lock_guard lock(mutex_);
  Stream& stored = streams_[std::string(stream)];
  while (stored.first_offset < offset && !stored.records.empty()) {
    stored.records.pop_front();
    ++stored.first_offset;
  }
}

uint64_t LogService::Impl::head(std::string_view stream) const {
  const std::lock_guard lock(mutex_);
  const auto it = streams_.find(stream);
  return it == streams_.end() ? 0 : it->second.head();
}

uint64_t LogService::Impl::appends() const {
  const std::lock_guard lock(mutex_);
  return appends_;
}

uint64_t LogService::Impl::reads() const {
  const std::lock_guard lock(mutex_);
  return reads_;
}

LogService::LogService(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

LogService::~LogService() {
  impl_->Shutdown();
}

absl::StatusOr<std::unique_ptr<LogService>> LogService::Create(
    asio::io_context& context,
    const LogServiceSettings& settings) {
  auto impl = std::make_shared<Impl>(context, settings);
  if (absl::Status status = impl->Listen(); !status.ok()) {
    return status;
  }
  return std::unique_ptr<LogService>(new LogService(std::move(impl)));
}

uint16_t LogService::port() const {
  return impl_->port();
}

void LogService::SetDown(bool down) {
  impl_->SetDown(down);
}

void LogService::SetDelay(Duration delay) {
  impl_->SetDelay(delay);
}

void LogService::LoseAnswers(uint32_t n) {
  impl_->LoseAnswers(n);
}

void LogService::TrimBefore(std::string_view stream, uint64_t offset) {
  impl_->TrimBefore(stream, offset);
}

uint64_t LogService::head(std::string_view stream) const {
  return impl_->head(stream);
}

uint64_t LogService::appends() const {
  return impl_->appends();
}

uint64_t LogService::reads() const {
  return impl_->reads();
}

}  // namespace filbertwick::standin
