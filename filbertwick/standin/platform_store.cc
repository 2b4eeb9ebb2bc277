#include "filbertwick/standin/platform_store.h"

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/endian/conversion.hpp>
#include <map>
#include <ranges>
#include <utility>
#include <vector>

#include "filbertwick/http/server.h"
#include "filbertwick/http/target.h"

namespace filbertwick::standin {
namespace {

/// A record of a topic. An empty value deletes the key.
struct Record {
  uint64_t offset = 0;
  std::string key;
  std::string value;
};

/// The log of one partition of a topic.
struct Topic {
  std::vector<Record> records;
  /// The newest record of each key that has not been deleted.
  std::map<std::string, Record> newest;
  /// Lowest offset that can still be read.
  uint64_t first = 0;
  /// Offset after the newest record.
  uint64_t end = 0;
};

/// Returns the bytes of an integer in big-endian order.
template <typename Number>
std::string BigEndian(Number number) {
  boost::endian::native_to_big_inplace(number);
  return {reinterpret_cast<const char*>(&number), sizeof(number)};
}

std::string Base64(std::string_view bytes) {
  std::string text(
      sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  text.resize(text.size() - 1);
  return text;
}

/// Returns the name under which the log of a partition is kept.
std::string PartitionName(std::string_view topic, uint64_t part) {
  return part == 0 ? std::string(topic) : fmt::format("{}/{}", topic, part);
}

http::Response EmptyResponse(int status) {
  http::Response response;
  response.status = status;
  return response;
}

}  // namespace

class PlatformStore::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(boost::asio::io_context& context) : context_(context) {}

  absl::Status Listen(const std::string& host, uint16_t port) {
    http::ServerSettings settings;
    settings.host = host;
    settings.port = port;
    auto server = http::Server::Create(
        context_, settings,
        [this](const http::Request& request, const http::Responder& respond) {
          Handle(request, respond);
        });
    if (!server.ok()) {
      return server.status();
    }
    server_ = *std::move(server);
    return absl::OkStatus();
  }

  void Put(std::string_view topic,
           std::string_view key,
           std::string_view value) {
    Topic& log = topics_[std::string(topic)];
    Record record = {log.end++, std::string(key), std::string(value)};
    if (value.empty()) {
      log.newest.erase(record.key);
    } else {
      log.newest[record.key] = record;
    }
    log.records.push_back(std::move(record));
    AnswerLongPolls();
  }

  void SetDown(bool down) { down_ = down; }

  void SetSilent(bool silent) {
    silent_ = silent;
    for (LongPoll& poll : long_polls_ | std::views::values) {
      unanswered_.push_back(std::move(poll.respond));
    }
    long_polls_.clear();
  }

  void Compact(std::string_view topic) {
    Topic& log = topics_[std::string(topic)];
    log.records.clear();
    log.first = log.end;
  }

  uint16_t port() const { return server_->port(); }

 private:
  /// A read at the end of a topic that waits for the next append.
  struct LongPoll {
    std::string topic;
    uint64_t from = 0;
    http::Responder respond;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  void Handle(const http::Request& request, const http::Responder& respond) {
    const auto target = http::Target::Parse(request.target);
    const std::string topic =
        PartitionName(target.Find("topic").value_or(""),
                      target.FindNumber("part").value_or(0));
    const std::string_view call =
        target.segments().empty() ? "" : target.segments().back();
    if (silent_) {
      unanswered_.push_back(respond);
    } else if (down_) {
      respond(EmptyResponse(503));
    } else if (call == "log-append") {
      respond(Append(topic, request.body));
    } else if (call == "log-newest") {
      respond(Newest(topic, target.Find("after").value_or("")));
    } else if (call == "log-read") {
      Read(topic, target.FindNumber("from").value_or(0),
           target.FindNumber("wait-ms").value_or(0), respond);
    } else {
      respond(EmptyResponse(404));
    }
  }

  http::Response Append(const std::string& topic, std::string_view body) {
    constexpr size_t kLengthPrefixBytes = 4;
    const uint64_t first = topics_[topic].end;
    while (body.size() > kLengthPrefixBytes) {
      const uint32_t size = boost::endian::load_big_u32(
          reinterpret_cast<const unsigned char*>(body.data()));
      body.remove_prefix(kLengthPrefixBytes);
      if (size == 0 || size > body.size()) {
        return EmptyResponse(400);
      }
      const size_t key_size = static_cast<unsigned char>(body[0]);
      if (key_size + 1 > size) {
        return EmptyResponse(400);
      }
      Put(topic, body.substr(1, key_size),
          body.substr(1 + key_size, size - 1 - key_size));
      body.remove_prefix(size);
    }
    http::Response response;
    response.body =
        fmt::format("{{\"offset\":{},\"end\":{}}}", first, topics_[topic].end);
    return response;
  }

