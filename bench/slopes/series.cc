#include "bench/slopes/series.h"

#include <fmt/format.h>

namespace filbertwick::bench {

void Series::Print() const {
  const Line line = FitLine(points_);
  std::string points;
  for (const Point& it : points_) {
    points += fmt::format(" {:g}:{:.4g}", it.x, it.y);
  }
  fmt::print(
      "{} over {}:{}\n    slope {:.4g}, at zero {:.4g}, R2 {:.4f}, largest "
      "error {:.1f}%, line at {:g}: {:.5g}\n",
      what_, over_, points, line.slope, line.intercept, line.r2,
      100 * line.largest_error, target_, line.At(target_));
}

}  // namespace filbertwick::bench
