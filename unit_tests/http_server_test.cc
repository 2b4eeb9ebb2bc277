#include <criterion/criterion.h>

#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "filbertwick/harness/random.h"
#include "filbertwick/http/client.h"
#include "filbertwick/http/server.h"
#include "unit_tests/http_fixture.h"

namespace {

using filbertwick::Duration;
using filbertwick::http::CallOnce;
using filbertwick::http::Request;
using filbertwick::http::Responder;
using filbertwick::http::Server;
using filbertwick::http::ServerSettings;
using filbertwick::test::LoopThread;
using filbertwick::test::RawConnection;

constexpr Duration kTestTimeout = std::chrono::seconds(60);
constexpr int kCorruptedRequests = 5'000;
constexpr std::string_view kValidRequest =
    "PUT /v1/jobs/a?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";

/// Responds with the target and body, and with the method in X-Method.
void Echo(Request request, const Responder& respond) {
  respond({200,
           {{"X-Method", request.method}},
           request.target + " " + request.body});
}

/// A server on its own thread; by default its handler is Echo().
struct EchoServer {
  explicit EchoServer(
      const ServerSettings& settings = {},
      filbertwick::http::Handler handler = Echo,
      filbertwick::http::DisconnectHook on_disconnect = nullptr) {
    loop.Run([&] {
      server = *Server::Create(loop.context(), settings, std::move(handler),
                               std::move(on_disconnect));
    });
  }
  ~EchoServer() {
    loop.Stop();
    server.reset();
  }

  uint16_t port() const { return server->port(); }

  void ApplyLimits(const filbertwick::http::RequestLimits& limits) {
    loop.Run([&] { server->SetLimits(limits); });
  }

  /// Returns true if the server gives Echo()'s response to a further request.
  bool AnswersRequests() {
    filbertwick::http::ClientSettings settings;
    settings.port = port();
    const auto response =
        CallOnce(settings, {"PUT", "/ok", {}, "b"}, kTestTimeout);
    return response.ok() && response->status == 200 &&
           response->body == "/ok b";
  }

