#include <criterion/criterion.h>

#include <array>
#include <random>
#include <string>

#include "filbertwick/bundle/bundle_parser.h"

namespace {

using filbertwick::FormatFindings;
using filbertwick::HasErrors;
using filbertwick::ServiceName;
using filbertwick::TeamName;
using filbertwick::ZoneName;
using filbertwick::bundle::Bundle;
using filbertwick::bundle::DeadlineClass;
using filbertwick::bundle::ParseBundle;
using filbertwick::bundle::ParsedBundle;

constexpr int kNumCorruptedTexts = 3'000;

constexpr std::string_view kBundleText = R"({
  // Published after review.
  "version": 4, "based_on": 3, "generation": 2,
  "zones": [{"name": "a", "region": "north"},
            {"name": "b", "region": "north"}],
  "services": [
    {"name": "quote", "zones": ["a", "b"], "upstreams": ["q1", "q2"],
     "slots": 8, "connections": 64, "queue": 2, "deadline_class": "bulk",
     "repeatable": true, "task_timeout_ms": 5000},
    {"name": "permit", "zones": ["b"]}
  ],
  "teams": [{"name": "phone", "home_region": "north", "weight": 3,
             "quota": 500}],
  "dedupe_window_ms": 60000
})";

/// Returns kBundleText with the first occurrence of `from` replaced by `to`.
std::string BundleTextWith(std::string_view from, std::string_view to) {
  std::string text(kBundleText);
  const size_t n = text.find(from);
  cr_assert(n != std::string::npos);
  return text.replace(n, from.size(), to);
}

Test(bundle, every_field_is_read) {
  const ParsedBundle parsed = ParseBundle("f", kBundleText);
  cr_assert(parsed.bundle && parsed.findings.empty());
  const Bundle& bundle = *parsed.bundle;
  cr_expect(bundle.version == 4 && bundle.based_on == 3);
  cr_expect(bundle.generation == 2);
  cr_expect(bundle.zones.size() == 2);
  cr_expect(bundle.FindZone(ZoneName("b"))->region.value() == "north");
  const auto* service = bundle.FindService(ServiceName("quote"));
  cr_expect(service->zones.size() == 2 && service->upstreams.size() == 2);
  cr_expect(service->slots == 8 && service->connections == 64);
  cr_expect(service->queue == 2 && service->repeatable);
  cr_expect(service->deadline_class == DeadlineClass::kBulk);
  cr_expect(service->task_timeout == std::chrono::seconds(5));
  cr_expect_not(bundle.FindService(ServiceName("permit"))->repeatable);
  cr_expect(bundle.FindTeam(TeamName("phone"))->weight == 3);
  cr_expect(bundle.FindTeam(TeamName("phone"))->quota == 500);
  cr_expect(bundle.dedupe_window == std::chrono::minutes(1));
}

Test(bundle, every_field_is_checked) {
  struct Case {
    const char* from;
    const char* to;
    const char* finding;
  };
  const std::array<Case, 14> cases = {{
      {"\"version\": 4", "\"version\": 0",
       "f:3: /version: must be a whole number, at least 1\n"
       "f:3: /based_on: based_on must be lower than the version, which is 1\n"},
      {"\"based_on\": 3", "\"based_on\": 4",
       "f:3: /based_on: based_on must be lower than the version, which is 4\n"},
      {"\"generation\"", "\"Generation\"",
       "f:3: /Generation: unknown field, allowed are based_on, capacity, "
       "dedupe_window_ms, generation, services, teams, version, zones\n"},
      {"{\"name\": \"b\"", "{\"name\": \"a\"",
       "f:5: /zones/1/name: \"a\" is used twice, names must differ\n"
       "f:7: /services/0/zones: \"b\" is not known, allowed are a\n"
       "f:10: /services/1/zones: \"b\" is not known, allowed are a\n"},
      {"\"region\": \"north\"}]", "\"region\": 5}]",
       "f:5: /zones/1/region: must be a name of 1 to 64 letters, digits, '.', "
       "'_' or '-'\n"},
      {"\"slots\": 8", "\"slots\": 80",
       "f:8: /services/0/connections: connections must be at least the slots, "
       "which are "
       "80\n"},
      {"\"queue\": 2", "\"queue\": 65",
       "f:8: /services/0/queue: must be a whole number, 0 to 64\n"},
      {"\"bulk\"", "\"slow\"",
       "f:8: /services/0/deadline_class: must be one of \"urgent\", "
       "\"bulk\"\n"},
      {"5000", "100000",
       "f:14: /dedupe_window_ms: dedupe_window_ms must be at least the longest "
       "task_timeout_ms, "
       "which is 100000\n"},
      {"[\"b\"]", "[]",
       "f:10: /services/1/zones: must be an array of 1 to 64 elements\n"},
      {"\"permit\"", "\"quote\"",
       "f:10: /services/1/name: \"quote\" is used twice, names must differ\n"},
      {"\"home_region\": \"north\"", "\"home_region\": \"south\"",
       "f:12: /teams/0/home_region: \"south\" is not known, allowed are "
       "north\n"},
      {"\"weight\": 3", "\"weight\": 0",
       "f:12: /teams/0/weight: must be a whole number, 1 to 1000\n"},
      {"60000", "60000, \"capacity\": 499",
       "f:12: /teams: warning: the quotas add up to 500, above the capacity of "
       "499\n"},
  }};
  for (const Case& c : cases) {
    const ParsedBundle parsed = ParseBundle("f", BundleTextWith(c.from, c.to));
    const std::string findings = FormatFindings(parsed.findings);
    cr_expect(findings == c.finding, "%s gave %s", c.to, findings.c_str());
    cr_expect(parsed.bundle.has_value() != HasErrors(parsed.findings));
  }
}

Test(bundle, corrupted_bundles_never_crash) {
  std::mt19937_64 random(1);
  for (int i = 0; i < kNumCorruptedTexts; ++i) {
    std::string text(kBundleText);
    for (int k = 0; k < 2; ++k) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    const ParsedBundle parsed = ParseBundle("f", text);
    cr_assert(parsed.bundle.has_value() != HasErrors(parsed.findings));
  }
}

}  // namespace
