#include "bench/slopes/fit.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace filbertwick::bench {

Line FitLine(std::span<const Point> points) {
  assert(points.size() > 1);
  const auto n = static_cast<double>(points.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const Point& it : points) {
    mean_x += it.x / n;
    mean_y += it.y / n;
  }
  double xx = 0;
  double xy = 0;
  double yy = 0;
  for (const Point& it : points) {
    xx += (it.x - mean_x) * (it.x - mean_x);
    xy += (it.x - mean_x) * (it.y - mean_y);
    yy += (it.y - mean_y) * (it.y - mean_y);
  }
  Line line;
  line.slope = xy / xx;
  line.intercept = mean_y - line.slope * mean_x;
  // Residual sum of squares, and largest residual and figure.
  double residual_sum = 0;
  double largest = 0;
  double scale = 0;
  for (const Point& it : points) {
    const double error = it.y - line.At(it.x);
    residual_sum += error * error;
    largest = std::max(largest, std::abs(error));
    scale = std::max(scale, std::abs(it.y));
  }
  line.r2 = yy > 0 ? 1 - residual_sum / yy : 1;
  line.largest_error = scale > 0 ? largest / scale : 0;
  return line;
}

}  // namespace filbertwick::bench
