#ifndef FILBERTWICK_SOAK_RUN_AFTER_H_
#define FILBERTWICK_SOAK_RUN_AFTER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "filbertwick/base/time.h"

namespace filbertwick::soak {

/// Calls `callback` once, after `wait`, on the thread that runs `context`. The
/// call never happens if the context is stopped or destroyed first.
inline void RunAfter(boost::asio::io_context& context,
                     Duration wait,
                     std::function<void()> callback) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(context, wait);
  timer->async_wait([timer, callback = std::move(callback)](
                        const boost::system::error_code& ec) {
    if (!ec) {
      callback();
    }
  });
}

}  // namespace filbertwick::soak

#endif  // FILBERTWICK_SOAK_RUN_AFTER_H_
