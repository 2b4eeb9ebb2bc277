#include "filbertwick/core/direct/run_table.h"

#include <cassert>
#include <utility>

namespace filbertwick::core::direct {

ActiveRun& RunTable::Hold(ActiveRun run) {
  held_ += run.needs;
  std::string task = run.id.task;
  const auto [it, added] = runs_.emplace(std::move(task), std::move(run));
  assert(added);
  return it->second;
}

ActiveRun* RunTable::Find(std::string_view task) {
  const auto it = runs_.find(task);
  return it == runs_.end() ? nullptr : &it->second;
}

ActiveRun* RunTable::FindRun(const TaskRun& run) {
  ActiveRun* held = Find(run.task);
  return held != nullptr && held->id == run ? held : nullptr;
}

void RunTable::Release(const TaskRun& run) {
  const auto it = runs_.find(run.task);
  assert(it != runs_.end() && it->second.id == run);
  held_ -= it->second.needs;
  runs_.erase(it);
}

std::vector<ActiveRun> RunTable::Clear() {
  std::vector<ActiveRun> all;
  all.reserve(runs_.size());
  for (auto& [task, run] : runs_) {
    all.push_back(std::move(run));
  }
  runs_.clear();
  held_ = Resources();
  return all;
}

}  // namespace filbertwick::core::direct
