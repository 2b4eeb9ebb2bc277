#include "bed.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <filesystem>
#include <iomanip>
#include <sstream>
#include <stdexcept>

namespace bed {
namespace {

constexpr uint16_t kStorePort = 8169;
constexpr uint16_t kPeerPort = 7720;
constexpr int64_t kHeartbeatMs = 1500;
/// Interval of announcements until the first one is acknowledged.
constexpr int64_t kFirstHeartbeatMs = 200;
constexpr int64_t kMaxLeaseMs = 1000;
/// A stop takes effect after this time; the pages allow 50 ms.
constexpr int64_t kStopMs = 5;
/// Most ends in one answer.
constexpr size_t kMaxListedEnds = 500;
constexpr const char* kService = "bed-service";
constexpr const char* kHost = "bed.example";
constexpr const char* kProgram = "target/bin/filbertwick-platform";

sockaddr_in AddressOf(const std::string& host, uint16_t port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

bool WriteAll(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(tolower(c)); });
  return text;
}

/// The head and body of an HTTP message.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Takes one complete message from the front of the buffer.
bool TakeMessage(std::string& buffer, Message& message) {
  const size_t end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) {
    return false;
  }
  std::istringstream head(buffer.substr(0, end + 2));
  message = Message();
  std::string line;
  while (std::getline(head, line)) {
    line.resize(line.size() - (line.empty() ? 0 : 1));
    const size_t colon = line.find(": ");
    if (message.first_line.empty()) {
      message.first_line = line;
    } else if (colon != std::string::npos) {
      message.headers[Lower(line.substr(0, colon))] = line.substr(colon + 2);
    }
  }
  const auto length = message.headers.find("content-length");
  const size_t size = length == message.headers.end()
                          ? 0
                          : strtoul(length->second.c_str(), nullptr, 10);
  if (buffer.size() < end + 4 + size) {
    return false;
  }
  message.body = buffer.substr(end + 4, size);
  buffer.erase(0, end + 4 + size);
  return true;
}

/// Returns a parameter of a query; empty when it isn't there.
std::string QueryOf(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t next = target.find('&', at + 1);
    const std::string item =
        target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
    if (item.rfind(name + "=", 0) == 0) {
      return item.substr(name.size() + 1);
    }
    at = next;
  }
  return "";
}

std::string BigEndian(uint64_t value, int bytes) {
  std::string text;
  for (int n = bytes - 1; n >= 0; --n) {
    text += static_cast<char>(value >> (8 * n) & 0xff);
  }
  return text;
}

std::string Base64(const std::string& bytes) {
  static constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t n = 0; n < bytes.size(); n += 3) {
    uint32_t bits = 0;
    for (size_t k = 0; k < 3; ++k) {
      const auto byte = n + k < bytes.size()
                            ? static_cast<unsigned char>(bytes[n + k])
                            : uint8_t{0};
      bits = bits << 8 | byte;
    }
    for (size_t k = 0; k < 4; ++k) {
      text += n + k > bytes.size() ? '=' : kDigits[bits >> (18 - 6 * k) & 63];
    }
  }
  return text;
}

bool CanBind(const std::string& host, uint16_t port, int type) {
  const int it = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(host, port);
  const bool bound = bind(it, reinterpret_cast<const sockaddr*>(&address),
                          sizeof(address)) == 0;
  close(it);
  return bound;
}

/// Returns the first three numbers of loopback addresses whose ports are free.
std::string FindNet() {
  for (int n = getpid(); n < getpid() + 100; ++n) {
    std::string net = "127." + std::to_string(64 + n % 128) + "." +
                      std::to_string(n / 128 % 250) + ".";
    bool is_free = true;
    for (int host = 1; host <= 20; ++host) {
      const std::string address = net + std::to_string(host);
      for (const uint16_t port :
           {kFrontPort, kReadyPort, kControlPort, kAppPort, kStorePort}) {
        is_free = is_free && CanBind(address, port, SOCK_STREAM);
      }
      is_free = is_free && CanBind(address, kPeerPort, SOCK_DGRAM);
    }
    if (is_free) {
      return net;
    }
  }
  throw std::runtime_error("no free loopback addresses");
}

}  // namespace

