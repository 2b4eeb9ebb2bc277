#ifndef FILBERTWICK_WIRE_ARCHIVE_H_
#define FILBERTWICK_WIRE_ARCHIVE_H_

#include <absl/status/statusor.h>

#include <array>
#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <concepts>
#include <cstdint>
#include <cstring>
#include <exception>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace filbertwick::wire {

/// A cereal archive that writes integers as LEB128 varints (signed ones in
/// zigzag form), independent of the byte order of the host; values below 128
/// take one byte. Floating-point values are written in host format.
class OutputArchive
    : public cereal::OutputArchive<OutputArchive,
                                   cereal::AllowEmptyClassElision> {
 public:
  /// Whether the archive keeps what is written to it, or only counts it.
  enum class Mode { kWrite, kCount };

  explicit OutputArchive(Mode mode = Mode::kWrite)
      : cereal::OutputArchive<OutputArchive, 1>(this), mode_(mode) {}

  /// Appends raw bytes.
  void SaveBytes(const void* data, size_t n) {
    size_ += n;
    if (mode_ == Mode::kWrite) {
      bytes_.append(static_cast<const char*>(data), n);
    }
  }

  /// Appends an unsigned varint.
  void SaveVarint(uint64_t value) {
    std::array<char, kMaxVarintBytes> varint;
    size_t n = 0;
    while (value >= 0x80) {
      varint[n++] = static_cast<char>(value | 0x80);
      value >>= 7;
    }
    varint[n++] = static_cast<char>(value);
    SaveBytes(varint.data(), n);
  }

  /// Bytes written so far; empty if they are only counted.
  std::string& bytes() { return bytes_; }
  /// Number of bytes written or counted so far.
  size_t size() const { return size_; }

 private:
  static constexpr size_t kMaxVarintBytes = 10;

  const Mode mode_;
  size_t size_ = 0;
  std::string bytes_;
};

/// Reads the format of OutputArchive and throws cereal::Exception on malformed
/// input. An element count that exceeds the remaining bytes is rejected before
/// any memory is allocated for the elements.
class InputArchive
    : public cereal::InputArchive<InputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  /// Reads from `bytes`, which must outlive the archive.
  explicit InputArchive(std::string_view bytes)
      : cereal::InputArchive<InputArchive, 1>(this), rest_(bytes) {}

  /// Reads `n` raw bytes; throws cereal::Exception when fewer remain.
  void LoadBytes(void* data, size_t n) {
    if (n > rest_.size()) {
      throw cereal::Exception("the data ends early");
    }
    std::memcpy(data, rest_.data(), n);
    rest_.remove_prefix(n);
  }

  /// Reads an unsigned varint; throws when it is truncated or too long.
  uint64_t LoadVarint() {
    uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      unsigned char byte = 0;
      LoadBytes(&byte, 1);
      value |= static_cast<uint64_t>(byte & 0x7f) << shift;
      if (byte < 0x80) {
        return value;
      }
    }
    throw cereal::Exception("an integer is too long");
  }

  /// Bytes not read yet.
  size_t remaining() const { return rest_.size(); }

 private:
  std::string_view rest_;
};

/// Writes a boolean or unsigned integer as a varint, a signed integer as a
/// zigzag varint, and a floating-point value as its raw bytes.
template <typename Value>
  requires std::is_arithmetic_v<Value>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive, const Value& value) {
  if constexpr (std::is_floating_point_v<Value>) {
    archive.SaveBytes(&value, sizeof(value));
  } else if constexpr (std::is_signed_v<Value>) {
    const auto wide = static_cast<int64_t>(value);
    archive.SaveVarint((static_cast<uint64_t>(wide) << 1) ^
                       static_cast<uint64_t>(wide >> 63));
  } else {
    archive.SaveVarint(static_cast<uint64_t>(value));
  }
}

/// Reads an arithmetic value; throws when it is out of range for `Value`.
template <typename Value>
  requires std::is_arithmetic_v<Value>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, Value& value) {
  if constexpr (std::is_floating_point_v<Value>) {
    archive.LoadBytes(&value, sizeof(value));
  } else {
    const uint64_t raw = archive.LoadVarint();
    if constexpr (std::is_signed_v<Value>) {
      const auto wide =
          static_cast<int64_t>(raw >> 1) ^ -static_cast<int64_t>(raw & 1);
      value = static_cast<Value>(wide);
      if (static_cast<int64_t>(value) != wide) {
        throw cereal::Exception("an integer is out of range");
      }
    } else {
      value = static_cast<Value>(raw);
      if (static_cast<uint64_t>(value) != raw) {
        throw cereal::Exception("an integer is out of range");
      }
    }
  }
}

/// Writes the element count of a container.
template <typename Size>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive,
                               const cereal::SizeTag<Size>& tag) {
  archive.SaveVarint(static_cast<uint64_t>(tag.size));
}

/// Reads the element count of a container; throws when it exceeds the number of
/// remaining bytes, since every element takes at least one byte.
template <typename Size>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive,
                               cereal::SizeTag<Size>& tag) {
  const uint64_t n = archive.LoadVarint();
  if (n > archive.remaining()) {
    throw cereal::Exception("a size is larger than the data");
  }
  tag.size = static_cast<std::decay_t<Size>>(n);
}

/// Writes a block of raw bytes.
template <typename Data>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive,
                               const cereal::BinaryData<Data>& data) {
  archive.SaveBytes(data.data, static_cast<size_t>(data.size));
}

/// Reads a block of raw bytes.
template <typename Data>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive,
                               cereal::BinaryData<Data>& data) {
  archive.LoadBytes(data.data, static_cast<size_t>(data.size));
}

/// Writes the value of a name-value pair; names aren't part of the format.
template <typename Value>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive,
                               const cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

/// Reads the value of a name-value pair; names aren't part of the format.
template <typename Value>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive,
                               cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

/// Encodes any value with a serialize() member.
template <typename Value>
std::string EncodeValue(const Value& value) {
  OutputArchive archive;
  archive(value);
  return std::move(archive.bytes());
}

/// Returns the number of bytes that EncodeValue() would return.
template <typename Value>
size_t EncodedSize(const Value& value) {
  OutputArchive archive(OutputArchive::Mode::kCount);
  archive(value);
  return archive.size();
}

/// Decodes a value; InvalidArgument for malformed input or trailing bytes.
template <typename Value>
absl::StatusOr<Value> DecodeValue(std::string_view bytes) {
  InputArchive archive(bytes);
  Value value;
  try {
    archive(value);
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  if (archive.remaining() != 0) {
    return absl::InvalidArgumentError("bytes are left over");
  }
  return value;
}

}  // namespace filbertwick::wire

CEREAL_REGISTER_ARCHIVE(filbertwick::wire::OutputArchive)
CEREAL_REGISTER_ARCHIVE(filbertwick::wire::InputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(filbertwick::wire::InputArchive,
                            filbertwick::wire::OutputArchive)

#endif  // FILBERTWICK_WIRE_ARCHIVE_H_
