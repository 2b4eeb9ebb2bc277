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

/// Times of the fake log service.
struct ControlLogSettings {
  /// Time of an undisturbed append.
  Duration append_min = std::chrono::milliseconds(3);
  Duration append_max = std::chrono::milliseconds(8);
  /// Time until a reader has a new record.
  Duration read_min = std::chrono::milliseconds(1);
  Duration read_max = std::chrono::milliseconds(3);
  /// A read without news answers after this time.
  Duration read_timeout = std::chrono::seconds(2);
  /// Pause of a reader after a failed read.
  Duration read_retry_delay = std::chrono::milliseconds(250);
  /// An append without an answer is given up after this time.
  Duration append_timeout = std::chrono::seconds(5);
};

/// The platform's append-only log in virtual time, with the client side of
/// each instance: group appends, reads that wait, faults.
class ControlLog {
 public:
  /// Hands an event to an instance.
  using Deliver = std::function<void(const InstanceName&, core::Event)>;

  ControlLog(EventLoop& loop,
             uint64_t seed,
             const ControlLogSettings& settings,
             Deliver deliver)
      : loop_(loop),
        random_(seed),
        settings_(settings),
        deliver_(std::move(deliver)) {}

  /// A process starts to read from the oldest record kept.
  void AddReader(const InstanceName& reader);
  /// The process is gone: it reads no more, its waiting appends are lost.
  void RemoveClient(const InstanceName& instance);
  /// A paused process reads nothing.
  void SetReaderPaused(const InstanceName& reader, bool paused);
  /// Appends for an instance; those that wait together go in one request.
  void Append(const InstanceName& instance, wire::ControlRecord record);

  /// Refuses reads and appends while down.
  void SetDown(bool down);
  /// Adds up to `extra` to the time of each append and read.
  void SetSlow(Duration max_extra_delay) { max_extra_delay_ = max_extra_delay; }
  /// The next `n` append requests are written, but their answers are lost.
  void LoseAnswers(uint32_t n) { answers_to_lose_ = n; }
  /// Forgets all records before the newest checkpoint; nothing without one.
  void Trim();
  /// One instance cannot reach the log.
  void SetUnreachable(const InstanceName& instance, bool unreachable);

  /// Offset of the oldest record kept.
  wire::LogOffset first() const { return first_; }
  /// Offset after the newest record.
  wire::LogOffset head() const { return first_ + records_.size(); }
  /// The records kept.
  const std::vector<wire::ControlRecord>& records() const { return records_; }
  /// Append requests that were written so far.
  uint64_t requests() const { return requests_; }
  /// True while down.
  bool down() const { return down_; }

 private:
  struct Reader {
    wire::LogOffset position = 0;
    uint64_t poll_id = 0;
    bool paused = false;
    bool at_head = false;
  };
  struct Appender {
    bool request_in_flight = false;
    uint64_t lifetime_id = 0;
    std::vector<wire::ControlRecord> waiting;
  };

  void SchedulePoll(const InstanceName& name, Reader& reader, Duration delay);
  void Poll(const InstanceName& name, uint64_t poll_id);
  void SendGroup(const InstanceName& name);
  void FinishGroup(const InstanceName& name,
                   uint64_t lifetime_id,
                   const std::vector<wire::ControlRecord>& group,
                   bool failed);
  /// Offset of the newest checkpoint that counts; the oldest record without.
  wire::LogOffset NewestCheckpoint() const;
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
