#ifndef FILBERTWICK_STANDIN_RUN_H_
#define FILBERTWICK_STANDIN_RUN_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>

namespace filbertwick::standin {

/// Prints `port N` to standard output, so that a parent process can learn the
/// port, and runs the context until SIGTERM or SIGINT.
void RunUntilSignal(boost::asio::io_context& context, uint16_t port);

}  // namespace filbertwick::standin

#endif  // FILBERTWICK_STANDIN_RUN_H_