int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool HasTrouble() {
  const char* value = getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

void Record::Add(const std::string& line) {
  const std::scoped_lock lock(mutex_);
  out_ << NowMs() << " ms " << line << std::endl;
}

int64_t NumberIn(std::string_view json, std::string_view name, int64_t other) {
  const std::string key = "\"" + std::string(name) + "\":";
  const size_t at = json.find(key);
  return at == std::string_view::npos
             ? other
             : strtoll(std::string(json.substr(at + key.size(), 24)).c_str(),
                       nullptr, 10);
}

std::string TextIn(std::string_view json, std::string_view name) {
  const std::string key = "\"" + std::string(name) + "\":\"";
  const size_t at = json.find(key);
  if (at == std::string_view::npos) {
    return "";
  }
  const size_t begin = at + key.size();
  return std::string(json.substr(begin, json.find('"', begin) - begin));
}

Server::Server(const std::string& host, uint16_t port, Handler handler)
    : handler_(std::move(handler)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(host, port);
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener_, 256) != 0) {
    close(listener_);
    throw std::runtime_error("can't listen on " + host);
  }
  acceptor_ = std::thread([this] {
    while (!closed_) {
      const int it = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (it < 0) {
        continue;
      }
      const int no_delay = 1;
      setsockopt(it, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
      const std::scoped_lock lock(mutex_);
      connections_.emplace_back(it, std::thread([this, it] { Serve(it); }));
    }
  });
}

Server::~Server() {
  closed_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  for (const auto& connection : connections_) {
    shutdown(connection.first, SHUT_RDWR);
  }
  for (auto& connection : connections_) {
    connection.second.join();
    close(connection.first);
  }
}

void Server::Serve(int socket) {
  std::string buffer;
  std::array<char, 65536> bytes;
  while (!closed_) {
    const ssize_t n = recv(socket, bytes.data(), bytes.size(), 0);
    if (n <= 0) {
      break;
    }
    buffer.append(bytes.data(), static_cast<size_t>(n));
    Message message;
    while (!closed_ && TakeMessage(buffer, message)) {
      Request request;
      std::istringstream line(message.first_line);
      line >> request.method >> request.target;
      request.headers = std::move(message.headers);
      request.body = std::move(message.body);
      const Response response = handler_(request);
      if (response.status == 0 || closed_) {
        shutdown(socket, SHUT_RDWR);
        return;
      }
      if (!WriteAll(socket, "HTTP/1.1 " + std::to_string(response.status) +
                                " X\r\nContent-Type: application/json\r\n"
                                "Content-Length: " +
                                std::to_string(response.body.size()) +
                                "\r\n\r\n" + response.body)) {
        return;
      }
    }
  }
  shutdown(socket, SHUT_RDWR);
}