  LoopThread loop;
  std::unique_ptr<Server> server;
};

bool StartsWithStatus(std::string_view bytes, int status) {
  return bytes.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

Test(http_server, pipelined_requests_are_answered_on_one_connection) {
  EchoServer server;
  RawConnection raw(server.port());
  raw.Send(kValidRequest);
  raw.Send(kValidRequest);
  raw.Send("GET /last HTTP/1.1\r\nConnection: close\r\n\r\n");
  const std::string bytes = raw.ReadAll();
  const auto first = bytes.find("/v1/jobs/a?x=1 hello");
  cr_assert(first != std::string::npos);
  cr_assert(bytes.find("/v1/jobs/a?x=1 hello", first + 1) != std::string::npos);
  cr_assert(bytes.ends_with("/last "));
}

Test(http_server, chunked_body_may_arrive_byte_by_byte) {
  EchoServer server;
  RawConnection raw(server.port());
  const std::string request =
      "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n"
      "\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  for (const char c : request) {
    raw.Send({&c, 1});
  }
  cr_assert(raw.ReadAll().ends_with("/c abcde"));
}

// The last chunk of an empty body, when it arrived in two parts, ended the
// process in an assertion of the parser.
Test(http_server, empty_chunked_body_may_arrive_byte_by_byte) {
  EchoServer server;
  RawConnection raw(server.port());
  raw.Send(
      "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n0\r\n\r");
  cr_assert(server.AnswersRequests());
  raw.Send("\n");
  cr_assert(raw.ReadAll().ends_with("/c "));
}

// Trailer sections and chunk extensions were held without a limit.
Test(http_server, oversized_trailers_and_chunk_extensions_are_rejected) {
  ServerSettings settings;
  settings.max_header_bytes = 1000;
  EchoServer server(settings);
  const std::string head =
      "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string filler(5000, 'x');
  for (const std::string& rest :
       {"0\r\nX: " + filler, "3\r\nabc\r\n0\r\nX: " + filler, "3;x=" + filler,
        "3\r\nabc\r\n3;x=" + filler}) {
    RawConnection raw(server.port());
    raw.Send(head + rest);
    const std::string bytes = raw.ReadAll();
    cr_assert(StartsWithStatus(bytes, 431), "%s", bytes.c_str());
  }
  RawConnection raw(server.port());
  raw.Send(head + "3;x=y\r\nabc\r\n0\r\nX: " + filler.substr(0, 900) +
           "\r\n\r\n");
  cr_assert(raw.Read(12) == "HTTP/1.1 200");
}

// The server rejects the body before it has read all of it. Closing at once
// would reset the connection, and the client could lose the response.
Test(http_server, oversized_body_is_rejected_and_the_response_arrives) {
  ServerSettings settings;
  settings.max_body_bytes = 1000;
  EchoServer server(settings);
  RawConnection raw(server.port());
  raw.Send("PUT / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n" +
           std::string(200'000, 'x'));
  raw.ShutdownSend();
  const std::string bytes = raw.ReadAll();
  cr_assert(StartsWithStatus(bytes, 413), "%s", bytes.c_str());
  cr_assert(bytes.find("body_too_large") != std::string::npos);
  cr_assert(server.AnswersRequests());
}

Test(http_server, oversized_header_and_malformed_request_are_rejected) {
  EchoServer server;
  RawConnection large(server.port());
  large.Send("GET / HTTP/1.1\r\nA: " + std::string(20'000, 'x'));
  cr_assert(StartsWithStatus(large.ReadAll(), 431));
  RawConnection malformed(server.port());
  malformed.Send("this is not HTTP\r\n\r\n");
  cr_assert(StartsWithStatus(malformed.ReadAll(), 400));
  cr_assert(server.AnswersRequests());
}

Test(http_server, incomplete_body_times_out) {
  ServerSettings settings;
  settings.read_timeout = std::chrono::milliseconds(50);
  EchoServer server(settings);
  RawConnection raw(server.port());
  raw.Send("PUT / HTTP/1.1\r\nContent-Length: 10\r\n\r\n12345");
  cr_assert(StartsWithStatus(raw.ReadAll(), 408));
  cr_assert(server.AnswersRequests());
}

Test(http_server, incomplete_header_times_out_before_incomplete_body) {
  ServerSettings settings;
  settings.header_timeout = std::chrono::milliseconds(50);
  EchoServer server(settings);
  RawConnection body(server.port());
  body.Send("PUT / HTTP/1.1\r\nContent-Length: 10\r\n\r\n12345");
  RawConnection header(server.port());
  header.Send("PUT / HTTP/1.1\r\nContent-Le");
  cr_assert(StartsWithStatus(header.ReadAll(), 408));
  body.Send("67890");
  body.ShutdownSend();
  cr_assert(StartsWithStatus(body.ReadAll(), 200));
}

Test(http_server, new_limits_apply_to_later_requests) {
  EchoServer server;
  filbertwick::http::RequestLimits limits;
  limits.max_header_bytes = 200;
  server.ApplyLimits(limits);
  RawConnection raw(server.port());
  raw.Send("GET / HTTP/1.1\r\nA: " + std::string(300, 'x') + "\r\n\r\n");
  cr_assert(StartsWithStatus(raw.ReadAll(), 431));
}

Test(http_server, idle_connection_is_closed_without_a_response) {
  ServerSettings settings;
  settings.idle_timeout = std::chrono::milliseconds(50);
  EchoServer server(settings);
  RawConnection raw(server.port());
  cr_assert_eq(raw.ReadAll().size(), 0);
}

Test(http_server, reports_a_disconnect_before_the_response) {
  std::promise<uint64_t> handled;
  std::promise<uint64_t> disconnected;
  Responder saved_responder;
  EchoServer server(
      {},
      [&](const Request& request, Responder respond) {
        saved_responder = std::move(respond);
        handled.set_value(request.number);
      },
      [&](uint64_t number) { disconnected.set_value(number); });
  RawConnection raw(server.port());
  raw.Send(kValidRequest);
  const uint64_t number = handled.get_future().get();
  raw.Close();
  cr_assert_eq(disconnected.get_future().get(), number);
  saved_responder({});
}

/// Sends a request and, while it is handled, `further` bytes; then resets the
/// connection. Checks that the disconnect is reported, and that no other
/// request is handled.
void CheckReset(std::string_view further) {
  std::promise<uint64_t> handled;
  std::promise<uint64_t> disconnected;
  EchoServer test(
      {},
      [&](const Request& request, const Responder&) {
        // Fails when it is called again.
        handled.set_value(request.number);
      },
      [&](uint64_t number) { disconnected.set_value(number); });
  RawConnection raw(test.port());
  raw.Send(kValidRequest);
  const uint64_t number = handled.get_future().get();
  raw.Send(further);
  // The server has read what it wants to when it has answered this one.
  test.loop.Run([] {});
  raw.Reset();
  cr_assert_eq(disconnected.get_future().get(), number);
}

// The server read nothing while bytes of a further request were buffered, and
// went on with a job that its caller had sent again elsewhere.
Test(http_server,
     reports_a_reset_while_the_next_request_is_buffered,
     .timeout = 60) {
  CheckReset(kValidRequest);
}

Test(http_server,
     reports_a_reset_while_a_part_of_a_request_is_buffered,
     .timeout = 60) {
  CheckReset(kValidRequest.substr(0, 20));
}

// More than the server buffers: the reset does not show by a read.
Test(http_server,
     reports_a_reset_while_more_requests_wait_than_are_buffered,
     .timeout = 60) {
  std::string further;
  while (further.size() < 300'000) {
    further += kValidRequest;
  }
  CheckReset(further);
}

Test(http_server,
     answers_pipelined_requests_of_a_client_that_has_ended_its_input,
     .timeout = 60) {
  EchoServer server;
  RawConnection raw(server.port());
  raw.Send(std::string(kValidRequest) + std::string(kValidRequest));
  raw.ShutdownSend();
  const std::string bytes = raw.ReadAll();
  const auto first = bytes.find("/v1/jobs/a?x=1 hello");
  cr_assert(first != std::string::npos);
  cr_assert(bytes.find("/v1/jobs/a?x=1 hello", first + 1) != std::string::npos);
}

/// Sends a request and ends the connection while the server is busy, so that it
/// reads the request only afterwards. Checks that it does not handle the
/// request.
void CheckUnhandledAfter(const std::function<void(RawConnection&)>& end) {
  std::atomic<int> handled = 0;
  EchoServer test(
      {},
      [&](Request request, const Responder& respond) {
        ++handled;
        Echo(std::move(request), respond);
      },
      [](uint64_t) {});
  RawConnection raw(test.port());
  raw.Send(kValidRequest);
  cr_assert(StartsWithStatus(raw.Read(13), 200));
  test.loop.Run([&] {
    raw.Send(kValidRequest);
    end(raw);
  });
  cr_assert(test.AnswersRequests());
  cr_assert_eq(handled, 2);
}

Test(http_server, does_not_handle_a_request_whose_connection_was_reset) {
  CheckUnhandledAfter([](RawConnection& it) { it.Reset(); });
}

// A paused server may read a request long after the client gave it up.
Test(http_server, does_not_handle_a_request_whose_connection_was_closed) {
  CheckUnhandledAfter([](RawConnection& it) { it.Close(); });
}

// Requests and resets arrive in any order, some while the server is busy. Every
// request that is handled belongs to a connection whose end must be reported.
Test(http_server, reports_the_end_of_every_connection, .timeout = 120) {
  constexpr int kConnections = 3'000;
  std::atomic<int> handled = 0;
  std::atomic<int> disconnected = 0;
  EchoServer test(
      {},
      [&](Request request, const Responder& respond) {
        if (request.target == "/ok") {
          Echo(std::move(request), respond);
          return;
        }
        ++handled;
      },
      [&](uint64_t) { ++disconnected; });
  filbertwick::harness::Random random(1);
  std::vector<std::unique_ptr<RawConnection>> open;
  const auto step = [&] {
    open.push_back(std::make_unique<RawConnection>(test.port()));
    open.back()->Send(kValidRequest);
    if (random.Chance(0.3)) {
      open.back()->Send(kValidRequest.substr(0, random.Below(60)));
    }
    if (open.size() > 20 || random.Chance(0.3)) {
      const auto it =
          open.begin() + static_cast<std::ptrdiff_t>(random.Below(open.size()));
      random.Chance(0.5) ? (*it)->Reset() : (*it)->Close();
      open.erase(it);
    }
  };
  for (int n = 0; n < kConnections; ++n) {
    if (random.Chance(0.5)) {
      test.loop.Run(step);
    } else {
      step();
    }
  }
  for (const auto& connection : open) {
    connection->Reset();
  }
  do {
    cr_assert(test.AnswersRequests());
  } while (test.server->open_connections() > 0);
  cr_assert_gt(handled, 0);
  cr_assert_eq(handled, disconnected);
}

Test(http_server, response_may_come_later_from_another_thread) {
  std::vector<std::thread> threads;
  EchoServer server({}, [&](Request request, Responder respond) {
    threads.emplace_back(
        [request = std::move(request), respond = std::move(respond)] {
          Echo(request, respond);
          Echo(request, respond);  // The second response is ignored.
        });
  });
  cr_assert(server.AnswersRequests());
  cr_assert(server.AnswersRequests());
  server.loop.Run([&] {
    for (auto& thread : threads) {
      thread.join();
    }
  });
}

// A crowd that keeps connections open without a request kept further clients
// out.
Test(http_server, a_new_connection_replaces_an_idle_one_at_the_limit) {
  ServerSettings settings;
  settings.max_connections = 1;
  EchoServer server(settings);
  RawConnection first(server.port());
  first.Send(kValidRequest);
  cr_assert_eq(first.Read(12), "HTTP/1.1 200");
  RawConnection second(server.port());
  second.Send(kValidRequest);
  cr_assert_eq(second.Read(12), "HTTP/1.1 200");
  cr_assert(first.ReadAll().ends_with("hello"));
  cr_assert_eq(server.server->open_connections(), 1);
}

Test(http_server, connections_beyond_the_limit_are_closed_when_all_wait) {
  std::promise<Responder> handled;
  ServerSettings settings;
  settings.max_connections = 1;
  EchoServer server(settings, [&](const Request&, Responder respond) {
    handled.set_value(std::move(respond));
  });
  RawConnection first(server.port());
  first.Send(kValidRequest);
  const Responder respond = handled.get_future().get();
  RawConnection second(server.port());
  cr_assert_eq(second.ReadAll().size(), 0);
  cr_assert_eq(server.server->open_connections(), 1);
  respond({200, {}, "late"});
  cr_assert_eq(first.Read(12), "HTTP/1.1 200");
}

// Each request was within the limits, but all together were held without any.
Test(http_server, large_unfinished_requests_give_way_when_memory_is_short) {
  constexpr size_t kBodyBytes = 200'000;
  ServerSettings settings;
  settings.budget =
      filbertwick::core::policy::ClientBudget::Create(4 * kBodyBytes);
  EchoServer server(settings);
  std::vector<std::unique_ptr<RawConnection>> crowd;
  for (int n = 0; n < 20; ++n) {
    crowd.push_back(std::make_unique<RawConnection>(server.port()));
    crowd.back()->Send(
        "PUT / HTTP/1.1\r\nContent-Length: " + std::to_string(kBodyBytes) +
        "\r\n\r\n" + std::string(kBodyBytes - 1, 'x'));
    cr_assert(server.AnswersRequests());
    server.loop.Run([&] {
      cr_assert_leq(settings.budget->used_bytes(),
                    settings.budget->max_bytes());
    });
  }
  cr_assert_gt(settings.budget->closed(), 0);
  // The oldest is refused, with a promise that it has not run.
  crowd.front()->ShutdownSend();
  const std::string bytes = crowd.front()->ReadAll();
  cr_assert(StartsWithStatus(bytes, 503), "%s", bytes.c_str());
  cr_assert(bytes.find("Retry-After: 1") != std::string::npos);
  cr_assert(bytes.find("\"not_run\":true") != std::string::npos);
  // The newest is still held, and is answered when it is complete.
  crowd.back()->Send("x");
  cr_assert_eq(crowd.back()->Read(12), "HTTP/1.1 200");
}

Test(http_server, stop_accepting_lets_the_open_request_finish) {
  std::promise<Responder> handled;
  EchoServer server({}, [&](const Request&, Responder respond) {
    handled.set_value(std::move(respond));
  });
  RawConnection raw(server.port());
  RawConnection idle(server.port());
  raw.Send(kValidRequest);
  const Responder respond = handled.get_future().get();
  server.server->StopAccepting();
  server.loop.Run([] {});
  RawConnection after_stop(server.port());
  cr_assert_eq(after_stop.ReadAll().size(), 0);
  cr_assert_eq(idle.ReadAll().size(), 0);
  respond({200, {}, "done"});
  cr_assert(raw.ReadAll().ends_with("done"));
}

Test(http_server, response_larger_than_the_socket_buffer_arrives_complete) {
  const std::string large(8'000'000, 'y');
  EchoServer server({}, [&](const Request&, const Responder& respond) {
    respond({200, {{"Connection", "close"}}, large});
  });
  RawConnection raw(server.port());
  raw.Send(kValidRequest);
  cr_assert(raw.ReadAll().ends_with("\r\n\r\n" + large));
}

Test(http_server, header_values_cannot_inject_headers) {
  EchoServer server({}, [&](const Request&, const Responder& respond) {
    respond({200, {{"A", "b\r\nEvil: 1"}, {"Connection", "close"}}, ""});
  });
  RawConnection raw(server.port());
  raw.Send(kValidRequest);
  cr_assert(raw.ReadAll().find("\r\nEvil") == std::string::npos);
}

Test(http_server, corrupted_requests_do_not_crash_the_server) {
  ServerSettings settings;
  settings.max_body_bytes = 10'000;
  EchoServer server(settings);
  std::mt19937_64 random(7);
  int answered = 0;
  int rejected = 0;
  for (int i = 0; i < kCorruptedRequests; ++i) {
    std::string bytes(kValidRequest);
    const uint64_t changed_bytes = 1 + random() % 6;
    for (uint64_t change = 0; change < changed_bytes; ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 4 == 0) {
      bytes.resize(random() % bytes.size());
    }
    RawConnection raw(server.port());
    raw.Send(bytes);
    raw.ShutdownSend();
    const std::string answer = raw.ReadAll();
    answered += StartsWithStatus(answer, 200) ? 1 : 0;
    rejected += StartsWithStatus(answer, 400) ? 1 : 0;
    cr_assert(answer.empty() || answer.starts_with("HTTP/1.1 "));
  }
  cr_assert_gt(answered, 0);
  cr_assert_gt(rejected, 0);
  cr_assert(server.AnswersRequests());
}

}  // namespace
