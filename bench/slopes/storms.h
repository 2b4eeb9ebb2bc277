#ifndef BENCH_SLOPES_STORMS_H_
#define BENCH_SLOPES_STORMS_H_

namespace filbertwick::bench {

/// Prints the records that restarts of many instances append.
void MeasureStorms();

/// Prints the checkpoints written while many instances restart at once.
void MeasureCheckpoints();

}  // namespace filbertwick::bench

#endif  // BENCH_SLOPES_STORMS_H_
