#ifndef REVIEW_BED_BED_H_
#define REVIEW_BED_BED_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

// A small deployment on loopback for the cases of the review: stand-ins of the
// platform's store and of executors, which run as threads of the test, and the
// project's program as one process for each instance. Everything that clients,
// executors and the platform see goes into a record.
namespace bed {

/// Milliseconds since the start of the test, on the real clock.
int64_t NowMs();
/// The time of day in milliseconds since 1970.
int64_t UnixMs();
void SleepMs(int64_t ms);
/// False when TROUBLE=0: the case runs without its disruption.
bool HasTrouble();

/// The lines of record.txt.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file) {}
  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

struct Request {
  std::string method;
  std::string target;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Response {
  /// 0 closes the connection without a response.
  int status = 200;
  std::string body = "{}";
};

/// Returns the number or the text of a top-level field of a JSON object that
/// the project has written; the fallback when it isn't there.
int64_t NumberIn(std::string_view json, std::string_view name, int64_t other);
std::string TextIn(std::string_view json, std::string_view name);

/// An HTTP server with one thread for each connection.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;
  Server(const std::string& host, uint16_t port, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

 private:
  void Serve(int socket);

  const Handler handler_;
  int listener_ = -1;
  std::atomic<bool> closed_ = false;
  std::mutex mutex_;
  std::vector<std::pair<int, std::thread>> connections_;
  std::thread acceptor_;
};

/// A connection of a client, for one request.
class Connection {
 public:
  /// Opens the connection; sent() is false when it was refused.
  Connection(const std::string& host, uint16_t port);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Send(const std::string& bytes);
  /// Waits for a response; status 0 when the connection ends or the time is up.
  Response Await(int64_t timeout_ms);
  /// Resets the connection.
  void Reset();

 private:
  std::mutex mutex_;
  int socket_ = -1;
};

std::string FormatRequest(std::string_view method,
                          std::string_view target,
                          std::string_view host,
                          std::string_view headers,
                          std::string_view body);
/// Sends one request and returns the response; status 0 when there is none.
Response Call(const std::string& host,
              uint16_t port,
              const std::string& bytes,
              int64_t timeout_ms);

/// The platform's store: keyed topics in memory.
class Store {
 public:
  explicit Store(const std::string& host);
  ~Store();
  /// Appends a record, as the operator does.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);

 private:
  struct Item {
    uint64_t offset = 0;
    std::string key;
    std::string value;
  };
  struct Topic {
    std::vector<Item> log;
    std::map<std::string, Item> newest;
  };
  Response Handle(const Request& request);
  Response Append(const std::string& topic, std::string_view body);
  Response Newest(const std::string& topic, const std::string& after);
  Response Read(const std::string& topic, uint64_t from, int64_t wait_ms);

  std::mutex mutex_;
  std::condition_variable changed_;
  bool closed_ = false;
  std::map<std::string, Topic> topics_;
  std::unique_ptr<Server> server_;
};

/// One run of a task, as its executor has seen it. `end_ms` is -1 while it
/// runs.
struct Run {
  std::string executor;
  std::string task;
  int64_t number = 0;
  int64_t start_ms = 0;
  int64_t end_ms = -1;
  std::string how;
};

/// The runs of all executors.
class Runs {
 public:
  explicit Runs(Record& record) : record_(record) {}
  size_t Begin(const std::string& executor,
               const std::string& task,
               int64_t number);
  void End(size_t run, const std::string& how);
  std::vector<Run> all() const;

 private:
  Record& record_;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
};

/// Returns a line for each pair of runs of one task that overlap in time.
std::vector<std::string> FindOverlaps(const std::vector<Run>& runs);

struct ExecutorSettings {
  std::string id;
  std::string host;
  std::string zone;
  std::string service;
  std::string label = "a";
  int64_t cpu = 64000;
  int64_t memory_mb = 262144;
};

/// One life of an executor. It takes the calls of the sidecar on its machine,
/// announces itself there and runs tasks for the time that `"ms=N"` in their
/// spec says. Its clock begins with its life.
class Executor {
 public:
  Executor(ExecutorSettings settings, Record& record, Runs& runs);
  /// Ends the life: everything that runs there ends.
  ~Executor();
  Executor(const Executor&) = delete;
  Executor& operator=(const Executor&) = delete;