Connection::Connection(const std::string& host, uint16_t port) {
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(host, port);
  if (connect(socket_, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(socket_);
    socket_ = -1;
    return;
  }
  const int on = 1;
  setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection() {
  if (socket_ >= 0) {
    close(socket_);
  }
}

bool Connection::Send(const std::string& bytes) {
  return socket_ >= 0 && WriteAll(socket_, bytes);
}

Response Connection::Await(int64_t timeout_ms) {
  const int64_t until = NowMs() + timeout_ms;
  std::string buffer;
  std::array<char, 65536> bytes;
  while (socket_ >= 0) {
    const int64_t left = until - NowMs();
    pollfd waiter = {socket_, POLLIN, 0};
    if (left <= 0 || poll(&waiter, 1, static_cast<int>(left)) <= 0) {
      break;
    }
    const ssize_t n = recv(socket_, bytes.data(), bytes.size(), 0);
    if (n <= 0) {
      break;
    }
    buffer.append(bytes.data(), static_cast<size_t>(n));
    Message message;
    if (TakeMessage(buffer, message) && message.first_line.size() > 12) {
      return {atoi(message.first_line.substr(9, 3).c_str()), message.body};
    }
  }
  return {0, ""};
}

void Connection::Reset() {
  const std::scoped_lock lock(mutex_);
  if (socket_ >= 0) {
    const linger no_linger = {1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
    close(socket_);
    socket_ = -1;
  }
}

std::string FormatRequest(std::string_view method,
                          std::string_view target,
                          std::string_view host,
                          std::string_view headers,
                          std::string_view body) {
  std::ostringstream text;
  text << method << " " << target << " HTTP/1.1\r\nHost: " << host << "\r\n"
       << headers;
  if (!body.empty()) {
    text << "Content-Type: application/json\r\nContent-Length: " << body.size()
         << "\r\n";
  }
  text << "\r\n" << body;
  return text.str();
}

Response Call(const std::string& host,
              uint16_t port,
              const std::string& bytes,
              int64_t timeout_ms) {
  Connection connection(host, port);
  return connection.Send(bytes) ? connection.Await(timeout_ms)
                                : Response{0, ""};
}

Store::Store(const std::string& host)
    : server_(std::make_unique<Server>(
          host,
          kStorePort,
          [this](const Request& request) { return Handle(request); })) {}

Store::~Store() {
  {
    const std::scoped_lock lock(mutex_);
    closed_ = true;
  }
  changed_.notify_all();
  server_.reset();
}

void Store::Put(const std::string& topic,
                const std::string& key,
                const std::string& value) {
  const std::scoped_lock lock(mutex_);
  Topic& it = topics_[topic];
  const Item item = {it.log.size(), key, value};
  it.log.push_back(item);
  if (value.empty()) {
    it.newest.erase(key);
  } else {
    it.newest[key] = item;
  }
  changed_.notify_all();
}

Response Store::Handle(const Request& request) {
  const std::string part = QueryOf(request.target, "part");
  const std::string topic = QueryOf(request.target, "topic") + "/" + part;
  const std::string call = request.target.substr(0, request.target.find('?'));
  if (call == "/api/log-append") {
    return Append(topic, request.body);
  }
  if (call == "/api/log-newest") {
    return Newest(topic, QueryOf(request.target, "after"));
  }
  if (call == "/api/log-read") {
    return Read(topic,
                strtoull(QueryOf(request.target, "from").c_str(), nullptr, 10),
                atoll(QueryOf(request.target, "wait-ms").c_str()));
  }
  return {404, "{}"};
}

Response Store::Append(const std::string& topic, std::string_view body) {
  uint64_t first = 0;
  {
    const std::scoped_lock lock(mutex_);
    first = topics_[topic].log.size();
  }
  while (body.size() > 4) {
    uint32_t size = 0;
    for (size_t n = 0; n < 4; ++n) {
      size = size << 8 | static_cast<unsigned char>(body[n]);
    }
    const std::string_view item = body.substr(4, size);
    const size_t key = static_cast<unsigned char>(item[0]);
    Put(topic, std::string(item.substr(1, key)),
        std::string(item.substr(1 + key)));
    body.remove_prefix(4 + size);
  }
  const std::scoped_lock lock(mutex_);
  return {200, "{\"offset\":" + std::to_string(first) + ",\"end\":" +
                   std::to_string(topics_[topic].log.size()) + "}"};
}

Response Store::Newest(const std::string& topic, const std::string& after) {
  const std::scoped_lock lock(mutex_);
  const Topic& it = topics_[topic];
  std::string items;
  for (const auto& [key, item] : it.newest) {
    if (key > after) {
      items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" + key +
               "\",\"value\":\"" + Base64(item.value) +
               "\",\"offset\":" + std::to_string(item.offset) + "}";
    }
  }
  return {200, "{\"items\":[" + items + "],\"has-more\":false,\"end\":" +
                   std::to_string(it.log.size()) + "}"};
}

Response Store::Read(const std::string& topic, uint64_t from, int64_t wait_ms) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] {
    return closed_ || topics_[topic].log.size() > from;
  });
  const Topic& it = topics_[topic];
  std::string body = BigEndian(it.log.size(), 8) + BigEndian(0, 8);
  for (uint64_t n = from; n < it.log.size(); ++n) {
    const Item& item = it.log[n];
    body += BigEndian(1 + item.key.size() + item.value.size(), 4);
    body += static_cast<char>(item.key.size());
    body += item.key + item.value;
  }
  return {200, body};
}

size_t Runs::Begin(const std::string& executor,
                   const std::string& task,
                   int64_t number) {
  record_.Add(executor + " begins " + task + " run " + std::to_string(number));
  const std::scoped_lock lock(mutex_);
  runs_.push_back({executor, task, number, NowMs(), -1, ""});
  return runs_.size() - 1;
}

void Runs::End(size_t run, const std::string& how) {
  std::string line;
  {
    const std::scoped_lock lock(mutex_);
    Run& it = runs_[run];
    it.end_ms = NowMs();
    it.how = how;
    line = it.executor + " ends " + it.task + " run " +
           std::to_string(it.number) + ": " + how;
  }
  record_.Add(line);
}

