#ifndef FILBERTWICK_HARNESS_CONTROL_LOG_H_
#define FILBERTWICK_HARNESS_CONTROL_LOG_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/event.h"
#include "filbertwick/harness/event_loop.h"
#include "filbertwick/harness/random.h"
#include "filbertwick/wire/control_record.h"

namespace filbertwick::harness {

/// Delays of the simulated log service and of its clients.
struct ControlLogSettings {
  /// Bounds of the time until an append is written and answered.
  Duration append_min = std::chrono::milliseconds(3);
  Duration append_max = std::chrono::milliseconds(8);
  /// Bounds of the time until a waiting reader receives a new record.
  Duration read_min = std::chrono::milliseconds(1);
  Duration read_max = std::chrono::milliseconds(3);
  /// A read without new records returns empty after this time.
  Duration read_timeout = std::chrono::seconds(2);
  /// Delay before a reader retries a failed read.
  Duration read_retry_delay = std::chrono::milliseconds(250);
  /// An append without an answer counts as failed after this time. Its records
  /// may have been written all the same.
  Duration append_timeout = std::chrono::seconds(5);
};

/// Simulated append-only control log of the platform, in virtual time, together
/// with the log client of each instance. A client sends one append request at a
/// time with all records queued meanwhile, and reads in order from the oldest
/// record kept, waiting at the head for new ones. A failed append is reported
/// for each of its records; since the answer alone may be lost, the records may
/// be in the log nevertheless.
class ControlLog {
 public:
  /// Delivers an event to an instance.
  using Deliver = std::function<void(const InstanceName&, core::Event)>;

  ControlLog(EventLoop& loop,
             uint64_t seed,
             const ControlLogSettings& settings,
             Deliver deliver)
      : loop_(loop),
        random_(seed),
        settings_(settings),
        deliver_(std::move(deliver)) {}

  /// Starts the reads of a new process, at the oldest record kept.
  void AddReader(const InstanceName& reader);
  /// Ends the reads of a process that is gone and drops its queued appends. A
  /// request that has been sent is still written.
  void RemoveClient(const InstanceName& instance);
  /// Suspends the reads of a process, or resumes them.
  void SetReaderPaused(const InstanceName& reader, bool paused);
  /// Queues a record of an instance for its next append request.
  void Append(const InstanceName& instance, wire::ControlRecord record);

  /// Makes the log unavailable: reads and appends fail while it is down.
  void SetDown(bool down);
  /// Adds a random delay of up to `max_extra_delay` to each append and to each
  /// read that waits for a new record.
  void SetMaxExtraDelay(Duration max_extra_delay) {
    max_extra_delay_ = max_extra_delay;
  }
  /// Loses the answers to the next `n` append requests, which are written and
  /// reported as failed.
  void LoseAnswers(uint32_t n) { answers_to_lose_ = n; }
  /// Removes all records before the newest valid checkpoint; has no effect
  /// if there is none.
  void Trim();
  /// Sets whether the log is unreachable for one instance. While it is, the
  /// reads of the instance and the appends that it sends fail.
  void SetUnreachable(const InstanceName& instance, bool unreachable);

  /// Offset of the oldest record kept.
  wire::LogOffset first() const { return first_; }
  /// Offset after the newest record.
  wire::LogOffset head() const { return first_ + records_.size(); }
  /// The records kept.
  const std::vector<wire::ControlRecord>& records() const { return records_; }
  /// Number of append requests written so far.
  uint64_t requests() const { return requests_; }
  /// Returns true while the log is down.
  bool down() const { return down_; }

 private:
  struct Reader {
    wire::LogOffset position = 0;
    /// Identifies the scheduled poll; earlier ones are superseded.
    uint64_t poll_id = 0;
    bool paused = false;
    /// The reader has all records and waits for the next one.
    bool at_head = false;
  };
  struct Appender {
    bool request_in_flight = false;
    /// Changes when the process ends, so that answers to its requests are not
    /// delivered to a later process.
    uint64_t lifetime_id = 0;
    std::vector<wire::ControlRecord> waiting;
  };

  /// Schedules the next poll of a reader in place of the one scheduled before.
  void SchedulePoll(const InstanceName& name, Reader& reader, Duration delay);
  /// Delivers the next records, or the failure of the read, to a reader. Does
  /// nothing if the poll has been superseded or the reader is paused.
  void Poll(const InstanceName& name, uint64_t poll_id);
  /// Sends the queued records of an instance in one append request, unless one
  /// is already in flight.
  void SendGroup(const InstanceName& name);
  /// Ends an append request at its client: reports each record if it failed,
  /// then sends the records queued meanwhile.
  void FinishGroup(const InstanceName& name,
                   uint64_t lifetime_id,
                   const std::vector<wire::ControlRecord>& group,
                   bool failed);
  /// Returns the offset of the newest valid checkpoint, or first() without one.
  /// A checkpoint is valid if it is stored at the offset that it names. One
  /// that other records overtook before it was written lacks their effects.
  wire::LogOffset NewestCheckpoint() const;
  /// Adds the records to the log and wakes the readers that wait at its head.
  void Write(const std::vector<wire::ControlRecord>& group);
  bool IsReachable(const InstanceName& name) const {
    return !down_ && !unreachable_.contains(name);
  }

  EventLoop& loop_;
  Random random_;
  ControlLogSettings settings_;
  Deliver deliver_;
  wire::LogOffset first_ = 0;
  std::vector<wire::ControlRecord> records_;
  std::map<InstanceName, Reader> readers_;
  std::map<InstanceName, Appender> appenders_;
  std::set<InstanceName> unreachable_;
  bool down_ = false;
  Duration max_extra_delay_{0};
  uint32_t answers_to_lose_ = 0;
  uint64_t requests_ = 0;
  uint64_t last_poll_id_ = 0;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_CONTROL_LOG_H_
