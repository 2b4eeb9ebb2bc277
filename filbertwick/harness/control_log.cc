#include "filbertwick/harness/control_log.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace filbertwick::harness {
namespace {

/// Most records of one read.
constexpr size_t kMaxBatch = 1'000;

}  // namespace

void ControlLog::Attach(const InstanceName& reader) {
  readers_[reader] = Reader();
  SchedulePoll(reader, readers_[reader],
               random_.Between(settings_.read_min, settings_.read_max));
}

void ControlLog::Detach(const InstanceName& instance) {
  readers_.erase(instance);
  Appender& appender = appenders_[instance];
  appender.waiting.clear();
  appender.busy = false;
  ++appender.life;
}

void ControlLog::Freeze(const InstanceName& reader, bool frozen) {
  const auto it = readers_.find(reader);
  if (it == readers_.end()) {
    return;
  }
  it->second.frozen = frozen;
  if (!frozen) {
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
    SchedulePoll(name, reader,
                 down ? settings_.read_min
                      : random_.Between(Duration(0), settings_.retry));
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
  reader.poll = ++polls_;
  loop_.After(delay, [this, name, poll = reader.poll] { Poll(name, poll); });
}

void ControlLog::Poll(const InstanceName& name, uint64_t poll) {
  const auto it = readers_.find(name);
  if (it == readers_.end() || it->second.poll != poll || it->second.frozen) {
    return;
  }
  Reader& reader = it->second;
  // An unreachable log is reported and tried again.
  if (!IsReachable(name)) {
    reader.at_head = false;
    SchedulePoll(name, reader, settings_.retry);
    deliver_(name, core::LogReadFailedEvent());
    return;
  }
  // Past a trim the reader goes on at the newest checkpoint kept.
  if (reader.position < first_) {
    reader.position = NewestCheckpoint();
  }
  core::LogReadEvent event;
  event.first = reader.position;
  event.head = head();
  const auto begin =
      records_.begin() + static_cast<int64_t>(reader.position - first_);
  const auto n = std::min<size_t>(kMaxBatch, head() - reader.position);
  event.records.assign(begin, begin + static_cast<int64_t>(n));
  reader.position += n;
  reader.at_head = reader.position == head();
  SchedulePoll(name, reader,
               reader.at_head ? settings_.poll : settings_.read_min);
  deliver_(name, std::move(event));
}

void ControlLog::SendGroup(const InstanceName& name) {
  Appender& appender = appenders_[name];
  if (appender.busy || appender.waiting.empty()) {
    return;
  }
  appender.busy = true;
  auto group = std::exchange(appender.waiting, {});
  const uint64_t life = appender.life;
  Duration delay = random_.Between(settings_.append_min, settings_.append_max) +
                   random_.Between(Duration(0), extra_);
  // A log that is down refuses at once or lets the request run into its
  // timeout.
  if (!IsReachable(name)) {
    const Duration fail =
        random_.Chance(0.7) ? delay : random_.Between(delay, settings_.timeout);
    loop_.After(fail, [this, name, life, group = std::move(group)] {
      FinishGroup(name, life, group, true);
    });
    return;
  }
  // The write may take effect although its answer is lost or comes too late.
  const bool lost = lost_answers_ > 0;
  lost_answers_ -= lost ? 1 : 0;
  loop_.After(delay, [this, group] { Write(group); });
  const bool failed = lost || delay > settings_.timeout;
  if (lost) {
    delay += random_.Between(Duration(0), settings_.timeout / 2);
  }
  loop_.After(std::min(delay, settings_.timeout),
              [this, name, life, failed, group = std::move(group)] {
                FinishGroup(name, life, group, failed);
              });
}

void ControlLog::FinishGroup(const InstanceName& name,
                             uint64_t life,
                             const std::vector<wire::ControlRecord>& group,
                             bool failed) {
  Appender& appender = appenders_[name];
  if (appender.life != life) {
    return;
  }
  appender.busy = false;
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
    if (reader.at_head && !reader.frozen && IsReachable(name)) {
      reader.at_head = false;
      SchedulePoll(name, reader,
                   random_.Between(settings_.read_min, settings_.read_max) +
                       random_.Between(Duration(0), extra_));
    }
  }
}

}  // namespace filbertwick::harness
