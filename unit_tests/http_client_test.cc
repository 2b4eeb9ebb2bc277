#include <criterion/criterion.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <memory>
#include <vector>

#include "filbertwick/http/client.h"
#include "filbertwick/http/server.h"
#include "unit_tests/http_fixture.h"

namespace {

using filbertwick::Duration;
using filbertwick::http::CallProgress;
using filbertwick::http::CallResult;
using filbertwick::http::Client;
using filbertwick::http::ClientSettings;
using filbertwick::http::Request;
using filbertwick::http::Responder;
using filbertwick::http::Server;
using filbertwick::test::LoopThread;

constexpr Duration kTestTimeout = std::chrono::seconds(60);
constexpr Duration kShortTimeout = std::chrono::milliseconds(30);

/// A client on its own thread, with futures for the results of its calls.
struct TestClient {
  explicit TestClient(const ClientSettings& settings) {
    loop.Run([&] { client = Client::Create(loop.context(), settings); });
  }
  ~TestClient() {
    loop.Stop();
    client.reset();
  }

  std::future<CallResult> Call(Request request, Duration timeout) {
    auto promise = std::make_shared<std::promise<CallResult>>();
    loop.Run([&] {
      last_call_id = client->Call(
          std::move(request), timeout,
          [promise](const CallResult& result) { promise->set_value(result); });
    });
    return promise->get_future();
  }

  LoopThread loop;
  std::unique_ptr<Client> client;
  uint64_t last_call_id = 0;
};

/// A listening socket. The test accepts the connections and writes the
/// responses itself.
struct RawServer {
  RawServer() : acceptor(context, {boost::asio::ip::tcp::v4(), 0}) {
    settings.port = acceptor.local_endpoint().port();
  }

  boost::asio::ip::tcp::socket Accept() { return acceptor.accept(); }

  static void ReadHead(boost::asio::ip::tcp::socket& socket) {
    std::string bytes;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(bytes),
                            "\r\n\r\n");
  }

  static void Send(boost::asio::ip::tcp::socket& socket,
                   std::string_view bytes) {
    boost::asio::write(socket, boost::asio::buffer(bytes.data(), bytes.size()));
  }

  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor;
  ClientSettings settings;
};

Test(http_client, refused_connection_counts_as_not_connected) {
  ClientSettings settings;
  {
    RawServer closed;
    settings = closed.settings;
  }
  TestClient client(settings);
  const CallResult result = client.Call({}, kTestTimeout).get();
  cr_assert(absl::IsUnavailable(result.response.status()));
  cr_assert(result.progress == CallProgress::kNotConnected);
}

Test(http_client, invalid_host_and_malformed_target_fail) {
  ClientSettings settings;
  settings.host = "no.ip.number";
  TestClient client(settings);
  cr_assert(absl::IsUnavailable(
      client.Call({}, kTestTimeout).get().response.status()));
  const CallResult bad =
      client.Call({"GET", "/a b", {}, {}}, kTestTimeout).get();
  cr_assert(absl::IsInvalidArgument(bad.response.status()));
  cr_assert(bad.progress == CallProgress::kNotSent);
}

Test(http_client, reused_connection_closed_before_the_response_counts_as_sent) {
  RawServer server;
  TestClient client(server.settings);
  auto first = client.Call({}, kTestTimeout);
  auto socket = server.Accept();
  RawServer::ReadHead(socket);
  RawServer::Send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  cr_assert_eq(first.get().response->body, "ok");
  auto second = client.Call({}, kTestTimeout);
  RawServer::ReadHead(socket);
  socket.close();
  const CallResult result = second.get();
  cr_assert(absl::IsUnavailable(result.response.status()));
  cr_assert(result.progress == CallProgress::kSent);
}

