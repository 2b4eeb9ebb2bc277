#include "filbertwick/platform/store_client.h"

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <boost/endian/conversion.hpp>
#include <utility>

#include "filbertwick/http/client.h"
#include "filbertwick/platform/json_fields.h"

namespace filbertwick::platform {
namespace {

namespace json = boost::json;

/// Idle connections are kept this long for the next long poll.
constexpr Duration kIdleTimeout = std::chrono::seconds(20);
/// Limit of connections to the store: the reads of two followers, each with up
/// to three that are not answered, and a write.
constexpr size_t kMaxConnections = 8;

const unsigned char* AsBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  std::string bytes(text.size(), '\0');
  size_t size = 0;
  if (sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()),
                        bytes.size(), text.data(), text.size(), nullptr, &size,
                        nullptr, sodium_base64_VARIANT_ORIGINAL) != 0) {
    return std::nullopt;
  }
  bytes.resize(size);
  return bytes;
}

std::string FormatTarget(std::string_view call,
                         const TopicPartition& partition) {
  return fmt::format("/api/{}?topic={}&part={}", call, partition.topic,
                     partition.number);
}

/// OK for a response with status 200, otherwise the cause of the failure.
absl::Status ToStatus(const http::CallResult& result) {
  if (!result.response.ok()) {
    return result.response.status();
  }
  return result.response->status == 200
             ? absl::OkStatus()
             : absl::UnavailableError(fmt::format("the store answered {}",
                                                  result.response->status));
}

absl::StatusOr<NewestPage> ParseNewestPage(std::string_view body) {
  const auto object = ParseObject(body);
  const json::array* items = object ? FindArray(*object, "items") : nullptr;
  const auto end = object ? FindInteger(*object, "end") : std::nullopt;
  if (items == nullptr || !end) {
    return absl::InvalidArgumentError("no page of newest records");
  }
  NewestPage page;
  page.end = static_cast<uint64_t>(*end);
  page.has_more = FindBool(*object, "has-more").value_or(false);
  for (const json::value& item : *items) {
    const json::object* row = item.if_object();
    if (row == nullptr) {
      continue;
    }
    const auto key = FindString(*row, "key");
    const auto text = FindString(*row, "value");
    const auto offset = FindInteger(*row, "offset");
    auto bytes = DecodeBase64(text.value_or(""));
    if (key && offset && bytes) {
      page.records.push_back({static_cast<uint64_t>(*offset), std::string(*key),
                              std::move(bytes)});
    }
  }
  return page;
}

/// Parses a batch, with big-endian integers: the offset after the newest record
/// (8 bytes), the oldest retained offset (8 bytes, not used), then the records.
/// A record is its length (4 bytes), the length of its key (1 byte), the key
/// and the value.
absl::StatusOr<StoreBatch> ParseBatch(std::string_view body, uint64_t from) {
  constexpr size_t kHeaderBytes = 16;
  constexpr size_t kLengthBytes = 4;
  if (body.size() < kHeaderBytes) {
    return absl::InvalidArgumentError("a batch without its head");
  }
  StoreBatch batch;
  batch.position_lost = boost::endian::load_big_u64(AsBytes(body)) < from;
  batch.next = from;
  body.remove_prefix(kHeaderBytes);
  while (body.size() >= kLengthBytes) {
    const uint64_t offset = batch.next++;
    const uint32_t size = boost::endian::load_big_u32(AsBytes(body));
    body.remove_prefix(kLengthBytes);
    if (size == 0 || size > body.size()) {
      return absl::InvalidArgumentError("a record of a wrong size");
    }
    const std::string_view record = body.substr(0, size);
    body.remove_prefix(size);
    const size_t key = static_cast<unsigned char>(record[0]);
    if (key + 1 > record.size()) {
      // Another writer's malformed record. Its length is valid, so the next
      // record can be read.
      continue;
    }
    StoreRecord item;
    item.offset = offset;
    item.key = record.substr(1, key);
    if (record.size() > key + 1) {
      item.value = std::string(record.substr(key + 1));
    }
    batch.records.push_back(std::move(item));
  }
  return batch;
}

}  // namespace

