#include <criterion/criterion.h>

#include <string>

#include "filbertwick/platform/job_codec.h"
#include "filbertwick/platform/platform_settings.h"
#include "filbertwick/platform/upstream_codec.h"

namespace {

namespace direct = filbertwick::core::direct;
using filbertwick::Duration;
using filbertwick::http::Response;
using filbertwick::platform::ClientLimits;
using filbertwick::platform::DeriveClientLimits;
using filbertwick::platform::IsJobId;
using filbertwick::platform::ParseAddress;
using filbertwick::platform::ParseAnnouncement;
using filbertwick::platform::ParseAnswer;
using filbertwick::platform::ParseConfiguration;
using filbertwick::platform::ParseJob;
using filbertwick::platform::ParseListing;
using filbertwick::platform::ParsePlatformSettings;

constexpr const char* kSettings = R"({
  "node": "front-a-1", "ip": "10.1.0.13", "zone": "a",
  "serves": ["front", "control"], "unknown": {"new": 1},
  "listen": {"front": "10.1.0.13:8161", "ready": "10.1.0.13:8167"},
  "port-range": [7720, 7735],
  "seeds": ["10.1.0.13:8166", "broken", "10.2.0.30:8166"],
  "bounds": {"resend-ms": 1100, "hold-max-ms": 900, "grace-s": 4.5},
  "platform": {"address": "10.200.1.7:8169"}})";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  text.replace(text.find(from), from.size(), to);
  return text;
}

direct::Route MakeRoute() {
  direct::Route route;
  route.service = "service";
  route.priority = 2;
  route.max_attempts = 3;
  route.target_latency = std::chrono::milliseconds(60);
  route.stretch = 1.5;
  return route;
}

Response MakeResponse(int status, const std::string& body) {
  Response response;
  response.status = status;
  response.body = body;
  return response;
}

}  // namespace

Test(platform_settings, parses_the_settings_of_an_entry) {
  const auto settings = ParsePlatformSettings(kSettings);
  cr_assert(settings.ok());
  cr_assert(settings->is_entry);
  cr_assert_eq(settings->caller_listener.port, 8161);
  cr_assert_eq(settings->readiness_listener.port, 8167);
  cr_assert_eq(settings->peer_port, 7720);
  cr_assert_eq(settings->seeds.size(), 2);
  cr_assert(settings->resend_after == std::chrono::milliseconds(1100));
  cr_assert(settings->max_lease == std::chrono::milliseconds(900));
  cr_assert(settings->stop_grace == std::chrono::milliseconds(4500));
}

// A value that makes no sense must not turn load sharing on.
Test(platform_settings, reads_what_the_machine_has) {
  const auto means = [](const std::string& limits) {
    const auto settings = ParsePlatformSettings(Replaced(
        kSettings, R"("bounds")", R"("limits": )" + limits + R"(, "bounds")"));
    cr_assert(settings.ok(), "%s", limits.c_str());
    return settings->means;
  };
  using Means = direct::EntryMeans;
  cr_assert(ParsePlatformSettings(kSettings)->means == Means());
  cr_assert(means("{}") == Means());
  cr_assert(means(R"({"cpu-share": 0.12, "cores": 1, "link-mbps": 25})") ==
            (Means{120, 3125}));
  cr_assert(means(R"({"cpu-share": 0.5})") == (Means{500, 0}));
  cr_assert(means(R"({"cores": 4})") == (Means{4000, 0}));
  cr_assert(means(R"({"cpu-share": -1, "link-mbps": 1e300})") == Means());
  cr_assert(means(R"({"cpu-share": "much", "link-mbps": {}})") == Means());
  cr_assert(means("[]") == Means());
}

