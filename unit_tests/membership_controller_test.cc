#include "filbertwick/core/entry/membership_controller.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <string>

#include "filbertwick/core/state/control_log_writer.h"
#include "filbertwick/core/state/member.h"

namespace filbertwick::core {
namespace {

constexpr uint32_t kCheckpointRecords = 20;

MemberHooks NoHooks() {
  MemberHooks hooks;
  hooks.applied = [](wire::LogOffset, const wire::ControlRecord&,
                     const ApplyResult&) {};
  hooks.state_installed = [] {};
  hooks.replaced = [](const InstanceName&) {};
  hooks.epoch_raised = [] {};
  hooks.load = [](const InstanceName&, const wire::Load&) {};
  return hooks;
}

/// One entry that reads a stream written by the test.
struct SingleEntryFixture {
  SingleEntryFixture()
      : member(MakeSettings(), NoHooks(), Instant()),
        log_writer(member),
        membership_controller(member, log_writer) {}

  static NodeSettings MakeSettings() {
    NodeSettings settings;
    settings.info.name = InstanceName("entry-1");
    settings.info.region = RegionName("home");
    settings.info.incarnation = 1;
    settings.timing.checkpoint_records = kCheckpointRecords;
    return settings;
  }

  /// Reads one more record of the stream.
  void Read(wire::ControlRecord record) {
    LogReadEvent event;
    event.first = member.control().offset();
    event.head = event.first + 1;
    event.records.push_back(std::move(record));
    member.OnLogRead(event, effects);
    log_writer.OnApplied(event.records.front().change);
    membership_controller.OnLogRead(now.monotonic, true);
  }

  /// Reads a record of somebody else.
  void ReadOther() {
    wire::ControlRecord record;
    record.change = ChangeId(fmt::format("other/{}", others++));
    record.body = wire::UpstreamEjection{InstanceName("s"), true, ""};
    Read(std::move(record));
  }

  /// Checkpoints appended so far, newest last.
  std::vector<wire::ControlRecord> Checkpoints() const {
    std::vector<wire::ControlRecord> found;
    for (const Effect& effect : effects) {
      const auto* append = std::get_if<AppendEffect>(&effect);
      if (append != nullptr &&
          std::holds_alternative<wire::Checkpoint>(append->record.body)) {
        found.push_back(append->record);
      }
    }
    return found;
  }

  Now now;
  Effects effects;
  Member member;
  ControlLogWriter log_writer;
  MembershipController membership_controller;
  int others = 0;
};

Test(membership_controller, keeps_one_checkpoint_in_flight) {
  SingleEntryFixture fixture;
  for (uint32_t i = 0; i < kCheckpointRecords; ++i) {
    fixture.ReadOther();
  }
  fixture.membership_controller.Tick(fixture.now, fixture.effects);
  cr_assert_eq(fixture.Checkpoints().size(), 1);
  // Records that come between make the checkpoint void, but no new one is
  // written before it is read back.
  for (int i = 0; i < 5; ++i) {
    fixture.ReadOther();
    fixture.membership_controller.Tick(fixture.now, fixture.effects);
  }
  cr_assert_eq(fixture.Checkpoints().size(), 1);
  fixture.Read(fixture.Checkpoints().back());
  cr_assert_eq(fixture.member.control().checkpoint(), 0);
  fixture.membership_controller.Tick(fixture.now, fixture.effects);
  cr_assert_eq(fixture.Checkpoints().size(), 2);
  // With nothing between it counts, and no more follow.
  fixture.Read(fixture.Checkpoints().back());
  cr_assert_eq(fixture.member.control().checkpoint(),
               fixture.member.control().offset());
  fixture.membership_controller.Tick(fixture.now, fixture.effects);
  cr_assert_eq(fixture.Checkpoints().size(), 2);
}

}  // namespace
}  // namespace filbertwick::core
