#ifndef FILBERTWICK_CORE_POLICY_CLIENT_BUDGET_H_
#define FILBERTWICK_CORE_POLICY_CLIENT_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "filbertwick/base/time.h"

namespace filbertwick::core::policy {

/// What a connection from a client is doing.
enum class ClientActivity : uint8_t {
  /// Has sent nothing since it was opened or since its last answer.
  kIdle,
  /// Has sent a part of a request.
  kReceiving,
  /// Waits for the answer to a complete request.
  kWaiting,
  /// Is sent an answer that it has not taken yet.
  kSending,
  /// Has got its last answer and has not closed yet.
  kClosing,
};

/// What a process holds for one connection.
struct ClientHolding {
  uint64_t id = 0;
  ClientActivity activity = ClientActivity::kIdle;
  size_t bytes = 0;
  /// When the activity began.
  Instant since;
  /// At least one request of the connection was complete.
  bool has_brought_request = false;
};

/// Returns the connections to close so that at least `bytes` are freed, as few
/// as possible. The load is a crowd of clients that begin requests and do not
/// end them, or take no answers: what a client holds counts by its size and by
/// the time for which it has been held, so large and old parts of requests go
/// before those of a caller that has just arrived. Connections that wait for an
/// answer are not closed, since their requests are being served.
std::vector<uint64_t> ChooseToFreeBytes(std::span<const ClientHolding> holdings,
                                        size_t bytes,
                                        Instant now);

/// Returns at most `count` connections to close so that others can be accepted.
/// The load is a crowd of clients that open connections and send nothing, or
/// next to nothing: connections that are closing anyway go first, then those
/// that never brought a request, then idle ones, and among these the oldest.
/// Connections that wait for an answer are not closed.
std::vector<uint64_t> ChooseToFreeConnections(
    std::span<const ClientHolding> holdings,
    size_t count);

/// The memory that a process holds because of clients, over all its listeners:
/// parts of requests, requests in progress and answers. Several servers share
/// one budget. Not thread-safe.
class ClientBudget {
 public:
  /// Asks the owner of a holding to close its connection. The owner must call
  /// Remove() or Update() with fewer bytes, at once.
  using CloseHook = std::function<void()>;

  static constexpr size_t kReservationHeadroom = 4;
  /// What was used up when connections were closed.
  enum class Shortage : uint8_t { kMemory, kConnections };
  /// Called with the number of connections that were closed together.
  using ClosedHook = std::function<void(Shortage, size_t)>;

  /// `max_bytes` is the limit of all holdings and reservations.
  static std::shared_ptr<ClientBudget> Create(size_t max_bytes,
                                              ClosedHook on_closed = nullptr);

  /// Adds a connection that holds nothing; returns its id.
  uint64_t Add(Instant now, CloseHook close);
  void Remove(uint64_t id);
  /// Records what a connection holds now. Has no effect on a removed one.
  void Update(Instant now, uint64_t id, ClientActivity activity, size_t bytes);
  /// Closes connections if the limit is exceeded, until an eighth of it is
  /// free again. Connections of other owners may be closed, and the caller's.
  void Relieve(Instant now);

  /// Reports connections that a server has closed to accept others.
  void ReportClosed(Shortage shortage, size_t count);

  /// Reserves memory for a request that is complete, and closes connections to
  /// make room for it. Returns false, and reserves nothing, if reservations
  /// would leave less than a quarter of the limit to parts of requests, or if
  /// fewer than kReservationHeadroom of this size would fit: large requests
  /// are refused first, and the small ones of other callers still fit.
  bool Reserve(Instant now, size_t bytes);
  void Release(size_t bytes);

  /// Returns true if a connection may read ahead of the request in progress.
  bool MayReadAhead() const { return used_ <= max_bytes_ / 2; }
  /// Returns what a connection holds; it must not have been removed.
  const ClientHolding& holding(uint64_t id) const {
    return clients_.at(id).holding;
  }

  size_t used_bytes() const { return used_; }
  size_t max_bytes() const { return max_bytes_; }
  /// Connections closed so far.
  uint64_t closed() const { return closed_; }
  /// Calls of Reserve() that returned false.
  uint64_t refused() const { return refused_; }

 private:
  struct Client {
    ClientHolding holding;
    CloseHook close;
  };

  ClientBudget(size_t max_bytes, ClosedHook on_closed)
      : max_bytes_(max_bytes), on_closed_(std::move(on_closed)) {}
  /// Closes connections until at most `bytes` are used, if there are enough.
  void ReduceTo(Instant now, size_t bytes);

  const size_t max_bytes_;
  const ClosedHook on_closed_;
  std::map<uint64_t, Client> clients_;
  uint64_t last_id_ = 0;
  size_t used_ = 0;
  size_t reserved_ = 0;
  uint64_t closed_ = 0;
  uint64_t refused_ = 0;
};

/// Memory reserved for a request as long as the object lives.
class ClientReservation {
 public:
  ClientReservation() = default;
  /// Returns nullopt if `budget` has no room for `bytes`.
  static std::optional<ClientReservation>
  Create(Instant now, std::shared_ptr<ClientBudget> budget, size_t bytes);
  ~ClientReservation() { Release(); }
  ClientReservation(ClientReservation&& other) noexcept;
  ClientReservation& operator=(ClientReservation&& other) noexcept;
  ClientReservation(const ClientReservation&) = delete;
  ClientReservation& operator=(const ClientReservation&) = delete;

 private:
  ClientReservation(std::shared_ptr<ClientBudget> budget, size_t bytes)
      : budget_(std::move(budget)), bytes_(bytes) {}
  void Release();

  std::shared_ptr<ClientBudget> budget_;
  size_t bytes_ = 0;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_CLIENT_BUDGET_H_
