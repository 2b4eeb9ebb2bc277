#include "filbertwick/core/entry/entry_context.h"

namespace filbertwick::core {

Duration EntryContext::DedupeWindow() const {
  const bundle::Bundle* bundle = member.control().bundle();
  return bundle != nullptr ? bundle->dedupe_window
                           : bundle::Bundle().dedupe_window;
}

}  // namespace filbertwick::core
