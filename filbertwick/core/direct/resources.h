#ifndef FILBERTWICK_CORE_DIRECT_RESOURCES_H_
#define FILBERTWICK_CORE_DIRECT_RESOURCES_H_

#include <cstdint>

namespace filbertwick::core::direct {

/// An amount of what an upstream has and a task takes.
struct Resources {
  /// Thousandths of a core.
  int64_t cpu_millis = 0;
  /// Mebibytes.
  int64_t memory_mb = 0;
  /// Whole accelerators.
  int64_t gpus = 0;

  friend bool operator==(const Resources&, const Resources&) = default;

  Resources& operator+=(const Resources& other) {
    cpu_millis += other.cpu_millis;
    memory_mb += other.memory_mb;
    gpus += other.gpus;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpu_millis -= other.cpu_millis;
    memory_mb -= other.memory_mb;
    gpus -= other.gpus;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }

  /// True when `needs` fits in every dimension.
  bool Covers(const Resources& needs) const {
    return cpu_millis >= needs.cpu_millis && memory_mb >= needs.memory_mb &&
           gpus >= needs.gpus;
  }

  /// Reads or writes the room through a cereal archive.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(cpu_millis, memory_mb, gpus);
  }
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_RESOURCES_H_