std::vector<Run> Runs::all() const {
  const std::scoped_lock lock(mutex_);
  return runs_;
}

std::vector<std::string> FindOverlaps(const std::vector<Run>& runs) {
  const int64_t now = NowMs();
  const auto end_of = [now](const Run& it) {
    return it.end_ms < 0 ? now : it.end_ms;
  };
  std::vector<std::string> found;
  for (size_t n = 0; n < runs.size(); ++n) {
    for (size_t k = n + 1; k < runs.size(); ++k) {
      const int64_t begin = std::max(runs[n].start_ms, runs[k].start_ms);
      const int64_t end = std::min(end_of(runs[n]), end_of(runs[k]));
      if (runs[n].task == runs[k].task && begin < end) {
        found.push_back(runs[n].task + " runs on " + runs[n].executor +
                        " and on " + runs[k].executor + " at the same time, " +
                        "from " + std::to_string(begin) + " to " +
                        std::to_string(end) + " ms");
      }
    }
  }
  return found;
}

Executor::Executor(ExecutorSettings settings, Record& record, Runs& runs)
    : settings_(std::move(settings)),
      record_(record),
      runs_(runs),
      born_(UnixMs()) {
  server_ = std::make_unique<Server>(
      settings_.host, kAppPort,
      [this](const Request& request) { return Handle(request); });
  ticker_ = std::thread([this] {
    while (!closed_) {
      SleepMs(1);
      const std::scoped_lock lock(mutex_);
      Advance();
    }
  });
  announcer_ = std::thread([this] {
    bool acknowledged = false;
    int64_t due = 0;
    while (!closed_) {
      if (NowMs() >= due) {
        acknowledged |= Announce();
        due = NowMs() + (acknowledged ? kHeartbeatMs : kFirstHeartbeatMs);
      }
      SleepMs(5);
    }
  });
}

Executor::~Executor() {
  {
    const std::scoped_lock lock(mutex_);
    closed_ = true;
    while (!tasks_.empty()) {
      Finish(std::string(tasks_.begin()->first), "gone");
    }
  }
  ended_.notify_all();
  server_.reset();
  ticker_.join();
  announcer_.join();
}

bool Executor::Announce() {
  std::ostringstream body;
  body << R"({"service":")" << settings_.service << R"(","address":")"
       << settings_.host << ":" << kAppPort << R"(","zone":")" << settings_.zone
       << R"(","version":"v1","slots":8,"state":")"
       << (draining_ ? "draining" : "ready")
       << R"(","cold-left-ms":0,"capacity":{"cpu":)" << settings_.cpu
       << R"(,"mem-mb":)" << settings_.memory_mb << R"(,"gpu":0},"labels":[")"
       << settings_.label << R"("],"clock-ms":)" << Clock() << R"(,"seq":)"
       << ++sequence_ << R"(,"born":)" << born_ << "}";
  const Response response =
      Call(settings_.host, kControlPort,
           FormatRequest("PUT", "/api/instances/" + settings_.id,
                         settings_.host, "", body.str()),
           1000);
  return response.status == 200;
}

std::vector<Request> Executor::TakeKeptStarts() {
  const std::scoped_lock lock(mutex_);
  return std::exchange(kept_starts_, {});
}

size_t Executor::running() const {
  const std::scoped_lock lock(mutex_);
  return tasks_.size();
}

