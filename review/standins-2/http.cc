#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <chrono>
#include <utility>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

/// How long a read of a server's connection waits before it checks whether the
/// server has been stopped.
constexpr int kStopCheckMs = 100;

sockaddr_in ToAddress(const Endpoint& endpoint) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
  return address;
}

bool SendAll(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

/// Appends what arrives within `wait_ms`. Returns the number of bytes, 0 if
/// none arrived in time, and -1 at the end of the connection.
ssize_t ReadSome(int socket, int wait_ms, std::string& buffer) {
  pollfd item = {socket, POLLIN, 0};
  if (poll(&item, 1, wait_ms) <= 0) {
    return 0;
  }
  char bytes[16 * 1024];
  const ssize_t n = recv(socket, bytes, sizeof(bytes), 0);
  if (n <= 0) {
    return -1;
  }
  buffer.append(bytes, static_cast<size_t>(n));
  return n;
}

/// A message without its first line being interpreted.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Moves the first message out of the buffer, if it is complete.
std::optional<Message> TakeMessage(std::string& buffer) {
  const size_t head = buffer.find("\r\n\r\n");
  if (head == std::string::npos) {
    return std::nullopt;
  }
  Message message;
  size_t at = buffer.find("\r\n");
  message.first_line = buffer.substr(0, at);
  while (at < head) {
    const size_t begin = at + 2;
    at = buffer.find("\r\n", begin);
    const std::string line = buffer.substr(begin, at - begin);
    const size_t colon = line.find(':');
    std::string name = line.substr(0, colon);
    std::ranges::transform(name, name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    const size_t value =
        colon == line.npos ? line.npos : line.find_first_not_of(' ', colon + 1);
    message.headers[name] = value == line.npos ? "" : line.substr(value);
  }
  size_t size = 0;
  const std::string& length = message.headers["content-length"];
  std::from_chars(length.data(), length.data() + length.size(), size);
  if (buffer.size() < head + 4 + size) {
    return std::nullopt;
  }
  message.body = buffer.substr(head + 4, size);
  buffer.erase(0, head + 4 + size);
  return message;
}

std::string FormatResponse(const Response& response) {
  return "HTTP/1.1 " + std::to_string(response.status) +
         " Status\r\nContent-Type: " + response.content_type +
         "\r\nContent-Length: " + std::to_string(response.body.size()) +
         "\r\n\r\n" + response.body;
}

}  // namespace

std::string Request::Query(std::string_view name) const {
  size_t at = target.find('?');
  while (at != target.npos) {
    const size_t end = target.find('&', at + 1);
    const std::string item = target.substr(at + 1, end - at - 1);
    const size_t equals = item.find('=');
    if (item.substr(0, equals) == name && equals != item.npos) {
      return item.substr(equals + 1);
    }
    at = end;
  }
  return "";
}

std::string Request::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

bool Connection::Open(const Endpoint& server) {
  Close();
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToAddress(server);
  if (connect(socket_, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    Close();
    return false;
  }
  const int on = 1;
  setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return true;
}

bool Connection::Send(const Request& request) {
  std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  }
  if (!request.body.empty()) {
    bytes += "Content-Type: application/json\r\n";
  }
  bytes +=
      "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
  return socket_ >= 0 && SendAll(socket_, bytes + request.body);
}

std::optional<Response> Connection::Receive(int wait_ms) {
  const auto until = Clock::now() + std::chrono::milliseconds(wait_ms);
  while (socket_ >= 0) {
    if (const auto message = TakeMessage(buffer_)) {
      Response response;
      const std::string& line = message->first_line;
      std::from_chars(line.data() + std::min<size_t>(9, line.size()),
                      line.data() + line.size(), response.status);
      response.body = message->body;
      return response;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - Clock::now());
    if (left.count() <= 0 ||
        ReadSome(socket_, static_cast<int>(left.count()), buffer_) < 0) {
      break;
    }
  }
  return std::nullopt;
}

void Connection::Close() {
  if (socket_ >= 0) {
    close(socket_);
  }
  socket_ = -1;
  buffer_.clear();
}

std::optional<Response> CallOnce(const Endpoint& server,
                                 const Request& request,
                                 int wait_ms) {
  Connection connection;
  return connection.Open(server) && connection.Send(request)
             ? connection.Receive(wait_ms)
             : std::nullopt;
}

std::unique_ptr<Server> Server::Create(const Endpoint& listen_at,
                                       Handler handler) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToAddress(listen_at);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener, 256) != 0) {
    close(listener);
    return nullptr;
  }
  std::unique_ptr<Server> server(new Server(listener, std::move(handler)));
  server->acceptor_ = std::thread([raw = server.get()] { raw->Accept(); });
  return server;
}

Server::~Server() {
  stopping_ = true;
  acceptor_.join();
  {
    const std::lock_guard lock(mutex_);
    for (const int client : clients_) {
      shutdown(client, SHUT_RDWR);
    }
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
  close(socket_);
}

void Server::Accept() {
  while (!stopping_) {
    pollfd item = {socket_, POLLIN, 0};
    if (poll(&item, 1, kStopCheckMs) <= 0) {
      continue;
    }
    const int client = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(mutex_);
    clients_.push_back(client);
    threads_.emplace_back([this, client] { Serve(client); });
  }
}

void Server::Serve(int client) {
  std::string buffer;
  bool is_silent = false;
  while (!stopping_) {
    if (ReadSome(client, kStopCheckMs, buffer) < 0) {
      break;
    }
    while (auto message = TakeMessage(buffer)) {
      Request request;
      const std::string& line = message->first_line;
      const size_t space = line.find(' ');
      request.method = line.substr(0, space);
      request.target =
          line.substr(space + 1, line.find(' ', space + 1) - space - 1);
      request.headers = std::move(message->headers);
      request.body = std::move(message->body);
      const auto response = is_silent ? std::nullopt : handler_(request);
      is_silent |= !response;
      if (response && !SendAll(client, FormatResponse(*response))) {
        break;
      }
    }
  }
  const std::lock_guard lock(mutex_);
  std::erase(clients_, client);
  close(client);
}

}  // namespace review
