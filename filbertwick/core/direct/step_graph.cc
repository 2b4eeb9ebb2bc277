#include "filbertwick/core/direct/step_graph.h"

#include <algorithm>

namespace filbertwick::core::direct {

StepGraph StepGraph::Build(std::span<const JobStep> steps) {
  StepGraph graph;
  // Until a step is reached, its element is the longest path from a step that
  // names it. Only later steps do, so they are complete by then.
  graph.paths_.assign(steps.size(), Duration(0));
  graph.dependents_.resize(steps.size());
  for (size_t step = steps.size(); step-- > 0;) {
    graph.paths_[step] += steps[step].estimate;
    for (const size_t earlier : steps[step].after) {
      graph.dependents_[earlier].push_back(step);
      graph.paths_[earlier] =
          std::max(graph.paths_[earlier], graph.paths_[step]);
    }
  }
  return graph;
}

Duration StepGraph::CriticalPath() const {
  return paths_.empty() ? Duration(0) : std::ranges::max(paths_);
}

}  // namespace filbertwick::core::direct