void Executor::Advance() {
  const int64_t clock = Clock();
  std::vector<std::pair<std::string, std::string>> ended;
  for (const auto& [task, it] : tasks_) {
    if (it.stop_at >= 0 && clock >= it.stop_at) {
      ended.emplace_back(task, "stopped");
    } else if (clock >= it.start + it.length) {
      ended.emplace_back(task, "done");
    } else if (clock >= lease_until_) {
      ended.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : ended) {
    Finish(task, how);
  }
}

void Executor::Finish(const std::string& task, const std::string& how) {
  const auto it = tasks_.find(task);
  runs_.End(it->second.run, how);
  barred_[task] = std::max(barred_[task], it->second.number);
  ends_.push_back({++last_end_, task, it->second.number, how});
  tasks_.erase(it);
  ended_.notify_all();
}

void Executor::Extend(int64_t until) {
  lease_until_ = std::max(lease_until_, std::min(until, Clock() + kMaxLeaseMs));
}

std::string Executor::Refusal(const char* reason) const {
  return "{\"clock-ms\":" + std::to_string(Clock()) + ",\"reason\":\"" +
         reason + "\"}";
}

Response Executor::Handle(const Request& request) {
  std::unique_lock lock(mutex_);
  if (closed_) {
    return {0, ""};
  }
  if (request.target == "/api/run-start" && keeps_start_.exchange(false)) {
    kept_starts_.push_back(request);
    ended_.wait(lock, [this] { return closed_.load(); });
    return {0, ""};
  }
  const auto meant = request.headers.find("filbertwick-expect-instance");
  if (meant != request.headers.end() && meant->second != settings_.id) {
    return {421, "{}"};
  }
  const int64_t token = NumberIn(request.body, "fencing-token", 0);
  if (token < token_) {
    return {409, Refusal("fence")};
  }
  token_ = token;
  Advance();
  if (request.target == "/api/run-start") {
    return Start(request);
  }
  if (request.target == "/api/run-stop") {
    const std::string task = TextIn(request.body, "task");
    const int64_t number = NumberIn(request.body, "run", 0);
    barred_[task] = std::max(barred_[task], number);
    const auto it = tasks_.find(task);
    if (it != tasks_.end() && it->second.number == number &&
        it->second.stop_at < 0) {
      it->second.stop_at = Clock() + kStopMs;
    }
    return {200, "{\"clock-ms\":" + std::to_string(Clock()) + "}"};
  }
  if (request.target == "/api/hold") {
    return Hold(request, lock);
  }
  return {404, "{}"};
}

Response Executor::Start(const Request& request) {
  const std::string task = TextIn(request.body, "task");
  const int64_t number = NumberIn(request.body, "run", 0);
  const int64_t until = NumberIn(request.body, "until-ms", 0);
  if (until <= Clock()) {
    return {409, Refusal("late")};
  }
  Extend(until);
  const auto it = tasks_.find(task);
  const bool is_there = it != tasks_.end() && it->second.number == number;
  const auto barred = barred_.find(task);
  if (!is_there && ((barred != barred_.end() && number <= barred->second) ||
                    it != tasks_.end())) {
    return {409, Refusal("old")};
  }
  if (!is_there) {
    const std::string spec = TextIn(request.body, "spec");
    const size_t at = spec.find("ms=");
    Task added;
    added.number = number;
    added.start = Clock();
    added.length =
        at == std::string::npos ? 10 : atoll(spec.substr(at + 3).c_str());
    added.run = runs_.Begin(settings_.id, task, number);
    tasks_[task] = added;
  }
  return {200, "{\"clock-ms\":" + std::to_string(Clock()) + "}"};
}

Response Executor::Hold(const Request& request,
                        std::unique_lock<std::mutex>& lock) {
  const int64_t until = NumberIn(request.body, "until-ms", 0);
  if (until > 0) {
    Extend(until);
  }
  const int64_t seen = NumberIn(request.body, "seen-upto", 0);
  std::erase_if(ends_, [seen](const End& it) { return it.number <= seen; });
  ended_.wait_for(
      lock, std::chrono::milliseconds(NumberIn(request.body, "wait-ms", 0)),
      [this] { return closed_ || !ends_.empty(); });
  if (closed_) {
    return {0, ""};
  }
  const int64_t clock = Clock();
  std::ostringstream body;
  body << "{\"clock-ms\":" << clock << ",\"born\":" << born_
       << ",\"running\":[";
  const char* comma = "";
  for (const auto& [task, it] : tasks_) {
    const int64_t percent = std::min<int64_t>(
        99, (clock - it.start) * 100 / std::max<int64_t>(it.length, 1));
    body << comma << "[\"" << task << "\"," << it.number << ",\"\"," << percent
         << ",0]";
    comma = ",";
  }
  body << "],\"ended\":[";
  comma = "";
  for (size_t n = 0; n < ends_.size() && n < kMaxListedEnds; ++n) {
    const End& it = ends_[n];
    body << comma << "[" << it.number << ",\"" << it.task << "\"," << it.run
         << ",\"" << it.how << "\",\"\"]";
    comma = ",";
  }
  body << "]}";
  return {200, body.str()};
}

Instance::Instance(const std::string& settings_file,
                   const std::string& log_file) {
  const std::string variable = "FILBERTWICK_SETTINGS=" + settings_file;
  std::array<char*, 3> environment = {const_cast<char*>(variable.c_str()),
                                      const_cast<char*>("LANG=C.UTF-8"),
                                      nullptr};
  std::array<char*, 2> arguments = {const_cast<char*>(kProgram), nullptr};
  const int log =
      open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(kProgram, arguments.data(), environment.data());
    _exit(127);
  }
  close(log);
}

