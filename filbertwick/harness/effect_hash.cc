#include "filbertwick/harness/effect_hash.h"

#include <variant>

#include "filbertwick/harness/trace.h"
#include "filbertwick/wire/codec.h"

namespace filbertwick::harness {
namespace {

void Add(const core::SendEffect& it, Hasher& hasher) {
  hasher.Add(it.to.value());
  hasher.Add(wire::EncodeMessage(it.message));
}

void Add(const core::AppendEffect& it, Hasher& hasher) {
  hasher.Add(wire::EncodeRecord(it.record));
}

void Add(const core::AnswerEffect& it, Hasher& hasher) {
  hasher.Add(it.request);
  hasher.Add(it.answer.id.value());
  hasher.Add(static_cast<uint64_t>(it.answer.outcome));
  hasher.Add(static_cast<uint64_t>(it.answer.reason));
  hasher.Add(static_cast<uint64_t>(it.answer.retry_after.count()));
  for (const wire::TaskResult& task : it.answer.tasks) {
    hasher.Add(static_cast<uint64_t>(task.outcome));
    hasher.Add(task.body);
  }
  for (const std::string& line : it.explanation) {
    hasher.Add(line);
  }
}

void Add(const core::StartExecutionEffect& it, Hasher& hasher) {
  hasher.Add(it.key.job.value());
  hasher.Add(it.key.index);
  hasher.Add(it.attempt);
  hasher.Add(it.service.value());
  hasher.Add(static_cast<uint64_t>(it.timeout.count()));
  hasher.Add(it.payload);
}

/// Hashes the one-line description of any other effect. Of these, only
/// AuditEffect has fields that Describe() leaves out: `written`, `author` and
/// `change`.
template <typename Other>
void Add(const Other& it, Hasher& hasher) {
  hasher.Add(Describe(core::Effect(it)));
}

}  // namespace

void AddEffect(const core::Effect& effect, Hasher& hasher) {
  std::visit([&](const auto& it) { Add(it, hasher); }, effect);
}

}  // namespace filbertwick::harness