Test(http_client, connection_closed_by_the_server_is_replaced) {
  RawServer server;
  TestClient client(server.settings);
  for (int i = 0; i < 3; ++i) {
    auto call = client.Call({}, kTestTimeout);
    auto socket = server.Accept();
    RawServer::ReadHead(socket);
    RawServer::Send(socket,
                    "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                    "Content-Length: 1\r\n\r\nx");
    cr_assert_eq(call.get().response->body, "x");
  }
}

Test(http_client, body_may_end_at_connection_close) {
  RawServer server;
  TestClient client(server.settings);
  auto call = client.Call({}, kTestTimeout);
  auto socket = server.Accept();
  RawServer::ReadHead(socket);
  RawServer::Send(socket,
                  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\n\r\nrest");
  socket.close();
  cr_assert_eq(call.get().response->body, "rest");
}

// The last chunk of an empty body, when it arrived in two parts, ended the
// process in an assertion of the parser.
Test(http_client, empty_chunked_body_may_arrive_in_parts) {
  RawServer server;
  TestClient client(server.settings);
  auto result = client.Call({}, kTestTimeout);
  auto socket = server.Accept();
  RawServer::ReadHead(socket);
  RawServer::Send(socket,
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "0\r\n\r");
  // Lets the client read what was sent.
  client.loop.Run([] {});
  RawServer::Send(socket, "\n");
  const CallResult done = result.get();
  cr_assert(done.response.ok() && done.response->body.empty());
}

// Trailer sections and chunk extensions were held without a limit.
Test(http_client, oversized_trailers_and_chunk_extensions_fail) {
  for (const std::string_view start : {"0\r\nX: ", "3;x="}) {
    RawServer server;
    TestClient client(server.settings);
    auto result = client.Call({}, kTestTimeout);
    auto socket = server.Accept();
    RawServer::ReadHead(socket);
    RawServer::Send(socket,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                        std::string(start) + std::string(20'000, 'x'));
    cr_assert_not(result.get().response.ok());
  }
}

Test(http_client, truncated_or_malformed_response_fails) {
  RawServer server;
  TestClient client(server.settings);
  for (const std::string_view bytes :
       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx", "nonsense\r\n\r\n"}) {
    auto call = client.Call({}, kTestTimeout);
    auto socket = server.Accept();
    RawServer::ReadHead(socket);
    RawServer::Send(socket, bytes);
    socket.close();
    const CallResult result = call.get();
    cr_assert(absl::IsUnavailable(result.response.status()));
    cr_assert(result.progress == CallProgress::kSent);
  }
}

Test(http_client, timeout_and_cancel_report_whether_the_request_was_sent) {
  RawServer server;
  server.settings.max_connections = 1;
  TestClient client(server.settings);
  auto sent = client.Call({}, kTestTimeout);
  const uint64_t sent_call_id = client.last_call_id;
  auto queued = client.Call({}, kShortTimeout);
  const CallResult timed_out = queued.get();
  cr_assert(absl::IsDeadlineExceeded(timed_out.response.status()));
  cr_assert(timed_out.progress == CallProgress::kNotSent);
  auto socket = server.Accept();
  RawServer::ReadHead(socket);
  client.loop.Run([&] { client.client->Cancel(sent_call_id); });
  const CallResult cancelled = sent.get();
  cr_assert(absl::IsCancelled(cancelled.response.status()));
  cr_assert(cancelled.progress == CallProgress::kSent);
}

// The server goes silent on all open connections and answers on new ones, as
// after a fault in the network between them.
Test(http_client, leaves_silent_connections_after_one_timeout) {
  RawServer server;
  TestClient client(server.settings);
  std::vector<std::future<CallResult>> calls;
  std::vector<boost::asio::ip::tcp::socket> silent;
  for (int i = 0; i < 3; ++i) {
    calls.push_back(client.Call({}, kTestTimeout));
    silent.push_back(server.Accept());
    RawServer::ReadHead(silent.back());
  }
  for (int i = 0; i < 3; ++i) {
    RawServer::Send(silent[i], "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    cr_assert(calls[i].get().response.ok());
  }
  const CallResult timed_out = client.Call({}, kShortTimeout).get();
  cr_assert(absl::IsDeadlineExceeded(timed_out.response.status()));
  client.Call({}, kShortTimeout).wait();
  server.acceptor.non_blocking(true);
  boost::system::error_code ec;
  server.acceptor.accept(ec);
  cr_assert(!ec, "no new connection: %s", ec.message().c_str());
}

Test(http_client, cancelled_queued_call_is_never_sent) {
  RawServer server;
  server.settings.max_connections = 1;
  TestClient client(server.settings);
  auto first = client.Call({"GET", "/first", {}, {}}, kTestTimeout);
  auto second = client.Call({"GET", "/second", {}, {}}, kTestTimeout);
  const uint64_t second_call_id = client.last_call_id;
  auto third = client.Call({"GET", "/third", {}, {}}, kTestTimeout);
  client.loop.Run([&] { client.client->Cancel(second_call_id); });
  const CallResult result = second.get();
  cr_assert(absl::IsCancelled(result.response.status()));
  cr_assert(result.progress == CallProgress::kNotSent);
  auto socket = server.Accept();
  RawServer::ReadHead(socket);
  RawServer::Send(socket, "HTTP/1.1 204 No Content\r\n\r\n");
  cr_assert_eq(first.get().response->status, 204);
  std::string head;
  boost::asio::read_until(socket, boost::asio::dynamic_buffer(head),
                          "\r\n\r\n");
  cr_assert(head.starts_with("GET /third "));
  RawServer::Send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  cr_assert(third.get().response.ok());
}

Test(http_client, many_calls_share_few_connections) {
  constexpr int kCalls = 2'000;
  LoopThread loop;
  std::unique_ptr<Server> server;
  loop.Run([&] {
    server = *Server::Create(loop.context(), {},
                             [](Request request, const Responder& respond) {
                               respond({200, {}, std::move(request.body)});
                             });
  });
  ClientSettings settings;
  settings.port = server->port();
  settings.max_connections = 4;
  {
    TestClient client(settings);
    std::vector<std::future<CallResult>> calls;
    calls.reserve(kCalls);
    for (int i = 0; i < kCalls; ++i) {
      calls.push_back(
          client.Call({"PUT", "/", {}, std::to_string(i)}, kTestTimeout));
    }
    for (int i = 0; i < kCalls; ++i) {
      cr_assert_eq(calls[i].get().response->body, std::to_string(i));
    }
    cr_assert_leq(server->open_connections(), 4);
  }
  loop.Stop();
}

Test(http_client, large_bodies_are_sent_and_received) {
  const std::string large(6'000'000, 'z');
  LoopThread loop;
  std::unique_ptr<Server> server;
  loop.Run([&] {
    server = *Server::Create(loop.context(), {},
                             [](Request request, const Responder& respond) {
                               respond({200, {}, std::move(request.body)});
                             });
  });
  ClientSettings settings;
  settings.port = server->port();
  const auto response = filbertwick::http::CallOnce(
      settings, {"PUT", "/", {}, large}, kTestTimeout);
  loop.Stop();
  cr_assert(response.ok());
  cr_assert_eq(response->body, large);
}

}  // namespace
