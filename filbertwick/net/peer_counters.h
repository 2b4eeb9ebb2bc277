#ifndef FILBERTWICK_NET_PEER_COUNTERS_H_
#define FILBERTWICK_NET_PEER_COUNTERS_H_

#include "filbertwick/base/counters.h"

namespace filbertwick::net {

/// Counters of the transport between instances.
struct PeerCounters {
  /// Registers the counters in `counters`, which must outlive this object.
  explicit PeerCounters(Counters& counters)
      : sent(counters.Get("peer_messages_sent")),
        sent_bytes(counters.Get("peer_bytes_sent")),
        received(counters.Get("peer_messages_received")),
        received_bytes(counters.Get("peer_bytes_received")),
        connects(counters.Get("peer_connects")),
        bad_mac(counters.Get("peer_dropped_bad_mac")),
        damaged(counters.Get("peer_dropped_damaged")),
        replayed(counters.Get("peer_dropped_replayed")),
        stale(counters.Get("peer_dropped_stale")),
        wrong_receiver(counters.Get("peer_dropped_wrong_receiver")),
        too_large(counters.Get("peer_dropped_too_large")),
        queue_full(counters.Get("peer_dropped_queue_full")),
        unreachable(counters.Get("peer_dropped_unreachable")),
        no_address(counters.Get("peer_dropped_no_address")) {}

  Counter& sent;
  Counter& sent_bytes;
  Counter& received;
  Counter& received_bytes;
  /// Connections opened to peers.
  Counter& connects;
  /// Received frames whose MAC did not match.
  Counter& bad_mac;
  /// Received frames that are too short, or that have a valid MAC but could not
  /// be decoded or are not allowed at this point of their connection, such as a
  /// message before the hello.
  Counter& damaged;
  /// Received frames whose sequence number was used before or is too old.
  Counter& replayed;
  /// Received frames from a retired incarnation of the sender, or for another
  /// incarnation of this instance.
  Counter& stale;
  /// Received frames for another instance, or with the name of this instance as
  /// sender.
  Counter& wrong_receiver;
  /// Messages not sent because they exceed the size that receivers accept.
  Counter& too_large;
  /// Messages not sent because the queue of the peer is full.
  Counter& queue_full;
  /// Messages not sent because the peer could not be reached, or dropped when
  /// its connection failed.
  Counter& unreachable;
  /// Messages not sent because the address of the peer is unknown.
  Counter& no_address;
};

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_PEER_COUNTERS_H_
