// Measures how state size, messages and processor time of an entry and of a
// sidecar grow with the size of the system. Real cores, codecs and frames run
// in virtual time; a line is fitted to each figure.

#include <fmt/format.h>
#include <malloc.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "bench/slopes/rig.h"
#include "bench/slopes/series.h"
#include "bench/slopes/storms.h"
#include "filbertwick/core/state/control_state.h"
#include "filbertwick/wire/codec.h"

namespace {

using filbertwick::Duration;
using filbertwick::ZoneName;
using filbertwick::bench::MakeBundleText;
using filbertwick::bench::Rig;
using filbertwick::bench::RigSettings;
using filbertwick::bench::Series;
using filbertwick::bench::ThreadNanoseconds;
using filbertwick::bench::Usage;
namespace core = filbertwick::core;
namespace wire = filbertwick::wire;

/// Size of the target deployment, to which the fitted lines are extrapolated.
constexpr uint32_t kSidecars = 1'900;
constexpr uint32_t kSidecarsPerRegion = kSidecars / 2;
constexpr uint32_t kEntriesPerRegion = 3;
constexpr uint32_t kTeams = 450;

/// Virtual time over which rates are averaged.
constexpr Duration kMeasureTime = std::chrono::seconds(2);

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

Usage::Traffic Sum(const std::array<Usage::Traffic, Usage::kKinds>& kinds) {
  Usage::Traffic sum;
  for (const Usage::Traffic& it : kinds) {
    sum.messages += it.messages;
    sum.bytes += it.bytes;
  }
  return sum;
}

/// Processor time of the control plane, in percent of one processor core.
double CorePercent(const Usage& usage) {
  return (usage.core_ns + usage.codec_ns) / (Seconds(kMeasureTime) * 1e9) * 100;
}

/// Control traffic of an idle instance as a function of one system size.
class IdleSeries {
 public:
  IdleSeries(std::string_view over, double target)
      : messages_("  messages/s in and out", over, target),
        bytes_("  bytes/s in and out", over, target),
        core_("  core, % of one", over, target),
        codec_("  codec and MAC, % of one", over, target),
        event_("  core, us an event", over, target) {}

  void Add(double x, const RigSettings& settings) {
    Rig rig(settings);
    rig.Run(kMeasureTime);
    const Usage& usage = rig.usage();
    const Usage::Traffic sent = Sum(usage.sent);
    const Usage::Traffic received = Sum(usage.received);
    const double span = Seconds(kMeasureTime);
    messages_.Add(
        x, static_cast<double>(sent.messages + received.messages) / span);
    bytes_.Add(x, static_cast<double>(sent.bytes + received.bytes) / span);
    core_.Add(x, usage.core_ns / span / 1e7);
    codec_.Add(x, usage.codec_ns / span / 1e7);
    event_.Add(x, usage.core_ns / 1e3 / static_cast<double>(usage.events));
  }

  void Print() const {
    messages_.Print();
    bytes_.Print();
    core_.Print();
    codec_.Print();
    event_.Print();
  }

