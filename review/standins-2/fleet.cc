#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/json/src.hpp>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <optional>

namespace review {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr uint16_t kCallerPort = 8161;
constexpr uint16_t kUpstreamPort = 8165;
constexpr uint16_t kControlPort = 8166;
constexpr uint16_t kReadyPort = 8167;
constexpr uint16_t kStorePort = 8169;
constexpr int kPeerPort = 7720;
constexpr const char* kProgram = "target/bin/filbertwick-platform";
/// Time that the store takes for a call.
constexpr int kStoreCallMs = 4;
constexpr int kHeartbeatMs = 1500;

const auto program_start = std::chrono::steady_clock::now();

int64_t ToNumber(std::string_view text) {
  int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

void AppendBigEndian(uint64_t number, int bytes, std::string& out) {
  for (int n = bytes - 1; n >= 0; --n) {
    out.push_back(static_cast<char>(number >> (8 * n) & 0xff));
  }
}

std::string Base64(std::string_view bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t n = 0; n < bytes.size(); n += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      group = group << 8 |
              (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k])
                                    : 0u);
    }
    for (size_t k = 0; k < 4; ++k) {
      text.push_back(n + k <= bytes.size() ? kDigits[group >> (18 - 6 * k) & 63]
                                           : '=');
    }
  }
  return text;
}

Response JsonResponse(int status, const json::object& object) {
  return {status, json::serialize(object)};
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now() - program_start)
      .count();
}

void SleepUntil(int64_t at) {
  std::this_thread::sleep_until(program_start + milliseconds(at));
}

void SleepFor(int64_t millis) {
  std::this_thread::sleep_for(milliseconds(millis));
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string_view(trouble) != "0";
}

void Record::Line(std::string_view text) {
  const std::lock_guard lock(mutex_);
  file_ << NowMs() << " ms " << text << std::endl;
}

// Store.

std::unique_ptr<Store> Store::Create(const Endpoint& listen, Record& record) {
  std::unique_ptr<Store> store(new Store(record));
  store->server_ = Server::Create(
      listen,
      [raw = store.get()](const Request& it) { return raw->Handle(it); });
  return store->server_ ? std::move(store) : nullptr;
}

void Store::Put(const std::string& key, const std::string& value) {
  {
    const std::lock_guard lock(mutex_);
    topics_["keyed.op/0"].push_back({key, value});
  }
  changed_.notify_all();
  record_.Line("operator: wrote " + key + ", acknowledged");
}

void Store::SetSilent(bool silent) {
  {
    const std::lock_guard lock(mutex_);
    silent_ = silent;
    silences_ += silent ? 1 : 0;
  }
  changed_.notify_all();
  record_.Line(silent ? "store: down, answers nothing"
                      : "store: answers again");
}

std::optional<Response> Store::Handle(const Request& request) {
  int silences = 0;
  {
    const std::lock_guard lock(mutex_);
    silences = silences_;
    if (silent_) {
      record_.Line("store: no answer to " + request.target.substr(0, 60));
      return std::nullopt;
    }
  }
  SleepFor(kStoreCallMs);
  const std::string topic =
      request.Query("topic") + "/" + request.Query("part");
  const std::string call = request.target.substr(0, request.target.find('?'));
  Response response = {404, "{}"};
  if (call == "/api/log-append") {
    response = Append(topic, request.body);
  } else if (call == "/api/log-newest") {
    response = Newest(request, topic);
  } else if (call == "/api/log-read" && !Read(request, topic, response)) {
    return std::nullopt;
  }
  const std::lock_guard lock(mutex_);
  return silences == silences_ ? std::optional(response) : std::nullopt;
}

Response Store::Append(const std::string& topic, std::string_view body) {
  size_t offset = 0;
  size_t end = 0;
  {
    const std::lock_guard lock(mutex_);
    Topic& items = topics_[topic];
    offset = items.size();
    while (body.size() > 4) {
      size_t size = 0;
      for (size_t n = 0; n < 4; ++n) {
        size = size << 8 | static_cast<unsigned char>(body[n]);
      }
      const std::string_view item = body.substr(4, size);
      const size_t key = static_cast<unsigned char>(item[0]);
      items.push_back({std::string(item.substr(1, key)),
                       std::string(item.substr(1 + key))});
      body.remove_prefix(4 + size);
    }
    end = items.size();
  }
  changed_.notify_all();
  return JsonResponse(200, {{"offset", offset}, {"end", end}});
}

