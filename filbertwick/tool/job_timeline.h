#ifndef FILBERTWICK_TOOL_JOB_TIMELINE_H_
#define FILBERTWICK_TOOL_JOB_TIMELINE_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filbertwick::tool {

/// Tells what happened to one job from the log lines of many instances, in
/// order of time: what was decided about it, and what the instances involved
/// learned meanwhile of each other and of their upstreams. A line is one JSON
/// object, with anything before it; others are skipped. Times are those of the
/// machines' clocks, counted from the first line of the job. Empty when no line
/// names the job.
std::vector<std::string> FormatJobTimeline(std::string_view job,
                                           std::span<const std::string> lines);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_JOB_TIMELINE_H_
