#include "filbertwick/tool/entry_client.h"

#include <absl/status/status.h>
#include <fmt/format.h>

#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <optional>
#include <system_error>
#include <utility>

#include "filbertwick/base/file.h"

namespace filbertwick::tool {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(5);
constexpr Duration kMinCallTimeout = std::chrono::milliseconds(100);
constexpr Duration kRetryPause = std::chrono::milliseconds(250);
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kServerError = 500;

/// Parses an address such as `10.0.0.5:8080` or `[::1]:8080`. Host names are
/// rejected.
std::optional<http::ClientSettings> ParseEntry(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  http::ClientSettings settings;
  settings.host = host;
  const char* const end = port.data() + port.size();
  const auto parsed = std::from_chars(port.data(), end, settings.port);
  boost::system::error_code ec;
  boost::asio::ip::make_address(settings.host, ec);
  if (ec || parsed.ec != std::errc() || parsed.ptr != end ||
      settings.port == 0) {
    return std::nullopt;
  }
  return settings;
}

absl::StatusOr<std::string> ReadToken(const EntryOptions& options,
                                      const Environment& environment) {
  if (options.token_file.empty()) {
    return environment.variable("FILBERTWICK_TOKEN");
  }
  const auto text = ReadFile(options.token_file);
  if (!text.ok()) {
    return absl::InvalidArgumentError(
        fmt::format("the token file {} {}", options.token_file,
                    std::string(text.status().message())));
  }
  return boost::algorithm::trim_copy(*text);
}

absl::Status ToStatus(const http::Response& response) {
  const std::string text =
      fmt::format("the entry answered {}: {}", response.status,
                  ExtractErrorText(response.body));
  switch (response.status) {
    case kUnauthorized:
      return absl::PermissionDeniedError(text);
    case kNotFound:
      return absl::NotFoundError(text);
    default:
      return response.status >= kServerError
                 ? absl::UnavailableError(text)
                 : absl::FailedPreconditionError(text);
  }
}

}  // namespace

void EntryOptions::AddEntryOptions(std::vector<Option>& options) {
  options.push_back(
      TextOption("entry", "HOST:PORT",
                 "entries to call, comma-separated; one is enough", entries));
  options.push_back(
      MillisOption("timeout-ms", "give up after this time", timeout));
}

void EntryOptions::AddTokenOption(std::vector<Option>& options) {
  options.push_back(TextOption("token-file", "FILE",
                               "operator token, else FILBERTWICK_TOKEN",
                               token_file));
}

absl::StatusOr<EntryClient> EntryClient::Create(
    const EntryOptions& options,
    const Environment& environment) {
  const std::string text = options.entries.empty()
                               ? environment.variable("FILBERTWICK_ENTRY")
                               : options.entries;
  if (text.empty()) {
    return absl::InvalidArgumentError(
        "no entry is named, use --entry HOST:PORT or FILBERTWICK_ENTRY");
  }
  std::vector<std::string> parts;
  boost::algorithm::split(parts, text, boost::algorithm::is_any_of(","));
  std::vector<http::ClientSettings> entries;
  for (const std::string& part : parts) {
    auto entry = ParseEntry(part);
    if (!entry) {
      return absl::InvalidArgumentError(
          fmt::format("\"{}\" is not an entry, it must be an IP address and a "
                      "port, such as 10.0.0.5:8080",
                      part));
    }
    entries.push_back(*std::move(entry));
  }
  auto token = ReadToken(options, environment);
  if (!token.ok()) {
    return token.status();
  }
  return EntryClient(std::move(entries), *std::move(token), options.timeout,
                     environment);
}

EntryClient::EntryClient(std::vector<http::ClientSettings> entries,
                         std::string token,
                         Duration timeout,
                         const Environment& environment)
    : entries_(std::move(entries)),
      token_(std::move(token)),
      environment_(&environment),
      deadline_(environment.now() + timeout) {}

absl::StatusOr<http::Response> EntryClient::Call(const http::Request& request,
                                                 Duration timeout) {
  absl::StatusOr<http::Response> last_response =
      absl::UnavailableError("no entry was called");
  for (size_t i = 0; i < entries_.size(); ++i) {
    const size_t n = (preferred_ + i) % entries_.size();
    last_response = environment_->call(entries_[n], request, timeout);
    if (last_response.ok() && last_response->status < kServerError) {
      preferred_ = n;
      return last_response;
    }
  }
  if (!last_response.ok()) {
    return absl::UnavailableError(
        fmt::format("no entry responded, last error: {}",
                    std::string(last_response.status().message())));
  }
  return last_response;
}

absl::StatusOr<std::string> EntryClient::Get(const std::string& target) {
  http::Request request;
  request.target = target;
  auto response = Call(request, kCallTimeout);
  if (!response.ok()) {
    return response.status();
  }
  if (response->status != kOk) {
    return ToStatus(*response);
  }
  return std::move(response->body);
}

absl::StatusOr<core::CoreStatus> EntryClient::FetchStatus() {
  const auto body = Get("/v1/status");
  return body.ok() ? ParseStatusResponse(*body) : body.status();
}

absl::StatusOr<BundleResponse> EntryClient::FetchBundle() {
  const auto body = Get("/v1/bundle");
  return body.ok() ? ParseBundleResponse(*body) : body.status();
}

absl::StatusOr<std::vector<core::AuditEffect>> EntryClient::FetchAudit(
    wire::LogOffset since) {
  const auto body = Get(fmt::format("/v1/audit?since={}", since));
  return body.ok() ? ParseAuditResponse(*body) : body.status();
}

absl::StatusOr<ChangeResponse> EntryClient::PostChange(
    const std::string& body) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/changes";
  request.headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + token_}};
  request.body = body;
  // A change that is posted again under its id is applied only once, so the
  // request can be repeated after any failure, even if it may have succeeded.
  bool retry_reported = false;
  while (true) {
    const Duration left =
        (deadline_ - environment_->now()) / static_cast<int>(entries_.size());
    const auto response =
        Call(request, std::clamp(left, kMinCallTimeout, kCallTimeout));
    if (response.ok() &&
        (response->status == kOk || response->status == kConflict)) {
      return ParseChangeResponse(response->body);
    }
    const absl::Status status =
        response.ok() ? ToStatus(*response) : response.status();
    if (!absl::IsUnavailable(status) ||
        environment_->now() + kRetryPause >= deadline_) {
      return status;
    }
    if (!std::exchange(retry_reported, true)) {
      environment_->err("entry: no verdict on the change yet, trying again\n");
    }
    environment_->sleep(kRetryPause);
    preferred_ = (preferred_ + 1) % entries_.size();
  }
}

}  // namespace filbertwick::tool
