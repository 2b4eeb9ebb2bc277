#include <absl/status/status.h>
#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <ranges>
#include <utility>

#include "filbertwick/bundle/change_check.h"
#include "filbertwick/bundle/diff.h"
#include "filbertwick/json/text_writer.h"
#include "filbertwick/tool/bundle_file.h"
#include "filbertwick/tool/change.h"
#include "filbertwick/tool/change_propagation.h"
#include "filbertwick/tool/command_table.h"
#include "filbertwick/tool/entry_client.h"
#include "filbertwick/tool/live_state.h"
#include "filbertwick/tool/report.h"

namespace filbertwick::tool {
namespace {

constexpr std::string_view kPrefix = "publish";

/// `publish`: publishes a bundle and waits until every instance in contact has
/// applied it.
class PublishCommand : public Command {
 public:
  CommandInfo Info() const override {
    return {"publish",
            "BUNDLE",
            "publish a bundle and wait until it is in "
            "force",
            "Checks the bundle against the one in force, proposes it, and "
            "returns when every\ninstance in contact has it. A conflict names "
            "the version that won, its author and\nhow it differs. May be "
            "repeated safely.\n",
            1,
            1};
  }

  std::vector<Option> Options() override {
    std::vector<Option> options;
    entry_.AddEntryOptions(options);
    entry_.AddTokenOption(options);
    change_.AddOptions(options);
    options.push_back(FlagOption("accept-warnings", "publish despite warnings",
                                 accept_warnings_));
    options.push_back(FlagOption("json", "print JSON", json_));
    return options;
  }

  ExitCode Run(std::span<const std::string> operands,
               const Environment& environment) override {
    environment_ = &environment;
    change_.FillDefaults(environment);
    file_ = LoadBundleFile(operands[0]);
    if (!file_.parsed.bundle) {
      return ReportBlockingFindings(file_.parsed.findings);
    }
    auto client = EntryClient::Create(entry_, environment);
    if (!client.ok()) {
      return ReportError(environment, kPrefix, client.status());
    }
    const auto in_force = client->FetchBundle();
    const auto status = client->FetchStatus();
    if (!in_force.ok() || !status.ok()) {
      return ReportError(environment, kPrefix,
                         in_force.ok() ? status.status() : in_force.status());
    }
    // The same bundle is in force already, for example because the response to
    // an earlier publish was lost.
    if (in_force->version == version() && in_force->text == file_.text) {
      return WaitUntilInForce(*client);
    }
    if (in_force->version != file_.parsed.bundle->based_on) {
      return ReportConflict(
          *client, *in_force,
          fmt::format("version {} is in force, the bundle is "
                      "based on {}",
                      in_force->version, file_.parsed.bundle->based_on));
    }
    const Findings findings =
        CheckAgainstInForce(operands[0], *in_force, MakeLiveState(*status));
    if (BlocksChange(findings, accept_warnings_)) {
      return ReportBlockingFindings(findings);
    }
    environment.err(FormatFindings(findings));
    return Propose(*client);
  }

 private:
  uint64_t version() const { return file_.parsed.bundle->version; }

  /// Returns the findings on replacing the bundle in force by the new one.
  /// Checks the new bundle alone when the one in force can't be parsed.
  Findings CheckAgainstInForce(const std::string& path,
                               const BundleResponse& in_force,
                               const bundle::LiveState& live) const {
    const auto old = bundle::ParseBundle("in-force", in_force.text);
    return old.bundle ? bundle::CheckChange(*old.bundle, path, file_.text, live)
                            .findings
                      : file_.parsed.findings;
  }

  ExitCode Propose(EntryClient& client) {
    const wire::PublishBundle publish = {
        version(), file_.parsed.bundle->based_on, file_.text};
    const auto response = client.PostChange(FormatChange(change_, publish));
    if (!response.ok()) {
      environment_->err(
          fmt::format("{}: change {}\n", kPrefix, change_.change));
      return ReportError(*environment_, kPrefix, response.status());
    }
    if (response->accepted) {
      return WaitUntilInForce(client);
    }
    const auto in_force = client.FetchBundle();
    return ReportConflict(client, in_force.ok() ? *in_force : BundleResponse(),
                          response->why);
  }