Response Store::Newest(const Request& request, const std::string& topic) {
  const std::lock_guard lock(mutex_);
  const Topic& items = topics_[topic];
  std::map<std::string, size_t> newest;
  for (size_t n = 0; n < items.size(); ++n) {
    newest[items[n].key] = n;
  }
  json::array list;
  for (const auto& [key, n] : newest) {
    if (!items[n].value.empty() && key > request.Query("after")) {
      list.push_back(json::object{
          {"key", key}, {"value", Base64(items[n].value)}, {"offset", n}});
    }
  }
  return JsonResponse(
      200, {{"items", list}, {"has-more", false}, {"end", items.size()}});
}

bool Store::Read(const Request& request,
                 const std::string& topic,
                 Response& response) {
  const auto from = static_cast<size_t>(ToNumber(request.Query("from")));
  const int64_t wait_ms = ToNumber(request.Query("wait-ms"));
  std::unique_lock lock(mutex_);
  const int silences = silences_;
  changed_.wait_for(lock, milliseconds(wait_ms), [&] {
    return topics_[topic].size() > from || silences != silences_;
  });
  const Topic& items = topics_[topic];
  response = {200, "", "application/octet-stream"};
  AppendBigEndian(items.size(), 8, response.body);
  AppendBigEndian(0, 8, response.body);
  for (size_t n = from; n < items.size(); ++n) {
    const auto& [key, value] = items[n];
    AppendBigEndian(1 + key.size() + value.size(), 4, response.body);
    AppendBigEndian(key.size(), 1, response.body);
    response.body += key + value;
  }
  return silences == silences_;
}

// Executor.

Executor::Executor(ExecutorSettings settings,
                   ExecutorHooks hooks,
                   Record& record)
    : settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      record_(record),
      born_at_(NowMs() - 1),
      born_unix_ms_(std::chrono::duration_cast<milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count()) {}

std::unique_ptr<Executor> Executor::Create(ExecutorSettings settings,
                                           ExecutorHooks hooks,
                                           Record& record) {
  std::unique_ptr<Executor> executor(
      new Executor(std::move(settings), std::move(hooks), record));
  Executor* raw = executor.get();
  executor->server_ =
      Server::Create(executor->settings_.listen,
                     [raw](const Request& it) { return raw->Handle(it); });
  if (!executor->server_) {
    return nullptr;
  }
  executor->worker_ = std::thread([raw] { raw->Work(); });
  executor->announcer_ = std::thread([raw] { raw->Announce(); });
  return executor;
}

Executor::~Executor() {
  stopping_ = true;
  server_.reset();
  if (worker_.joinable()) {
    worker_.join();
    announcer_.join();
  }
}

size_t Executor::CountRunning(std::string_view prefix) {
  const std::lock_guard lock(mutex_);
  Advance();
  return static_cast<size_t>(std::ranges::count_if(
      running_,
      [prefix](const auto& item) { return item.first.starts_with(prefix); }));
}

void Executor::EndRun(const std::string& task, const char* how) {
  const auto it = running_.find(task);
  const int64_t run = it->second.number;
  running_.erase(it);
  closed_runs_[task] = std::max(closed_runs_[task], run);
  ends_.push_back({++last_end_, task, run, how});
  record_.Line(settings_.name + ": " + task + " run " + std::to_string(run) +
               " ended, " + how);
  if (hooks_.ended) {
    hooks_.ended(task, run, how);
  }
  ended_.notify_all();
}

