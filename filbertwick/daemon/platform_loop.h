#ifndef FILBERTWICK_DAEMON_PLATFORM_LOOP_H_
#define FILBERTWICK_DAEMON_PLATFORM_LOOP_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <thread>

#include "filbertwick/core/event.h"
#include "filbertwick/platform/log_client.h"

namespace filbertwick::daemon {

/// Gives an event to the core and waits for room.
using PushEvent = std::function<void(core::Event)>;

/// The client of the platform's log, on a thread of its own.
class PlatformLoop {
 public:
  /// Starts the thread and reads the stream from its start.
  PlatformLoop(const platform::LogClientSettings& settings, PushEvent push);
  /// Ends the thread; appends that wait are dropped. The core's ring must be
  /// closed first.
  ~PlatformLoop();
  PlatformLoop(const PlatformLoop&) = delete;
  PlatformLoop& operator=(const PlatformLoop&) = delete;

  /// Appends a record; may be called on any thread.
  void Append(wire::ControlRecord record);

 private:
  PushEvent push_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::unique_ptr<platform::LogClient> client_;
  std::thread thread_;
};

}  // namespace filbertwick::daemon

#endif  // FILBERTWICK_DAEMON_PLATFORM_LOOP_H_
