#ifndef FILBERTWICK_TOOL_ENTRY_CLIENT_H_
#define FILBERTWICK_TOOL_ENTRY_CLIENT_H_

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/tool/entry_responses.h"
#include "filbertwick/tool/environment.h"
#include "filbertwick/tool/option.h"

// Protocol of a change: the client posts it to any entry under a change id. The
// entry appends it to the control log and responds 200 when it was accepted or
// 409 when it was refused. After a server error or without a response the
// outcome is unknown; the client then posts the same body again, to the next
// entry. That is safe because instances remember the ids of recent changes and
// apply each of them only once.
// An instance has applied an accepted change once its log offset has reached
// the offset of the change. The status response of an entry holds the offsets
// of all instances that the entry knows of.

namespace filbertwick::tool {

/// Options of the subcommands that call entries: addresses, operator token and
/// timeout.
struct EntryOptions {
  /// Comma-separated HOST:PORT of the entries; when empty, the variable
  /// FILBERTWICK_ENTRY is used.
  std::string entries;
  /// File that holds the operator token; when empty, the token is the value of
  /// the variable FILBERTWICK_TOKEN.
  std::string token_file;
  /// Time limit of the whole subcommand.
  Duration timeout = std::chrono::seconds(30);

  /// Adds `--entry` and `--timeout-ms`.
  void AddEntryOptions(std::vector<Option>& options);
  /// Adds `--token-file`.
  void AddTokenOption(std::vector<Option>& options);
};

/// HTTP client for the entries of a deployment. A call goes first to the entry
/// that responded last, and then to the others in order until one responds
/// without a server error.
class EntryClient {
 public:
  /// Returns InvalidArgument when no entry is given, an address is malformed or
  /// the token file can't be read. `environment` must outlive the client.
  static absl::StatusOr<EntryClient> Create(const EntryOptions& options,
                                            const Environment& environment);

  /// Sends a request to one entry after the other; `timeout` limits each
  /// attempt. Returns the last response when all respond with server errors,
  /// and Unavailable when the last attempt got no response.
  absl::StatusOr<http::Response> Call(const http::Request& request,
                                      Duration timeout);

  /// Returns the body of a GET whose response is 200. Other statuses are
  /// errors: PermissionDenied for 401, NotFound for 404, Unavailable for 500
  /// and above, else FailedPrecondition.
  absl::StatusOr<std::string> Get(const std::string& target);

  /// Fetches the status of an entry and of the instances that it knows of.
  absl::StatusOr<core::CoreStatus> FetchStatus();
  /// Fetches the bundle in force.
  absl::StatusOr<BundleResponse> FetchBundle();
  /// Fetches the audit lines from the log offset `since` on.
  absl::StatusOr<std::vector<core::AuditEffect>> FetchAudit(
      wire::LogOffset since);

  /// Posts a change, again if necessary, until an entry accepts or refuses it.
  /// Returns Unavailable when the deadline passes first; the change may have
  /// been made all the same. Returns PermissionDenied for a wrong token.
  absl::StatusOr<ChangeResponse> PostChange(const std::string& body);

  /// Time at which the subcommand gives up: creation of the client plus the
  /// timeout of the options.
  Instant deadline() const { return deadline_; }

 private:
  EntryClient(std::vector<http::ClientSettings> entries,
              std::string token,
              Duration timeout,
              const Environment& environment);

  std::vector<http::ClientSettings> entries_;
  size_t preferred_ = 0;
  std::string token_;
  const Environment* environment_;
  Instant deadline_;
};

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_ENTRY_CLIENT_H_
