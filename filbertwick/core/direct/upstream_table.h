#ifndef FILBERTWICK_CORE_DIRECT_UPSTREAM_TABLE_H_
#define FILBERTWICK_CORE_DIRECT_UPSTREAM_TABLE_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/sidecar_view.h"
#include "filbertwick/core/policy/upstream_index.h"
#include "filbertwick/core/policy/upstream_speed.h"

namespace filbertwick::core::direct {

/// An entry's upstreams as placement sees them: keeps one policy::UpstreamIndex
/// for each service up to date with the sidecar views. Only views that were
/// touched, or whose state changes with time, are evaluated again.
class UpstreamTable {
 public:
  /// The upstreams of one service.
  struct Service {
    policy::UpstreamIndex index;
    policy::UpstreamSpeed speed;
    /// UpstreamSpeed::SlowRatios() that the index was evaluated with.
    std::vector<double> slow_ratios = {kSlowRunTimeFactor};
    /// Upstreams that count as slow at the lowest slow ratio.
    std::set<policy::UpstreamHandle> slow;
    /// The containment zone; empty until it is used.
    std::set<policy::UpstreamHandle> zone;
    /// Value of `profile_changes_` for which `zone` was selected.
    uint64_t zone_selected_at = 0;
  };

  struct Hooks {
    /// Returns true when tasks may be placed on the upstream of a sidecar. For
    /// a sidecar that leaves messages unanswered, it is called at every
    /// Refresh() once `reply_timeout` has passed.
    std::function<bool(Instant, const SidecarView&)> is_usable;
    Duration reply_timeout{0};
  };

  explicit UpstreamTable(Hooks hooks) : hooks_(std::move(hooks)) {}

  /// Assigns handles in the order of names. Call it after sidecars were added;
  /// `sidecars` must not lose elements.
  void Rebuild(std::map<InstanceName, SidecarView>& sidecars);
  /// Returns the views whose `send_due` is set, in the order of names. The
  /// caller must reset the flag of each.
  std::vector<SidecarView*> TakeDueToSend();
  /// Must be called for each view that changes: after the change, or before it
  /// when there is no Refresh() in between.
  void Touch(const SidecarView& view);
  /// The same for all views.
  void TouchAll();
  /// Must be called when SidecarView::upstream of a view has changed.
  void OnProfileChanged() { ++profile_changes_; }
  /// Brings the indices up to date.
  void Refresh(Instant now);

  /// Returns the upstreams of a service, or null when none was heard yet.
  Service* Find(std::string_view service);
  size_t CountServices() const { return services_.size(); }
  /// Returns the run time ratio above which the upstream of a sidecar is slow.
  double SlowRatioOf(const SidecarView& view) const;
  SidecarView& view(policy::UpstreamHandle upstream) {
    return *views_[upstream];
  }
  /// Marks the containment zone in the index of a service.
  void MarkContainmentZone(Instant now, std::string_view name, Service& it);
  /// Returns true when an upstream of any service that is not reserved in the
  /// present pass has free CPU.
  bool HasUnreservedCpu();
  /// Ends all reservations.
  void BeginPass();

  /// See policy::UpstreamIndex::gains(); over all services.
  uint64_t gains() const;
  /// Upstreams and blocks examined in placement and in Refresh().
  uint64_t examined() const;

 private:
  struct Place {
    /// The service in whose index the upstream is; null when it is in none.
    Service* service = nullptr;
    bool is_touched = false;
    Instant due = Instant::max();
  };

  void Evaluate(Instant now, policy::UpstreamHandle upstream);
  void RemoveFromService(policy::UpstreamHandle upstream);
  void SetTimer(policy::UpstreamHandle upstream, Instant due);
  void UpdateSlowRatios(Instant now, Service& service);
  /// When the state of a usable view may change next without a message.
  Instant NextTimedChange(Instant now,
                          const SidecarView& view,
                          double slow_ratio) const;

  const Hooks hooks_;
  std::map<std::string, Service, std::less<>> services_;
  /// By handle.
  std::vector<SidecarView*> views_;
  std::vector<Place> places_;
  std::vector<policy::UpstreamHandle> touched_;
  /// Views whose `send_due` was set since the last TakeDueToSend().
  std::vector<policy::UpstreamHandle> due_to_send_;
  std::set<std::pair<Instant, policy::UpstreamHandle>> timers_;
  uint64_t profile_changes_ = 1;
  uint64_t evaluated_ = 0;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_UPSTREAM_TABLE_H_
