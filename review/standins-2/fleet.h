#ifndef REVIEW_STANDINS_2_FLEET_H_
#define REVIEW_STANDINS_2_FLEET_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "http.h"

// A small deployment on loopback addresses: the project's program as separate
// processes, and stand-ins for the platform's store and the executors.

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// Milliseconds since the start of this program.
int64_t NowMs();
/// Sleeps until NowMs() is `at`.
void SleepUntil(int64_t at);
void SleepFor(int64_t millis);
/// False with TROUBLE=0 in the environment.
bool HasTrouble();

/// Writes record.txt. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  /// Writes a line with the present time.
  void Line(std::string_view text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// Stand-in for the platform's store: topics, appends, reads with long polls
/// and the newest record of each key.
class Store {
 public:
  static std::unique_ptr<Store> Create(const Endpoint& listen, Record& record);

  /// Writes a record as the operator does. The return is the acknowledgement.
  void Put(const std::string& key, const std::string& value);
  /// While silent, the store answers nothing: neither new requests nor reads
  /// that wait for a record. Their connections stay silent for good.
  void SetSilent(bool silent);

 private:
  struct Item {
    std::string key;
    std::string value;
  };
  using Topic = std::vector<Item>;

  explicit Store(Record& record) : record_(record) {}
  std::optional<Response> Handle(const Request& request);
  Response Append(const std::string& topic, std::string_view body);
  Response Newest(const Request& request, const std::string& topic);
  /// Waits for a record; false if the store became silent meanwhile.
  bool Read(const Request& request,
            const std::string& topic,
            Response& response);

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  bool silent_ = false;
  /// Number of times that the store became silent.
  int silences_ = 0;
  /// Last member: its threads use the others.
  std::unique_ptr<Server> server_;
};

struct ExecutorSettings {
  std::string name;
  std::string zone;
  std::string service;
  Endpoint listen;
  /// Where it announces itself.
  Endpoint sidecar;
  int cpu = 16000;
  int mem_mb = 32768;
  std::vector<std::string> labels;
  int hold_max_ms = 1000;
};

/// What an executor tells the case. The hooks run on its threads.
struct ExecutorHooks {
  std::function<void(const std::string& task, int64_t run)> started;
  std::function<void(const std::string& task, int64_t run, const char* how)>
      ended;
};

/// Stand-in for an executor. A task's `spec` is the time that it works, in
/// milliseconds.
class Executor {
 public:
  static std::unique_ptr<Executor> Create(ExecutorSettings settings,
                                          ExecutorHooks hooks,
                                          Record& record);
  ~Executor();

  /// Number of tasks at work whose name begins with `prefix`.
  size_t CountRunning(std::string_view prefix);

 private:
  struct Run {
    int64_t number = 0;
    int64_t started_at = 0;
    int64_t work_ms = 0;
  };
  struct End {
    int64_t number = 0;
    std::string task;
    int64_t run = 0;
    const char* how = "";
  };

  Executor(ExecutorSettings settings, ExecutorHooks hooks, Record& record);
  int64_t ClockMs() const { return NowMs() - born_at_; }
  std::optional<Response> Handle(const Request& request);
  /// Ends the runs whose work is done or whose lease has expired.
  void Advance();
  void EndRun(const std::string& task, const char* how);
  void ExtendLease(int64_t until);
  void Announce();
  void Work();

  const ExecutorSettings settings_;
  const ExecutorHooks hooks_;
  Record& record_;
  const int64_t born_at_;
  const int64_t born_unix_ms_;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::map<std::string, Run> running_;
  std::vector<End> ends_;
  /// Highest run of each task that was stopped or has ended here.
  std::map<std::string, int64_t> closed_runs_;
  int64_t last_end_ = 0;
  int64_t lease_until_ = 0;
  int64_t fencing_token_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread worker_;
  std::thread announcer_;
  std::unique_ptr<Server> server_;
};

/// A process of the project's program.
class Process {
 public:
  Process(std::string name, std::string settings_file, std::string log_file)
      : name_(std::move(name)),
        settings_file_(std::move(settings_file)),
        log_file_(std::move(log_file)) {}
  /// Kills the process if it runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  bool Start();
  void Signal(int signal) const;
  /// Returns true if the process has ended.
  bool HasEnded();
  const std::string& name() const { return name_; }

 private:
  const std::string name_;
  const std::string settings_file_;
  const std::string log_file_;
  pid_t pid_ = 0;
  bool ended_ = true;
};

struct FleetSettings {
  size_t entries = 2;
  size_t sidecars = 2;
  std::string service = "swap-service";
};

/// Entries 0 to N-1 in zones of their own; the sidecars are spread over the
/// same zones, each with an executor.
class Fleet {
 public:
  /// Starts everything; null if that isn't possible. The configuration is to be
  /// published by the case.
  static std::unique_ptr<Fleet> Create(const FleetSettings& settings,
                                       const ExecutorHooks& hooks,
                                       Record& record);
  ~Fleet();

  Store& store() { return *store_; }
  Process& entry(size_t n) { return *processes_[n]; }
  Executor& executor(size_t n) { return *executors_[n]; }
  size_t executors() const { return executors_.size(); }
  Endpoint CallerEndpoint(size_t entry) const;
  /// Waits until all entries answer their readiness poll with 200.
  bool AwaitReady(int64_t wait_ms);
  /// Returns true if a process has ended that was not told to.
  bool HasUnexpectedEnd();

 private:
  Fleet(const FleetSettings& settings, Record& record)
      : settings_(settings), record_(record) {}
  bool Start(const ExecutorHooks& hooks);
  bool AddProcess(size_t n);
  std::string HostOf(size_t n) const;
  std::string ZoneOf(size_t n) const;

  const FleetSettings settings_;
  Record& record_;
  std::string folder_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Executor>> executors_;
  std::vector<std::unique_ptr<Process>> processes_;
};

/// A route of a configuration.
struct Route {
  std::string name;
  std::string prefix;
  std::string service;
};

constexpr const char* kHost = "review.example";

/// Returns the text of a configuration, as the operator writes it.
std::string FormatConfiguration(int version, const std::vector<Route>& routes);
/// Returns a best-effort job with one step per element, each a number of tasks
/// of one core that work for `work_ms`.
std::string FormatJob(const std::vector<int>& steps, int64_t work_ms);
/// Returns an id of 16 digits.
std::string JobId(int n);
/// Returns a request for a job's path.
Request JobRequest(const std::string& method,
                   const std::string& prefix,
                   const std::string& id,
                   std::string body,
                   int64_t deadline_ms);

}  // namespace review

#endif  // REVIEW_STANDINS_2_FLEET_H_