// Each limit has a default, and follows from what the machine has.
Test(platform_settings, derives_the_limits_of_clients) {
  const auto derive = [](const std::string& limits) {
    const auto settings = ParsePlatformSettings(Replaced(
        kSettings, R"("bounds")", R"("limits": )" + limits + R"(, "bounds")"));
    cr_assert(settings.ok(), "%s", limits.c_str());
    return DeriveClientLimits(settings->limits);
  };
  constexpr size_t kMegabyte = 1024 * 1024;
  const ClientLimits large = derive(R"({"memory-mb": 260, "max-fds": 4100})");
  cr_assert_eq(large.caller_connections, 3000);
  // The settings of a machine without a limit are close to these.
  cr_assert_eq(derive("{}").caller_connections, large.caller_connections);
  cr_assert_eq(derive(R"({"memory-mb": -1})").held_bytes,
               derive("{}").held_bytes);
  for (const size_t memory_mb : {40, 64, 128, 260, 1024}) {
    for (const size_t descriptors : {400, 1000, 4100}) {
      const ClientLimits it =
          derive("{\"memory-mb\":" + std::to_string(memory_mb) +
                 ",\"max-fds\":" + std::to_string(descriptors) + "}");
      const size_t connections = it.caller_connections +
                                 it.instance_connections +
                                 2 * it.other_connections;
      cr_assert_lt(connections + 200, descriptors);
      // The kernel doubles the size of the buffer.
      cr_assert_lt(it.held_bytes + 2 * connections * it.socket_buffer_bytes,
                   memory_mb * kMegabyte);
    }
  }
}

Test(platform_settings, parses_the_settings_of_a_sidecar) {
  std::string text = Replaced(kSettings, R"("front", "control")", R"("side")");
  text = Replaced(text, R"("ready": "10.1.0.13:8167")",
                  R"("control": "10.1.0.14:8166")");
  text =
      Replaced(text, R"("unknown")", R"("app": "10.1.0.14:8165", "unknown")");
  const auto settings = ParsePlatformSettings(text);
  cr_assert(settings.ok());
  cr_assert_not(settings->is_entry);
  cr_assert_eq(settings->upstream_address.port, 8165);
  cr_assert_eq(settings->announcement_listener.port, 8166);
}

Test(platform_settings, reports_the_invalid_field) {
  const auto missing =
      ParsePlatformSettings(Replaced(kSettings, "\"node\"", "\"nope\""));
  cr_assert(absl::IsInvalidArgument(missing.status()));
  cr_assert_neq(std::string(missing.status().message()).find("/node"),
                std::string::npos);
  cr_assert_not(
      ParsePlatformSettings(Replaced(kSettings, "[7720, 7735]", "[]")).ok());
  cr_assert_not(ParsePlatformSettings("not json").ok());
  cr_assert_not(ParseAddress("host").ok());
  cr_assert_not(ParseAddress("host:99999").ok());
  cr_assert_not(ParseAddress(":1").ok());
}

Test(platform_jobs, parses_a_job) {
  const auto job = ParseJob(
      R"({"spec":"text","best-effort":true,"steps":[
          {"count":4,"cpu":500,"mem-mb":256,"estimate-ms":100,"requires":"a"},
          {"count":2,"cpu":900,"estimate-ms":300,"after":[0],
           "anti-affinity":1,"data-rack":"r1"}]})",
      MakeRoute());
  cr_assert(job.ok());
  cr_assert_eq(job->spec, "text");
  cr_assert_eq(job->steps.size(), 2);
  cr_assert_eq(job->steps[0].count, 4);
  cr_assert_eq(job->steps[0].needs.memory_mb, 256);
  cr_assert_eq(job->steps[0].required_label, "a");
  cr_assert_eq(job->steps[1].max_tasks_per_upstream, 1);
  cr_assert_eq(job->steps[1].after.front(), 0);
  // Stretch 1.5 of the critical path of 400 ms, plus a latency of 60 ms.
  cr_assert(job->target == std::chrono::milliseconds(660));
  cr_assert_eq(job->max_attempts, 3);
}

// Such a job was answered with 400: fields that are empty may be left out.
Test(platform_jobs, takes_a_job_whose_empty_spec_is_left_out) {
  const auto job =
      ParseJob(R"({"steps":[{"count":1}],"best-effort":true})", MakeRoute());
  cr_assert(job.ok());
  cr_assert_eq(job->spec, "");
}

