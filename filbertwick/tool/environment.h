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

/// What a subcommand may touch of the world; tests put their own in place.
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
  /// Waits.
  std::function<void(Duration)> sleep;
  /// The present.
  std::function<Instant()> now;
  /// A variable of the environment; empty when not set.
  std::function<std::string(const char* name)> variable;
  /// 64 random bits.
  std::function<uint64_t()> random;
  /// True when standard output is a terminal.
  bool is_terminal = false;
};

/// The environment of this process.
Environment SystemEnvironment();

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_ENVIRONMENT_H_
