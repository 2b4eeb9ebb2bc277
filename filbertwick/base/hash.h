#ifndef FILBERTWICK_BASE_HASH_H_
#define FILBERTWICK_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace filbertwick {

/// 64-bit XXH3 of `data`; the same on every machine.
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

/// Combines values into one 64-bit digest that depends on their order; used for
/// state hashes.
class Hasher {
 public:
  /// Adds a block of bytes, including its length.
  void Add(std::string_view data);
  /// Adds an integer.
  void Add(uint64_t value);
  /// The digest of all values added so far.
  uint64_t digest() const { return digest_; }

 private:
  uint64_t digest_ = 0;
};

/// 128-bit digest of a job's body. It distinguishes a resubmission of a job
/// from a different job under the same id.
struct BodyDigest {
  uint64_t high = 0;
  uint64_t low = 0;

  friend bool operator==(const BodyDigest&, const BodyDigest&) = default;

  /// Reads or writes the digest through a cereal archive.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(high, low);
  }
};

}  // namespace filbertwick

#endif  // FILBERTWICK_BASE_HASH_H_
