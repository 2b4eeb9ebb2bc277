#ifndef FILBERTWICK_HARNESS_TRACE_H_
#define FILBERTWICK_HARNESS_TRACE_H_

#include <string>

#include "filbertwick/core/effect.h"
#include "filbertwick/core/event.h"

namespace filbertwick::harness {

/// Formats a message as one line of the trace. These texts are compared between
/// builds, so they must not change.
std::string Describe(const wire::Message& message);
/// Formats a control record as one line of the trace.
std::string Describe(const wire::ControlRecord& record);
/// Formats an event of a core as one line of the trace.
std::string Describe(const core::Event& event);
/// Formats an effect of a core as one line of the trace.
std::string Describe(const core::Effect& effect);

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_TRACE_H_
