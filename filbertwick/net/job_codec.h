#ifndef FILBERTWICK_NET_JOB_CODEC_H_
#define FILBERTWICK_NET_JOB_CODEC_H_

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/effect.h"
#include "filbertwick/http/message.h"
#include "filbertwick/wire/job.h"

namespace filbertwick::net {

/// Deadline of a job whose submission has no `deadline_ms`.
inline constexpr Duration kDefaultDeadline = std::chrono::seconds(10);
/// Maximum deadline of a job.
inline constexpr Duration kMaxDeadline = std::chrono::hours(1);

/// Decodes a percent-encoded job id from a request's path. Returns
/// InvalidArgument unless the id has 1 to kMaxJobIdBytes bytes of UTF-8 without
/// control characters.
absl::StatusOr<JobId> ParseJobId(std::string_view segment);

/// Parses the JSON body of a submission. The payload of a task is the value of
/// a JSON string, or the JSON text of any other value. Returns InvalidArgument
/// that names every invalid field, or ResourceExhausted if a payload or all
/// payloads together are too large.
absl::StatusOr<wire::JobSpec> ParseJob(const JobId& id, std::string_view body);

/// Formats the response that carries the answer to a job.
http::Response FormatAnswer(const wire::JobAnswer& answer);

/// Formats the response to an explain query.
http::Response FormatExplanation(const core::AnswerEffect& effect);

/// Formats a response that refuses a request before it reached the core.
/// `not_run` may be true only if no task of any submission of this job can have
/// run.
http::Response FormatRefusal(int status,
                             std::string_view reason,
                             std::string_view why,
                             bool not_run);

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_JOB_CODEC_H_
