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

/// Size of the system around the instance that is measured.
struct RigSettings {
  wire::Role role = wire::Role::kEntry;
  /// Instances of the measured instance's region, itself included.
  uint32_t entries = 3;
  uint32_t sidecars = 11;
  /// Instances of a second region; they are on record and never heard.
  uint32_t other_entries = 0;
  uint32_t other_sidecars = 0;
  uint32_t zones = 4;
  uint32_t teams = 1;
  /// Slots of each upstream.
  uint32_t slots = 8;
  Duration task_time = std::chrono::milliseconds(100);
};

/// Messages, bytes and processor time of the measured instance.
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
  /// Nanoseconds of this thread: in the core, and in coding and sealing frames.
  double core_ns = 0;
  double codec_ns = 0;
};

/// Bundle of a system with so many zones and teams.
std::string MakeBundleText(const RigSettings& settings, uint64_t version);

/// Nanoseconds of processor time of this thread.
double ThreadNanoseconds();

/// One real core in virtual time; all its peers, the log and the upstream are
/// stubs that answer at once and always agree.
class Rig {
 public:
  /// An instance that has read the control stream and has heard all peers.
  explicit Rig(const RigSettings& settings);
  ~Rig();

  /// Runs on by `span`.
  void Run(Duration span);
  /// Submits a job of so many tasks (entries).
  void Submit(uint32_t tasks, size_t payload_bytes);
  /// An entry offers one task (sidecars).
  void Offer(size_t payload_bytes);
  /// Appends a record to the log; entries read it, sidecars fetch it.
  void Publish(wire::ControlBody body);
  /// A sidecar asks for the records from an offset on (entries).
  void RequestRecords(uint32_t sidecar, wire::LogOffset offset);
  /// Restarts the counts.
  void ResetUsage() { usage_ = {}; }

  const Usage& usage() const { return usage_; }
  /// The fold as it would stand in a checkpoint.
  std::string EncodeControl() const;
  /// The owner of a shard of the region by the control stream.
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
  /// The fold of the first records.
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