Instance::~Instance() {
  if (pid_ > 0 && !HasEnded()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void Instance::Signal(int number) const {
  if (pid_ > 0) {
    kill(pid_, number);
  }
}

bool Instance::HasEnded() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ <= 0;
}

int64_t Instance::ProcessorMs() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  std::istringstream fields(
      text.substr(std::min(text.size(), text.rfind(')') + 2)));
  std::string skipped;
  for (int n = 0; n < 11; ++n) {
    fields >> skipped;
  }
  int64_t user = 0;
  int64_t system = 0;
  fields >> user >> system;
  return (user + system) * 1000 / sysconf(_SC_CLK_TCK);
}

Deployment::Deployment(const std::string& folder,
                       size_t entries,
                       size_t sidecars)
    : record_(folder + "/record.txt"), runs_(record_), net_(FindNet()) {
  const char* base = getenv("TMPDIR");
  temporary_ = std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
  if (mkdtemp(temporary_.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  store_host_ = net_ + "1";
  store_ = std::make_unique<Store>(store_host_);
  store_->Put(
      "keyed.op/0", "config",
      std::string(R"({"version":1,"routes":[{"name":"r-1","host":")") + kHost +
          R"(","path-prefix":"/jobs/","kind":"unsafe","timeout-ms":15000,)"
          R"("target-latency-ms":60,"priority":0,"service":")" +
          kService +
          R"(","max-attempts":4,"stretch":1.6}],"services":[{"name":")" +
          kService +
          R"(","health-path":"/health","max-conns":64,"protocol":"h1",)"
          R"("tls":false,"enforces-capacity":false,"spare":false}],)"
          R"("limits":{"header-bytes":16384,"max-body-bytes":262144,)"
          R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})");
  for (size_t n = 0; n < entries; ++n) {
    entry_hosts_.push_back(net_ + std::to_string(2 + n));
  }
  for (size_t n = 0; n < sidecars; ++n) {
    sidecar_hosts_.push_back(net_ + std::to_string(2 + entries + n));
  }
  for (size_t n = 0; n < entries; ++n) {
    const std::string name = "entry-" + std::to_string(n + 1);
    entries_.push_back(std::make_unique<Instance>(
        WriteSettings(
            {name, entry_hosts_[n], "zone-" + std::to_string(n + 1), true}),
        temporary_ + "/" + name + ".log"));
  }
  for (size_t n = 0; n < sidecars; ++n) {
    const std::string name = "sidecar-" + std::to_string(n + 1);
    sidecars_.push_back(std::make_unique<Instance>(
        WriteSettings({name, sidecar_hosts_[n],
                       "zone-" + std::to_string(n % entries + 1), false}),
        temporary_ + "/" + name + ".log"));
  }
  for (size_t n = 0; n < sidecars; ++n) {
    executors_.push_back(std::make_unique<Executor>(
        executor_settings(n, "executor-" + std::to_string(n + 1)), record_,
        runs_));
  }
}

Deployment::~Deployment() {
  entries_.clear();
  sidecars_.clear();
  executors_.clear();
  store_.reset();
  if (getenv("REVIEW_KEEP_LOGS") == nullptr) {
    std::error_code ec;
    std::filesystem::remove_all(temporary_, ec);
  } else {
    std::fprintf(stderr, "logs: %s\n", temporary_.c_str());
  }
}

ExecutorSettings Deployment::executor_settings(size_t n,
                                               const std::string& id) const {
  ExecutorSettings settings;
  settings.id = id;
  settings.host = sidecar_hosts_[n];
  settings.zone = "zone-" + std::to_string(n % entry_hosts_.size() + 1);
  settings.service = kService;
  return settings;
}

