#ifndef FILBERTWICK_NET_ANNOUNCEMENT_H_
#define FILBERTWICK_NET_ANNOUNCEMENT_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace filbertwick::net {

/// Maximum number of slots that an upstream may announce.
inline constexpr uint32_t kMaxSlots = 4096;

/// State that an upstream reports to its sidecar.
struct Announcement {
  /// Number of tasks that the upstream runs concurrently.
  uint32_t slots = 0;
  /// IP address and port at which the upstream accepts tasks.
  std::string host;
  uint16_t port = 0;
  /// The upstream is shutting down and accepts no new tasks.
  bool leaving = false;

  friend bool operator==(const Announcement&, const Announcement&) = default;
};

/// Parses the JSON body of an announcement. Returns InvalidArgument that names
/// every invalid field.
absl::StatusOr<Announcement> ParseAnnouncement(std::string_view body);

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_ANNOUNCEMENT_H_
