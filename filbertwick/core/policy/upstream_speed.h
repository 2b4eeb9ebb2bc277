#ifndef FILBERTWICK_CORE_POLICY_UPSTREAM_SPEED_H_
#define FILBERTWICK_CORE_POLICY_UPSTREAM_SPEED_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertwick::core::policy {

/// An upstream is slow when its run time ratio exceeds this multiple of the
/// median of its kind, or of 1 if that is higher. Where all estimates are too
/// low, no upstream is slow.
inline constexpr double kSlowRunTimeFactor = 1.5;

/// Values with their median, in a multiset ordered by value.
class MedianSet {
 public:
  void Insert(double value);
  /// Removes one value equal to `value`, which must be present.
  void Erase(double value);
  size_t size() const { return values_.size(); }
  /// Returns the upper median, or nothing when empty.
  std::optional<double> Median() const;

 private:
  /// Ascending.
  std::vector<double> values_;
};

/// Speeds of the upstreams of one service by machine kind, as ratios of actual
/// to estimated run times. Addresses services whose upstreams are of kinds with
/// unequal speed: against the median of all upstreams, a whole kind counts as
/// slow, and is given one task at a time although it works as well as it can.
///
/// A kind is judged by itself only when its median is known to differ. Where no
/// kind differs, every upstream is judged against the median of the service.
class UpstreamSpeed {
 public:
  /// Adds an upstream or changes its ratio. `is_measured` tells that a run
  /// there has ended; until then the ratio says nothing about its kind.
  void Set(uint32_t upstream,
           std::string_view kind,
           double ratio,
           bool is_measured);
  /// Removes an upstream; no effect when it is unknown.
  void Remove(uint32_t upstream);
  void Clear();

  /// Returns the run time ratio above which an upstream of the service is slow.
  double SlowRatio() const;
  /// The same for an upstream of a kind.
  double SlowRatioOf(std::string_view kind) const;
  /// Returns the ratio to expect of an upstream of the kind whose own speed is
  /// unknown; 1 unless the kind is of another speed than the service.
  double ExpectedRatioOf(std::string_view kind) const;
  /// Returns the median of the measured ratios of a kind whose speed is another
  /// than that of the service; nothing for other kinds.
  std::optional<double> MedianOfOtherSpeed(std::string_view kind) const;
  /// Returns SlowRatio() and SlowRatioOf() of every kind.
  std::vector<double> SlowRatios() const;

 private:
  struct Member {
    std::string kind;
    double ratio = 1;
    bool is_measured = false;
  };

  std::map<uint32_t, Member> members_;
  MedianSet all_;
  /// Measured ratios by kind.
  std::map<std::string, MedianSet, std::less<>> kinds_;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_UPSTREAM_SPEED_H_
