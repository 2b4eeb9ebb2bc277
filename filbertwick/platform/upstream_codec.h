#ifndef FILBERTWICK_PLATFORM_UPSTREAM_CODEC_H_
#define FILBERTWICK_PLATFORM_UPSTREAM_CODEC_H_

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

#include "filbertwick/core/direct/sidecar_effect.h"
#include "filbertwick/http/message.h"

namespace filbertwick::platform {

// Each request names the incarnation of the upstream that it is meant for and
// carries the fencing token. The upstream rejects a request that is meant for
// another incarnation, or whose token is lower than one that it has seen.

/// Formats the request that starts a task.
http::Request FormatStart(const core::direct::StartCommand& command);
/// Formats the request that stops a run.
http::Request FormatStop(const core::direct::StopCommand& command);
/// Formats the request that lists running and ended tasks. Its path is
/// /api/hold because it can also extend the lease.
http::Request FormatList(const core::direct::ListCommand& command);

/// Parsed response to a start or stop.
struct ParsedAnswer {
  core::direct::CommandResult answer = core::direct::CommandResult::kUnknown;
  /// The upstream's clock; 0 when the response has none.
  core::direct::UpstreamMillis clock = 0;
};
/// Parses the response to a start or stop, or the error response to a list
/// request. A status that the API does not define gives kUnknown, because the
/// upstream may have carried the request out.
ParsedAnswer ParseAnswer(const http::Response& response);

/// Parsed response to a list request.
struct ParsedListing {
  core::direct::Listing listing;
  /// The upstream's clock; 0 when the response has none.
  core::direct::UpstreamMillis clock = 0;
};

/// Parses a listing; InvalidArgument for any other body. Malformed rows are
/// left out.
absl::StatusOr<ParsedListing> ParseListing(std::string_view body);

/// Parses the announcement of the upstream `id`; InvalidArgument when a
/// required field is missing or invalid.
absl::StatusOr<core::direct::UpstreamAnnouncement> ParseAnnouncement(
    std::string_view id,
    std::string_view body);

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_UPSTREAM_CODEC_H_
