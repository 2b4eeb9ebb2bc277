#include "filbertwick/harness/control_log.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace filbertwick::harness {
namespace {

/// Largest number of records that one read returns.
constexpr size_t kMaxRecordsPerRead = 1'000;

}  // namespace

void ControlLog::AddReader(const InstanceName& reader) {
  readers_[reader] = Reader();
  SchedulePoll(reader, readers_[reader],
               random_.Between(settings_.read_min, settings_.read_max));
}

void ControlLog::RemoveClient(const InstanceName& instance) {
  readers_.erase(instance);
  Appender& appender = appenders_[instance];
  appender.waiting.clear();
  appender.request_in_flight = false;
  ++appender.lifetime_id;
}

void ControlLog::SetReaderPaused(const InstanceName& reader, bool paused) {
  const auto it = readers_.find(reader);
  if (it == readers_.end()) {
    return;
  }
  it->second.paused = paused;
  if (!paused) {
    SchedulePoll(reader, it->second, settings_.read_min);
  }
}

void ControlLog::Append(const InstanceName& instance,
                        wire::ControlRecord record) {
  appenders_[instance].waiting.push_back(std::move(record));
  SendGroup(instance);
}

void ControlLog::SetDown(bool down) {
  down_ = down;
  for (auto& [name, reader] : readers_) {
    SchedulePoll(
        name, reader,
        down ? settings_.read_min
             : random_.Between(Duration(0), settings_.read_retry_delay));
  }
}

void ControlLog::Trim() {
  const wire::LogOffset newest = NewestCheckpoint();
  records_.erase(records_.begin(),
                 records_.begin() + static_cast<int64_t>(newest - first_));
  first_ = newest;
}

wire::LogOffset ControlLog::NewestCheckpoint() const {
  for (wire::LogOffset offset = head(); offset-- > first_;) {
    const auto* checkpoint =
        std::get_if<wire::Checkpoint>(&records_[offset - first_].body);
    if (checkpoint && checkpoint->offset == offset) {
      return offset;
    }
  }
  return first_;
}

void ControlLog::SetUnreachable(const InstanceName& instance,
                                bool unreachable) {
  if (unreachable) {
    unreachable_.insert(instance);
  } else {
    unreachable_.erase(instance);
  }
  if (const auto it = readers_.find(instance); it != readers_.end()) {
    SchedulePoll(instance, it->second, settings_.read_min);
  }
}

void ControlLog::SchedulePoll(const InstanceName& name,
                              Reader& reader,
                              Duration delay) {
  reader.poll_id = ++last_poll_id_;
  loop_.After(delay,
              [this, name, poll_id = reader.poll_id] { Poll(name, poll_id); });
}

void ControlLog::Poll(const InstanceName& name, uint64_t poll_id) {
  const auto it = readers_.find(name);
  if (it == readers_.end() || it->second.poll_id != poll_id ||
      it->second.paused) {
    return;
  }
  Reader& reader = it->second;
  // Report the failed read and retry.
  if (!IsReachable(name)) {
    reader.at_head = false;
    SchedulePoll(name, reader, settings_.read_retry_delay);
    deliver_(name, core::LogReadFailedEvent());
    return;
  }
  // The records at the reader's position were trimmed: continue at the newest
  // valid checkpoint, which replaces all records before it.
  if (reader.position < first_) {
    reader.position = NewestCheckpoint();
  }
  core::LogReadEvent event;
  event.first = reader.position;
  event.head = head();
  const auto begin =
      records_.begin() + static_cast<int64_t>(reader.position - first_);
  const auto n = std::min<size_t>(kMaxRecordsPerRead, head() - reader.position);
  event.records.assign(begin, begin + static_cast<int64_t>(n));
  reader.position += n;
  reader.at_head = reader.position == head();
  SchedulePoll(name, reader,
               reader.at_head ? settings_.read_timeout : settings_.read_min);
  deliver_(name, std::move(event));
}

void ControlLog::SendGroup(const InstanceName& name) {
  Appender& appender = appenders_[name];
  if (appender.request_in_flight || appender.waiting.empty()) {
    return;
  }
  appender.request_in_flight = true;
  auto group = std::exchange(appender.waiting, {});
  const uint64_t lifetime_id = appender.lifetime_id;
  Duration delay = random_.Between(settings_.append_min, settings_.append_max) +
                   random_.Between(Duration(0), max_extra_delay_);
  // A log that is down refuses the request at once or leaves it without an
  // answer for a random time, at most the timeout.
  if (!IsReachable(name)) {
    const Duration fail =
        random_.Chance(0.7) ? delay
                            : random_.Between(delay, settings_.append_timeout);
    loop_.After(fail, [this, name, lifetime_id, group = std::move(group)] {
      FinishGroup(name, lifetime_id, group, true);
    });
    return;
  }
  // The records are written even if the answer is lost or arrives after the
  // timeout.
  const bool lost = answers_to_lose_ > 0;
  answers_to_lose_ -= lost ? 1 : 0;
  loop_.After(delay, [this, group] { Write(group); });
  const bool failed = lost || delay > settings_.append_timeout;
  if (lost) {
    delay += random_.Between(Duration(0), settings_.append_timeout / 2);
  }
  loop_.After(std::min(delay, settings_.append_timeout),
              [this, name, lifetime_id, failed, group = std::move(group)] {
                FinishGroup(name, lifetime_id, group, failed);
              });
}

void ControlLog::FinishGroup(const InstanceName& name,
                             uint64_t lifetime_id,
                             const std::vector<wire::ControlRecord>& group,
                             bool failed) {
  Appender& appender = appenders_[name];
  if (appender.lifetime_id != lifetime_id) {
    return;
  }
  appender.request_in_flight = false;
  if (failed) {
    for (const wire::ControlRecord& record : group) {
      deliver_(name, core::AppendFailedEvent{record.change});
    }
  }
  SendGroup(name);
}

void ControlLog::Write(const std::vector<wire::ControlRecord>& group) {
  ++requests_;
  std::ranges::copy(group, std::back_inserter(records_));
  for (auto& [name, reader] : readers_) {
    if (reader.at_head && !reader.paused && IsReachable(name)) {
      reader.at_head = false;
      SchedulePoll(name, reader,
                   random_.Between(settings_.read_min, settings_.read_max) +
                       random_.Between(Duration(0), max_extra_delay_));
    }
  }
}

}  // namespace filbertwick::harness
