#ifndef FILBERTWICK_NET_ANNOUNCEMENT_H_
#define FILBERTWICK_NET_ANNOUNCEMENT_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace filbertwick::net {

/// Most slots that an upstream may announce.
inline constexpr uint32_t kMaxSlots = 4096;

/// What an upstream says of itself to its sidecar.
struct Announcement {
  /// Tasks it takes at a time.
  uint32_t slots = 0;
  /// IP number and port on which it takes tasks.
  std::string host;
  uint16_t port = 0;
  /// It takes no new tasks and will go.
  bool leaving = false;

  friend bool operator==(const Announcement&, const Announcement&) = default;
};

/// Reads the body of an announcement; InvalidArgument names every wrong field.
absl::StatusOr<Announcement> ParseAnnouncement(std::string_view body);

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_ANNOUNCEMENT_H_