 private:
  Series messages_;
  Series bytes_;
  Series core_;
  Series codec_;
  Series event_;
};

RigSettings TargetSettings(wire::Role role) {
  RigSettings settings;
  settings.role = role;
  settings.entries = kEntriesPerRegion;
  settings.sidecars = kSidecarsPerRegion;
  settings.other_entries = kEntriesPerRegion;
  settings.other_sidecars = kSidecarsPerRegion;
  settings.zones = 6;
  settings.teams = kTeams;
  return settings;
}

void MeasureIdle(wire::Role role) {
  const bool entry = role == wire::Role::kEntry;
  fmt::print("\n# {} without work, sidecars of its region, 3 entries\n",
             entry ? "entry" : "sidecar");
  IdleSeries sidecars("sidecars", kSidecarsPerRegion);
  for (const uint32_t n : {11U, 100U, 300U, 600U, 950U}) {
    sidecars.Add(n, {.role = role, .entries = 3, .sidecars = n});
  }
  sidecars.Print();
  fmt::print("# {} without work, entries of its region, 100 sidecars\n",
             entry ? "entry" : "sidecar");
  IdleSeries entries("entries", 6);
  for (const uint32_t n : {3U, 6U, 9U, 12U}) {
    entries.Add(n, {.role = role, .entries = n, .sidecars = 100});
  }
  entries.Print();
  fmt::print("# {} without work, at the target size and at today's\n",
             entry ? "entry" : "sidecar");
  RigSettings today;
  today.role = role;
  for (const RigSettings& settings : {today, TargetSettings(role)}) {
    const double heap = HeapBytes();
    Rig rig(settings);
    const double held = HeapBytes() - heap;
    rig.Run(kMeasureTime);
    const Usage& usage = rig.usage();
    const double span = Seconds(kMeasureTime);
    fmt::print(
        "  {} sidecars here, {} elsewhere, {} teams: out {:.0f} messages/s "
        "{:.2f} KB/s, in {:.0f} messages/s {:.2f} KB/s, core and codec {:.3f}% "
        "of a core, heap with the rig's stubs and log {:.2f} MB\n",
        settings.sidecars, settings.other_sidecars, settings.teams,
        static_cast<double>(Sum(usage.sent).messages) / span,
        static_cast<double>(Sum(usage.sent).bytes) / span / 1e3,
        static_cast<double>(Sum(usage.received).messages) / span,
        static_cast<double>(Sum(usage.received).bytes) / span / 1e3,
        CorePercent(usage), held / 1e6);
  }
}

/// Returns the shortest of five timings of `action`, in microseconds.
double Microseconds(const auto& action) {
  double best = 1e18;
  for (int n = 0; n < 5; ++n) {
    const double begin = ThreadNanoseconds();
    action();
    best = std::min(best, ThreadNanoseconds() - begin);
  }
  return best / 1e3;
}

struct StateFigures {
  Series bytes;
  Series heap;
  Series encode;
  Series decode;
  Series start;

  StateFigures(std::string_view over, double target)
      : bytes("  checkpoint, bytes", over, target),
        heap("  fold in memory, bytes", over, target),
        encode("  Encode, us", over, target),
        decode("  Decode, us", over, target),
        start("  fold of the whole stream, us", over, target) {}

  void Add(double x, const RigSettings& settings) {
    const Rig rig(settings);
    const double before = HeapBytes();
    core::ControlState state;
    const double begin = ThreadNanoseconds();
    for (const wire::ControlRecord& record : rig.records()) {
      state.Apply(record);
    }
    start.Add(x, (ThreadNanoseconds() - begin) / 1e3);
    heap.Add(x, HeapBytes() - before);
    const std::string text = state.Encode();
    bytes.Add(x, static_cast<double>(text.size()));
    encode.Add(x, Microseconds([&] { state.Encode(); }));
    decode.Add(x, Microseconds([&] {
                 core::ControlState fresh;
                 if (!fresh.Decode(text).ok()) {
                   fmt::print("Decode failed\n");
                 }
               }));
  }