class StoreClient::Impl {
 public:
  Impl(boost::asio::io_context& context,
       const Address& address,
       Duration call_timeout)
      : call_timeout_(call_timeout) {
    http::ClientSettings settings;
    settings.host = address.host;
    settings.port = address.port;
    settings.max_connections = kMaxConnections;
    settings.idle_timeout = kIdleTimeout;
    client_ = http::Client::Create(context, settings);
  }

  void Call(std::string_view method,
            std::string target,
            std::string body,
            Duration wait,
            http::CallHook done,
            http::ConnectionUse use = http::ConnectionUse::kAny) {
    http::Request request;
    request.method = method;
    request.target = std::move(target);
    request.body = std::move(body);
    client_->Call(std::move(request), wait + call_timeout_, std::move(done),
                  use);
  }

 private:
  const Duration call_timeout_;
  std::unique_ptr<http::Client> client_;
};

StoreClient::StoreClient(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
StoreClient::~StoreClient() = default;

std::unique_ptr<StoreClient> StoreClient::Create(
    boost::asio::io_context& context,
    const Address& address,
    Duration call_timeout) {
  return std::unique_ptr<StoreClient>(
      new StoreClient(std::make_unique<Impl>(context, address, call_timeout)));
}

void StoreClient::ReadNewest(const TopicPartition& partition,
                             std::string_view after,
                             NewestHook done,
                             http::ConnectionUse use) {
  std::string target = FormatTarget("log-newest", partition);
  if (!after.empty()) {
    target += fmt::format("&after={}", after);
  }
  impl_->Call(
      "GET", std::move(target), "", Duration(0),
      [done = std::move(done)](const http::CallResult& result) {
        if (absl::Status status = ToStatus(result); !status.ok()) {
          done(std::move(status));
          return;
        }
        done(ParseNewestPage(result.response->body));
      },
      use);
}

void StoreClient::ReadValue(const TopicPartition& partition,
                            std::string_view key,
                            ValueHook done) {
  // Keys are listed in order. The key without its last character precedes it.
  ReadNewest(
      partition, key.substr(0, key.size() - 1),
      [key = std::string(key),
       done = std::move(done)](absl::StatusOr<NewestPage> page) {
        if (!page.ok()) {
          done(page.status());
          return;
        }
        const auto it =
            std::ranges::find(page->records, key, &StoreRecord::key);
        done(it != page->records.end() ? std::move(it->value) : std::nullopt);
      });
}

void StoreClient::Read(const TopicPartition& partition,
                       uint64_t from,
                       Duration wait,
                       ReadHook done,
                       http::ConnectionUse use) {
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait);
  impl_->Call(
      "GET",
      fmt::format("{}&from={}&wait-ms={}", FormatTarget("log-read", partition),
                  from, millis.count()),
      "", wait,
      [from, done = std::move(done)](const http::CallResult& result) {
        if (result.response.ok() && result.response->status == 410) {
          StoreBatch batch;
          batch.position_lost = true;
          done(std::move(batch));
          return;
        }
        if (absl::Status status = ToStatus(result); !status.ok()) {
          done(std::move(status));
          return;
        }
        done(ParseBatch(result.response->body, from));
      },
      use);
}

void StoreClient::Append(const TopicPartition& partition,
                         std::string_view key,
                         std::string_view value,
                         AppendHook done) {
  std::array<unsigned char, 4> size{};
  boost::endian::store_big_u32(
      size.data(), static_cast<uint32_t>(1 + key.size() + value.size()));
  std::string body(size.begin(), size.end());
  body.push_back(static_cast<char>(key.size()));
  body += key;
  body += value;
  impl_->Call("POST", FormatTarget("log-append", partition), std::move(body),
              Duration(0),
              [done = std::move(done)](const http::CallResult& result) {
                done(ToStatus(result));
              });
}

}  // namespace filbertwick::platform
