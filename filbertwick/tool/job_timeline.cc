#include "filbertwick/tool/job_timeline.h"

#include <fmt/format.h>
#include <json/json.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace filbertwick::tool {
namespace {

/// Context records start this long before the first record of the job, since an
/// earlier event may have caused the outcome.
constexpr int64_t kLookbackMillis = 2000;
/// Context records end this long after the last record of a finished job, since
/// the event that caused its outcome may be logged late.
constexpr int64_t kFollowupMillis = 500;

/// Takes the place of kFollowupMillis for a job without a final event. An
/// instance involved may have crashed, and logs that only when it has started
/// again.
constexpr int64_t kUnfinishedFollowupMillis = 10'000;

struct LogRecord {
  int64_t unix_millis = 0;
  std::string instance;
  std::string event;
  Json::Value fields;
};

std::optional<LogRecord> ParseLine(std::string_view line) {
  const size_t begin = line.find('{');
  if (begin == line.npos) {
    return std::nullopt;
  }
  Json::Value value;
  const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder().newCharReader());
  const char* first = line.data() + begin;
  if (!reader->parse(first, line.data() + line.size(), &value, nullptr) ||
      !value.isObject() || !value["unix_ms"].isInt64() ||
      !value["instance"].isString() || !value["event"].isString()) {
    return std::nullopt;
  }
  return LogRecord{value["unix_ms"].asInt64(), value["instance"].asString(),
                   value["event"].asString(), std::move(value)};
}

std::string StringField(const LogRecord& record, const char* name) {
  const Json::Value& value = record.fields[name];
  return value.isString() ? value.asString() : std::string();
}

/// True for a record of the job or one of its tasks. A task id is the job id,
/// a dot and a suffix.
bool BelongsToJob(const LogRecord& record, std::string_view job) {
  const std::string task = StringField(record, "task");
  return StringField(record, "job") == job ||
         (task.starts_with(job) && task.size() > job.size() &&
          task[job.size()] == '.');
}

bool IsFinalEvent(const LogRecord& record) {
  constexpr std::array<std::string_view, 6> kFinalEvents = {
      "job_completed", "job_failed",  "job_refused",
      "job_timed_out", "caller_gone", "request_refused"};
  return std::ranges::count(kFinalEvents, record.event) > 0;
}

/// Adds the instance that logged the record, the sidecars that the record
/// names in `sidecar` and `places`, and the entry to or from which the job was
/// handed over.
void AddInstances(const LogRecord& record, std::set<std::string>& instances) {
  instances.insert(record.instance);
  if (const std::string sidecar = StringField(record, "sidecar");
      !sidecar.empty()) {
    instances.insert(sidecar);
  }
  if (const std::string entry_name = StringField(record, "entry");
      !entry_name.empty()) {
    instances.insert(entry_name);
  }
  const std::string places = StringField(record, "places");
  for (size_t begin = 0; begin < places.size();) {
    const size_t end = std::min(places.find(' ', begin), places.size());
    const std::string place = places.substr(begin, end - begin);
    instances.insert(place.substr(0, place.rfind(':')));
    begin = end + 1;
  }
}

/// True for a record that names neither a job nor a task. The instance that
/// logged it, and the sidecar and the entry if it names them, must be among
/// `instances`, which are the ones involved in the job.
bool IsContextRecord(const LogRecord& record,
                     const std::set<std::string>& instances) {
  if (record.fields.isMember("job") || record.fields.isMember("task")) {
    return false;
  }
  const std::string sidecar = StringField(record, "sidecar");
  const std::string entry_name = StringField(record, "entry");
  return instances.contains(record.instance) &&
         (sidecar.empty() || instances.contains(sidecar)) &&
         (entry_name.empty() || instances.contains(entry_name));
}

std::string FormatRecord(const LogRecord& record,
                         int64_t begin,
                         bool is_context) {
  std::string text =
      fmt::format("{:>+7} ms {}{} {}", record.unix_millis - begin,
                  is_context ? "  " : "", record.instance, record.event);
  for (const std::string& name : record.fields.getMemberNames()) {
    if (name != "unix_ms" && name != "instance" && name != "event") {
      text += fmt::format(" {}={}", name, record.fields[name].asString());
    }
  }
  return text;
}

}  // namespace

std::vector<std::string> FormatJobTimeline(std::string_view job,
                                           std::span<const std::string> lines) {
  std::vector<LogRecord> records;
  for (const std::string& line : lines) {
    if (auto record = ParseLine(line)) {
      records.push_back(*std::move(record));
    }
  }
  std::ranges::stable_sort(records, {}, &LogRecord::unix_millis);
  std::set<std::string> instances;
  std::vector<const LogRecord*> job_records;
  for (const LogRecord& record : records) {
    if (BelongsToJob(record, job)) {
      job_records.push_back(&record);
      AddInstances(record, instances);
    }
  }
  std::vector<std::string> timeline;
  if (job_records.empty()) {
    return timeline;
  }
  const int64_t begin = job_records.front()->unix_millis;
  const bool has_final_event = std::ranges::any_of(
      job_records,
      [](const LogRecord* record) { return IsFinalEvent(*record); });
  const int64_t end =
      job_records.back()->unix_millis +
      (has_final_event ? kFollowupMillis : kUnfinishedFollowupMillis);
  for (const LogRecord& record : records) {
    const bool belongs_to_job = BelongsToJob(record, job);
    if (belongs_to_job ||
        (record.unix_millis >= begin - kLookbackMillis &&
         record.unix_millis <= end && IsContextRecord(record, instances))) {
      timeline.push_back(FormatRecord(record, begin, !belongs_to_job));
    }
  }
  return timeline;
}

}  // namespace filbertwick::tool
