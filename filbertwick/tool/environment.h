#ifndef FILBERTWICK_TOOL_ENVIRONMENT_H_
#define FILBERTWICK_TOOL_ENVIRONMENT_H_

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <string_view>

#include "filbertwick/base/time.h"
#include "filbertwick/http/client.h"
#include "filbertwick/http/message.h"

namespace filbertwick::tool {

/// Access of a subcommand to the outside: terminal, network, clock, environment
/// variables and random numbers. Tests replace each of them.
struct Environment {
  /// Writes to standard output.
  std::function<void(std::string_view)> out;
  /// Writes to standard error.
  std::function<void(std::string_view)> err;
  /// Sends one HTTP request and waits for the response.
  std::function<absl::StatusOr<http::Response>(const http::ClientSettings&,
                                               http::Request,
                                               Duration timeout)>
      call;
  /// Blocks for a duration.
  std::function<void(Duration)> sleep;
  /// Returns the monotonic time.
  std::function<Instant()> now;
  /// Returns the value of an environment variable; empty when it is not set.
  std::function<std::string(const char* name)> variable;
  /// Returns 64 random bits.
  std::function<uint64_t()> random;
  /// True when standard output is a terminal.
  bool is_terminal = false;
};

/// Returns the environment of this process.
Environment SystemEnvironment();

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_ENVIRONMENT_H_
