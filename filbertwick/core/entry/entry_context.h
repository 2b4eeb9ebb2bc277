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

/// Delivers an answer to one waiter.
using AnswerHook =
    std::function<void(const Waiter& waiter, wire::ForwardAnswer answer)>;

/// State shared by the controllers of an entry. The referenced objects must
/// outlive the context and the controllers.
struct EntryContext {
  Member& member;
  Ownership& ownership;
  policy::Dispatcher& dispatcher;
  JobTable& jobs;
  Outbox& outbox;
  /// Called once for each waiter that gets an answer or a redirect.
  AnswerHook answer;

  /// How long ended jobs are kept to detect repeated submissions, from the
  /// active bundle; the default of bundle::Bundle when there is none.
  Duration DedupeWindow() const;
  /// Name of this entry.
  const InstanceName& self() const { return member.settings().info.name; }
  /// Timeouts and intervals of the protocol between instances.
  const TimingSettings& timing() const { return member.settings().timing; }
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_ENTRY_CONTEXT_H_