Test(platform_jobs, distinguishes_invalid_from_unsupported_jobs) {
  const char* wrong[] = {
      "",
      "[]",
      "{}",
      R"({"spec":1,"steps":[{}],"best-effort":true})",
      R"({"spec":"","steps":[],"best-effort":true})",
      R"({"spec":"","steps":[1],"best-effort":true})",
      R"({"spec":"","steps":[{"count":0}],"best-effort":true})",
      R"({"spec":"","steps":[{"count":1001}],"best-effort":true})",
      R"({"spec":"","steps":[{"cpu":-1}],"best-effort":true})",
      R"({"spec":"","steps":[{"after":[0]}],"best-effort":true})"};
  for (const char* text : wrong) {
    cr_assert(absl::IsInvalidArgument(ParseJob(text, MakeRoute()).status()),
              "%s", text);
  }
  const char* unsupported[] = {
      R"({"spec":"","steps":[{}]})",
      R"({"spec":"","steps":[{"gang":true}],"best-effort":true})",
      R"({"spec":"","steps":[{"long-running":true}],"best-effort":true})",
      R"({"spec":"","steps":[{}],"repeats":3,"best-effort":true})"};
  for (const char* text : unsupported) {
    cr_assert(absl::IsUnimplemented(ParseJob(text, MakeRoute()).status()), "%s",
              text);
  }
}

// A body that is far larger when parsed than as text took 113 MB.
Test(platform_jobs, bounds_the_memory_of_a_parsed_job) {
  std::string values = "0";
  for (int n = 0; n < 1'500'000; ++n) {
    values += ",0";
  }
  const auto large = ParseJob(
      R"({"spec":"","steps":[{}],"best-effort":true,"x":[)" + values + "]}",
      MakeRoute());
  cr_assert(absl::IsResourceExhausted(large.status()));
  // The widest job that the limits allow still fits.
  std::string steps = "{}";
  std::string after;
  for (int n = 0; n + 1 < 1000; ++n) {
    after += (n == 0 ? "" : ",") + std::to_string(n);
    steps += R"(,{"cpu":1,"mem-mb":1,"estimate-ms":1,"after":[)" + after + "]}";
  }
  const auto widest = ParseJob(
      R"({"spec":"","best-effort":true,"steps":[)" + steps + "]}", MakeRoute());
  cr_assert(widest.ok(), "%s", widest.status().ToString().c_str());
}

Test(platform_jobs, validates_job_ids) {
  cr_assert(IsJobId("5c0e7a21d94b36f8"));
  cr_assert_not(IsJobId("5c0e7a21d94b36f"));
  cr_assert_not(IsJobId("5c0e7a21d94b36fx"));
}

Test(platform_configuration, routes_by_host_and_longest_prefix) {
  const auto configuration = ParseConfiguration(
      R"({"version":7,"routes":[
          {"host":"h","path-prefix":"/a/","service":"s","timeout-ms":1500},
          {"host":"h","path-prefix":"/a/b/","service":"t","advice":{}},
          {"host":"g"}, 5],"limits":{"max-body-bytes":10,
          "header-bytes":2000,"header-timeout-ms":700,
          "idle-timeout-ms":900}})");
  cr_assert(configuration.ok());
  cr_assert_eq(configuration->version, 7);
  cr_assert_eq(configuration->routes.size(), 2);
  cr_assert_eq(configuration->FindRoute("h", "/a/b/c")->service, "t");
  cr_assert_not(configuration->FindRoute("h", "/a/b/c")->supported);
  cr_assert_eq(configuration->FindRoute("h", "/a/c")->service, "s");
  cr_assert_null(configuration->FindRoute("g", "/a/c"));
  cr_assert(configuration->HasRouteTo("t"));
  cr_assert_not(configuration->HasRouteTo("u"));
  const auto& limits = configuration->limits;
  cr_assert_eq(limits.max_body_bytes, 10);
  cr_assert_eq(limits.max_header_bytes, 2000);
  cr_assert(limits.header_timeout == std::chrono::milliseconds(700));
  cr_assert(limits.idle_timeout == std::chrono::milliseconds(900));
  cr_assert_not(ParseConfiguration("{}").ok());
  cr_assert_not(ParseConfiguration(R"({"version":0,"routes":[]})").ok());
}

