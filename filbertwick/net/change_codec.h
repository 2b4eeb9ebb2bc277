#ifndef FILBERTWICK_NET_CHANGE_CODEC_H_
#define FILBERTWICK_NET_CHANGE_CODEC_H_

#include <absl/status/statusor.h>

#include <string_view>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/core/effect.h"
#include "filbertwick/http/message.h"
#include "filbertwick/wire/control_record.h"

namespace filbertwick::net {

/// Maximum size of a bundle's text, in bytes.
inline constexpr size_t kMaxBundleBytes = 4 * 1024 * 1024;

/// Parses the JSON body of an operator's change: `change`, `author` and exactly
/// one of `publish`, `zone` and `remove_instance`. Returns InvalidArgument that
/// names every invalid field. `now` becomes the time at which the record was
/// written.
absl::StatusOr<wire::ControlRecord> ParseChange(std::string_view body,
                                                WallTime now);

/// Formats the response to a change that was applied from the control log,
/// whether it was accepted (200) or rejected (409).
http::Response FormatChangeAnswer(const core::OperatorAnswerEffect& effect);

/// Formats a response that lists audit lines.
http::Response FormatAudit(const std::vector<core::AuditEffect>& lines);

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_CHANGE_CODEC_H_
