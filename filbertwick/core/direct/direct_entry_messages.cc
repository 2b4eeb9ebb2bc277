#include "filbertwick/core/direct/direct_entry_impl.h"

// The messages to the sidecars: what is due, in which order, and how much at a
// time.

namespace filbertwick::core::direct {
namespace {

/// An offer that is lost this often is withdrawn, although other messages reach
/// the sidecar: the path may not carry large datagrams. Otherwise it would hold
/// the capacity of the upstream until the time limit of its job.
constexpr uint32_t kMaxOfferSends = 5;
/// Most messages to one sidecar at a time, and the pause after them while more
/// is waiting.
constexpr int kMaxMessagesAtOnce = 4;
constexpr Duration kBurstPause = std::chrono::milliseconds(2);
/// Pause before what the socket has not taken is sent again.
constexpr Duration kSocketRetryDelay = std::chrono::milliseconds(20);

}  // namespace

bool DirectEntry::Impl::AddDueItems(Instant now,
                                    SidecarView& view,
                                    EntryMessage& message) {
  // An answer that was not read so far is not lost.
  const Duration resend_interval =
      settings_.resend_interval +
      std::min(overload_.PresentDelay(now), settings_.reply_timeout);
  policy::MessageBudget budget(wire::EncodedSize(message));
  bool has_more = false;
  // Returns true when the item is to be sent with this message. The first one
  // that does not fit ends the message, so that a later item does not overtake
  // an earlier one.
  const auto is_sent = [&](policy::ResendTimer& resend, size_t bytes) {
    using Action = policy::ResendTimer::Action;
    const Action action =
        has_more ? Action::kNone : resend.ActionAt(now, view.newest_echo);
    if (action == Action::kProbe) {
      resend.Probed();
      view.wants_reply = true;
    }
    if (action != Action::kSend) {
      return false;
    }
    if (!budget.Take(bytes)) {
      has_more = true;
      return false;
    }
    resend.Sent(now, resend_interval);
    return true;
  };
  // Stops come first: they must not wait behind the offers.
  for (auto& [run, resend] : view.stops) {
    if (is_sent(resend, wire::EncodedSize(run))) {
      message.stops.push_back(run);
    }
  }
  view.ForEachSendableOffer([&](OpenOffer& open) {
    if (is_sent(open.resend, open.bytes)) {
      ++open.sends;
      message.offers.push_back(open.offer);
    }
  });
  return has_more;
}

void DirectEntry::Impl::WithdrawLostOffers(Instant now, SidecarView& view) {
  std::vector<OpenOffer*> lost;
  view.ForEachSendableOffer([&](OpenOffer& open) {
    if (open.sends >= kMaxOfferSends &&
        open.resend.ActionAt(now, view.newest_echo) ==
            policy::ResendTimer::Action::kSend) {
      lost.push_back(&open);
    }
  });
  for (OpenOffer* open : lost) {
    effects_.push_back(
        LogLine("offer_withdrawn")
            .Add("sidecar", view.name.value())
            .Add("tasks", static_cast<int64_t>(open->offer.tasks.size()))
            .Add("bytes", static_cast<int64_t>(open->bytes))
            .Add("sends", static_cast<int64_t>(open->sends)));
    open->is_withdrawn = true;
    // The ends of the runs, which never started if the offer never arrived,
    // make their tasks ready to be placed again.
    for (const OfferedTask& task : open->offer.tasks) {
      if (!open->ended.contains(task.run)) {
        StopRun(now, view, task.run);
      }
    }
  }
}

EntryMessage DirectEntry::Impl::ComposeMessage(Instant now,
                                               SidecarView& view,
                                               bool& has_more) {
  EntryMessage message;
  message.from = self_;
  message.to_incarnation = view.incarnation;
  message.sent_at = ToMicros(now);
  message.echoed_clock = view.clock;
  message.acknowledged_end = view.acknowledged_end;
  message.control = control_;
  message.claims = ComposeClaims(now, view);
  view.has_claims = !message.claims.empty();
  has_more = AddDueItems(now, view, message);
  message.wants_reply = std::exchange(view.wants_reply, false);
  if (message.wants_reply || !message.offers.empty()) {
    upstreams_.Touch(view);
    view.unanswered.Sent(now);
  }
  view.send_due = false;
  view.ack_due = Instant::max();
  view.heartbeat_due = now + HeartbeatInterval(now, view);
  return message;
}

void DirectEntry::Impl::SendMessages(Instant now, SidecarView& view) {
  WithdrawLostOffers(now, view);
  const bool is_paced = now < view.paced_until;
  bool has_more = true;
  for (int n = 0; has_more && n < (is_paced ? 1 : kMaxMessagesAtOnce); ++n) {
    effects_.push_back(
        SendToSidecarEffect{view.name, ComposeMessage(now, view, has_more)});
  }
  if (has_more && !is_paced) {
    view.paced_until = now + kBurstPause;
  }
}

void DirectEntry::Impl::OnNotSent(Instant now,
                                  const InstanceName& to,
                                  const EntryMessage& message) {
  const auto it = sidecars_.find(to);
  if (it == sidecars_.end()) {
    return;
  }
  SidecarView& view = it->second;
  const Instant retry = now + kSocketRetryDelay;
  for (const Offer& offer : message.offers) {
    const auto open = view.offers.find(offer.id);
    if (open != view.offers.end()) {
      open->second.resend.NotSent(retry);
      --open->second.sends;
    }
  }
  for (const TaskRun& run : message.stops) {
    const auto stop = view.stops.find(run);
    if (stop != view.stops.end()) {
      stop->second.NotSent(retry);
    }
  }
  view.wants_reply |= message.wants_reply;
  view.heartbeat_due = std::min(view.heartbeat_due, retry);
}

}  // namespace filbertwick::core::direct
