#ifndef FILBERTWICK_HARNESS_TRACE_H_
#define FILBERTWICK_HARNESS_TRACE_H_

#include <string>

#include "filbertwick/core/effect.h"
#include "filbertwick/core/event.h"

namespace filbertwick::harness {

/// One line about a message.
std::string Describe(const wire::Message& message);
/// One line about a control record.
std::string Describe(const wire::ControlRecord& record);
/// One line about an event.
std::string Describe(const core::Event& event);
/// One line about an effect.
std::string Describe(const core::Effect& effect);

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_TRACE_H_
