#ifndef BENCH_SLOPES_FIT_H_
#define BENCH_SLOPES_FIT_H_

#include <span>

namespace filbertwick::bench {

/// One measured size with its figure.
struct Point {
  double x = 0;
  double y = 0;
};

/// A least-squares line through points.
struct Line {
  double slope = 0;
  double intercept = 0;
  /// Share of the variance that the line explains.
  double r2 = 0;
  /// Largest deviation of a point from the line, as a share of the largest
  /// figure.
  double largest_error = 0;

  /// The line's figure at `x`.
  double At(double x) const { return intercept + slope * x; }
};

/// Fits a line; needs two points of different `x`.
Line FitLine(std::span<const Point> points);

}  // namespace filbertwick::bench

#endif  // BENCH_SLOPES_FIT_H_
