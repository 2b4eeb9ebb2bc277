#include "filbertwick/standin/run.h"

#include <fmt/core.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>

namespace filbertwick::standin {

void RunUntilSignal(boost::asio::io_context& context, uint16_t port) {
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const auto&, int) { context.stop(); });
  fmt::print("port {}\n", port);
  std::fflush(stdout);
  context.run();
}

}  // namespace filbertwick::standin
