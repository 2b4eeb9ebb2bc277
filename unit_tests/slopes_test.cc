#include <criterion/criterion.h>

#include <array>
#include <chrono>
#include <cstdint>

#include "bench/slopes/fit.h"
#include "bench/slopes/rig.h"

namespace {

using filbertwick::bench::FitLine;
using filbertwick::bench::Line;
using filbertwick::bench::Point;
using filbertwick::bench::Rig;
using filbertwick::bench::Usage;
namespace wire = filbertwick::wire;

uint64_t TotalMessages(const std::array<Usage::Traffic, Usage::kKinds>& kinds) {
  uint64_t sum = 0;
  for (const Usage::Traffic& it : kinds) {
    sum += it.messages;
  }
  return sum;
}

}  // namespace

Test(slopes, fit_reports_line_and_error) {
  const std::array<Point, 4> exact = {{{1, 5}, {2, 7}, {3, 9}, {10, 23}}};
  const Line line = FitLine(exact);
  cr_assert_float_eq(line.slope, 2, 1e-9);
  cr_assert_float_eq(line.intercept, 3, 1e-9);
  cr_assert_float_eq(line.r2, 1, 1e-9);
  cr_assert_float_eq(line.At(100), 203, 1e-9);
  const std::array<Point, 3> nonlinear = {{{0, 0}, {1, 3}, {2, 0}}};
  cr_assert_float_eq(FitLine(nonlinear).r2, 0, 1e-9);
  cr_assert_float_eq(FitLine(nonlinear).largest_error, 2.0 / 3, 1e-9);
}

Test(slopes, entry_probes_every_sidecar_and_runs_a_job) {
  Rig rig({.entries = 1, .sidecars = 11});
  rig.Run(std::chrono::seconds(2));
  // The entry sends 8 probes per second to each of the 11 sidecars.
  cr_assert_eq(TotalMessages(rig.usage().sent), 11U * 8 * 2);
  cr_assert_eq(TotalMessages(rig.usage().received), 11U * 8 * 2);
  rig.Submit(5, 64);
  rig.Run(std::chrono::seconds(1));
  cr_assert_eq(rig.usage().jobs_complete, 1U);
  cr_assert_eq(rig.usage().starts, 5U);
}

Test(slopes, sidecar_starts_every_offered_task) {
  Rig rig({.role = wire::Role::kSidecar});
  for (int n = 0; n < 6; ++n) {
    rig.Offer(64);
  }
  rig.Run(std::chrono::seconds(1));
  cr_assert_eq(rig.usage().starts, 6U);
}
