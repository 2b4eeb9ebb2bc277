#include <criterion/criterion.h>

#include <string>

#include "filbertwick/base/counters.h"
#include "filbertwick/base/event_log.h"
#include "filbertwick/base/log_line.h"

namespace {

using filbertwick::Counters;
using filbertwick::EventLog;
using filbertwick::Instant;
using filbertwick::LogLine;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

Test(counters, histogram_buckets_are_cumulative) {
  Counters counters;
  auto& histogram = counters.GetHistogram("job_seconds");
  histogram.Add(std::chrono::microseconds(1500));
  histogram.Add(std::chrono::milliseconds(2));
  histogram.Add(std::chrono::seconds(9));
  counters.Get("jobs_total").Add(3);
  const std::string text = counters.Format();
  cr_assert(Contains(text, "jobs_total 3\n"));
  cr_assert(Contains(text, "job_seconds_bucket{le=\"0.001\"} 0\n"));
  cr_assert(Contains(text, "job_seconds_bucket{le=\"0.002\"} 2\n"));
  cr_assert(Contains(text, "job_seconds_bucket{le=\"5\"} 2\n"));
  cr_assert(Contains(text, "job_seconds_bucket{le=\"+Inf\"} 3\n"));
  cr_assert(Contains(text, "job_seconds_sum 9.0035\n"));
  cr_assert(Contains(text, "job_seconds_count 3\n"));
}

Test(event_log, writes_one_json_object_a_line) {
  std::string out;
  {
    EventLog log("entry-1", [&](std::string_view line) { out += line; });
    log.Write(LogLine("zone_out").Add("zone", "a\"b\n").Add("offset", 7),
              Instant(), {1234});
  }
  cr_assert_eq(out,
               "{\"unix_ms\":1234,\"instance\":\"entry-1\",\"event\":"
               "\"zone_out\",\"zone\":\"a\\\"b\\u000a\",\"offset\":7}");
}

// Guards against a log that grows without bound, and against lines that are
// omitted without being counted: one event type is written 1080 times within a
// second, another one once.
Test(event_log, limits_each_event_type_and_reports_the_omitted_count) {
  size_t lines = 0;
  std::string last;
  {
    EventLog log("entry-1", [&](std::string_view line) {
      ++lines;
      last = line;
    });
    const Instant begin(std::chrono::seconds(5));
    for (uint32_t n = 0; n < EventLog::kLinesPerSecond + 980; ++n) {
      log.Write(LogLine("many"), begin + std::chrono::microseconds(n), {});
    }
    log.Write(LogLine("once"), begin, {});
    log.Write(LogLine("many"), begin + std::chrono::seconds(1), {});
  }
  cr_assert_eq(lines, EventLog::kLinesPerSecond + 2);
  cr_assert(Contains(last, "\"left_out\":980"));
}