std::string Deployment::WriteSettings(const InstanceSettings& settings) const {
  const std::string& host = settings.host;
  const auto address = [&host](uint16_t port) {
    return "\"" + host + ":" + std::to_string(port) + "\"";
  };
  std::string seeds;
  for (size_t n = 0; n < entry_hosts_.size() && n < 3; ++n) {
    seeds += std::string(n == 0 ? "" : ",") + "\"" + entry_hosts_[n] + ":" +
             std::to_string(kControlPort) + "\"";
  }
  std::ostringstream text;
  text << R"({"node":")" << settings.name << R"(","role":")"
       << (settings.is_entry ? "entry" : "sidecar") << R"(","ip":")" << host
       << R"(","zone":")" << settings.zone << R"(","region":"region-1",)";
  if (settings.is_entry) {
    text << R"("machine-class":"front","serves":["front","control"],)"
         << R"("listen":{"front":)" << address(kFrontPort) << R"(,"ready":)"
         << address(kReadyPort) << R"(,"control":)" << address(kControlPort)
         << R"(},"limits":{"cpu-share":0.25,"cores":1,"link-mbps":1000.0},)";
  } else {
    text << R"("machine-class":"side","serves":["side"],"listen":{"control":)"
         << address(kControlPort) << R"(},"app":)" << address(kAppPort)
         << R"(,"service":")" << kService << R"(",)";
  }
  text << R"("port-range":[)" << kPeerPort << "," << kPeerPort + 15
       << R"(],"seeds":[)" << seeds
       << R"(],"bootstrap":true,"heartbeat-ms":1500,"orders":"invoke",)"
       << R"("bounds":{"stable-window-ms":3000,"ack-ms":4000,"drain-ms":2000,)"
       << R"("grace-s":6,"loss-slack-ms":200,"config-apply-ms":2000,)"
       << R"("evacuate-ms":5000,"recover-s":12,"hold-max-ms":1000,)"
       << R"("stop-ms":50,"cancel_ms":3000,"resend-ms":1300},)"
       << R"("platform":{"address":")" << store_host_ << ":" << kStorePort
       << R"(","form":"log","writes-per-s":800,"reads-per-s":2000,"parts":16}})"
       << "\n";
  std::string file = temporary_ + "/" + settings.name + ".json";
  std::ofstream(file) << text.str();
  return file;
}

bool Deployment::IsReady(size_t entry) {
  return Call(entry_hosts_[entry], kReadyPort,
              FormatRequest("GET", "/api/ready", entry_hosts_[entry], "", ""),
              1000)
             .status == 200;
}

bool Deployment::AwaitReady() {
  const int64_t until = NowMs() + 20000;
  size_t ready = 0;
  while (ready < entry_hosts_.size() && NowMs() < until) {
    SleepMs(50);
    ready = 0;
    for (size_t n = 0; n < entry_hosts_.size(); ++n) {
      ready += IsReady(n) ? 1 : 0;
    }
  }
  // Every sidecar has found its executor by then.
  SleepMs(2000);
  return ready == entry_hosts_.size();
}

std::string Deployment::FormatJob(const std::string& id,
                                  const std::string& spec,
                                  const std::string& steps,
                                  int64_t deadline_ms) const {
  return FormatRequest(
      "POST", "/jobs/" + id, kHost,
      "Filbertwick-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n",
      R"({"spec":")" + spec + R"(","best-effort":true,"steps":)" + steps + "}");
}

std::string Deployment::FormatCancel(const std::string& id) const {
  return FormatRequest("DELETE", "/jobs/" + id, kHost, "", "");
}

Response Deployment::Ask(size_t entry,
                         const std::string& what,
                         const std::string& bytes,
                         int64_t timeout_ms) {
  const std::string name = "entry-" + std::to_string(entry + 1);
  record_.Add("client sends " + what + " to " + name);
  Response response = Call(entry_hosts_[entry], kFrontPort, bytes, timeout_ms);
  record_.Add(name + " answers " + what + ": " +
              (response.status == 0
                   ? std::string("nothing")
                   : std::to_string(response.status) + " " + response.body));
  return response;
}

std::string JobId(uint64_t number) {
  std::ostringstream text;
  text << std::hex << std::setw(16) << std::setfill('0')
       << number + 0x5c0e7a2100000000;
  return text.str();
}

int RunCase(int argc, char** argv, int (*run)(const std::string& folder)) {
  NowMs();
  signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::fprintf(stderr, "usage: %s FOLDER\n", argv[0]);
    return kNotRun;
  }
  try {
    return run(argv[1]);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s: %s\n", argv[0], error.what());
    return kNotRun;
  }
}

}  // namespace bed