  void Print() const {
    bytes.Print();
    heap.Print();
    encode.Print();
    decode.Print();
    start.Print();
  }
};

void MeasureState() {
  fmt::print("\n# control state over instances (both regions), 450 teams\n");
  StateFigures instances("instances", kSidecars + 2 * kEntriesPerRegion);
  for (const uint32_t n : {10U, 100U, 300U, 600U, 950U}) {
    RigSettings settings = TargetSettings(wire::Role::kSidecar);
    settings.sidecars = n;
    settings.other_sidecars = n;
    instances.Add(2 * n + 2 * kEntriesPerRegion, settings);
  }
  instances.Print();
  fmt::print("# control state over teams, 14 instances\n");
  StateFigures teams("teams", kTeams);
  for (const uint32_t n : {1U, 50U, 150U, 300U, 450U}) {
    teams.Add(n, {.role = wire::Role::kSidecar, .teams = n});
  }
  teams.Print();
}

/// Adds the traffic and processor time that one new bundle version costs an
/// instance; the cost of an idle instance is subtracted.
void MeasureChange(wire::Role role,
                   RigSettings settings,
                   Series& bytes,
                   Series& micros) {
  constexpr int kChanges = 5;
  settings.role = role;
  Rig rig(settings);
  Rig idle(settings);
  for (int n = 0; n < kChanges; ++n) {
    const uint64_t version = rig.bundle_version() + 1;
    rig.Publish(wire::PublishBundle{version, version - 1,
                                    MakeBundleText(settings, version)});
    rig.Run(std::chrono::milliseconds(500));
  }
  idle.Run(kChanges * std::chrono::milliseconds(500));
  const auto total = [](const Usage& usage) {
    return static_cast<double>(Sum(usage.sent).bytes +
                               Sum(usage.received).bytes);
  };
  bytes.Add(settings.teams,
            (total(rig.usage()) - total(idle.usage())) / kChanges);
  micros.Add(settings.teams, (rig.usage().core_ns + rig.usage().codec_ns -
                              idle.usage().core_ns - idle.usage().codec_ns) /
                                 kChanges / 1e3);
}

void MeasureChanges() {
  fmt::print("\n# one new bundle version, over teams, 11 sidecars\n");
  Series text("  bundle text, bytes", "teams", kTeams);
  Series sidecar_bytes("  sidecar: bytes a change", "teams", kTeams);
  Series sidecar_micros("  sidecar: us a change", "teams", kTeams);
  Series entry_micros("  entry: us a change", "teams", kTeams);
  Series served_bytes("  entry: bytes for each sidecar that asks", "teams",
                      kTeams);
  for (const uint32_t n : {1U, 50U, 150U, 300U, 450U}) {
    RigSettings settings;
    settings.teams = n;
    text.Add(n, static_cast<double>(MakeBundleText(settings, 1).size()));
    MeasureChange(wire::Role::kSidecar, settings, sidecar_bytes,
                  sidecar_micros);
    Series unused("", "teams", kTeams);
    MeasureChange(wire::Role::kEntry, settings, unused, entry_micros);
    // The entry's traffic for one sidecar that requests the newest record.
    settings.role = wire::Role::kEntry;
    Rig rig(settings);
    rig.Publish(wire::PublishBundle{2, 1, MakeBundleText(settings, 2)});
    rig.ResetUsage();
    rig.RequestRecords(0, rig.records().size() - 1);
    served_bytes.Add(n, static_cast<double>(Sum(rig.usage().sent).bytes +
                                            Sum(rig.usage().received).bytes));
  }
  text.Print();
  sidecar_bytes.Print();
  sidecar_micros.Print();
  entry_micros.Print();
  served_bytes.Print();
}

/// Prints the processor time and received bytes that the record `body` costs an
/// instance; the cost of an idle interval of the same length is subtracted.
void MeasureRecord(Rig& rig,
                   std::string_view what,
                   wire::ControlBody body,
                   Duration after) {
  rig.ResetUsage();
  rig.Run(after);
  const Usage idle = rig.usage();
  rig.ResetUsage();
  rig.Publish(std::move(body));
  rig.Run(after);
  const Usage& usage = rig.usage();
  fmt::print(
      "    {}: {:.0f} us, {} bytes received beyond probes\n", what,
      (usage.core_ns + usage.codec_ns - idle.core_ns - idle.codec_ns) / 1e3,
      static_cast<int64_t>(Sum(usage.received).bytes) -
          static_cast<int64_t>(Sum(idle.received).bytes));
}

void MeasureRecordsAtTargetSize() {
  fmt::print("# one record at the target size\n");
  for (const wire::Role role : {wire::Role::kEntry, wire::Role::kSidecar}) {
    fmt::print("  {}\n", role == wire::Role::kEntry ? "entry" : "sidecar");
    const RigSettings settings = TargetSettings(role);
    Rig rig(settings);
    // An entry reads the record from the log at once; a sidecar has to request
    // it from an entry.
    const Duration after = role == wire::Role::kEntry
                               ? Duration(0)
                               : std::chrono::milliseconds(500);
    MeasureRecord(rig, "bundle",
                  wire::PublishBundle{2, 1, MakeBundleText(settings, 2)},
                  after);
    MeasureRecord(rig, "zone out", wire::SetZone{ZoneName("zone-1"), true},
                  after);
    wire::InstanceInfo info = rig.sidecar(5);
    ++info.incarnation;
    MeasureRecord(rig, "join after a restart", wire::JoinInstance{info}, after);
    MeasureRecord(rig, "leave",
                  wire::LeaveInstance{info.name, info.incarnation}, after);
    if (role == wire::Role::kEntry) {
      rig.ResetUsage();
      rig.RequestRecords(0, rig.records().size() - 1);
      fmt::print("    records request of one sidecar: {:.0f} us\n",
                 (rig.usage().core_ns + rig.usage().codec_ns) / 1e3);
      rig.ResetUsage();
      rig.RequestRecords(0, 0);
      fmt::print(
          "    snapshot for one restarted sidecar: {} bytes, {:.0f} us\n",
          Sum(rig.usage().sent).bytes,
          (rig.usage().core_ns + rig.usage().codec_ns) / 1e3);
    }
  }
}

/// Measures the heap memory of the records that a sidecar retains.
void MeasureKeptRecords() {
  fmt::print("# records a sidecar keeps, bundles of 450 teams\n");
  Series kept("  heap bytes", "bundles published", 512);
  RigSettings settings;
  settings.role = wire::Role::kSidecar;
  settings.teams = kTeams;
  Rig rig(settings);
  const double before = HeapBytes();
  double texts = 0;
  for (const uint64_t goal : {100U, 200U, 300U, 400U, 500U}) {
    while (rig.bundle_version() <= goal) {
      const uint64_t version = rig.bundle_version() + 1;
      std::string text = MakeBundleText(settings, version);
      texts += static_cast<double>(text.size());
      rig.Publish(wire::PublishBundle{version, version - 1, std::move(text)});
      rig.Run(std::chrono::milliseconds(300));
    }
    // The rig's own log holds the bundle texts too, so they are subtracted.
    kept.Add(static_cast<double>(goal), HeapBytes() - before - texts);
  }
  kept.Print();
}

/// Measures the processor time to send and receive one datagram on loopback.
void MeasureDatagram() {
  constexpr int kDatagrams = 20'000;
  std::array<char, 122> buf{};
  const int to = socket(AF_INET, SOCK_DGRAM, 0);
  const int from = socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* any = reinterpret_cast<sockaddr*>(&address);
  if (bind(to, any, size) != 0 || getsockname(to, any, &size) != 0) {
    fmt::print("can't open a datagram socket\n");
    return;
  }
  const double begin = ThreadNanoseconds();
  int received = 0;
  for (int n = 0; n < kDatagrams; ++n) {
    sendto(from, buf.data(), buf.size(), 0, any, size);
    received += recv(to, buf.data(), buf.size(), 0) > 0 ? 1 : 0;
  }
  fmt::print(
      "\n# {} datagrams of {} bytes sent and received on loopback: {:.2f} us "
      "each\n",
      received, buf.size(), (ThreadNanoseconds() - begin) / 1e3 / kDatagrams);
  close(to);
  close(from);
}

void MeasureEntryWork() {
  fmt::print(
      "\n# owner of all shards, 400 sidecars of 8 slots, tasks of 100 ms with "
      "64 bytes, about 2,000 starts/s\n");
  Series micros("  us a job", "tasks of a job", 980);
  Series task_micros("  us a task", "tasks of a job", 980);
  Series bytes("  bytes a job on the wire", "tasks of a job", 980);
  Series kept("  heap bytes kept of an ended job", "tasks of a job", 980);
  for (const uint32_t tasks : {1U, 10U, 98U, 490U, 980U}) {
    const RigSettings settings = {.entries = 1, .sidecars = 400};
    Rig rig(settings);
    Rig idle(settings);
    const double before = HeapBytes();
    const uint32_t jobs = std::max(4U, 4'000 / tasks);
    for (uint32_t n = 0; n < jobs; ++n) {
      rig.Submit(tasks, 64);
      rig.Run(Duration(500 * tasks));
    }
    rig.Run(std::chrono::seconds(2));
    const double held = HeapBytes() - before;
    idle.Run(Duration(500UL * tasks * jobs) + std::chrono::seconds(2));
    const double ns = rig.usage().core_ns + rig.usage().codec_ns -
                      idle.usage().core_ns - idle.usage().codec_ns;
    micros.Add(tasks, ns / 1e3 / jobs);
    task_micros.Add(tasks, ns / 1e3 / jobs / tasks);
    const auto total = [](const Usage& usage) {
      return static_cast<double>(Sum(usage.sent).bytes +
                                 Sum(usage.received).bytes);
    };
    bytes.Add(tasks, (total(rig.usage()) - total(idle.usage())) / jobs);
    kept.Add(tasks, held / jobs);
    fmt::print("  {} jobs of {} tasks: {} complete, {} other, {} starts\n",
               jobs, tasks, rig.usage().jobs_complete, rig.usage().jobs_other,
               rig.usage().starts);
  }
  micros.Print();
  task_micros.Print();
  bytes.Print();
  kept.Print();
  fmt::print("# the same over jobs in the window, jobs of 1 task\n");
  Series window("  heap bytes", "jobs in the window", 44'000.0 * 600 / 6);
  Series late("  us a job", "jobs in the window", 20'000);
  const RigSettings settings = {.entries = 1, .sidecars = 400};
  Rig rig(settings);
  const double before = HeapBytes();
  uint32_t jobs = 0;
  for (const uint32_t goal : {2'000U, 5'000U, 10'000U, 20'000U}) {
    rig.ResetUsage();
    const uint32_t first = jobs;
    for (; jobs < goal; ++jobs) {
      rig.Submit(1, 64);
      rig.Run(Duration(500));
    }
    rig.Run(std::chrono::milliseconds(500));
    window.Add(jobs, HeapBytes() - before);
    late.Add(jobs, (rig.usage().core_ns + rig.usage().codec_ns) / 1e3 /
                       (jobs - first));
  }
  window.Print();
  late.Print();
}

void MeasureSidecarWork() {
  fmt::print(
      "\n# sidecar of 8 slots, 3 entries, tasks of 100 ms with 64 bytes, 23 "
      "starts/s (44,000 over 1,900)\n");
  Series heap("  heap bytes", "keys in the window", 23.0 * 600);
  Series micros("  us a task, probes included", "keys in the window",
                23.0 * 600);
  Rig rig({.role = wire::Role::kSidecar});
  const double before = HeapBytes();
  uint32_t tasks = 0;
  for (const uint32_t goal : {1'000U, 2'000U, 4'000U, 8'000U, 13'000U}) {
    rig.ResetUsage();
    const uint32_t first = tasks;
    for (; tasks < goal; ++tasks) {
      rig.Offer(64);
      rig.Run(Duration(43'000));
    }
    heap.Add(tasks, HeapBytes() - before);
    micros.Add(tasks, (rig.usage().core_ns + rig.usage().codec_ns) / 1e3 /
                          (tasks - first));
    if (rig.usage().starts != tasks - first) {
      fmt::print("  {} of {} tasks started\n", rig.usage().starts,
                 tasks - first);
    }
  }
  heap.Print();
  micros.Print();
}

/// A group of measurements, selected by its name on the command line.
struct Part {
  std::string_view name;
  void (*run)();
};

constexpr std::array<Part, 8> kParts = {{
    {"state", MeasureState},
    {"entry", [] { MeasureIdle(wire::Role::kEntry); }},
    {"sidecar", [] { MeasureIdle(wire::Role::kSidecar); }},
    {"datagram", MeasureDatagram},
    {"changes",
     [] {
       MeasureChanges();
       MeasureRecordsAtTargetSize();
       MeasureKeptRecords();
     }},
    {"work",
     [] {
       MeasureEntryWork();
       MeasureSidecarWork();
     }},
    {"storms", filbertwick::bench::MeasureStorms},
    {"checkpoints", filbertwick::bench::MeasureCheckpoints},
}};

}  // namespace

/// Runs the parts named in the arguments, or all parts without arguments.
int main(int argc, char** argv) {
  const auto begin = std::chrono::steady_clock::now();
  const std::vector<std::string_view> names(argv + 1, argv + argc);
  for (const Part& part : kParts) {
    if (names.empty() || std::ranges::find(names, part.name) != names.end()) {
      part.run();
    }
  }
  const std::chrono::duration<double> spent =
      std::chrono::steady_clock::now() - begin;
  fmt::print("\ntook {:.1f} s\n", spent.count());
  return 0;
}
