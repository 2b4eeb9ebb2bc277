#ifndef BENCH_SLOPES_FIT_H_
#define BENCH_SLOPES_FIT_H_

#include <span>

namespace filbertwick::bench {

/// A figure `y` measured at size `x`.
struct Point {
  double x = 0;
  double y = 0;
};

/// A least-squares line through points.
struct Line {
  double slope = 0;
  double intercept = 0;
  /// Coefficient of determination: the fraction of the variance that the line
  /// explains.
  double r2 = 0;
  /// Largest deviation of a point from the line, as a fraction of the largest
  /// figure.
  double largest_error = 0;

  /// Returns the value of the line at `x`.
  double At(double x) const { return intercept + slope * x; }
};

/// Fits a line by least squares. At least two points must differ in `x`.
Line FitLine(std::span<const Point> points);

}  // namespace filbertwick::bench

#endif  // BENCH_SLOPES_FIT_H_
