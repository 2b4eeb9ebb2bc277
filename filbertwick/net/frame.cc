#include "filbertwick/net/frame.h"

#include <sodium.h>

#include <boost/endian/conversion.hpp>
#include <cstring>
#include <exception>
#include <utility>

#include "filbertwick/wire/archive.h"

namespace filbertwick::net {
namespace {

constexpr std::string_view kKeyContext = "filbertwick peer key 1";

const unsigned char* ToBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

absl::StatusOr<FrameCodec> FrameCodec::Create(std::string_view secret) {
  if (secret.empty()) {
    return absl::InvalidArgumentError("the peer secret is empty");
  }
  if (sodium_init() < 0) {
    return absl::InternalError("libsodium could not be initialized");
  }
  const std::string input = std::string(kKeyContext) + std::string(secret);
  Key key;
  crypto_generichash(key.data(), key.size(), ToBytes(input), input.size(),
                     nullptr, 0);
  return FrameCodec(key);
}

std::string FrameCodec::SealDatagram(const FrameHeader& header,
                                     std::string_view body) const {
  return Seal(header, body, {}, 0);
}

std::string FrameCodec::SealForStream(const FrameHeader& header,
                                      std::string_view body,
                                      std::string_view challenge) const {
  std::string frame = Seal(header, body, challenge, kLengthBytes);
  boost::endian::store_big_u32(
      reinterpret_cast<unsigned char*>(frame.data()),
      static_cast<uint32_t>(frame.size() - kLengthBytes));
  return frame;
}

absl::StatusOr<OpenedFrame> FrameCodec::Open(std::string_view frame,
                                             std::string_view challenge) const {
  if (frame.size() < kMacBytes) {
    return absl::InvalidArgumentError("the frame is too short");
  }
  const std::string_view data = frame.substr(kMacBytes);
  const Mac mac = ComputeMac(challenge, data);
  if (sodium_memcmp(mac.data(), frame.data(), kMacBytes) != 0) {
    return absl::UnauthenticatedError("the MAC does not match");
  }
  wire::InputArchive archive(data);
  OpenedFrame opened;
  try {
    archive(opened.header);
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  opened.body = data.substr(data.size() - archive.remaining());
  return opened;
}

std::string FrameCodec::Seal(const FrameHeader& header,
                             std::string_view body,
                             std::string_view challenge,
                             size_t length_bytes) const {
  static constexpr std::array<char, kLengthBytes + kMacBytes> kPlaceholder = {};
  wire::OutputArchive archive;
  archive.SaveBytes(kPlaceholder.data(), length_bytes + kMacBytes);
  archive(header);
  archive.SaveBytes(body.data(), body.size());
  std::string frame = std::move(archive.bytes());
  const std::string_view data =
      std::string_view(frame).substr(length_bytes + kMacBytes);
  const Mac mac = ComputeMac(challenge, data);
  std::memcpy(frame.data() + length_bytes, mac.data(), kMacBytes);
  return frame;
}

FrameCodec::Mac FrameCodec::ComputeMac(std::string_view challenge,
                                       std::string_view data) const {
  crypto_generichash_state state;
  Mac mac;
  crypto_generichash_init(&state, key_.data(), key_.size(), kMacBytes);
  crypto_generichash_update(&state, ToBytes(challenge), challenge.size());
  crypto_generichash_update(&state, ToBytes(data), data.size());
  crypto_generichash_final(&state, mac.data(), kMacBytes);
  return mac;
}

}  // namespace filbertwick::net
