#include "bench/policy/entry_policy.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <ranges>
#include <utility>

namespace filbertwick::bench {
namespace {

using core::policy::Dispatcher;
using core::policy::PolicySettings;

constexpr std::string_view kService = "capsule";

Duration Distance(const Deployment& deployment, uint32_t a, uint32_t b) {
  return a == b ? deployment.same_zone : deployment.between_zones;
}

ZoneName NameOfZone(uint32_t zone) {
  return ZoneName(fmt::format("z{}", zone));
}

bundle::Bundle MakeBundle(const Deployment& deployment) {
  bundle::Bundle bundle;
  bundle.version = 1;
  bundle::Service& service = bundle.services.emplace_back();
  service.name = ServiceName(kService);
  service.slots = deployment.slots;
  service.queue = deployment.queue;
  for (uint32_t zone = 0; zone < deployment.zones; ++zone) {
    bundle.zones.push_back({NameOfZone(zone), RegionName("r")});
    service.zones.push_back(NameOfZone(zone));
  }
  // The quota admits several jobs of the maximum size at each entry.
  const auto quota = static_cast<uint32_t>(
      std::max<uint64_t>(6000, deployment.total_slots() * 4));
  for (uint32_t team = 0; team < deployment.teams; ++team) {
    bundle.teams.push_back(
        {TeamName(fmt::format("t{}", team)), RegionName("r"), 1, quota});
  }
  return bundle;
}

/// Adapts Dispatcher to EntryPolicy.
class DispatcherPolicy : public EntryPolicy {
 public:
  DispatcherPolicy(const PolicySettings& settings,
                   const Deployment& deployment,
                   uint32_t entry,
                   uint64_t seed)
      : dispatcher_(Dispatcher::Create(settings, seed * 1000 + entry)) {
    dispatcher_->SetBundle(MakeBundle(deployment));
    const uint32_t own_zone = entry % deployment.zones;
    for (uint32_t i = 0; i < deployment.executors; ++i) {
      const uint32_t zone = ZoneOf(deployment, i);
      names_.emplace_back(fmt::format("u{}", i));
      numbers_[names_.back()] = i;
      dispatcher_->UpsertUpstream(
          {.name = names_.back(),
           .service = ServiceName(kService),
           .zone = NameOfZone(zone),
           .distance = Distance(deployment, zone, own_zone)},
          Instant());
    }
  }

  core::policy::Admission Admit(const JobArrival& job, Instant now) override {
    return dispatcher_->Admit(Shape(job), now);
  }
  void AddJob(JobHandle handle, const JobArrival& job, Instant now) override {
    dispatcher_->AddJob(handle, Shape(job), now);
    for (uint32_t i = 0; i < job.run_times.size(); ++i) {
      dispatcher_->AddTask({handle, i}, now);
    }
  }
  void AddTask(const TaskRef& task, Instant now) override {
    dispatcher_->AddTask(task, now);
  }
  void RemoveTask(const TaskRef& task) override {
    dispatcher_->RemoveTask(task);
  }
  void RemoveJob(JobHandle handle) override { dispatcher_->RemoveJob(handle); }
  std::optional<Assignment> NextPlacement(Instant now) override {
    const auto placement = dispatcher_->NextPlacement(now);
    if (!placement) {
      return std::nullopt;
    }
    return Assignment{placement->task, numbers_.at(placement->upstream)};
  }
  Instant NextWakeup(Instant now) override {
    return dispatcher_->NextWakeup(now);
  }
  void OnStarted(const TaskRef& task, Instant now) override {
    dispatcher_->OnStarted(task, now);
  }
  void OnEnded(const TaskRef& task,
               uint32_t /*upstream*/,
               PlacementOutcome end,
               Duration run_time,
               Instant now) override {
    dispatcher_->OnEnded(task, end, run_time, now);
  }
  void UpdateLoad(uint32_t upstream,
                  const wire::Load& load,
                  Instant now) override {
    dispatcher_->UpdateLoad(names_[upstream], load, now);
  }
  void SetZoneOut(uint32_t zone, bool out, Instant now) override {
    dispatcher_->SetZoneOut(NameOfZone(zone), out, now);
  }
  std::vector<TaskRef> TakeWithdrawals(Instant now) override {
    return dispatcher_->TakeWithdrawals(now);
  }
  uint64_t TakeEjections() override {
    const auto changes = dispatcher_->TakeEjections();
    return std::ranges::count_if(changes,
                                 &core::policy::EjectionChange::ejected);
  }
  bool IsEjected(uint32_t upstream) const override {
    return dispatcher_->IsEjected(names_[upstream]);
  }
  void SetEntrySharing(uint32_t entries, uint32_t number) override {
    dispatcher_->SetEntrySharing(entries, number);
  }

