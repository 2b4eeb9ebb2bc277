#include "filbertwick/core/direct/job_history.h"

#include <fmt/format.h>

#include <utility>

namespace filbertwick::core::direct {

void JobHistory::Add(Duration age, std::string text) {
  if (decisions_.size() == kMaxDecisions) {
    decisions_.pop_front();
    ++replaced_;
  }
  decisions_.push_back({age, std::move(text)});
}

std::string JobHistory::Format() const {
  std::string text;
  if (replaced_ > 0) {
    text = fmt::format("{} earlier", replaced_);
  }
  for (const Decision& decision : decisions_) {
    text +=
        fmt::format("{}+{} ms {}", text.empty() ? "" : "; ",
                    decision.age / std::chrono::milliseconds(1), decision.text);
  }
  return text;
}

}  // namespace filbertwick::core::direct
