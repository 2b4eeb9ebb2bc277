#include "filbertwick/tool/log_story.h"

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

/// What happened this long before the job was first named may be its cause.
constexpr int64_t kLeadMillis = 2000;
/// The last word on a job may be followed by the end of its cause.
constexpr int64_t kTailMillis = 500;

/// A job without a last word: those involved may have died, and tell so when
/// they start again.
constexpr int64_t kOpenTailMillis = 10'000;

struct Entry {
  int64_t unix_millis = 0;
  std::string instance;
  std::string event;
  Json::Value fields;
};

std::optional<Entry> ParseLine(std::string_view line) {
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
  return Entry{value["unix_ms"].asInt64(), value["instance"].asString(),
               value["event"].asString(), std::move(value)};
}

std::string TextOf(const Entry& entry, const char* name) {
  const Json::Value& value = entry.fields[name];
  return value.isString() ? value.asString() : std::string();
}

/// The job itself, or a task of it: its id with a dot and more.
bool IsAbout(const Entry& entry, std::string_view job) {
  const std::string task = TextOf(entry, "task");
  return TextOf(entry, "job") == job ||
         (task.starts_with(job) && task.size() > job.size() &&
          task[job.size()] == '.');
}

bool IsLastWord(const Entry& entry) {
  constexpr std::array<std::string_view, 6> kLastWords = {
      "job_completed", "job_failed",  "job_refused",
      "job_timed_out", "caller_gone", "request_refused"};
  return std::ranges::count(kLastWords, entry.event) > 0;
}

/// Instances that the line names: where it was written, and where tasks went.
void AddInstances(const Entry& entry, std::set<std::string>& instances) {
  instances.insert(entry.instance);
  if (const std::string sidecar = TextOf(entry, "sidecar"); !sidecar.empty()) {
    instances.insert(sidecar);
  }
  const std::string places = TextOf(entry, "places");
  for (size_t begin = 0; begin < places.size();) {
    const size_t end = std::min(places.find(' ', begin), places.size());
    const std::string place = places.substr(begin, end - begin);
    instances.insert(place.substr(0, place.rfind(':')));
    begin = end + 1;
  }
}

/// A line that is about no job at all: what an instance learned or became.
bool IsBackground(const Entry& entry, const std::set<std::string>& instances) {
  if (entry.fields.isMember("job") || entry.fields.isMember("task")) {
    return false;
  }
  const std::string sidecar = TextOf(entry, "sidecar");
  const std::string other = TextOf(entry, "entry");
  return instances.contains(entry.instance) &&
         (sidecar.empty() || instances.contains(sidecar)) &&
         (other.empty() || instances.contains(other));
}

std::string Format(const Entry& entry, int64_t begin, bool is_background) {
  std::string text =
      fmt::format("{:>+7} ms {}{} {}", entry.unix_millis - begin,
                  is_background ? "  " : "", entry.instance, entry.event);
  for (const std::string& name : entry.fields.getMemberNames()) {
    if (name != "unix_ms" && name != "instance" && name != "event") {
      text += fmt::format(" {}={}", name, entry.fields[name].asString());
    }
  }
  return text;
}

}  // namespace

std::vector<std::string> TellStory(std::string_view job,
                                   std::span<const std::string> lines) {
  std::vector<Entry> entries;
  for (const std::string& line : lines) {
    if (auto entry = ParseLine(line)) {
      entries.push_back(*std::move(entry));
    }
  }
  std::ranges::stable_sort(entries, {}, &Entry::unix_millis);
  std::set<std::string> instances;
  std::vector<const Entry*> about;
  for (const Entry& entry : entries) {
    if (IsAbout(entry, job)) {
      about.push_back(&entry);
      AddInstances(entry, instances);
    }
  }
  std::vector<std::string> story;
  if (about.empty()) {
    return story;
  }
  const int64_t begin = about.front()->unix_millis;
  const bool has_last_word = std::ranges::any_of(
      about, [](const Entry* entry) { return IsLastWord(*entry); });
  const int64_t end = about.back()->unix_millis +
                      (has_last_word ? kTailMillis : kOpenTailMillis);
  for (const Entry& entry : entries) {
    const bool is_about = IsAbout(entry, job);
    if (is_about ||
        (entry.unix_millis >= begin - kLeadMillis && entry.unix_millis <= end &&
         IsBackground(entry, instances))) {
      story.push_back(Format(entry, begin, !is_about));
    }
  }
  return story;
}

}  // namespace filbertwick::tool
