#include "filbertwick/core/policy/upstream_speed.h"

#include <algorithm>

namespace filbertwick::core::policy {
namespace {

/// Quotient of the medians of a kind and of the service, either way, from which
/// the kind is of another speed. Medians of equal kinds differ by less, since
/// each ratio averages over about ten runs.
constexpr double kKindDifference = 1.25;
/// Measured upstreams from which the median of a kind is not that of one slow
/// upstream.
constexpr size_t kMinMeasured = 3;

}  // namespace

void MedianSet::Insert(double value) {
  values_.insert(std::ranges::lower_bound(values_, value), value);
}

void MedianSet::Erase(double value) {
  values_.erase(std::ranges::lower_bound(values_, value));
}

std::optional<double> MedianSet::Median() const {
  return values_.empty() ? std::nullopt
                         : std::optional(values_[values_.size() / 2]);
}

void UpstreamSpeed::Set(uint32_t upstream,
                        std::string_view kind,
                        double ratio,
                        bool is_measured) {
  const auto it = members_.find(upstream);
  if (it != members_.end() && it->second.kind == kind &&
      it->second.ratio == ratio && it->second.is_measured == is_measured) {
    return;
  }
  Remove(upstream);
  members_.emplace(upstream, Member{std::string(kind), ratio, is_measured});
  all_.Insert(ratio);
  if (is_measured) {
    kinds_[std::string(kind)].Insert(ratio);
  }
}

void UpstreamSpeed::Remove(uint32_t upstream) {
  const auto it = members_.find(upstream);
  if (it == members_.end()) {
    return;
  }
  const Member& member = it->second;
  all_.Erase(member.ratio);
  if (member.is_measured) {
    kinds_.find(member.kind)->second.Erase(member.ratio);
  }
  members_.erase(it);
}

void UpstreamSpeed::Clear() {
  members_.clear();
  all_ = MedianSet();
  kinds_.clear();
}

std::optional<double> UpstreamSpeed::MedianOfOtherSpeed(
    std::string_view kind) const {
  const auto it = kinds_.find(kind);
  const std::optional<double> all = all_.Median();
  if (it == kinds_.end() || it->second.size() < kMinMeasured || !all) {
    return std::nullopt;
  }
  const double median = *it->second.Median();
  const bool differs =
      median > *all * kKindDifference || median * kKindDifference < *all;
  return differs ? std::optional(median) : std::nullopt;
}

double UpstreamSpeed::SlowRatio() const {
  return kSlowRunTimeFactor * std::max(1.0, all_.Median().value_or(1));
}

double UpstreamSpeed::SlowRatioOf(std::string_view kind) const {
  const std::optional<double> other = MedianOfOtherSpeed(kind);
  return other ? kSlowRunTimeFactor * std::max(1.0, *other) : SlowRatio();
}

std::vector<double> UpstreamSpeed::SlowRatios() const {
  std::vector<double> ratios = {SlowRatio()};
  for (const auto& [kind, values] : kinds_) {
    ratios.push_back(SlowRatioOf(kind));
  }
  return ratios;
}

double UpstreamSpeed::ExpectedRatioOf(std::string_view kind) const {
  return MedianOfOtherSpeed(kind).value_or(1);
}

}  // namespace filbertwick::core::policy
