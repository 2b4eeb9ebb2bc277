#ifndef FILBERTWICK_BASE_NAME_H_
#define FILBERTWICK_BASE_NAME_H_

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace filbertwick {

/// A strongly typed name: names with different tags are different types and do
/// not convert to one another.
template <typename Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string value) : value_(std::move(value)) {}
  explicit Name(std::string_view value) : value_(value) {}
  explicit Name(const char* value) : value_(value) {}

  /// The text of the name.
  const std::string& value() const { return value_; }
  /// True when no name is set.
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const Name&, const Name&) = default;
  friend bool operator==(const Name&, const Name&) = default;

  /// Reads or writes the name through a cereal archive.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(value_);
  }

 private:
  std::string value_;
};

/// Name of an entry or sidecar, from its settings.
using InstanceName = Name<struct InstanceTag>;
/// Name of a service in the bundle.
using ServiceName = Name<struct ServiceTag>;
/// Name of a team in the bundle.
using TeamName = Name<struct TeamTag>;
/// Name of an availability zone in the bundle.
using ZoneName = Name<struct ZoneTag>;
/// Name of a region in the bundle.
using RegionName = Name<struct RegionTag>;
/// The id that a caller gives a job, at most kMaxJobIdBytes bytes.
using JobId = Name<struct JobTag>;
/// Identifies one change to the control stream; the same in all retries.
using ChangeId = Name<struct ChangeTag>;
/// The author of a change: an operator or an instance.
using AuthorName = Name<struct AuthorTag>;

/// Longest job id, in bytes.
inline constexpr size_t kMaxJobIdBytes = 128;

}  // namespace filbertwick

template <typename Tag>
struct std::hash<filbertwick::Name<Tag>> {
  size_t operator()(const filbertwick::Name<Tag>& name) const {
    return std::hash<std::string>()(name.value());
  }
};

#endif  // FILBERTWICK_BASE_NAME_H_
