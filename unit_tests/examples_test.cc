#include <criterion/criterion.h>

#include <algorithm>
#include <filesystem>
#include <string>

#include "filbertwick/base/file.h"
#include "filbertwick/bundle/bundle_parser.h"
#include "filbertwick/daemon/settings.h"

namespace {

using filbertwick::FormatFindings;
using filbertwick::ReadFile;
using filbertwick::bundle::Bundle;
using filbertwick::bundle::ParseBundle;
using filbertwick::bundle::Service;
using filbertwick::daemon::LoadSettings;
using filbertwick::wire::InstanceInfo;
using filbertwick::wire::Role;

/// Expected contents of the example files of one deployment, as stated by its
/// users.
struct ExampleDeployment {
  const char* folder;
  size_t zones;
  const char* service;
};

constexpr ExampleDeployment kDeployments[] = {
    {"examples/wiertmistrz", 4, "quoting"},
    {"examples/nilecut", 3, "capsule"},
};
constexpr size_t kUpstreamsPerService = 11;
constexpr uint32_t kSlotsPerUpstream = 8;
constexpr uint32_t kConnectionsPerUpstream = 64;

Bundle LoadBundle(const std::string& path) {
  const auto parsed = ParseBundle(path, *ReadFile(path));
  cr_assert(parsed.findings.empty(), "%s",
            FormatFindings(parsed.findings).c_str());
  return *parsed.bundle;
}

void CheckSettings(const std::string& path, const Bundle& bundle) {
  const auto parsed = LoadSettings(path);
  cr_assert(parsed.findings.empty(), "%s",
            FormatFindings(parsed.findings).c_str());
  const InstanceInfo& info = parsed.settings->node.info;
  cr_expect(bundle.FindZone(info.zone)->region == info.region);
  if (info.role == Role::kSidecar) {
    const Service* service = bundle.FindService(info.service);
    cr_assert(service != nullptr);
    cr_expect(std::ranges::count(service->upstreams, info.name) == 1);
  }
}

Test(examples, bundles_have_the_documented_sizes) {
  for (const ExampleDeployment& deployment : kDeployments) {
    const std::string folder = deployment.folder;
    const Bundle bundle = LoadBundle(folder + "/bundle.json");
    cr_expect(bundle.zones.size() == deployment.zones);
    const Service* service =
        bundle.FindService(filbertwick::ServiceName(deployment.service));
    cr_assert(service != nullptr);
    cr_expect(service->upstreams.size() == kUpstreamsPerService);
    cr_expect(service->slots == kSlotsPerUpstream);
    cr_expect(service->connections == kConnectionsPerUpstream);
    cr_expect(service->zones.size() == deployment.zones);
    cr_expect_not(service->repeatable);
  }
}

Test(examples, every_file_passes_its_check) {
  size_t checked = 0;
  for (const ExampleDeployment& deployment : kDeployments) {
    const Bundle bundle =
        LoadBundle(std::string(deployment.folder) + "/bundle.json");
    for (const auto& it :
         std::filesystem::directory_iterator(deployment.folder)) {
      if (it.path().extension() != ".json") {
        continue;
      }
      ++checked;
      if (it.path().filename().string().starts_with("bundle")) {
        LoadBundle(it.path().string());
      } else {
        CheckSettings(it.path().string(), bundle);
      }
    }
  }
  cr_expect(checked == 7, "%zu files were checked", checked);
}

}  // namespace
