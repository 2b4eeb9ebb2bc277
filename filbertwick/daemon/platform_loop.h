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

/// Queues an event for the core, waiting while the core's queue is full.
using PushEvent = std::function<void(core::Event)>;

/// Runs the client of the platform's log on a thread of its own.
class PlatformLoop {
 public:
  /// Starts the thread, which reads the log stream from offset 0.
  PlatformLoop(const platform::LogClientSettings& settings, PushEvent push);
  /// Ends the thread and drops pending appends. The core's queue must be closed
  /// first: otherwise the thread may wait forever for room in it.
  ~PlatformLoop();
  PlatformLoop(const PlatformLoop&) = delete;
  PlatformLoop& operator=(const PlatformLoop&) = delete;

  /// Appends a record to the log; may be called on any thread.
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