 private:
  static core::policy::JobShape Shape(const JobArrival& job) {
    return {.service = ServiceName(kService),
            .team = TeamName(fmt::format("t{}", job.team)),
            .tasks = static_cast<uint32_t>(job.run_times.size()),
            .deadline = job.deadline};
  }

  std::unique_ptr<Dispatcher> dispatcher_;
  std::vector<InstanceName> names_;
  std::map<InstanceName, uint32_t> numbers_;
};

/// Models a conventional proxy, which forwards each task at once in order of
/// arrival.
class ProxyPolicy : public EntryPolicy {
 public:
  enum class Choice : uint8_t {
    kRandom,
    kRoundRobin,
    kPowerOfTwo,
    kLeastOutstanding
  };

  ProxyPolicy(Choice choice,
              const Deployment& deployment,
              uint32_t entry,
              uint64_t seed)
      : choice_(choice),
        deployment_(deployment),
        random_(seed * 1000 + entry),
        outstanding_(deployment.executors),
        zone_out_(deployment.zones) {
    UpdateOpenExecutors();
    turn_ = random_() % deployment.executors;
  }

  bool ignores_queue_limit() const override { return true; }
  void AddJob(JobHandle handle, const JobArrival& job, Instant now) override {
    for (uint32_t i = 0; i < job.run_times.size(); ++i) {
      AddTask({handle, i}, now);
    }
  }
  void AddTask(const TaskRef& task, Instant /*now*/) override {
    waiting_.push_back(task);
  }
  void RemoveTask(const TaskRef& task) override { std::erase(waiting_, task); }
  void RemoveJob(JobHandle handle) override {
    std::erase_if(waiting_,
                  [&](const TaskRef& task) { return task.job == handle; });
  }
  std::optional<Assignment> NextPlacement(Instant /*now*/) override {
    if (waiting_.empty()) {
      return std::nullopt;
    }
    const TaskRef task = waiting_.front();
    waiting_.pop_front();
    const uint32_t upstream = ChooseExecutor();
    ++outstanding_[upstream];
    return Assignment{task, upstream};
  }
  void OnEnded(const TaskRef& /*task*/,
               uint32_t upstream,
               PlacementOutcome /*end*/,
               Duration /*run_time*/,
               Instant /*now*/) override {
    --outstanding_[upstream];
  }
  void SetZoneOut(uint32_t zone, bool out, Instant /*now*/) override {
    zone_out_[zone] = out;
    UpdateOpenExecutors();
  }

 private:
  void UpdateOpenExecutors() {
    open_.clear();
    for (uint32_t i = 0; i < deployment_.executors; ++i) {
      if (!zone_out_[ZoneOf(deployment_, i)]) {
        open_.push_back(i);
      }
    }
  }

  uint32_t RandomOpenExecutor() { return open_[random_() % open_.size()]; }

  uint32_t ChooseExecutor() {
    switch (choice_) {
      case Choice::kRandom:
        return RandomOpenExecutor();
      case Choice::kRoundRobin:
        return open_[turn_++ % open_.size()];
      case Choice::kPowerOfTwo: {
        const uint32_t a = RandomOpenExecutor();
        const uint32_t b = RandomOpenExecutor();
        return outstanding_[a] <= outstanding_[b] ? a : b;
      }
      case Choice::kLeastOutstanding:
        break;
    }
    // The random rotation breaks ties between equally loaded executors.
    std::ranges::rotate(open_, open_.begin() + static_cast<ptrdiff_t>(
                                                   random_() % open_.size()));
    return *std::ranges::min_element(
        open_, {}, [&](uint32_t i) { return outstanding_[i]; });
  }