  /// Returns the newest records of the keys after `after`.
  http::Response Newest(const std::string& topic, std::string_view after) {
    const Topic& log = topics_[topic];
    std::string items;
    for (const auto& [key, record] : log.newest) {
      if (key <= after) {
        continue;
      }
      items += fmt::format(
          "{}{{\"key\":\"{}\",\"value\":\"{}\",\"offset\":{}}}",
          items.empty() ? "" : ",", key, Base64(record.value), record.offset);
    }
    http::Response response;
    response.body = fmt::format(
        "{{\"items\":[{}],\"has-more\":false,\"end\":{}}}", items, log.end);
    return response;
  }

  void Read(const std::string& topic,
            uint64_t from,
            uint64_t wait_ms,
            const http::Responder& respond) {
    const Topic& log = topics_[topic];
    if (from < log.first) {
      respond(EmptyResponse(410));
      return;
    }
    if (from != log.end || wait_ms == 0) {
      respond(FormatBatch(log, from));
      return;
    }
    const uint64_t id = ++last_poll_id_;
    LongPoll& poll = long_polls_[id];
    poll.topic = topic;
    poll.from = from;
    poll.respond = respond;
    poll.timer = std::make_unique<boost::asio::steady_timer>(
        context_, std::chrono::milliseconds(wait_ms));
    // The handler looks the poll up by its ID. An append may answer and erase
    // the poll after the timer has expired but before the handler runs.
    poll.timer->async_wait(
        [weak = weak_from_this(), id](boost::system::error_code ec) {
          const auto self = weak.lock();
          if (!ec && self) {
            self->AnswerLongPoll(id);
          }
        });
  }

  static http::Response FormatBatch(const Topic& log, uint64_t from) {
    http::Response response;
    response.body = BigEndian(log.end) + BigEndian(log.first);
    for (const Record& record : log.records) {
      if (record.offset < from) {
        continue;
      }
      response.body += BigEndian(
          static_cast<uint32_t>(1 + record.key.size() + record.value.size()));
      response.body += static_cast<char>(record.key.size());
      response.body += record.key + record.value;
    }
    return response;
  }

  void AnswerLongPoll(uint64_t id) {
    const auto it = long_polls_.find(id);
    if (it == long_polls_.end()) {
      return;
    }
    const LongPoll poll = std::move(it->second);
    long_polls_.erase(it);
    poll.respond(down_ ? EmptyResponse(503)
                       : FormatBatch(topics_[poll.topic], poll.from));
  }

  void AnswerLongPolls() {
    std::vector<uint64_t> due;
    for (const auto& [id, poll] : long_polls_) {
      if (topics_[poll.topic].end > poll.from) {
        due.push_back(id);
      }
    }
    std::ranges::for_each(due, [this](uint64_t id) { AnswerLongPoll(id); });
  }

  boost::asio::io_context& context_;
  std::unique_ptr<http::Server> server_;
  std::map<std::string, Topic, std::less<>> topics_;
  std::map<uint64_t, LongPoll> long_polls_;
  uint64_t last_poll_id_ = 0;
  bool down_ = false;
  bool silent_ = false;
  /// Responders of the requests that are never answered.
  std::vector<http::Responder> unanswered_;
};

PlatformStore::PlatformStore(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
PlatformStore::~PlatformStore() = default;

absl::StatusOr<std::unique_ptr<PlatformStore>> PlatformStore::Create(
    boost::asio::io_context& context,
    const std::string& host,
    uint16_t port) {
  auto impl = std::make_shared<Impl>(context);
  if (const absl::Status status = impl->Listen(host, port); !status.ok()) {
    return status;
  }
  return std::unique_ptr<PlatformStore>(new PlatformStore(std::move(impl)));
}

void PlatformStore::Put(std::string_view topic,
                        std::string_view key,
                        std::string_view value) {
  impl_->Put(topic, key, value);
}

void PlatformStore::SetDown(bool down) {
  impl_->SetDown(down);
}

void PlatformStore::SetSilent(bool silent) {
  impl_->SetSilent(silent);
}

void PlatformStore::Compact(std::string_view topic) {
  impl_->Compact(topic);
}

uint16_t PlatformStore::port() const {
  return impl_->port();
}

}  // namespace filbertwick::standin
