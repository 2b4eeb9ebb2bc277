#ifndef FILBERTWICK_CORE_POLICY_MESSAGE_BUDGET_H_
#define FILBERTWICK_CORE_POLICY_MESSAGE_BUDGET_H_

#include <cstddef>

namespace filbertwick::core::policy {

/// Encoded size at which a message between instances is closed, in bytes. A
/// larger datagram consists of more packets, any of which may be lost, and a
/// few large ones fill the receive buffer of a socket.
inline constexpr size_t kMessageBytes = 16 * 1024;
/// Maximum encoded size of a part of a message that can't be split, in bytes.
inline constexpr size_t kMaxPartBytes = 16 * 1024;
/// Maximum encoded size of what a message contains beside the parts that draw
/// from its budget, in bytes.
inline constexpr size_t kMaxFixedBytes = 16 * 1024;

/// The room left in one message. The parts of a message draw from it in order
/// of urgency, those that end a run before those that begin one; what does not
/// fit goes into a further message.
class MessageBudget {
 public:
  /// `fixed` is the encoded size of the message without those parts.
  explicit MessageBudget(size_t fixed) : used_(fixed) {}

  /// Takes room for a part of `bytes`. Returns false when it does not fit. The
  /// first part always fits, so that every message makes progress.
  bool Take(size_t bytes) {
    if (has_parts_ && used_ + bytes > kMessageBytes) {
      return false;
    }
    has_parts_ = true;
    used_ += bytes;
    return true;
  }

 private:
  size_t used_;
  bool has_parts_ = false;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_MESSAGE_BUDGET_H_
