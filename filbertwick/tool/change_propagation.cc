#include "filbertwick/tool/change_propagation.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace filbertwick::tool {
namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(100);
/// An instance that was not heard from for longer than this counts as out of
/// contact.
constexpr Duration kMaxContactAge = std::chrono::seconds(3);

}  // namespace

ChangePropagation MeasurePropagation(const core::CoreStatus& status,
                                     wire::LogOffset offset) {
  ChangePropagation propagation;
  propagation.in_contact = 1;
  if (status.offset < offset) {
    propagation.lagging.push_back(status.info.name.value());
  }
  for (const core::PeerStatus& peer : status.peers) {
    if (peer.info.name == status.info.name) {
      continue;
    }
    if (peer.age < Duration(0) || peer.age > kMaxContactAge) {
      propagation.out_of_contact.push_back(peer.info.name.value());
      continue;
    }
    ++propagation.in_contact;
    if (peer.offset < offset) {
      propagation.lagging.push_back(peer.info.name.value());
    }
  }
  return propagation;
}

std::string FormatPropagation(const ChangePropagation& propagation) {
  std::string text =
      fmt::format("known to {} of {} instances",
                  propagation.in_contact - propagation.lagging.size(),
                  propagation.in_contact);
  if (!propagation.lagging.empty()) {
    text +=
        fmt::format(", waiting for {}", fmt::join(propagation.lagging, ", "));
  }
  if (!propagation.out_of_contact.empty()) {
    text += fmt::format(", out of contact: {}",
                        fmt::join(propagation.out_of_contact, ", "));
  }
  return text;
}

WaitOutcome PollStatusUntilDone(EntryClient& client,
                                const Environment& environment,
                                std::string_view prefix,
                                const PendingCheck& find_pending) {
  std::string last_printed;
  while (true) {
    const auto status = client.FetchStatus();
    const std::optional<std::string> pending =
        status.ok() ? find_pending(*status)
                    : std::string(status.status().message());
    if (!pending) {
      return WaitOutcome::kDone;
    }
    if (*pending != last_printed) {
      last_printed = *pending;
      environment.err(fmt::format("{}: {}\n", prefix, last_printed));
    }
    if (environment.now() + kPollInterval >= client.deadline()) {
      return WaitOutcome::kTimeout;
    }
    environment.sleep(kPollInterval);
  }
}

}  // namespace filbertwick::tool
