#ifndef BENCH_SLOPES_STORMS_H_
#define BENCH_SLOPES_STORMS_H_

namespace filbertwick::bench {

/// Prints the number of control records that simultaneous restarts of many
/// instances append.
void MeasureStorms();

/// Prints the number of checkpoints, accepted and refused, that are written
/// while many instances restart at once, for several checkpoint thresholds. The
/// restarts are repeated so that the records they append reach a threshold.
void MeasureCheckpoints();

}  // namespace filbertwick::bench

#endif  // BENCH_SLOPES_STORMS_H_
