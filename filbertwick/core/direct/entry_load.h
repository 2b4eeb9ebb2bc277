#ifndef FILBERTWICK_CORE_DIRECT_ENTRY_LOAD_H_
#define FILBERTWICK_CORE_DIRECT_ENTRY_LOAD_H_

#include <cstdint>
#include <span>

#include "filbertwick/wire/archive.h"

namespace filbertwick::core::direct {

/// What the machine of an entry has. 0 means unknown.
struct EntryMeans {
  /// Thousandths of a processor core.
  uint32_t processor_millis = 0;
  /// Bandwidth of the network link in each direction, in kilobytes per second.
  uint32_t link_kbytes_per_second = 0;

  friend bool operator==(const EntryMeans&, const EntryMeans&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(processor_millis, link_kbytes_per_second);
  }
};

/// The load that an entry reports to others. Takes at most 16 bytes in a
/// message.
struct EntryLoad {
  EntryMeans means;
  /// 0 when idle, 100 when saturated.
  uint8_t pressure_percent = 0;
  /// Jobs that wait for capacity, up to the largest value of the type.
  uint16_t waiting_jobs = 0;
  /// The entry takes over jobs.
  bool accepts = false;

  friend bool operator==(const EntryLoad&, const EntryLoad&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(means, pressure_percent, waiting_jobs, accepts);
  }
};

/// Returns true when one entry has at least twice as much of something as
/// another; load is then shared between entries.
bool AreMeansUneven(std::span<const EntryMeans> all);

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_ENTRY_LOAD_H_
