#ifndef UNIT_TESTS_TOOL_FIXTURE_H_
#define UNIT_TESTS_TOOL_FIXTURE_H_

#include <absl/status/status.h>

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "filbertwick/tool/environment.h"
#include "filbertwick/tool/run_tool.h"

namespace filbertwick::tool {

/// Runs command lines against scripted entries with a simulated clock.
class ToolFixture {
 public:
  /// Produces the response of the entry at `port` to one request.
  using Entry = std::function<absl::StatusOr<http::Response>(
      uint16_t port,
      const http::Request& request)>;

  explicit ToolFixture(Entry entry) : entry_(std::move(entry)) {}

  /// Runs a command line against the entries at ports 1 and 2; `out` and `err`
  /// then hold its output.
  ExitCode Run(std::vector<std::string> args) {
    out.clear();
    err.clear();
    return RunTool(args, MakeEnvironment());
  }

  std::string out;
  std::string err;
  /// All requests of all runs, in order.
  std::vector<http::Request> requests;
  /// Called with the timeout of each call that fails.
  std::function<void(Duration)> on_failed_call;

 private:
  Environment MakeEnvironment() {
    Environment environment;
    environment.out = [this](std::string_view text) { out += text; };
    environment.err = [this](std::string_view text) { err += text; };
    environment.call = [this](const http::ClientSettings& settings,
                              const http::Request& request, Duration timeout) {
      requests.push_back(request);
      auto response = entry_(settings.port, request);
      if (!response.ok() && on_failed_call) {
        on_failed_call(timeout);
      }
      now_ += response.ok() ? Duration(1) : timeout;
      return response;
    };
    environment.sleep = [this](Duration duration) { now_ += duration; };
    environment.now = [this] { return now_; };
    environment.variable = [](std::string_view name) -> std::string {
      if (name == "FILBERTWICK_ENTRY") {
        return "127.0.0.1:1,127.0.0.1:2";
      }
      return name == "USER" ? "ada" : "secret";
    };
    environment.random = [] { return uint64_t{7}; };
    return environment;
  }

  Entry entry_;
  Instant now_;
};

/// Returns a response with a status and a body.
inline http::Response MakeResponse(int status, std::string body) {
  http::Response response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

}  // namespace filbertwick::tool

#endif  // UNIT_TESTS_TOOL_FIXTURE_H_
