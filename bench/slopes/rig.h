#ifndef BENCH_SLOPES_RIG_H_
#define BENCH_SLOPES_RIG_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "filbertwick/core/core.h"
#include "filbertwick/core/state/control_state.h"
#include "filbertwick/harness/event_loop.h"
#include "filbertwick/net/frame.h"
#include "filbertwick/wire/control_record.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::bench {

/// Size of the system around the measured instance.
struct RigSettings {
  wire::Role role = wire::Role::kEntry;
  /// Instances in the region of the measured instance, including itself.
  uint32_t entries = 3;
  uint32_t sidecars = 11;
  /// Instances of a second region: they have joined in the control stream but
  /// never send a message.
  uint32_t other_entries = 0;
  uint32_t other_sidecars = 0;
  uint32_t zones = 4;
  uint32_t teams = 1;
  /// Slots of each upstream.
  uint32_t slots = 8;
  Duration task_time = std::chrono::milliseconds(100);
};

/// Message counts, byte counts and processor time of the measured instance.
struct Usage {
  static constexpr size_t kKinds = std::variant_size_v<wire::Message>;
  struct Traffic {
    uint64_t messages = 0;
    uint64_t bytes = 0;
  };
  std::array<Traffic, kKinds> sent{};
  std::array<Traffic, kKinds> received{};
  uint64_t events = 0;
  uint64_t appends = 0;
  uint64_t append_bytes = 0;
  uint64_t starts = 0;
  uint64_t jobs_complete = 0;
  uint64_t jobs_other = 0;
  /// Processor time of this thread in nanoseconds: in the core, and in
  /// encoding, decoding, sealing and opening frames.
  double core_ns = 0;
  double codec_ns = 0;
};

/// Returns the bundle text for the zones and teams of `settings`.
std::string MakeBundleText(const RigSettings& settings, uint64_t version);

/// Returns the processor time of this thread in nanoseconds.
double ThreadNanoseconds();

/// Runs one real core in virtual time, with stubs for its peers, the log and
/// the upstream. After one round trip a peer replies to a Probe, sends the
/// requested Records, acknowledges the ended tasks in TaskUpdates, and reports
/// each task in Offers as started, whatever its load. Other messages get no
/// reply. A task succeeds after `task_time`, and the log accepts every append.
class Rig {
 public:
  /// Creates an instance that has read the control stream and has received
  /// messages from all peers.
  explicit Rig(const RigSettings& settings);
  ~Rig();

  /// Advances virtual time by `span`.
  void Run(Duration span);
  /// Submits a job of `tasks` tasks; the measured instance must be an entry.
  void Submit(uint32_t tasks, size_t payload_bytes);
  /// Offers one task from an entry; the measured instance must be a sidecar.
  void Offer(size_t payload_bytes);
  /// Appends a record to the log. A measured entry reads it at once; a measured
  /// sidecar requests it from an entry.
  void Publish(wire::ControlBody body);
  /// Delivers the request of a sidecar for all records from `offset` on; the
  /// measured instance must be an entry.
  void RequestRecords(uint32_t sidecar, wire::LogOffset offset);
  /// Resets all counters to zero.
  void ResetUsage() { usage_ = {}; }

  const Usage& usage() const { return usage_; }
  /// Returns the control state in its checkpoint encoding.
  std::string EncodeControl() const;
  /// Returns the epoch of a shard of the region, which names its owner, as of
  /// the initial records of the control stream.
  const wire::Epoch& EpochOf(wire::ShardId shard) const;
  /// The records of the control stream.
  const std::vector<wire::ControlRecord>& records() const { return log_; }
  /// Another sidecar of the region.
  const wire::InstanceInfo& sidecar(uint32_t n) const {
    return sidecars_.at(n)->info;
  }
  /// Version of the newest bundle.
  uint64_t bundle_version() const { return bundle_version_; }

 private:
  struct Stub {
    wire::InstanceInfo info;
    uint32_t running = 0;
  };

  void MakeInstances();
  void MakeLog();
  wire::ControlRecord MakeRecord(wire::ControlBody body);
  core::Now CurrentTime() const;
  void Deliver(core::Event event);
  void Receive(const Stub& from, const wire::Message& message);
  std::string Seal(const wire::InstanceInfo& from,
                   const wire::InstanceInfo& to,
                   const wire::Message& message) const;
  void ProbeRound();
  void PollLog();
  void Append(const wire::ControlRecord& record);

  void Apply(core::SendEffect& effect);
  void Apply(core::AppendEffect& effect);
  void Apply(core::AnswerEffect& effect);
  void Apply(core::StartExecutionEffect& effect);
  void Apply(const auto&) {}

  void Answer(Stub& stub, const wire::Probe& probe);
  void Answer(Stub& stub, const wire::Offers& offers);
  void Answer(Stub& stub, const wire::TaskUpdates& updates);
  void Answer(Stub& stub, const wire::RecordsRequest& request);
  void Answer(Stub&, const auto&) {}
  void End(Stub& stub, const wire::TaskOffer& offer);

  RigSettings settings_;
  net::FrameCodec frames_;
  harness::EventLoop loop_;
  wire::InstanceInfo self_;
  std::map<InstanceName, Stub> stubs_;
  std::vector<Stub*> entries_;
  std::vector<Stub*> sidecars_;
  std::vector<wire::InstanceInfo> others_;
  std::vector<wire::ControlRecord> log_;
  /// Control state after the records that MakeLog() writes. Records that are
  /// appended later are not applied to it.
  core::ControlState control_;
  std::unique_ptr<core::Core> core_;
  std::function<std::string()> encode_;
  Usage usage_;
  Duration wakeup_{-1};
  uint64_t changes_ = 0;
  uint64_t bundle_version_ = 0;
  uint64_t jobs_ = 0;
  double clock_read_ns_ = 0;
};

}  // namespace filbertwick::bench

#endif  // BENCH_SLOPES_RIG_H_
