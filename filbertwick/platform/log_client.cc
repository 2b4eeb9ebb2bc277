#include "filbertwick/platform/log_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <iterator>
#include <optional>
#include <random>
#include <utility>
#include <variant>

#include "filbertwick/http/client.h"
#include "filbertwick/http/target.h"
#include "filbertwick/platform/log_protocol.h"
#include "filbertwick/wire/codec.h"
#include "filbertwick/wire/record_batch.h"

namespace filbertwick::platform {
namespace {

namespace asio = boost::asio;

/// Most records in one append request; the rest wait for the next one.
constexpr size_t kMaxRecordsPerAppend = 256;

http::ClientSettings ToClientSettings(const LogClientSettings& settings) {
  http::ClientSettings client;
  client.host = settings.host;
  client.port = settings.port;
  // One connection for the long poll, one for appends.
  client.max_connections = 2;
  return client;
}

absl::StatusOr<std::vector<wire::ControlRecord>> DecodeRecords(
    std::string_view bytes) {
  const auto batch = wire::DecodeBatch(bytes);
  if (!batch.ok()) {
    return batch.status();
  }
  std::vector<wire::ControlRecord> records;
  for (const std::string& record : *batch) {
    auto decoded = wire::DecodeRecord(record);
    if (!decoded.ok()) {
      return decoded.status();
    }
    records.push_back(*std::move(decoded));
  }
  return records;
}

/// Parses the response to a read from the offset `from`. The error tells why
/// the response holds no batch from that offset on.
absl::StatusOr<LogBatch> ToBatch(const http::Response& response,
                                 wire::LogOffset from) {
  const auto first = http::ParseNumber(response.FindHeader(kFirstOffsetHeader));
  const auto head = http::ParseNumber(response.FindHeader(kHeadOffsetHeader));
  if (response.status != 200 || !first || !head) {
    return absl::UnavailableError(fmt::format(
        "the log service answered a read with status {}", response.status));
  }
  auto records = DecodeRecords(response.body);
  if (!records.ok()) {
    return records.status();
  }
  if (*first != from || *head < from + records->size()) {
    return absl::DataLossError(
        fmt::format("the log service returned records from offset {}, with "
                    "the head at {}, for a read from offset {}",
                    *first, *head, from));
  }
  return LogBatch{*first, *std::move(records), *head};
}

/// Index of the newest valid checkpoint; nullopt when there is none. A
/// checkpoint is valid at the offset that it names: no other record was
/// appended between its state and itself.
std::optional<size_t> FindCheckpoint(const LogBatch& batch) {
  for (size_t i = batch.records.size(); i-- > 0;) {
    const auto* it = std::get_if<wire::Checkpoint>(&batch.records[i].body);
    if (it && it->offset == batch.first + i) {
      return i;
    }
  }
  return std::nullopt;
}

}  // namespace

/// Implementation of LogClient; runs on the thread of the context.
class LogClient::Impl : public std::enable_shared_from_this<LogClient::Impl> {
 public:
  Impl(asio::io_context& context,
       LogClientSettings settings,
       wire::LogOffset from,
       LogClientHooks hooks)
      : context_(context),
        settings_(std::move(settings)),
        hooks_(std::move(hooks)),
        timer_(context),
        random_(settings_.seed),
        next_offset_(from) {}

  void Start();
  void Append(wire::ControlRecord record);
  /// Stops the client. On the context's thread, no hook is called after the
  /// return; on another thread, one hook call may still be in progress then.
  void Shutdown();

 private:
  void Read();
  void OnRead(const http::CallResult& result);
  void OnBatch(LogBatch batch);
  void OnTrimmed(const http::Response& response);
  /// Collects the records from the newest valid checkpoint on, and delivers
  /// them when the head is reached.
  void SeekCheckpoint(LogBatch batch);
  void Deliver(LogBatch batch);
  void OnReadFailed(const absl::Status& status);
  Duration NextRetryDelay();
  void AddPending(wire::ControlRecord record);
  void SendPending();
  void OnAppend(const http::CallResult& result);

