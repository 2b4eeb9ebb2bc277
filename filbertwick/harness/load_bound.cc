#include "filbertwick/harness/load_bound.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace filbertwick::harness {
namespace {

size_t SecondOf(Duration at) {
  return static_cast<size_t>(at / std::chrono::seconds(1));
}

double Density(const BoundJob& job) {
  return job.worth / job.work;
}

}  // namespace

// The amounts of work that can be done together are those for which no range of
// seconds is given more work that has to be done within it than it has
// capacity. They form a polymatroid, so accepting the jobs by their worth per
// work is optimal.
double MaxWorthInTime(std::span<const BoundJob> jobs,
                      std::span<const double> capacity) {
  if (jobs.empty() || capacity.empty()) {
    return 0;
  }
  size_t seconds = capacity.size();
  for (const BoundJob& job : jobs) {
    seconds = std::max(seconds, SecondOf(job.arrived + job.target) + 1);
  }
  // What is left of the capacity of each range, by its first and last second.
  std::vector<std::vector<double>> left(seconds, std::vector<double>(seconds));
  for (size_t first = 0; first < seconds; ++first) {
    double sum = 0;
    for (size_t last = first; last < seconds; ++last) {
      sum += capacity[std::min(last, capacity.size() - 1)];
      left[first][last] = sum;
    }
  }
  std::vector<const BoundJob*> by_density;
  for (const BoundJob& job : jobs) {
    by_density.push_back(&job);
  }
  std::ranges::stable_sort(by_density, [](const auto* a, const auto* b) {
    return Density(*a) > Density(*b);
  });
  double worth = 0;
  for (const BoundJob* job : by_density) {
    const size_t first = SecondOf(job->arrived);
    const size_t last = SecondOf(job->arrived + job->target);
    double accepted = job->work;
    for (size_t from = 0; from <= first; ++from) {
      for (size_t to = last; to < seconds; ++to) {
        accepted = std::min(accepted, left[from][to]);
      }
    }
    for (size_t from = 0; from <= first; ++from) {
      for (size_t to = last; to < seconds; ++to) {
        left[from][to] -= accepted;
      }
    }
    worth += job->worth * accepted / job->work;
  }
  return worth;
}

}  // namespace filbertwick::harness
