#include "filbertwick/core/direct/datagram.h"

#include <array>

#include "filbertwick/core/policy/message_budget.h"
#include "filbertwick/wire/archive.h"

namespace filbertwick::core::direct {
namespace {

/// First byte of every datagram. It must be increased whenever the encoding of
/// the messages changes, so that instances of different releases ignore each
/// other's datagrams instead of decoding them incorrectly.
constexpr char kProtocolVersion = 4;

// The largest messages: parts up to kMessageBytes, or a single part beside the
// fixed ones.
static_assert(sizeof(kProtocolVersion) + policy::kMessageBytes +
                  policy::kMaxFixedBytes + policy::kMaxPartBytes <=
              kMaxDatagramBytes);

}  // namespace

std::string EncodeDatagram(const Datagram& datagram) {
  std::string bytes(1, kProtocolVersion);
  bytes += wire::EncodeValue(datagram);
  return bytes;
}

size_t EncodedDatagramSize(const Datagram& datagram) {
  return sizeof(kProtocolVersion) + wire::EncodedSize(datagram);
}

absl::StatusOr<Datagram> DecodeDatagram(std::string_view bytes) {
  if (bytes.empty() || bytes.front() != kProtocolVersion) {
    return absl::FailedPreconditionError("another protocol version");
  }
  return wire::DecodeValue<Datagram>(bytes.substr(1));
}

std::string_view KindOf(const Datagram& datagram) {
  constexpr std::array<std::string_view, std::variant_size_v<Datagram>> kKinds =
      {"entry", "sidecar", "membership", "handover"};
  return kKinds[datagram.index()];
}

}  // namespace filbertwick::core::direct
