#include "filbertwick/core/direct/session_table.h"

#include <algorithm>
#include <utility>

#include "filbertwick/wire/archive.h"

namespace filbertwick::core::direct {
namespace {

/// Most replaced incarnations that are remembered of an entry. Their delayed
/// messages arrive within seconds, in which an entry restarts a few times.
constexpr size_t kMaxReplacedIncarnations = 8;

}  // namespace

Session* SessionTable::Open(const Peer& entry, bool& replaced) {
  replaced = false;
  const auto [it, added] = sessions_.try_emplace(entry.name);
  Session& session = it->second;
  if (added) {
    session.entry = entry;
    return &session;
  }
  if (entry.incarnation == session.entry.incarnation) {
    return &session;
  }
  const auto& known = session.replaced_incarnations;
  if (std::ranges::find(known, entry.incarnation) != known.end() ||
      (entry.incarnation < session.entry.incarnation && !session.timed_out)) {
    return nullptr;
  }
  replaced = true;
  std::deque<uint64_t> incarnations = std::move(session.replaced_incarnations);
  incarnations.push_back(session.entry.incarnation);
  if (incarnations.size() > kMaxReplacedIncarnations) {
    incarnations.pop_front();
  }
  session = Session();
  session.entry = entry;
  session.replaced_incarnations = std::move(incarnations);
  return &session;
}

Session* SessionTable::Find(const Peer& entry) {
  const auto it = sessions_.find(entry.name);
  return it != sessions_.end() && it->second.entry == entry ? &it->second
                                                            : nullptr;
}

const OfferReply* SessionTable::FindReply(const Session& session,
                                          uint64_t offer) {
  const auto it =
      std::ranges::find(session.recent_replies, offer, &OfferReply::id);
  return it == session.recent_replies.end() ? nullptr : &*it;
}

void SessionTable::AddReply(Session& session, OfferReply reply) {
  session.recent_replies.push_back(reply);
  if (session.recent_replies.size() > kMaxRecentReplies) {
    session.recent_replies.pop_front();
  }
  AddPendingReply(session, std::move(reply));
}

void SessionTable::AddPendingReply(Session& session, OfferReply reply) {
  session.pending_reply_bytes += wire::EncodedSize(reply);
  session.pending_replies.push_back(std::move(reply));
  while (session.pending_reply_bytes > kMaxPendingReplyBytes &&
         session.pending_replies.size() > 1) {
    session.pending_reply_bytes -=
        wire::EncodedSize(session.pending_replies.front());
    session.pending_replies.pop_front();
  }
  session.send_due = true;
}

void SessionTable::TakeReplies(Session& session,
                               policy::MessageBudget& budget,
                               std::vector<OfferReply>& replies) {
  while (!session.pending_replies.empty()) {
    const size_t bytes = wire::EncodedSize(session.pending_replies.front());
    if (!budget.Take(bytes)) {
      return;
    }
    session.pending_reply_bytes -= bytes;
    replies.push_back(std::move(session.pending_replies.front()));
    session.pending_replies.pop_front();
  }
}

void SessionTable::CopyEnds(Session& session,
                            policy::MessageBudget& budget,
                            std::vector<RunEnd>& ends) {
  for (const RunEnd& end : session.ends) {
    if (!budget.Take(wire::EncodedSize(end))) {
      return;
    }
    ends.push_back(end);
    session.last_sent_end = std::max(session.last_sent_end, end.number);
  }
}

void SessionTable::AddEnd(Session& session, RunEnd end) {
  end.number = ++session.last_end_number;
  session.ends.push_back(std::move(end));
  session.send_due = true;
}

void SessionTable::AcknowledgeEnds(Session& session, uint64_t up_to) {
  while (!session.ends.empty() && session.ends.front().number <= up_to) {
    session.ends.pop_front();
  }
  session.send_due |= !session.ends.empty() &&
                      session.ends.back().number > session.last_sent_end;
}

}  // namespace filbertwick::core::direct
