#ifndef FILBERTWICK_NET_PEER_COUNTERS_H_
#define FILBERTWICK_NET_PEER_COUNTERS_H_

#include "filbertwick/base/counters.h"

namespace filbertwick::net {

/// What the transport between instances counts.
struct PeerCounters {
  /// Makes the counters in `counters`, which must outlive them.
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
  /// Received with a wrong MAC.
  Counter& bad_mac;
  /// Received with the right MAC but unreadable.
  Counter& damaged;
  /// Received with a sequence number seen before.
  Counter& replayed;
  /// Received from or for an incarnation that was replaced.
  Counter& stale;
  Counter& wrong_receiver;
  /// Not sent: the receiver would take no message of that size.
  Counter& too_large;
  /// Not sent: too many bytes wait for the peer.
  Counter& queue_full;
  /// Not sent, or lost with a connection.
  Counter& unreachable;
  /// Not sent: nobody knows where the peer is.
  Counter& no_address;
};

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_PEER_COUNTERS_H_
