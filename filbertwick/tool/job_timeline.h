#ifndef FILBERTWICK_TOOL_JOB_TIMELINE_H_
#define FILBERTWICK_TOOL_JOB_TIMELINE_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filbertwick::tool {

/// Merges the log lines of many instances into a timeline of one job, sorted by
/// time. It holds the records of the job and its tasks and, indented, context
/// records: those that name no job, logged around the same time by the
/// instances involved, such as the loss of an upstream. A log line is one JSON
/// object after any prefix; lines of another form are skipped. Times are wall
/// clock times of the machines that wrote the lines, in milliseconds since the
/// first record of the job. Returns nothing when no line names the job.
std::vector<std::string> FormatJobTimeline(std::string_view job,
                                           std::span<const std::string> lines);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_JOB_TIMELINE_H_
