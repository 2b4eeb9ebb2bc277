#include "filbertwick/core/direct/session_table.h"

#include <algorithm>
#include <utility>

namespace filbertwick::core::direct {

Session* SessionTable::Open(const Peer& entry, bool& ended) {
  ended = false;
  const auto [it, added] = sessions_.try_emplace(entry.name);
  Session& session = it->second;
  if (added) {
    session.entry = entry;
    return &session;
  }
  if (entry.incarnation < session.entry.incarnation && !session.orphaned) {
    return nullptr;
  }
  if (entry.incarnation != session.entry.incarnation) {
    ended = true;
    session = Session();
    session.entry = entry;
  }
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
      std::ranges::find(session.old_replies, offer, &OfferReply::id);
  return it == session.old_replies.end() ? nullptr : &*it;
}

void SessionTable::AddReply(Session& session, OfferReply reply) {
  session.old_replies.push_back(reply);
  if (session.old_replies.size() > kMaxOldReplies) {
    session.old_replies.pop_front();
  }
  session.new_replies.push_back(std::move(reply));
  session.due = true;
}

void SessionTable::AddEnd(Session& session, RunEnd end) {
  end.number = ++session.last_end;
  session.ends.push_back(std::move(end));
  session.due = true;
}

void SessionTable::TakeEnds(Session& session, uint64_t up_to) {
  while (!session.ends.empty() && session.ends.front().number <= up_to) {
    session.ends.pop_front();
  }
}

}  // namespace filbertwick::core::direct