Test(platform_upstream, parses_listings_and_skips_malformed_rows) {
  const auto parsed = ParseListing(
      R"({"clock-ms":99,"born":5,
          "running":[["j.0.0.1",2,"",41,100],["x"],7],
          "ended":[[58,"j.0.0.9",1,"done",""],[59,"j.0.0.8",1,"lapsed",""],
                   [60,"j.0.0.7",1,"failed",""],["y",1]]})");
  cr_assert(parsed.ok());
  cr_assert_eq(parsed->clock, 99);
  cr_assert_eq(parsed->listing.started_unix_millis, 5);
  cr_assert_eq(parsed->listing.running.size(), 1);
  cr_assert_eq(parsed->listing.running[0].percent, 41);
  cr_assert_eq(parsed->listing.ended.size(), 3);
  cr_assert_eq(parsed->listing.ended[0].kind, direct::EndKind::kDone);
  cr_assert_eq(parsed->listing.ended[1].kind, direct::EndKind::kLost);
  cr_assert_eq(parsed->listing.ended[2].kind, direct::EndKind::kFailed);
  cr_assert_not(ParseListing("{}").ok());
}

Test(platform_upstream, undefined_status_leaves_the_result_unknown) {
  using direct::CommandResult;
  cr_assert_eq(ParseAnswer(MakeResponse(200, R"({"clock-ms":4})")).answer,
               CommandResult::kAccepted);
  cr_assert_eq(ParseAnswer(MakeResponse(409, R"({"reason":"fence"})")).answer,
               CommandResult::kFenced);
  cr_assert_eq(ParseAnswer(MakeResponse(409, R"({"reason":"late"})")).answer,
               CommandResult::kRefused);
  cr_assert_eq(ParseAnswer(MakeResponse(421, "")).answer,
               CommandResult::kOtherIncarnation);
  cr_assert_eq(ParseAnswer(MakeResponse(503, "")).answer,
               CommandResult::kRefused);
  cr_assert_eq(ParseAnswer(MakeResponse(500, "")).answer,
               CommandResult::kUnknown);
  cr_assert_eq(ParseAnswer(MakeResponse(502, "")).answer,
               CommandResult::kUnknown);
}

Test(platform_upstream, rejects_announcements_without_required_fields) {
  const std::string text =
      R"({"service":"s","zone":"a","state":"draining","clock-ms":7,"seq":4,
          "capacity":{"cpu":16000,"mem-mb":32768},"labels":["a","r1-3",5],
          "born":1700000000000})";
  const auto announcement = ParseAnnouncement("i-1", text);
  cr_assert(announcement.ok());
  cr_assert(announcement->draining);
  cr_assert_eq(announcement->profile.capacity.cpu_millis, 16000);
  cr_assert_eq(announcement->profile.labels.size(), 2);
  cr_assert_eq(announcement->sequence, 4);
  for (const char* field :
       {"\"service\"", "\"zone\"", "\"state\"", "\"seq\"", "\"capacity\""}) {
    cr_assert_not(ParseAnnouncement("i-1", Replaced(text, field, "\"x\"")).ok(),
                  "%s", field);
  }
  cr_assert_not(
      ParseAnnouncement("i-1", Replaced(text, "draining", "tired")).ok());
  cr_assert_not(ParseAnnouncement("", text).ok());
}

Test(platform_upstream, requests_name_the_upstream_incarnation) {
  direct::StartCommand start;
  start.run = {"j.0.0.1", 3};
  start.spec = "a \"quoted\"\ntext";
  start.lease_until = 500;
  start.header.fencing_token = 9;
  start.header.upstream = "i-1";
  const auto request = filbertwick::platform::FormatStart(start);
  cr_assert_eq(request.FindHeader("Filbertwick-Expect-Instance"), "i-1");
  cr_assert_eq(
      request.body,
      R"({"task":"j.0.0.1","run":3,"spec":"a \"quoted\"\ntext","until-ms":500,"fencing-token":9})");
  direct::ListCommand list;
  list.header.fencing_token = 9;
  cr_assert_eq(filbertwick::platform::FormatList(list).body,
               R"({"fencing-token":9,"seen-upto":0})");
  list.lease_until = 600;
  list.wait = std::chrono::milliseconds(130);
  cr_assert_eq(
      filbertwick::platform::FormatList(list).body,
      R"({"fencing-token":9,"seen-upto":0,"until-ms":600,"wait-ms":130})");
}
