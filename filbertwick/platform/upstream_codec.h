#ifndef FILBERTWICK_PLATFORM_UPSTREAM_CODEC_H_
#define FILBERTWICK_PLATFORM_UPSTREAM_CODEC_H_

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

#include "filbertwick/core/direct/sidecar_effect.h"
#include "filbertwick/http/message.h"

namespace filbertwick::platform {

/// Writes an order as a request to the upstream that it is meant for.
http::Request FormatStart(const core::direct::StartCommand& command);
http::Request FormatStop(const core::direct::StopCommand& command);
http::Request FormatList(const core::direct::ListCommand& command);

/// The answer to a start or stop.
struct ParsedAnswer {
  core::direct::CommandResult answer = core::direct::CommandResult::kUnknown;
  /// 0 when the answer brings none.
  core::direct::UpstreamMillis clock = 0;
};
ParsedAnswer ParseAnswer(const http::Response& response);

/// The answer to a list order.
struct ParsedListing {
  core::direct::Listing listing;
  core::direct::UpstreamMillis clock = 0;
};

/// Reads a listing; InvalidArgument for a body that is none. Rows that can't
/// be read are left out.
absl::StatusOr<ParsedListing> ParseListing(std::string_view body);

/// Reads what an upstream says of itself; InvalidArgument when a field that
/// decides is missing or wrong.
absl::StatusOr<core::direct::UpstreamAnnouncement> ParseAnnouncement(
    std::string_view id,
    std::string_view body);

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_UPSTREAM_CODEC_H_
