#ifndef FILBERTWICK_BASE_OUTPUT_LOOP_H_
#define FILBERTWICK_BASE_OUTPUT_LOOP_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "filbertwick/base/bounded_queue.h"
#include "filbertwick/base/log.h"

namespace filbertwick {

/// A line to write, and the component that it comes from.
struct OutputLine {
  /// Fixed prefix of the component; empty for none.
  const char* prefix = "";
  std::string text;
};

/// Writes log and audit lines on a thread of its own, so that no other thread
/// waits for the output. Lines that find the queue full, by their number or
/// their size, are dropped, and their number is written to the output.
class OutputLoop {
 public:
  /// Starts the thread; lines go to `sink`.
  explicit OutputLoop(LogSink sink);
  /// Writes the queued lines and ends the thread.
  ~OutputLoop();
  OutputLoop(const OutputLoop&) = delete;
  OutputLoop& operator=(const OutputLoop&) = delete;

  /// Queues a line without waiting; may be called on any thread. `prefix` must
  /// stay valid until the line is written.
  void Write(const char* prefix, std::string text);

 private:
  void Run();

  LogSink sink_;
  BoundedQueue<OutputLine> lines_;
  /// Bytes of the lines that are queued or being written.
  std::atomic<size_t> queued_bytes_ = 0;
  std::atomic<uint64_t> dropped_ = 0;
  std::thread thread_;
};

}  // namespace filbertwick

#endif  // FILBERTWICK_BASE_OUTPUT_LOOP_H_
