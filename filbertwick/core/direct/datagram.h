#ifndef FILBERTWICK_CORE_DIRECT_DATAGRAM_H_
#define FILBERTWICK_CORE_DIRECT_DATAGRAM_H_

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "filbertwick/core/direct/handover.h"
#include "filbertwick/core/direct/membership.h"
#include "filbertwick/core/direct/message.h"

namespace filbertwick::core::direct {

/// Any message that instances exchange in a datagram.
using Datagram = std::
    variant<EntryMessage, SidecarMessage, MembershipMessage, HandoverMessage>;

/// Maximum encoded size of a datagram, in bytes. Larger ones are not sent, so
/// whoever composes a message keeps to it; see MessageBudget.
inline constexpr size_t kMaxDatagramBytes = 60 * 1024;

/// Encodes a datagram: the version of the protocol, then the message.
std::string EncodeDatagram(const Datagram& datagram);
/// Returns the size that EncodeDatagram() would return, in bytes.
size_t EncodedDatagramSize(const Datagram& datagram);
/// Decodes a datagram. Returns FailedPrecondition for another version of the
/// protocol, InvalidArgument for malformed input.
absl::StatusOr<Datagram> DecodeDatagram(std::string_view bytes);
/// Returns the kind of the message as one identifier, for logs.
std::string_view KindOf(const Datagram& datagram);

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_DATAGRAM_H_
