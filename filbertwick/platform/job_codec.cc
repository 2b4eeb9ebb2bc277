#include "filbertwick/platform/job_codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <limits>
#include <optional>

#include "filbertwick/core/direct/step_graph.h"
#include "filbertwick/platform/json_fields.h"

namespace filbertwick::platform {
namespace {

namespace json = boost::json;
using core::direct::Configuration;
using core::direct::JobRequest;
using core::direct::JobStep;
using core::direct::Route;
using core::direct::StepGraph;

/// Number of hexadecimal digits of a job's id.
constexpr size_t kJobIdDigits = 16;
/// Maximum size of `spec`, the text that is passed to the upstream. The
/// platform sets this limit.
constexpr size_t kMaxSpecBytes = 4000;
/// Maximum number of tasks of a job. The deployments plan for no larger jobs.
constexpr int64_t kMaxTasks = 1000;

/// Memory of the parsed form of a job. A job of as many steps as it may have
/// tasks, each of which names all earlier ones in `after`, needs half of it.
constexpr size_t kMaxParsedBytes = 16 * 1024 * 1024;

/// Fields of a step or job that request features which are not implemented.
constexpr std::string_view kUnsupportedFields[] = {
    "gang", "same-rack", "long-running", "fills", "saves-progress", "repeats"};

/// False when the field is missing, null, false or 0; true for any other value.
bool IsSet(const json::object& object, std::string_view name) {
  const json::value* value =
      object.if_contains(json::string_view(name.data(), name.size()));
  if (value == nullptr || value->is_null()) {
    return false;
  }
  if (const bool* flag = value->if_bool()) {
    return *flag;
  }
  return AsInteger(*value) != 0;
}

absl::Status CheckSupported(const json::object& object) {
  for (const std::string_view name : kUnsupportedFields) {
    if (IsSet(object, name)) {
      return absl::UnimplementedError(fmt::format("{} is not supported", name));
    }
  }
  return absl::OkStatus();
}

absl::Status InvalidField(const char* text) {
  return absl::InvalidArgumentError(text);
}

absl::StatusOr<JobStep> ParseStep(const json::object& object, size_t number) {
  if (absl::Status status = CheckSupported(object); !status.ok()) {
    return status;
  }
  JobStep step;
  const int64_t count = FindInteger(object, "count").value_or(1);
  if (count < 1 || count > kMaxTasks) {
    return InvalidField("count must lie between 1 and 1000");
  }
  step.count = static_cast<uint32_t>(count);
  step.needs.cpu_millis = FindInteger(object, "cpu").value_or(0);
  step.needs.memory_mb = FindInteger(object, "mem-mb").value_or(0);
  step.needs.gpus = FindInteger(object, "gpu").value_or(0);
  if (step.needs.cpu_millis < 0 || step.needs.memory_mb < 0 ||
      step.needs.gpus < 0) {
    return InvalidField("cpu, mem-mb and gpu must not be negative");
  }
  step.estimate = FindMillis(object, "estimate-ms").value_or(Duration(0));
  step.required_label = FindString(object, "requires").value_or("");
  step.data_rack = FindString(object, "data-rack").value_or("");
  // `anti-affinity` is a number: the most tasks of the step on one upstream.
  step.max_tasks_per_upstream = static_cast<uint32_t>(std::clamp<int64_t>(
      FindInteger(object, "anti-affinity").value_or(0), 0, kMaxTasks));
  if (const json::array* after = FindArray(object, "after")) {
    for (const json::value& value : *after) {
      const auto earlier = AsInteger(value);
      if (!earlier || *earlier < 0 || static_cast<size_t>(*earlier) >= number) {
        return InvalidField("after must name earlier steps");
      }
      step.after.push_back(static_cast<size_t>(*earlier));
    }
  }
  return step;
}

std::optional<Route> ParseRoute(const json::object& object) {
  const auto host = FindString(object, "host");
  const auto prefix = FindString(object, "path-prefix");
  const auto service = FindString(object, "service");
  if (!host || !prefix || !service) {
    return std::nullopt;
  }
  Route route;
  route.name = FindString(object, "name").value_or("");
  route.host = *host;
  route.path_prefix = *prefix;
  route.service = *service;
  route.priority = static_cast<uint32_t>(std::clamp<int64_t>(
      FindInteger(object, "priority").value_or(0), 0, 1000));
  route.time_limit =
      FindMillis(object, "timeout-ms").value_or(std::chrono::seconds(60));
  // Not the whole target of a job: ParseJob() adds `stretch` times the expected
  // run time.
  route.target_latency =
      FindMillis(object, "target-latency-ms").value_or(Duration(0));
  route.stretch = FindNumber(object, "stretch").value_or(1);
  route.max_attempts = static_cast<uint32_t>(std::clamp<int64_t>(
      FindInteger(object, "max-attempts").value_or(1), 1, 1000));
  route.supported = FindObject(object, "advice") == nullptr;
  return route;
}

/// A number of bytes above zero that fits into 32 bits.
std::optional<uint32_t> FindSize(const json::object& object,
                                 std::string_view name) {
  const auto bytes = FindInteger(object, name);
  return bytes && *bytes > 0 && *bytes <= std::numeric_limits<uint32_t>::max()
             ? std::optional(static_cast<uint32_t>(*bytes))
             : std::nullopt;
}

}  // namespace

bool IsJobId(std::string_view text) {
  return text.size() == kJobIdDigits &&
         std::ranges::all_of(
             text, [](unsigned char c) { return std::isxdigit(c) != 0; });
}

std::string FormatTaskName(std::string_view job, size_t step, size_t index) {
  // The zero is the occurrence: only repeating jobs have further ones.
  return fmt::format("{}.0.{}.{}", job, step, index);
}

absl::StatusOr<JobRequest> ParseJob(std::string_view body, const Route& route) {
  const auto object = ParseBoundedObject(body, kMaxParsedBytes);
  if (!object.ok()) {
    return object.status();
  }
  // Callers leave out fields that are empty.
  const auto spec = object->contains("spec") ? FindString(*object, "spec")
                                             : std::string_view();
  if (!spec || spec->size() > kMaxSpecBytes) {
    return InvalidField("spec must be a text of at most 4000 bytes");
  }
  const json::array* steps = FindArray(*object, "steps");
  if (steps == nullptr || steps->empty()) {
    return InvalidField("steps must be a list that is not empty");
  }
  if (!IsSet(*object, "best-effort")) {
    return absl::UnimplementedError("jobs that are kept are not supported");
  }
  if (absl::Status status = CheckSupported(*object); !status.ok()) {
    return status;
  }
  JobRequest job;
  job.spec = *spec;
  int64_t tasks = 0;
  for (const json::value& item : *steps) {
    const json::object* step = item.if_object();
    auto parsed = step == nullptr ? InvalidField("a step must be an object")
                                  : ParseStep(*step, job.steps.size());
    if (!parsed.ok()) {
      return parsed.status();
    }
    tasks += parsed->count;
    job.steps.push_back(*std::move(parsed));
  }
  if (tasks > kMaxTasks) {
    return InvalidField("a job must not have more than 1000 tasks");
  }
  job.service = route.service;
  job.queue = route.host + route.path_prefix;
  job.priority = route.priority;
  job.max_attempts = route.max_attempts;
  job.expected = StepGraph::Build(job.steps).CriticalPath();
  job.target = route.target_latency +
               Duration(static_cast<int64_t>(
                   static_cast<double>(job.expected.count()) * route.stretch));
  return job;
}

absl::StatusOr<Configuration> ParseConfiguration(std::string_view text) {
  const auto object = ParseObject(text);
  const json::array* routes = object ? FindArray(*object, "routes") : nullptr;
  const auto version = object ? FindInteger(*object, "version") : std::nullopt;
  if (routes == nullptr || !version || *version <= 0) {
    return InvalidField("a configuration must have a version and routes");
  }
  Configuration configuration;
  configuration.version = static_cast<uint64_t>(*version);
  for (const json::value& item : *routes) {
    const json::object* route = item.if_object();
    if (auto parsed = route == nullptr ? std::nullopt : ParseRoute(*route)) {
      configuration.routes.push_back(*std::move(parsed));
    }
  }
  if (const json::object* limits = FindObject(*object, "limits")) {
    auto& target = configuration.limits;
    target.max_header_bytes =
        FindSize(*limits, "header-bytes").value_or(target.max_header_bytes);
    target.max_body_bytes =
        FindSize(*limits, "max-body-bytes").value_or(target.max_body_bytes);
    target.header_timeout = FindMillis(*limits, "header-timeout-ms")
                                .value_or(target.header_timeout);
    target.idle_timeout =
        FindMillis(*limits, "idle-timeout-ms").value_or(target.idle_timeout);
  }
  return configuration;
}

}  // namespace filbertwick::platform
