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

namespace filbertwick::tool {

/// Where the entries are and how long to try; options of most subcommands.
struct EntryOptions {
  /// HOST:PORT of entries, with commas between; from FILBERTWICK_ENTRY when
  /// empty.
  std::string entries;
  /// File of the operator token; the token is taken from FILBERTWICK_TOKEN
  /// when empty.
  std::string token_file;
  /// For the whole subcommand.
  Duration timeout = std::chrono::seconds(30);

  /// Adds `--entry` and `--timeout-ms`.
  void AddEntryOptions(std::vector<Option>& options);
  /// Adds `--token-file`.
  void AddTokenOption(std::vector<Option>& options);
};

/// Calls the entries of a deployment. A call goes to the entry that answered
/// last, then to the others in order.
class EntryClient {
 public:
  /// InvalidArgument when no entry is named, an address is wrong or the token
  /// file can't be read.
  static absl::StatusOr<EntryClient> Create(const EntryOptions& options,
                                            const Environment& environment);

  /// One request over the entries; Unavailable when none answers.
  absl::StatusOr<http::Response> Call(const http::Request& request,
                                      Duration timeout);

  /// Body of a GET that must be answered with 200; NotFound for 404.
  absl::StatusOr<std::string> Get(const std::string& target);

  /// What an entry shows of itself.
  absl::StatusOr<core::CoreStatus> FetchStatus();
  /// The bundle in force.
  absl::StatusOr<BundleResponse> FetchBundle();
  /// Audit lines from an offset on.
  absl::StatusOr<std::vector<core::AuditEffect>> FetchAudit(
      wire::LogOffset since);

  /// Sends a change until an entry has a verdict on it. Unavailable when the
  /// timeout passes first: the change may have been made. PermissionDenied for
  /// a wrong token.
  absl::StatusOr<ChangeResponse> PostChange(const std::string& body);

  /// End of the time that the options allow.
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