  /// Announces the executor at once. True when the sidecar has acknowledged it.
  bool Announce();
  /// From now on announcements say that the executor drains.
  void BeginDraining() { draining_ = true; }
  /// The next start gets no answer from now on and isn't carried out yet.
  void KeepNextStart() { keeps_start_ = true; }
  /// Returns the starts that were kept.
  std::vector<Request> TakeKeptStarts();
  /// Carries out a call that was sent earlier, whose answer goes nowhere.
  Response CarryOutLate(const Request& request) { return Handle(request); }
  const std::string& id() const { return settings_.id; }
  int64_t born() const { return born_; }
  size_t running() const;

 private:
  struct Task {
    int64_t number = 0;
    int64_t start = 0;
    int64_t length = 0;
    int64_t stop_at = -1;
    size_t run = 0;
  };
  struct End {
    int64_t number = 0;
    std::string task;
    int64_t run = 0;
    std::string how;
  };
  int64_t Clock() const { return NowMs() - started_ + 1; }
  void Advance();
  void Finish(const std::string& task, const std::string& how);
  void Extend(int64_t until);
  Response Handle(const Request& request);
  Response Start(const Request& request);
  Response Hold(const Request& request, std::unique_lock<std::mutex>& lock);
  std::string Refusal(const char* reason) const;

  const ExecutorSettings settings_;
  Record& record_;
  Runs& runs_;
  const int64_t started_ = NowMs();
  int64_t born_ = 0;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> keeps_start_ = false;
  std::vector<Request> kept_starts_;
  std::atomic<bool> closed_ = false;
  std::atomic<int64_t> sequence_ = 0;
  mutable std::mutex mutex_;
  std::condition_variable ended_;
  std::map<std::string, Task> tasks_;
  std::map<std::string, int64_t> barred_;
  std::vector<End> ends_;
  int64_t last_end_ = 0;
  int64_t token_ = 0;
  int64_t lease_until_ = 0;
  std::unique_ptr<Server> server_;
  std::thread ticker_;
  std::thread announcer_;
};

struct InstanceSettings {
  std::string name;
  std::string host;
  std::string zone;
  bool is_entry = false;
};

/// A process of the project's program, started with the command of the deploy
/// file.
class Instance {
 public:
  Instance(const std::string& settings_file, const std::string& log_file);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  void Signal(int number) const;
  /// True when the process has ended by itself.
  bool HasEnded();
  /// Processor time that the process has used so far.
  int64_t ProcessorMs() const;

 private:
  pid_t pid_ = -1;
};

/// The ports that every machine uses.
inline constexpr uint16_t kFrontPort = 8161;
inline constexpr uint16_t kReadyPort = 8167;
inline constexpr uint16_t kControlPort = 8166;
inline constexpr uint16_t kAppPort = 8165;

/// A deployment with one route to one service.
class Deployment {
 public:
  /// `folder` receives record.txt.
  Deployment(const std::string& folder, size_t entries, size_t sidecars);
  ~Deployment();

  /// Waits until every entry is ready; false when that takes over 20 s.
  bool AwaitReady();
  Record& record() { return record_; }
  Runs& runs() { return runs_; }
  Store& store() { return *store_; }
  Instance& entry(size_t n) { return *entries_[n]; }
  Instance& sidecar(size_t n) { return *sidecars_[n]; }
  std::unique_ptr<Executor>& executor(size_t n) { return executors_[n]; }
  const std::string& entry_host(size_t n) const { return entry_hosts_[n]; }
  const std::string& sidecar_host(size_t n) const { return sidecar_hosts_[n]; }
  ExecutorSettings executor_settings(size_t n, const std::string& id) const;
  bool IsReady(size_t entry);

  /// Formats a POST that submits a job. `steps` is the JSON list.
  std::string FormatJob(const std::string& id,
                        const std::string& spec,
                        const std::string& steps,
                        int64_t deadline_ms) const;
  std::string FormatCancel(const std::string& id) const;
  /// Sends a request to an entry, and writes both it and the answer into the
  /// record.
  Response Ask(size_t entry,
               const std::string& what,
               const std::string& bytes,
               int64_t timeout_ms);

 private:
  std::string WriteSettings(const InstanceSettings& settings) const;

  Record record_;
  Runs runs_;
  std::string temporary_;
  std::string net_;
  std::string store_host_;
  std::vector<std::string> entry_hosts_;
  std::vector<std::string> sidecar_hosts_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Executor>> executors_;
  std::vector<std::unique_ptr<Instance>> entries_;
  std::vector<std::unique_ptr<Instance>> sidecars_;
};

/// Returns a job id of 16 hexadecimal digits.
std::string JobId(uint64_t number);

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

/// Runs the case in the folder that the arguments name.
int RunCase(int argc, char** argv, int (*run)(const std::string& folder));

}  // namespace bed

#endif  // REVIEW_BED_BED_H_
