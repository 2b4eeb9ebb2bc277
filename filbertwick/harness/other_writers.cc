#include "filbertwick/harness/other_writers.h"

#include <fmt/format.h>

namespace filbertwick::harness {
namespace {

constexpr Duration kMilli = std::chrono::milliseconds(1);
constexpr Duration kAnnouncementInterval = 1500 * kMilli;
constexpr Duration kMinPause = 20 * kMilli;
constexpr Duration kMaxPause = 200 * kMilli;
/// Largest difference between the start times of a copy and of the upstream.
constexpr uint64_t kMaxStartDifference = 3;

}  // namespace

OtherWriters::OtherWriters(EventLoop& loop,
                           DirectCluster& cluster,
                           uint32_t sidecars,
                           uint64_t seed,
                           Duration end)
    : loop_(loop),
      cluster_(cluster),
      sidecars_(sidecars),
      end_(end),
      random_(seed),
      sent_(sidecars) {
  for (uint32_t n = 0; n < sidecars_; ++n) {
    loop_.After(random_.Between(kMilli, kAnnouncementInterval),
                [this, n] { AnnounceUpstream(n); });
  }
  loop_.After(kMinPause, [this] { SendSomething(); });
}

void OtherWriters::AnnounceUpstream(uint32_t n) {
  loop_.After(kAnnouncementInterval, [this, n] { AnnounceUpstream(n); });
  if (!cluster_.HasCrashed(n)) {
    sent_[n].push_back(cluster_.ComposeAnnouncement(n));
    cluster_.Announce(n);
  }
}

void OtherWriters::SendSomething() {
  if (loop_.now() >= end_) {
    return;
  }
  loop_.After(random_.Between(kMinPause, kMaxPause),
              [this] { SendSomething(); });
  const auto n = static_cast<uint32_t>(random_.Below(sidecars_));
  core::direct::UpstreamAnnouncement other = cluster_.ComposeAnnouncement(n);
  other.sequence = random_.Below(100);
  switch (random_.Below(4)) {
    case 0:
      other.id = fmt::format("other-{}", ++last_id_);
      other.started_unix_millis +=
          static_cast<int64_t>(random_.Below(2 * kMaxStartDifference + 1)) -
          static_cast<int64_t>(kMaxStartDifference);
      other.draining = random_.Chance(0.3);
      cluster_.DeliverAnnouncement(n, other);
      break;
    case 1:
      SendCopy(n);
      break;
    case 2:
      if (!sent_[n].empty()) {
        cluster_.DeliverAnnouncement(n,
                                     sent_[n][random_.Below(sent_[n].size())]);
      }
      break;
    default:
      // Of an earlier incarnation with the same id.
      cluster_.DeliverDeparture(n, other.id);
  }
}

void OtherWriters::SendCopy(uint32_t n) {
  core::direct::UpstreamAnnouncement copy = cluster_.ComposeAnnouncement(n);
  copy.sequence = 1000 + random_.Below(1000);
  if (random_.Chance(0.5)) {
    copy.profile.service = "other-service";
  } else {
    // Start times begin at 1, and no upstream has a lower one.
    copy.started_unix_millis = random_.Chance(0.5)
                                   ? -copy.started_unix_millis
                                   : copy.started_unix_millis + 1'000'000;
    copy.draining = random_.Chance(0.5);
  }
  cluster_.DeliverAnnouncement(n, copy);
}

}  // namespace filbertwick::harness
