#include "filbertwick/tool/spread.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace filbertwick::tool {
namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(100);
/// An instance not heard of for this long is out of contact.
constexpr Duration kContactAge = std::chrono::seconds(3);

}  // namespace

Spread MeasureSpread(const core::CoreStatus& status, wire::LogOffset offset) {
  Spread spread;
  spread.in_contact = 1;
  if (status.offset < offset) {
    spread.lagging.push_back(status.info.name.value());
  }
  for (const core::PeerStatus& peer : status.peers) {
    if (peer.info.name == status.info.name) {
      continue;
    }
    if (peer.age < Duration(0) || peer.age > kContactAge) {
      spread.silent.push_back(peer.info.name.value());
      continue;
    }
    ++spread.in_contact;
    if (peer.offset < offset) {
      spread.lagging.push_back(peer.info.name.value());
    }
  }
  return spread;
}

std::string FormatSpread(const Spread& spread) {
  std::string text =
      fmt::format("known to {} of {} instances",
                  spread.in_contact - spread.lagging.size(), spread.in_contact);
  if (!spread.lagging.empty()) {
    text += fmt::format(", waiting for {}", fmt::join(spread.lagging, ", "));
  }
  if (!spread.silent.empty()) {
    text += fmt::format(", out of contact: {}", fmt::join(spread.silent, ", "));
  }
  return text;
}

WaitOutcome WaitFor(EntryClient& client,
                    const Environment& environment,
                    std::string_view prefix,
                    const Progress& progress) {
  std::string shown;
  while (true) {
    const auto status = client.FetchStatus();
    const std::optional<std::string> missing =
        status.ok() ? progress(*status)
                    : std::string(status.status().message());
    if (!missing) {
      return WaitOutcome::kDone;
    }
    if (*missing != shown) {
      shown = *missing;
      environment.err(fmt::format("{}: {}\n", prefix, shown));
    }
    if (environment.now() + kPollInterval >= client.deadline()) {
      return WaitOutcome::kTimeout;
    }
    environment.sleep(kPollInterval);
  }
}

}  // namespace filbertwick::tool
