#ifndef REVIEW_STANDINS_2_HTTP_H_
#define REVIEW_STANDINS_2_HTTP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

// Blocking HTTP/1.1 with one thread per connection, for stand-ins of callers,
// upstreams and the platform's store. Bodies need a Content-Length.

namespace review {

/// An address on the loopback interface.
struct Endpoint {
  std::string host;
  uint16_t port = 0;

  std::string ToString() const { return host + ":" + std::to_string(port); }
};

struct Request {
  std::string method;
  std::string target;
  /// Names are in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  /// Returns a parameter of the query; empty if it is missing.
  std::string Query(std::string_view name) const;
  std::string Header(const std::string& name) const;
};

struct Response {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
};

/// A connection of a client. Not thread-safe.
class Connection {
 public:
  Connection() = default;
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Open(const Endpoint& server);
  bool Send(const Request& request);
  /// Waits for a response; nullopt if the connection ends or `wait_ms` are
  /// over before it is complete.
  std::optional<Response> Receive(int wait_ms);
  void Close();

 private:
  int socket_ = -1;
  std::string buffer_;
};

/// Opens a connection for one request. Nullopt without a complete response.
std::optional<Response> CallOnce(const Endpoint& server,
                                 const Request& request,
                                 int wait_ms);

/// Listens until it is destroyed.
class Server {
 public:
  /// Runs on the thread of the connection and may block. Nullopt: the request
  /// gets no answer, and nothing more is sent on its connection.
  using Handler = std::function<std::optional<Response>(const Request&)>;

  /// Returns null if the address can't be bound.
  static std::unique_ptr<Server> Create(const Endpoint& listen,
                                        Handler handler);
  ~Server();

 private:
  Server(int socket, Handler handler)
      : socket_(socket), handler_(std::move(handler)) {}
  void Accept();
  void Serve(int client);

  const int socket_;
  const Handler handler_;
  std::atomic<bool> stopping_ = false;
  std::thread acceptor_;
  std::mutex mutex_;
  /// Open sockets of clients.
  std::vector<int> clients_;
  std::vector<std::thread> threads_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_HTTP_H_
