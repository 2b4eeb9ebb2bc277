#ifndef FILBERTWICK_NET_FRAME_H_
#define FILBERTWICK_NET_FRAME_H_

#include <absl/status/statusor.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "filbertwick/base/name.h"
#include "filbertwick/wire/control_record.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::net {

/// What a frame carries.
enum class FrameKind : uint8_t {
  /// Tells who the sender is and where; opens a connection, or answers a
  /// datagram that was meant for another incarnation of the receiver.
  kHello,
  kMessage,
};

/// What stands before the message in a frame, under the MAC.
struct FrameHeader {
  FrameKind kind = FrameKind::kMessage;
  wire::Sender from;
  InstanceName to;
  /// Incarnation the frame is meant for; 0 when the sender knows none.
  wire::Incarnation to_incarnation = 0;
  /// Grows with every frame of one sender to one receiver.
  uint64_t sequence = 0;
  /// The sender's address; set in datagrams and hellos only.
  wire::InstanceAddress address;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(kind, from, to, to_incarnation, sequence, address);
  }
};

/// A frame whose MAC was right.
struct OpenedFrame {
  FrameHeader header;
  /// The encoded message; points into the frame's bytes.
  std::string_view body;
};

/// Bytes of the MAC before each frame.
inline constexpr size_t kMacBytes = 32;
/// Bytes of the length before each frame on a connection, big endian.
inline constexpr size_t kLengthBytes = 4;

/// Seals frames with the deployment's peer secret and checks those received.
class FrameCodec {
 public:
  /// A codec whose key is derived from `secret`; InvalidArgument when the
  /// secret is empty.
  static absl::StatusOr<FrameCodec> Create(std::string_view secret);

  /// MAC, header and encoded message as one datagram; hellos have no body.
  std::string SealDatagram(const FrameHeader& header,
                           std::string_view body) const;

  /// The same with its length before it, for a connection whose acceptor sent
  /// `challenge`, which the MAC covers.
  std::string SealForStream(const FrameHeader& header,
                            std::string_view body,
                            std::string_view challenge) const;

  /// Checks the MAC and reads the header. Unauthenticated for a wrong MAC,
  /// InvalidArgument for damaged bytes. `challenge` is empty for datagrams.
  absl::StatusOr<OpenedFrame> Open(std::string_view frame,
                                   std::string_view challenge) const;

 private:
  using Key = std::array<unsigned char, 32>;
  using Mac = std::array<unsigned char, kMacBytes>;

  explicit FrameCodec(const Key& key) : key_(key) {}

  std::string Seal(const FrameHeader& header,
                   std::string_view body,
                   std::string_view challenge,
                   size_t length_bytes) const;
  Mac ComputeMac(std::string_view challenge, std::string_view data) const;

  Key key_;
};

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_FRAME_H_
