#ifndef BENCH_SLOPES_SERIES_H_
#define BENCH_SLOPES_SERIES_H_

#include <string>
#include <string_view>
#include <vector>

#include "bench/slopes/fit.h"

namespace filbertwick::bench {

/// A figure measured at several sizes, printed with its fitted line.
class Series {
 public:
  /// `over` names the size; `target` is the size to which the line is
  /// extrapolated.
  Series(std::string_view what, std::string_view over, double target)
      : what_(what), over_(over), target_(target) {}

  /// Adds the figure `y` at size `x`.
  void Add(double x, double y) { points_.push_back({x, y}); }

  /// Prints the points, the fitted line, its error and its value at `target`.
  void Print() const;

 private:
  std::string what_;
  std::string over_;
  double target_;
  std::vector<Point> points_;
};

}  // namespace filbertwick::bench

#endif  // BENCH_SLOPES_SERIES_H_
