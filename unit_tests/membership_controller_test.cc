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

/// An entry that reads a control log written by the test.
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

  /// Appends a record to the control log and delivers it to the entry.
  void Read(wire::ControlRecord record) {
    LogReadEvent event;
    event.first = member.control().offset();
    event.head = event.first + 1;
    event.records.push_back(std::move(record));
    member.OnLogRead(event, effects);
    log_writer.OnApplied(event.records.front().change);
    membership_controller.OnLogRead(now.monotonic, true);
  }

  /// Delivers a record that another instance appended.
  void ReadOther() {
    wire::ControlRecord record;
    record.change = ChangeId(fmt::format("other/{}", other_records++));
    record.body = wire::UpstreamEjection{InstanceName("s"), true, ""};
    Read(std::move(record));
  }

  /// Checkpoints that the entry has appended so far, in order.
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
  int other_records = 0;
};

Test(membership_controller, keeps_one_checkpoint_in_flight) {
  SingleEntryFixture fixture;
  for (uint32_t i = 0; i < kCheckpointRecords; ++i) {
    fixture.ReadOther();
  }
  fixture.membership_controller.Tick(fixture.now, fixture.effects);
  cr_assert_eq(fixture.Checkpoints().size(), 1);
  // Records in between make the checkpoint invalid, but the next one is not
  // written until the first is read back.
  for (int i = 0; i < 5; ++i) {
    fixture.ReadOther();
    fixture.membership_controller.Tick(fixture.now, fixture.effects);
  }
  cr_assert_eq(fixture.Checkpoints().size(), 1);
  fixture.Read(fixture.Checkpoints().back());
  cr_assert_eq(fixture.member.control().checkpoint(), 0);
  fixture.membership_controller.Tick(fixture.now, fixture.effects);
  cr_assert_eq(fixture.Checkpoints().size(), 2);
  // A checkpoint without records in between is accepted, and no further one is
  // written.
  fixture.Read(fixture.Checkpoints().back());
  cr_assert_eq(fixture.member.control().checkpoint(),
               fixture.member.control().offset());
  fixture.membership_controller.Tick(fixture.now, fixture.effects);
  cr_assert_eq(fixture.Checkpoints().size(), 2);
}

}  // namespace
}  // namespace filbertwick::core