  Choice choice_;
  Deployment deployment_;
  std::mt19937_64 random_;
  std::vector<uint32_t> outstanding_;
  std::vector<bool> zone_out_;
  std::vector<uint32_t> open_;
  std::deque<TaskRef> waiting_;
  uint64_t turn_ = 0;
};

struct ProxyVariant {
  std::string_view name;
  ProxyPolicy::Choice choice;
};

constexpr std::array<ProxyVariant, 4> kProxies = {{
    {"random", ProxyPolicy::Choice::kRandom},
    {"round-robin", ProxyPolicy::Choice::kRoundRobin},
    {"power-of-two", ProxyPolicy::Choice::kPowerOfTwo},
    {"least-outstanding", ProxyPolicy::Choice::kLeastOutstanding},
}};

/// The dispatcher's policy as a whole or with one mechanism changed.
struct DispatcherVariant {
  std::string_view name;
  void (*change)(PolicySettings& settings);
};

const std::vector<DispatcherVariant>& DispatcherVariants() {
  static const std::vector<DispatcherVariant> variants = {
      {"ours", [](PolicySettings&) {}},
      {"ours-fifo",
       [](PolicySettings& it) { it.queue.least_work_first = false; }},
      {"ours-no-classes",
       [](PolicySettings& it) { it.queue.urgent_first = false; }},
      {"ours-no-fairness",
       [](PolicySettings& it) { it.queue.fair_teams = false; }},
      {"ours-no-ageing", [](PolicySettings& it) { it.queue.aging_rate = 0; }},
      {"ours-no-run-time",
       [](PolicySettings& it) { it.placement.use_upstream_run_time = false; }},
      {"ours-no-own-zone",
       [](PolicySettings& it) { it.placement.prefer_own_zone = false; }},
      {"ours-queue-all",
       [](PolicySettings& it) {
         it.placement.sidecar_queueing = core::policy::SidecarQueueing::kAll;
       }},
      {"ours-queue-none",
       [](PolicySettings& it) {
         it.placement.sidecar_queueing = core::policy::SidecarQueueing::kNone;
       }},
      {"ours-no-reserve",
       [](PolicySettings& it) { it.sharing.reserved_share = 0; }},
      {"ours-no-ejection",
       [](PolicySettings& it) { it.ejection.enabled = false; }},
      {"ours-no-deadline",
       [](PolicySettings& it) { it.admission.enforce_deadline = false; }},
      {"ours-no-withdrawal",
       [](PolicySettings& it) { it.withdrawal.enabled = false; }},
      {"ours-no-slow-start", [](PolicySettings& it) { it.slow_start = false; }},
      {"ours-no-unseen",
       [](PolicySettings& it) { it.placement.stale_slot_probability = 0; }},
  };
  return variants;
}

}  // namespace

std::vector<std::string> PolicyNames() {
  std::vector<std::string> names;
  const auto add = [&](const auto& it) { names.emplace_back(it.name); };
  std::ranges::for_each(kProxies, add);
  std::ranges::for_each(DispatcherVariants(), add);
  return names;
}

std::unique_ptr<EntryPolicy> MakeEntryPolicy(std::string_view name,
                                             const Deployment& deployment,
                                             uint32_t entry,
                                             uint64_t seed) {
  const auto proxy = std::ranges::find(kProxies, name, &ProxyVariant::name);
  if (proxy != kProxies.end()) {
    return std::make_unique<ProxyPolicy>(proxy->choice, deployment, entry,
                                         seed);
  }
  const auto own =
      std::ranges::find(DispatcherVariants(), name, &DispatcherVariant::name);
  if (own == DispatcherVariants().end()) {
    return nullptr;
  }
  PolicySettings settings;
  settings.own_zone = NameOfZone(entry % deployment.zones);
  settings.sharing_entries = deployment.entries;
  settings.entry_index = entry;
  own->change(settings);
  return std::make_unique<DispatcherPolicy>(settings, deployment, entry, seed);
}

}  // namespace filbertwick::bench
