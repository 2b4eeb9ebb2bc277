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

/// Deadline of a job that names none.
inline constexpr Duration kDefaultDeadline = std::chrono::seconds(10);
/// Longest deadline of a job.
inline constexpr Duration kMaxDeadline = std::chrono::hours(1);

/// Decodes and checks an id from a request's path: 1 to kMaxJobIdBytes bytes of
/// UTF-8 without control characters, or InvalidArgument.
absl::StatusOr<JobId> ParseJobId(std::string_view segment);

/// Reads the body of a submission. String payloads are taken as they are, all
/// others as their JSON text. InvalidArgument names every wrong field;
/// ResourceExhausted says that payloads are too large.
absl::StatusOr<wire::JobSpec> ParseJob(const JobId& id, std::string_view body);

/// The response that carries an answer.
http::Response FormatAnswer(const wire::JobAnswer& answer);

/// The response to an explain query.
http::Response FormatExplanation(const core::AnswerEffect& effect);

/// A response that refuses a request before any core saw it. `not_run` only
/// when no submission of the job can have run.
http::Response FormatRefusal(int status,
                             std::string_view reason,
                             std::string_view why,
                             bool not_run);

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_JOB_CODEC_H_