  asio::io_context& context_;
  const LogClientSettings settings_;
  const LogClientHooks hooks_;
  asio::steady_timer timer_;
  std::mt19937_64 random_;
  std::unique_ptr<http::Client> client_;
  std::atomic<bool> closed_ = false;

  /// Offset of the next read.
  wire::LogOffset next_offset_;
  /// True when the last batch was empty and no read has failed since, so that
  /// the next read may wait for new records.
  bool at_head_ = false;
  Duration retry_delay_{0};
  /// True from the time at which unread records turn out to be trimmed until
  /// the records from a valid checkpoint on are delivered.
  bool seeking_checkpoint_ = false;
  /// While seeking, the records from the newest valid checkpoint on; empty
  /// before one is found.
  LogBatch checkpoint_batch_;

  /// Records that wait for the next append request.
  std::vector<wire::ControlRecord> pending_;
  /// Changes in the append request that is running; empty when none is.
  std::vector<ChangeId> changes_in_flight_;
};

void LogClient::Impl::Start() {
  if (closed_) {
    return;
  }
  client_ = http::Client::Create(context_, ToClientSettings(settings_));
  Read();
  SendPending();
}

void LogClient::Impl::Read() {
  const Duration poll = at_head_ ? settings_.poll : Duration(0);
  http::Request request;
  request.target = FormatReadTarget(settings_.stream, next_offset_, poll);
  client_->Call(std::move(request), poll + settings_.timeout,
                [this](const http::CallResult& result) { OnRead(result); });
}

void LogClient::Impl::OnRead(const http::CallResult& result) {
  const auto self = shared_from_this();
  if (!result.response.ok()) {
    OnReadFailed(result.response.status());
    return;
  }
  if (result.response->status == kTrimmedStatus) {
    OnTrimmed(*result.response);
    return;
  }
  auto batch = ToBatch(*result.response, next_offset_);
  if (!batch.ok()) {
    OnReadFailed(batch.status());
    return;
  }
  OnBatch(*std::move(batch));
}

void LogClient::Impl::OnTrimmed(const http::Response& response) {
  const auto available =
      http::ParseNumber(response.FindHeader(kFirstAvailableHeader));
  if (!available || *available <= next_offset_) {
    OnReadFailed(
        absl::DataLossError("the log service answered that the offset was "
                            "trimmed, but named no later offset"));
    return;
  }
  seeking_checkpoint_ = true;
  checkpoint_batch_ = LogBatch();
  next_offset_ = *available;
  Read();
}

void LogClient::Impl::OnBatch(LogBatch batch) {
  retry_delay_ = Duration(0);
  next_offset_ = batch.first + batch.records.size();
  if (seeking_checkpoint_) {
    SeekCheckpoint(std::move(batch));
  } else {
    Deliver(std::move(batch));
  }
}

void LogClient::Impl::SeekCheckpoint(LogBatch batch) {
  if (const auto newest = FindCheckpoint(batch)) {
    batch.records.erase(
        batch.records.begin(),
        batch.records.begin() + static_cast<ptrdiff_t>(*newest));
    checkpoint_batch_.first = batch.first + *newest;
    checkpoint_batch_.records = std::move(batch.records);
  } else if (!checkpoint_batch_.records.empty()) {
    std::ranges::move(batch.records,
                      std::back_inserter(checkpoint_batch_.records));
  }
  if (next_offset_ < batch.head) {
    Read();
    return;
  }
  if (checkpoint_batch_.records.empty()) {
    OnReadFailed(absl::DataLossError(
        "the log was trimmed and holds no checkpoint to start from"));
    return;
  }
  seeking_checkpoint_ = false;
  checkpoint_batch_.head = batch.head;
  Deliver(std::exchange(checkpoint_batch_, {}));
}

void LogClient::Impl::Deliver(LogBatch batch) {
  at_head_ = batch.records.empty();
  if (hooks_.read && !closed_) {
    hooks_.read(std::move(batch));
  }
  if (!closed_) {
    Read();
  }
}

void LogClient::Impl::OnReadFailed(const absl::Status& status) {
  at_head_ = false;
  if (hooks_.read_failed && !closed_) {
    hooks_.read_failed(status);
  }
  timer_.expires_after(NextRetryDelay());
  timer_.async_wait([weak = weak_from_this()](const auto& ec) {
    const auto self = weak.lock();
    if (!ec && self && !self->closed_) {
      self->Read();
    }
  });
}

Duration LogClient::Impl::NextRetryDelay() {
  retry_delay_ =
      std::clamp(retry_delay_ * 2, settings_.retry_min, settings_.retry_max);
  // Jitter between half and all of the delay keeps clients from retrying at the
  // same time.
  std::uniform_int_distribution<Duration::rep> jitter(retry_delay_.count() / 2,
                                                      retry_delay_.count());
  return Duration(jitter(random_));
}

void LogClient::Impl::Append(wire::ControlRecord record) {
  asio::post(context_,
             [weak = weak_from_this(), record = std::move(record)]() mutable {
               const auto self = weak.lock();
               if (self && !self->closed_) {
                 self->AddPending(std::move(record));
               }
             });
}

void LogClient::Impl::AddPending(wire::ControlRecord record) {
  // A retry of a change that is still pending replaces the earlier record.
  const auto it =
      std::ranges::find(pending_, record.change, &wire::ControlRecord::change);
  if (it != pending_.end()) {
    *it = std::move(record);
  } else {
    pending_.push_back(std::move(record));
  }
  SendPending();
}

void LogClient::Impl::SendPending() {
  if (!client_ || !changes_in_flight_.empty() || pending_.empty()) {
    return;
  }
  const size_t n = std::min(pending_.size(), kMaxRecordsPerAppend);
  const auto end = pending_.begin() + static_cast<ptrdiff_t>(n);
  wire::RecordBatch batch;
  std::for_each(pending_.begin(), end, [&](const auto& record) {
    batch.push_back(wire::EncodeRecord(record));
    changes_in_flight_.push_back(record.change);
  });
  pending_.erase(pending_.begin(), end);
  http::Request request;
  request.method = "POST";
  request.target = FormatAppendTarget(settings_.stream);
  request.body = wire::EncodeBatch(batch);
  client_->Call(std::move(request), settings_.timeout,
                [this](const http::CallResult& result) { OnAppend(result); });
}

void LogClient::Impl::OnAppend(const http::CallResult& result) {
  const auto self = shared_from_this();
  const auto changes = std::exchange(changes_in_flight_, {});
  const bool ok = result.response.ok() && result.response->status == 200;
  if (!ok && hooks_.append_failed && !closed_) {
    hooks_.append_failed(changes);
  }
  if (!closed_) {
    SendPending();
  }
}

void LogClient::Impl::Shutdown() {
  closed_ = true;
  const auto end = [self = shared_from_this()] {
    self->timer_.cancel();
    self->client_.reset();
  };
  if (context_.stopped()) {
    end();
  } else {
    asio::post(context_, end);
  }
}

LogClient::LogClient(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

LogClient::~LogClient() {
  try {
    impl_->Shutdown();
  } catch (const std::exception&) {
    // Posting failed for lack of memory. The context releases the client's
    // resources when it is destroyed.
  }
}

std::unique_ptr<LogClient> LogClient::Create(asio::io_context& context,
                                             LogClientSettings settings,
                                             wire::LogOffset from,
                                             LogClientHooks hooks) {
  auto impl = std::make_shared<Impl>(context, std::move(settings), from,
                                     std::move(hooks));
  asio::post(context, [impl] { impl->Start(); });
  return std::unique_ptr<LogClient>(new LogClient(std::move(impl)));
}

void LogClient::Append(wire::ControlRecord record) {
  impl_->Append(std::move(record));
}

}  // namespace filbertwick::platform
