#ifndef FILBERTWICK_CORE_POLICY_SEND_WINDOW_H_
#define FILBERTWICK_CORE_POLICY_SEND_WINDOW_H_

#include <cstddef>

namespace filbertwick::core::policy {

/// Limits what is sent to a peer before it answers. After a restart of all
/// instances, hundreds of large items may wait for one peer; sent at once, they
/// would overflow its socket and be lost together.
class SendWindow {
 public:
  /// Maximum encoded size of the unanswered items, in bytes.
  static constexpr size_t kMaxBytes = 64 * 1024;
  /// Maximum number of unanswered items. A sidecar remembers as many replies.
  static constexpr size_t kMaxItems = 64;

  /// Returns true when an item of `bytes` may be sent. The first one always
  /// may.
  bool Admits(size_t bytes) const {
    return items_ == 0 || (items_ < kMaxItems && bytes_ + bytes <= kMaxBytes);
  }
  /// Records an item that is sent and not answered.
  void Add(size_t bytes) {
    ++items_;
    bytes_ += bytes;
  }

 private:
  size_t items_ = 0;
  size_t bytes_ = 0;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_SEND_WINDOW_H_