void Executor::Advance() {
  const int64_t now = NowMs();
  std::vector<std::pair<std::string, const char*>> over;
  for (const auto& [task, run] : running_) {
    if (now >= run.started_at + run.work_ms) {
      over.emplace_back(task, "done");
    } else if (ClockMs() >= lease_until_) {
      over.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : over) {
    EndRun(task, how);
  }
}

void Executor::ExtendLease(int64_t until) {
  lease_until_ = std::max(lease_until_,
                          std::min(until, ClockMs() + settings_.hold_max_ms));
}

std::optional<Response> Executor::Handle(const Request& request) {
  const auto clock = [this] { return json::object{{"clock-ms", ClockMs()}}; };
  const auto refuse = [&](const char* reason) {
    json::object body = clock();
    body["reason"] = reason;
    return JsonResponse(409, body);
  };
  if (request.Header("filbertwick-expect-instance") != settings_.name) {
    return JsonResponse(421, clock());
  }
  boost::system::error_code ec;
  const json::value parsed = json::parse(request.body, ec);
  if (ec || !parsed.is_object()) {
    return JsonResponse(400, clock());
  }
  const json::object& body = parsed.as_object();
  const auto number = [&](const char* name) -> int64_t {
    const json::value* value = body.if_contains(name);
    return value != nullptr && value->is_int64() ? value->as_int64() : 0;
  };
  std::unique_lock lock(mutex_);
  Advance();
  if (number("fencing-token") < fencing_token_) {
    return refuse("fence");
  }
  fencing_token_ = number("fencing-token");
  if (request.target == "/api/run-start") {
    const std::string task(body.at("task").as_string());
    const int64_t run = number("run");
    const auto it = running_.find(task);
    if (it != running_.end() && it->second.number == run) {
      return JsonResponse(200, clock());
    }
    if (number("until-ms") <= ClockMs()) {
      return refuse("late");
    }
    ExtendLease(number("until-ms"));
    if (it != running_.end() ||
        (closed_runs_.contains(task) && run <= closed_runs_[task])) {
      return refuse("old");
    }
    running_[task] = {run, NowMs(),
                      ToNumber(std::string(body.at("spec").as_string()))};
    record_.Line(settings_.name + ": " + task + " run " + std::to_string(run) +
                 " starts");
    if (hooks_.started) {
      hooks_.started(task, run);
    }
    return JsonResponse(200, clock());
  }
  if (request.target == "/api/run-stop") {
    const std::string task(body.at("task").as_string());
    const int64_t run = number("run");
    const auto it = running_.find(task);
    if (it != running_.end() && it->second.number <= run) {
      EndRun(task, "stopped");
    }
    closed_runs_[task] = std::max(closed_runs_[task], run);
    return JsonResponse(200, clock());
  }
  if (request.target != "/api/hold") {
    return JsonResponse(404, clock());
  }
  const int64_t seen = number("seen-upto");
  std::erase_if(ends_, [seen](const End& end) { return end.number <= seen; });
  if (number("until-ms") > 0) {
    ExtendLease(number("until-ms"));
  }
  ended_.wait_for(lock, milliseconds(number("wait-ms")),
                  [this] { return !ends_.empty() || stopping_; });
  Advance();
  json::object answer = clock();
  answer["born"] = born_unix_ms_;
  json::array running;
  for (const auto& [task, run] : running_) {
    const int64_t percent =
        (NowMs() - run.started_at) * 100 / std::max<int64_t>(run.work_ms, 1);
    running.push_back(json::array{task, run.number, "", percent, 1000});
  }
  json::array ended;
  for (const End& end : ends_) {
    ended.push_back(json::array{end.number, end.task, end.run, end.how, ""});
  }
  answer["running"] = std::move(running);
  answer["ended"] = std::move(ended);
  return JsonResponse(200, answer);
}

void Executor::Announce() {
  int64_t sequence = 0;
  while (!stopping_) {
    json::array labels;
    for (const std::string& label : settings_.labels) {
      labels.emplace_back(label);
    }
    Request request;
    request.method = "PUT";
    request.target = "/api/instances/" + settings_.name;
    request.headers["Host"] = settings_.sidecar.ToString();
    request.body = json::serialize(json::object{
        {"service", settings_.service},
        {"address", settings_.listen.ToString()},
        {"zone", settings_.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold-left-ms", 0},
        {"capacity",
         json::object{
             {"cpu", settings_.cpu}, {"mem-mb", settings_.mem_mb}, {"gpu", 0}}},
        {"labels", labels},
        {"clock-ms", ClockMs()},
        {"born", born_unix_ms_},
        {"seq", ++sequence}});
    const auto response = CallOnce(settings_.sidecar, request, 1000);
    // The first heartbeat may come before the sidecar listens.
    const int64_t next = NowMs() + (response ? kHeartbeatMs : 100);
    while (!stopping_ && NowMs() < next) {
      SleepFor(10);
    }
  }
}

void Executor::Work() {
  while (!stopping_) {
    SleepFor(1);
    const std::lock_guard lock(mutex_);
    Advance();
  }
}

// Process.

Process::~Process() {
  if (!HasEnded()) {
    Signal(SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

bool Process::Start() {
  const std::string variable = "FILBERTWICK_SETTINGS=" + settings_file_;
  pid_ = fork();
  if (pid_ == 0) {
    // No process outlives the case.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        open(log_file_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    std::array<char*, 2> arguments = {const_cast<char*>(kProgram), nullptr};
    std::array<char*, 2> environment = {const_cast<char*>(variable.c_str()),
                                        nullptr};
    execve(kProgram, arguments.data(), environment.data());
    _exit(127);
  }
  ended_ = pid_ < 0;
  return !ended_;
}

void Process::Signal(int signal) const {
  kill(pid_, signal);
}

bool Process::HasEnded() {
  ended_ = ended_ || waitpid(pid_, nullptr, WNOHANG) != 0;
  return ended_;
}

// Fleet.

std::unique_ptr<Fleet> Fleet::Create(const FleetSettings& settings,
                                     const ExecutorHooks& hooks,
                                     Record& record) {
  std::unique_ptr<Fleet> fleet(new Fleet(settings, record));
  return fleet->Start(hooks) ? std::move(fleet) : nullptr;
}

Fleet::~Fleet() {
  processes_.clear();
  executors_.clear();
  store_.reset();
  // KEEP_LOGS keeps the settings and logs of the processes.
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ec;
    std::filesystem::remove_all(folder_, ec);
  }
}

std::string Fleet::HostOf(size_t n) const {
  // All addresses lie in one /24 of the loopback network that the process id
  // selects, so that cases that run at the same time don't share them.
  const int pid = getpid();
  return "127." + std::to_string(64 + pid % 128) + "." +
         std::to_string(pid / 128 % 250) + "." + std::to_string(n + 1);
}

std::string Fleet::ZoneOf(size_t n) const {
  const bool is_entry = n < settings_.entries;
  return "zone-" +
         std::to_string(is_entry ? n
                                 : (n - settings_.entries) % settings_.entries);
}

Endpoint Fleet::CallerEndpoint(size_t entry) const {
  return {HostOf(entry), kCallerPort};
}

bool Fleet::Start(const ExecutorHooks& hooks) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) {
    return false;
  }
  folder_ = folder;
  const size_t size = settings_.entries + settings_.sidecars;
  store_ = Store::Create({HostOf(size), kStorePort}, record_);
  if (!store_) {
    return false;
  }
  for (size_t n = settings_.entries; n < size; ++n) {
    ExecutorSettings executor;
    executor.name = "executor-" + std::to_string(n - settings_.entries);
    executor.zone = ZoneOf(n);
    executor.service = settings_.service;
    executor.listen = {HostOf(n), kUpstreamPort};
    executor.sidecar = {HostOf(n), kControlPort};
    executor.labels = {"a", "r1-" + std::to_string(n)};
    executors_.push_back(Executor::Create(executor, hooks, record_));
    if (!executors_.back()) {
      return false;
    }
  }
  for (size_t n = 0; n < size; ++n) {
    if (!AddProcess(n)) {
      return false;
    }
  }
  return true;
}

bool Fleet::AddProcess(size_t n) {
  const bool is_entry = n < settings_.entries;
  const std::string name =
      is_entry ? "front-" + std::to_string(n)
               : "side-" + std::to_string(n - settings_.entries);
  const auto address = [&](uint16_t port) {
    return Endpoint{HostOf(n), port}.ToString();
  };
  json::array seeds;
  for (size_t entry = 0; entry < settings_.entries; ++entry) {
    seeds.emplace_back(Endpoint{HostOf(entry), kControlPort}.ToString());
  }
  json::object settings = {
      {"node", name},
      {"role", is_entry ? "entry" : "sidecar"},
      {"machine-class", is_entry ? "front" : "side"},
      {"ip", HostOf(n)},
      {"zone", ZoneOf(n)},
      {"region", "review"},
      {"port-range", {kPeerPort, kPeerPort + 15}},
      {"seeds", seeds},
      {"bootstrap", true},
      {"heartbeat-ms", kHeartbeatMs},
      {"orders", "invoke"},
      {"limits",
       {{"cpu-share", is_entry ? 0.25 : 0.15},
        {"cores", 1},
        {"memory-mb", is_entry ? 260 : 128},
        {"max-fds", is_entry ? 4100 : 4096},
        {"link-mbps", 1000.0}}},
      {"bounds",
       {{"stable-window-ms", 3000},
        {"ack-ms", 4000},
        {"drain-ms", 2000},
        {"grace-s", 6},
        {"loss-slack-ms", 200},
        {"config-apply-ms", 2000},
        {"downgrade-slack-ms", 250},
        {"evacuate-ms", 5000},
        {"hold-max-ms", 1000},
        {"stop-ms", 50},
        {"cancel_ms", 3000},
        {"resend-ms", 1300}}},
      {"platform",
       {{"address",
         Endpoint{HostOf(settings_.entries + settings_.sidecars), kStorePort}
             .ToString()},
        {"form", "log"},
        {"parts", 16}}}};
  if (is_entry) {
    settings["serves"] = {"front", "control"};
    settings["listen"] = {{"front", address(kCallerPort)},
                          {"ready", address(kReadyPort)},
                          {"control", address(kControlPort)}};
  } else {
    settings["serves"] = json::array{"side"};
    settings["listen"] = json::object{{"control", address(kControlPort)}};
    settings["app"] = address(kUpstreamPort);
  }
  const std::string file = folder_ + "/" + name + ".json";
  std::ofstream(file) << json::serialize(settings);
  processes_.push_back(
      std::make_unique<Process>(name, file, folder_ + "/" + name + ".log"));
  return processes_.back()->Start();
}

bool Fleet::AwaitReady(int64_t wait_ms) {
  const int64_t until = NowMs() + wait_ms;
  for (size_t n = 0; n < settings_.entries; ++n) {
    Request poll;
    poll.method = "GET";
    poll.target = "/api/ready";
    poll.headers["Host"] = "ready";
    while (true) {
      const auto response = CallOnce({HostOf(n), kReadyPort}, poll, 1000);
      if (response && response->status == 200) {
        break;
      }
      if (NowMs() > until) {
        record_.Line(processes_[n]->name() + " is not ready");
        return false;
      }
      SleepFor(20);
    }
  }
  record_.Line("all entries are ready");
  return true;
}

bool Fleet::HasUnexpectedEnd() {
  return std::ranges::any_of(processes_,
                             [](const auto& it) { return it->HasEnded(); });
}

std::string FormatConfiguration(int version, const std::vector<Route>& routes) {
  json::array list;
  json::array services;
  for (const Route& route : routes) {
    list.push_back(json::object{{"name", route.name},
                                {"host", kHost},
                                {"path-prefix", route.prefix},
                                {"service", route.service},
                                {"kind", "unsafe"},
                                {"timeout-ms", 20000},
                                {"priority", 1},
                                {"max-attempts", 3},
                                {"stretch", 4},
                                {"target-latency-ms", 12000}});
    services.push_back(
        json::object{{"name", route.service}, {"enforces-capacity", false}});
  }
  return json::serialize(json::object{{"version", version},
                                      {"routes", list},
                                      {"services", services},
                                      {"limits",
                                       {{"header-bytes", 16384},
                                        {"max-body-bytes", 262144},
                                        {"header-timeout-ms", 3000},
                                        {"idle-timeout-ms", 15000}}}});
}

std::string FormatJob(const std::vector<int>& steps, int64_t work_ms) {
  json::array list;
  for (size_t n = 0; n < steps.size(); ++n) {
    json::object step = {{"count", steps[n]},
                         {"cpu", 1000},
                         {"mem-mb", 64},
                         {"estimate-ms", work_ms}};
    if (n > 0) {
      step["after"] = json::array{n - 1};
    }
    list.push_back(std::move(step));
  }
  return json::serialize(json::object{{"spec", std::to_string(work_ms)},
                                      {"best-effort", true},
                                      {"steps", list}});
}

std::string JobId(int n) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016x", 0x5eed0000 + n);
  return text.data();
}

Request JobRequest(const std::string& method,
                   const std::string& prefix,
                   const std::string& id,
                   std::string body,
                   int64_t deadline_ms) {
  Request request;
  request.method = method;
  request.target = prefix + id;
  request.headers["Host"] = kHost;
  request.headers["Filbertwick-Deadline-Ms"] = std::to_string(deadline_ms);
  request.body = std::move(body);
  return request;
}

}  // namespace review
