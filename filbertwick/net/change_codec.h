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

/// Most bytes of a bundle's text.
inline constexpr size_t kMaxBundleBytes = 4 * 1024 * 1024;

/// Reads an operator's change: `change`, `author` and one of `publish`, `zone`
/// and `remove_instance`. InvalidArgument names every wrong field.
absl::StatusOr<wire::ControlRecord> ParseChange(std::string_view body,
                                                WallTime now);

/// The response to a change that was folded.
http::Response FormatChangeAnswer(const core::OperatorAnswerEffect& effect);

/// The response that lists audit lines.
http::Response FormatAudit(const std::vector<core::AuditEffect>& lines);

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_CHANGE_CODEC_H_
