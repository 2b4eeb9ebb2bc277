#ifndef FILBERTWICK_CORE_ENTRY_ENTRY_CONTEXT_H_
#define FILBERTWICK_CORE_ENTRY_ENTRY_CONTEXT_H_

#include <functional>

#include "filbertwick/core/entry/job.h"
#include "filbertwick/core/entry/job_table.h"
#include "filbertwick/core/outbox.h"
#include "filbertwick/core/policy/dispatcher.h"
#include "filbertwick/core/state/member.h"
#include "filbertwick/core/state/ownership.h"

namespace filbertwick::core {

/// Takes the answer for one waiter.
using AnswerHook =
    std::function<void(const Waiter& waiter, wire::ForwardAnswer answer)>;

/// What the controllers of an entry share; all of it outlives them.
struct EntryContext {
  Member& member;
  Ownership& ownership;
  policy::Dispatcher& dispatcher;
  JobTable& jobs;
  Outbox& outbox;
  AnswerHook answer;

  /// How long keys are kept, by the bundle in force.
  Duration DedupeWindow() const;
  /// Name of the entry itself.
  const InstanceName& self() const { return member.settings().info.name; }
  /// Times of the protocol.
  const TimingSettings& timing() const { return member.settings().timing; }
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_ENTRY_CONTEXT_H_
