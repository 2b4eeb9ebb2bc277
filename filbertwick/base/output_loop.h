#ifndef FILBERTWICK_BASE_OUTPUT_LOOP_H_
#define FILBERTWICK_BASE_OUTPUT_LOOP_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "filbertwick/base/bounded_queue.h"
#include "filbertwick/base/log.h"

namespace filbertwick {

/// One line of one part of the process.
struct OutputLine {
  /// Fixed prefix of the part.
  const char* prefix = "";
  std::string text;
};

/// Writes log and audit lines on a thread of its own, so that no other duty
/// waits for the terminal. Lines that find no room are counted, and the count
/// is written.
class OutputLoop {
 public:
  /// Starts the thread; lines go to `sink`.
  explicit OutputLoop(LogSink sink);
  /// Writes what waits and ends the thread.
  ~OutputLoop();
  OutputLoop(const OutputLoop&) = delete;
  OutputLoop& operator=(const OutputLoop&) = delete;

  /// Queues a line; may be called on any thread.
  void Write(const char* prefix, std::string text);

 private:
  void Run();

  LogSink sink_;
  BoundedQueue<OutputLine> lines_;
  std::atomic<uint64_t> dropped_ = 0;
  std::thread thread_;
};

}  // namespace filbertwick

#endif  // FILBERTWICK_BASE_OUTPUT_LOOP_H_