  ExitCode WaitUntilInForce(EntryClient& client) {
    ChangePropagation propagation;
    std::optional<wire::LogOffset> offset;
    const auto outcome = PollStatusUntilDone(
        client, *environment_, kPrefix,
        [&](const core::CoreStatus& status) -> std::optional<std::string> {
          if (status.bundle_version < version()) {
            return fmt::format("version {} is not known to {} yet", version(),
                               status.info.name.value());
          }
          // The first status with the new version: an instance that has applied
          // the control log up to this offset has the bundle.
          offset = offset.value_or(status.offset);
          propagation = MeasurePropagation(status, *offset);
          return propagation.lagging.empty()
                     ? std::nullopt
                     : std::optional(FormatPropagation(propagation));
        });
    PrintInForce(outcome == WaitOutcome::kDone, propagation);
    return outcome == WaitOutcome::kDone ? ExitCode::kOk : ExitCode::kFailed;
  }

  void PrintInForce(bool in_force, const ChangePropagation& propagation) const {
    if (!json_) {
      environment_->out(
          fmt::format("version {} is accepted and {}: {}\n", version(),
                      in_force ? "in force" : "not in force everywhere yet",
                      FormatPropagation(propagation)));
      return;
    }
    json::TextWriter writer;
    writer.BeginObject()
        .Member("accepted", true)
        .Member("change", change_.change)
        .Member("version", version())
        .Member("in_force", in_force)
        .Member("instances", propagation.in_contact)
        .Key("lagging");
    WriteNames(propagation.lagging, writer);
    writer.Key("out_of_contact");
    WriteNames(propagation.out_of_contact, writer);
    writer.EndObject();
    environment_->out(writer.Take() + "\n");
  }

  static void WriteNames(const std::vector<std::string>& names,
                         json::TextWriter& writer) {
    writer.BeginArray();
    for (const std::string& name : names) {
      writer.Value(name);
    }
    writer.EndArray();
  }

  ExitCode ReportBlockingFindings(const Findings& findings) const {
    if (json_) {
      json::TextWriter writer;
      writer.BeginObject().Member("accepted", false).Key("findings");
      WriteFindings(findings, writer);
      writer.EndObject();
      environment_->out(writer.Take() + "\n");
      return ExitCode::kUsage;
    }
    environment_->err(FormatFindings(findings));
    environment_->err(HasErrors(findings)
                          ? "publish: nothing was published\n"
                          : "publish: nothing was published, use "
                            "--accept-warnings to publish anyway\n");
    return ExitCode::kUsage;
  }

  /// Reports the bundle in force that the publish conflicts with, its author
  /// and the differences from it to the refused bundle.
  ExitCode ReportConflict(EntryClient& client,
                          const BundleResponse& winner,
                          std::string_view why) const {
    const std::string author = FindAuthor(client, winner.version);
    const auto parsed = bundle::ParseBundle("in-force", winner.text);
    const std::vector<std::string> lines =
        parsed.bundle
            ? bundle::DiffBundles(*parsed.bundle, *file_.parsed.bundle)
            : std::vector<std::string>();
    if (json_) {
      json::TextWriter writer;
      writer.BeginObject()
          .Member("accepted", false)
          .Member("change", change_.change)
          .Member("why", std::string(why))
          .Member("winner", winner.version)
          .Member("winner_author", author)
          .Key("differences");
      WriteNames(lines, writer);
      writer.EndObject();
      environment_->out(writer.Take() + "\n");
      return ExitCode::kRefused;
    }
    environment_->err(fmt::format("{}: refused: {}\n", kPrefix, why));
    environment_->err(
        fmt::format("{}: version {} by {} is in force; from it "
                    "to this bundle:\n",
                    kPrefix, winner.version, author));
    for (const std::string& line : lines) {
      environment_->err(fmt::format("  {}\n", line));
    }
    return ExitCode::kRefused;
  }

  /// Returns the author of the accepted change that published `version`, or
  /// `unknown` when the audit trail can't be fetched or has no such change.
  static std::string FindAuthor(EntryClient& client, uint64_t version) {
    const auto audit = client.FetchAudit(0);
    if (!audit.ok()) {
      return "unknown";
    }
    const std::string what = fmt::format("bundle {} ", version);
    const auto newest_first = *audit | std::views::reverse;
    const auto it =
        std::ranges::find_if(newest_first, [&](const core::AuditEffect& line) {
          return line.accepted && line.what.starts_with(what);
        });
    return it == newest_first.end() ? "unknown" : it->author.value();
  }

  EntryOptions entry_;
  ChangeOptions change_;
  bool accept_warnings_ = false;
  bool json_ = false;
  BundleFile file_;
  const Environment* environment_ = nullptr;
};

}  // namespace

std::unique_ptr<Command> CreatePublishCommand() {
  return std::make_unique<PublishCommand>();
}

}  // namespace filbertwick::tool
