#include "filbertwick/harness/trace.h"

#include <fmt/format.h>

#include <array>
#include <span>
#include <string_view>
#include <type_traits>
#include <variant>

namespace filbertwick::harness {
namespace {

template <typename... Parts>
struct Overloaded : Parts... {
  using Parts::operator()...;
};
template <typename... Parts>
Overloaded(Parts...) -> Overloaded<Parts...>;

std::string Text(const wire::Epoch& epoch) {
  return fmt::format("{}.{}.{}", epoch.generation, epoch.number,
                     epoch.owner.value());
}

std::string Text(const wire::TaskKey& key, uint32_t attempt) {
  return fmt::format("{}/{}#{}", key.job.value(), key.index, attempt);
}

std::string Text(std::span<const wire::ShardEpoch> shards) {
  std::string text;
  for (const wire::ShardEpoch& it : shards) {
    text += fmt::format(" {}:{}", it.shard, Text(it.epoch));
  }
  return text;
}

std::string Text(const wire::StateSummary& summary) {
  return fmt::format("offset={} overrides={}", summary.offset,
                     summary.overrides.size());
}

std::string_view Text(wire::TaskState state) {
  static constexpr std::array<std::string_view, 5> kTexts = {
      "queued", "started", "ended", "refused", "unknown"};
  return kTexts[static_cast<size_t>(state)];
}

std::string_view Text(wire::RefusalCause cause) {
  static constexpr std::array<std::string_view, 9> kTexts = {
      "none",          "stale_token", "old_epoch", "zone_out",       "full",
      "upstream_gone", "stopping",    "withdrawn", "digest_mismatch"};
  return kTexts[static_cast<size_t>(cause)];
}

std::string Text(std::span<const wire::TaskUpdate> updates) {
  std::string text;
  for (const wire::TaskUpdate& it : updates) {
    text += fmt::format(" {}={}", Text(it.key, it.attempt), Text(it.state));
    if (it.cause != wire::RefusalCause::kNone) {
      text += fmt::format("({})", Text(it.cause));
    }
    if (it.state == wire::TaskState::kEnded) {
      text += fmt::format("({})", wire::ToString(it.result.outcome));
    }
  }
  return text;
}

std::string Text(const wire::JobAnswer& answer) {
  std::string text = fmt::format("{} {} ({})", answer.id.value(),
                                 wire::ToString(answer.outcome),
                                 wire::ToString(answer.reason));
  for (const wire::TaskResult& task : answer.tasks) {
    text += fmt::format(" {}", wire::ToString(task.outcome));
  }
  return text;
}

std::string Text(const wire::JobSpec& spec) {
  return fmt::format("{} {} tasks={} deadline={}ms", spec.id.value(),
                     spec.service.value(), spec.payloads.size(),
                     spec.deadline.count() / 1'000);
}

std::string DescribeOffers(const wire::Offers& it) {
  std::string text = "Offers";
  for (const wire::TaskOffer& offer : it.offers) {
    text += fmt::format(" {} {} token={}", Text(offer.key, offer.attempt),
                        Text(offer.epoch), offer.token);
  }
  return text;
}

std::string DescribeCensusReply(const wire::CensusReply& it) {
  std::string text =
      fmt::format("CensusReply {} jobs={} uptime={}us", Text(it.epoch),
                  it.jobs.size(), it.uptime.count());
  for (const wire::CensusEntry& entry : it.known) {
    text += fmt::format(" [{}{}]", entry.job.value(), Text(entry.tasks));
  }
  return text;
}

std::string DescribeWithdraw(const wire::Withdraw& it) {
  std::string text = "Withdraw";
  for (const wire::TaskWithdrawal& task : it.tasks) {
    text += fmt::format(" {}{}", Text(task.key, task.attempt),
                        task.stop_running ? "!" : "");
  }
  return text;
}

std::string DescribeHandover(const wire::Handover& it) {
  std::string text = fmt::format("Handover{}", Text(it.shards));
  for (const wire::HandoverJob& job : it.jobs) {
    text += fmt::format(" [{} {}]", job.spec.id.value(),
                        job.ended ? "ended" : "open");
  }
  return text;
}

std::string DescribeCensusRequest(const wire::CensusRequest& it) {
  std::string text =
      fmt::format("CensusRequest {}:{}", it.shard, Text(it.epoch));
  for (const JobId& job : it.jobs) {
    text += fmt::format(" {}", job.value());
  }
  return text;
}

std::string DescribeAcknowledge(const wire::Acknowledge& it) {
  std::string text = "Settle";
  for (const wire::TaskKey& key : it.keys) {
    text += fmt::format(" {}/{}", key.job.value(), key.index);
  }
  return text;
}

std::string DescribeReset(const wire::ResetRegion& it) {
  std::string text = fmt::format("ResetRegion gen={}", it.generation);
  for (const wire::ResetMember& member : it.members) {
    text += fmt::format(" {}", member.name.value());
  }
  return text;
}

}  // namespace

std::string Describe(const wire::Message& message) {
  return std::visit(
      Overloaded{
          [](const wire::Probe& it) {
            return fmt::format("Probe sent={} {} renewal={} vouches={}",
                               it.sent, Text(it.summary), it.renewal,
                               it.is_voter);
          },
          [](const wire::ProbeReply& it) {
            return fmt::format(
                "ProbeReply echo={} {} vouches={} token={} load={}/{}+{}",
                it.echo, Text(it.summary), it.is_voter, it.token,
                it.load.running, it.load.slots, it.load.queued);
          },
          [](const wire::RecordsRequest& it) {
            return fmt::format("RecordsRequest from={}", it.from);
          },
          [](const wire::Records& it) {
            return fmt::format("Records first={} n={}", it.first,
                               it.records.size());
          },
          [](const wire::Snapshot& it) {
            return fmt::format("Snapshot bytes={}", it.state.size());
          },
          [](const wire::Offers& it) { return DescribeOffers(it); },
          [](const wire::TaskUpdates& it) {
            return fmt::format("TaskUpdates{} load={}/{}+{} token={}",
                               Text(it.updates), it.load.running, it.load.slots,
                               it.load.queued, it.token);
          },
          [](const wire::Withdraw& it) { return DescribeWithdraw(it); },
          [](const wire::Acknowledge& it) { return DescribeAcknowledge(it); },
          [](const wire::CensusRequest& it) {
            return DescribeCensusRequest(it);
          },
          [](const wire::CensusReply& it) { return DescribeCensusReply(it); },
          [](const wire::ForwardJob& it) {
            return fmt::format("ForwardJob request={} shard={} {}", it.request,
                               it.shard, Text(it.spec));
          },
          [](const wire::ForwardQuery& it) {
            return fmt::format("ForwardQuery request={} {} kind={}", it.request,
                               it.job.value(), static_cast<int>(it.query));
          },
          [](const wire::ForwardAnswer& it) {
            return fmt::format("ForwardAnswer request={} not_owner={} {}",
                               it.request, it.not_owner, Text(it.answer));
          },
          [](const wire::Handover& it) { return DescribeHandover(it); },
          [](const wire::HandoverDone& it) {
            return fmt::format("HandoverDone{}", Text(it.shards));
          },
      },
      message);
}

std::string Describe(const wire::ControlRecord& record) {
  const std::string body = std::visit(
      Overloaded{
          [](const wire::PublishBundle& it) {
            return fmt::format("PublishBundle {} on {}", it.version,
                               it.based_on);
          },
          [](const wire::SetZone& it) {
            return fmt::format("SetZone {} {}", it.zone.value(),
                               it.out ? "out" : "in");
          },
          [](const wire::JoinInstance& it) {
            return fmt::format("JoinInstance {} {:x}", it.info.name.value(),
                               it.info.incarnation);
          },
          [](const wire::LeaveInstance& it) {
            return fmt::format("LeaveInstance {}", it.name.value());
          },
          [](const wire::SettleMembers& it) {
            return fmt::format("SettleMembers through={}", it.through);
          },
          [](const wire::TakeShards& it) {
            return fmt::format("TakeShards{}", Text(it.shards));
          },
          [](const wire::ResetRegion& it) { return DescribeReset(it); },
          [](const wire::Checkpoint& it) {
            return fmt::format("Checkpoint bytes={}", it.state.size());
          },
          [](const wire::UpstreamEjection& it) {
            return fmt::format("UpstreamEjection {} {}", it.sidecar.value(),
                               it.ejected);
          },
      },
      record.body);
  return fmt::format("{} change={} by={}", body, record.change.value(),
                     record.author.value());
}

std::string Describe(const core::Event& event) {
  return std::visit(
      Overloaded{
          [](const core::WakeupEvent&) { return std::string("Wakeup"); },
          [](const core::MessageEvent& it) {
            return fmt::format("from {}: {}", it.from.name.value(),
                               Describe(it.message));
          },
          [](const core::SubmitEvent& it) {
            return fmt::format("Submit request={} {}", it.request,
                               Text(it.spec));
          },
          [](const core::QueryEvent& it) {
            return fmt::format("Query request={} {} kind={}", it.request,
                               it.job.value(), static_cast<int>(it.query));
          },
          [](const core::CallerGoneEvent& it) {
            return fmt::format("CallerGone request={}", it.request);
          },
          [](const core::OperatorEvent& it) {
            return fmt::format("Operator request={} {}", it.request,
                               Describe(it.record));
          },
          [](const core::LogReadEvent& it) {
            std::string text =
                fmt::format("LogRead first={} head={}", it.first, it.head);
            for (const wire::ControlRecord& record : it.records) {
              text += fmt::format(" [{}]", Describe(record));
            }
            return text;
          },
          [](const core::LogReadFailedEvent&) {
            return std::string("LogDown");
          },
          [](const core::AppendFailedEvent& it) {
            return fmt::format("AppendFailed {}", it.change.value());
          },
          [](const core::StopEvent&) { return std::string("Stop"); },
          [](const core::UpstreamEvent& it) {
            return fmt::format("Upstream slots={} leaving={}", it.slots,
                               it.leaving);
          },
          [](const core::ExecutionEndedEvent& it) {
            return fmt::format("Execution {} {}", Text(it.key, it.attempt),
                               wire::ToString(it.result.outcome));
          },
      },
      event);
}

std::string Describe(const core::Effect& effect) {
  return std::visit(
      Overloaded{
          [](const core::SendEffect& it) {
            return fmt::format("to {}: {}", it.to.value(),
                               Describe(it.message));
          },
          [](const core::AppendEffect& it) {
            return fmt::format("append {}", Describe(it.record));
          },
          [](const core::AnswerEffect& it) {
            return fmt::format("ANSWER request={} {}", it.request,
                               Text(it.answer));
          },
          [](const core::OperatorAnswerEffect& it) {
            return fmt::format("operator answer request={} {} offset={} {}",
                               it.request, it.accepted ? "accepted" : "refused",
                               it.offset, it.text);
          },
          [](const core::StartExecutionEffect& it) {
            return fmt::format("START {}", Text(it.key, it.attempt));
          },
          [](const core::StopExecutionEffect& it) {
            return fmt::format("stop {}", Text(it.key, it.attempt));
          },
          [](const core::AuditEffect& it) {
            return fmt::format("audit {} {} {}", it.offset, it.what,
                               it.accepted ? "accepted" : it.why);
          },
          [](const core::LogEffect& it) {
            return fmt::format("log: {}", it.text);
          },
          [](const core::StoppedEffect& it) {
            return fmt::format("stopped clean={}", it.clean);
          },
      },
      effect);
}

}  // namespace filbertwick::harness
