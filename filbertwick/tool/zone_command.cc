#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>

#include "filbertwick/bundle/bundle_parser.h"
#include "filbertwick/bundle/change_check.h"
#include "filbertwick/json/text_writer.h"
#include "filbertwick/tool/change.h"
#include "filbertwick/tool/change_propagation.h"
#include "filbertwick/tool/command_table.h"
#include "filbertwick/tool/entry_client.h"
#include "filbertwick/tool/live_state.h"
#include "filbertwick/tool/report.h"

namespace filbertwick::tool {
namespace {

constexpr std::string_view kPrefix = "zone";

/// `zone`: takes an availability zone out, and waits until no task can start
/// there any more, or brings it back, and waits until every instance in contact
/// has applied that.
class ZoneCommand : public Command {
 public:
  CommandInfo Info() const override {
    return {"zone",
            "out|in ZONE",
            "take an availability zone out or bring it back",
            "`zone out` returns when no task can start in the zone any more "
            "and says how many\nstill run there. `zone in` returns when every "
            "instance in contact knows it. Both\nmay be repeated safely.\n",
            2,
            2};
  }

  std::vector<Option> Options() override {
    std::vector<Option> options;
    entry_.AddEntryOptions(options);
    entry_.AddTokenOption(options);
    change_.AddOptions(options);
    options.push_back(FlagOption("accept-warnings",
                                 "proceed even if a service has no zone left",
                                 accept_warnings_));
    options.push_back(FlagOption("json", "print JSON", json_));
    return options;
  }

  ExitCode Run(std::span<const std::string> operands,
               const Environment& environment) override {
    environment_ = &environment;
    if (operands[0] != "out" && operands[0] != "in") {
      environment.err("zone: use `zone out ZONE` or `zone in ZONE`\n");
      return ExitCode::kUsage;
    }
    request_ = {ZoneName(operands[1]), operands[0] == "out"};
    change_.FillDefaults(environment);
    auto client = EntryClient::Create(entry_, environment);
    if (!client.ok()) {
      return ReportError(environment, kPrefix, client.status());
    }
    const auto status = client->FetchStatus();
    if (!status.ok()) {
      return ReportError(environment, kPrefix, status.status());
    }
    if (FindZone(*status) == nullptr) {
      return ReportUnknownZone(*status);
    }
    if (request_.out && !accept_warnings_ &&
        !EveryServiceKeepsZone(*client, *status)) {
      return ExitCode::kUsage;
    }
    return SubmitChange(*client);
  }

 private:
  const core::ZoneStatus* FindZone(const core::CoreStatus& status) const {
    const auto it =
        std::ranges::find(status.zones, request_.zone, &core::ZoneStatus::zone);
    return it == status.zones.end() ? nullptr : &*it;
  }

  ExitCode ReportUnknownZone(const core::CoreStatus& status) const {
    std::vector<std::string_view> names;
    names.reserve(status.zones.size());
    for (const core::ZoneStatus& zone : status.zones) {
      names.push_back(zone.zone.value());
    }
    environment_->err(
        fmt::format("zone: the bundle in force has no zone \"{}\", it has {}\n",
                    request_.zone.value(), fmt::join(names, ", ")));
    return ExitCode::kUsage;
  }

  /// Returns false and prints a warning when the change would leave a service
  /// without a zone, or when the bundle in force can't be read.
  bool EveryServiceKeepsZone(EntryClient& client,
                             const core::CoreStatus& status) const {
    const auto response = client.FetchBundle();
    const auto parsed =
        bundle::ParseBundle("in-force", response.ok() ? response->text : "");
    if (!parsed.bundle) {
      environment_->err(
          "zone: the bundle in force can't be read, use "
          "--accept-warnings to proceed\n");
      return false;
    }
    std::set<ZoneName> zones_out = MakeLiveState(status).zones_out;
    zones_out.insert(request_.zone);
    const auto services =
        bundle::ServicesWithoutZone(*parsed.bundle, zones_out);
    for (const ServiceName& service : services) {
      environment_->err(
          fmt::format("zone: warning: the service \"{}\" has no zone left\n",
                      service.value()));
    }
    if (!services.empty()) {
      environment_->err(
          "zone: nothing was changed, use --accept-warnings to "
          "change it anyway\n");
    }
    return services.empty();
  }

  ExitCode SubmitChange(EntryClient& client) {
    const auto response = client.PostChange(FormatChange(change_, request_));
    if (!response.ok()) {
      environment_->err(fmt::format("zone: change {}\n", change_.change));
      return ReportError(*environment_, kPrefix, response.status());
    }
    if (!response->accepted) {
      Print(false, false, 0, response->why);
      return ExitCode::kRefused;
    }
    uint32_t running = 0;
    std::optional<wire::LogOffset> offset;
    const auto outcome = PollStatusUntilDone(
        client, *environment_, kPrefix,
        [&](const core::CoreStatus& status) -> std::optional<std::string> {
          const core::ZoneStatus* zone = FindZone(status);
          if (zone == nullptr || zone->out != request_.out) {
            return "not known to " + status.info.name.value() + " yet";
          }
          running = zone->running;
          offset = offset.value_or(status.offset);
          return DescribePending(*zone, MeasurePropagation(status, *offset));
        });
    const bool done = outcome == WaitOutcome::kDone;
    Print(true, done, running, "");
    return done ? ExitCode::kOk : ExitCode::kFailed;
  }

  std::optional<std::string> DescribePending(
      const core::ZoneStatus& zone,
      const ChangePropagation& propagation) const {
    if (request_.out ? zone.certainly_out : propagation.lagging.empty()) {
      return std::nullopt;
    }
    const std::string text = FormatPropagation(propagation);
    return propagation.lagging.empty()
               ? text + "; waiting until no task start can be in flight"
               : text;
  }

  void Print(bool accepted,
             bool done,
             uint32_t running,
             std::string_view why) const {
    if (json_) {
      json::TextWriter writer;
      writer.BeginObject()
          .Member("accepted", accepted)
          .Member("change", change_.change)
          .Member("zone", request_.zone)
          .Member("out", request_.out)
          .Member("certain", done)
          .Member("running", running)
          .Member("why", std::string(why))
          .EndObject();
      environment_->out(writer.Take() + "\n");
      return;
    }
    const std::string& zone = request_.zone.value();
    if (!accepted) {
      environment_->err(fmt::format("zone: refused: {}\n", why));
    } else if (!done) {
      environment_->err(
          fmt::format("zone: accepted, but not certain yet; {} {}, change {}\n",
                      request_.out ? "out" : "in", zone, change_.change));
    } else if (request_.out) {
      environment_->out(
          fmt::format("zone {} is out: no task can start there "
                      "any more, {} still run\n",
                      zone, running));
    } else {
      environment_->out(fmt::format("zone {} is in\n", zone));
    }
  }

  EntryOptions entry_;
  ChangeOptions change_;
  bool accept_warnings_ = false;
  bool json_ = false;
  wire::SetZone request_;
  const Environment* environment_ = nullptr;
};

}  // namespace

std::unique_ptr<Command> CreateZoneCommand() {
  return std::make_unique<ZoneCommand>();
}

}  // namespace filbertwick::tool
