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

/// Type of a frame.
enum class FrameKind : uint8_t {
  /// Carries the sender's identity and address and no message. It is the first
  /// frame of a connection. An instance also replies with it to a frame that is
  /// addressed to another incarnation of that instance.
  kHello,
  kMessage,
};

/// Header before the message in a frame. The MAC covers it.
struct FrameHeader {
  FrameKind kind = FrameKind::kMessage;
  wire::Sender from;
  InstanceName to;
  /// Incarnation of the receiver that the frame is addressed to; 0 if the
  /// sender knows none.
  wire::Incarnation to_incarnation = 0;
  /// Increases with every frame from one sender to one receiver, separately for
  /// datagrams and connections.
  uint64_t sequence = 0;
  /// The sender's address. Set only in datagrams and hellos.
  wire::InstanceAddress address;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(kind, from, to, to_incarnation, sequence, address);
  }
};

/// A frame whose MAC was verified.
struct OpenedFrame {
  FrameHeader header;
  /// The encoded message; points into the frame's bytes.
  std::string_view body;
};

/// Size of the MAC at the start of each frame, in bytes.
inline constexpr size_t kMacBytes = 32;
/// Size of the big-endian length before each frame on a connection, in bytes.
inline constexpr size_t kLengthBytes = 4;

/// Adds a MAC to frames and verifies it, with a key derived from the
/// deployment's peer secret. Frames are authenticated but not encrypted.
///
/// A frame is the MAC, the header and the encoded message; on a connection its
/// length comes before it. The MAC of a frame on a connection also covers the
/// random challenge that the accepting side sent, so that a recorded frame is
/// rejected on every other connection.
class FrameCodec {
 public:
  /// Creates a codec with a key derived from `secret`. Returns InvalidArgument
  /// if `secret` is empty, Internal if libsodium can't be initialized.
  static absl::StatusOr<FrameCodec> Create(std::string_view secret);

  /// Returns the MAC, the header and the encoded message as one datagram. The
  /// body of a hello is empty.
  std::string SealDatagram(const FrameHeader& header,
                           std::string_view body) const;

  /// Returns a frame with its length before it, for a connection on which the
  /// accepting side sent `challenge`. The MAC covers `challenge`.
  std::string SealForStream(const FrameHeader& header,
                            std::string_view body,
                            std::string_view challenge) const;

  /// Verifies the MAC and decodes the header of a frame without its length.
  /// Returns Unauthenticated if the MAC does not match, InvalidArgument if the
  /// frame is too short or the header can't be decoded. `challenge` is empty
  /// for datagrams.
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
