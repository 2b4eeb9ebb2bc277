#include "filbertwick/core/policy/client_budget.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>
#include <utility>

namespace filbertwick::core::policy {
namespace {

/// Shortest time that counts for what is held. Within it only the size matters.
constexpr Duration kMinHoldTime = std::chrono::milliseconds(100);

/// Bytes times seconds for which they have been held.
double WasteOf(const ClientHolding& holding, Instant now) {
  const Duration held = std::max(now - holding.since, kMinHoldTime);
  return static_cast<double>(holding.bytes) *
         std::chrono::duration<double>(held).count();
}

/// Connections with a lower rank are closed first to free a connection.
int ConnectionRank(const ClientHolding& holding) {
  if (holding.activity == ClientActivity::kClosing) {
    return 0;
  }
  if (!holding.has_brought_request) {
    return 1;
  }
  return holding.activity == ClientActivity::kIdle ? 2 : 3;
}

bool MayClose(const ClientHolding& holding) {
  return holding.activity != ClientActivity::kWaiting;
}

}  // namespace

std::vector<uint64_t> ChooseToFreeBytes(std::span<const ClientHolding> holdings,
                                        size_t bytes,
                                        Instant now) {
  std::vector<std::pair<double, const ClientHolding*>> by_waste;
  for (const ClientHolding& holding : holdings) {
    if (MayClose(holding) && holding.bytes > 0) {
      by_waste.emplace_back(WasteOf(holding, now), &holding);
    }
  }
  std::ranges::sort(by_waste, [](const auto& a, const auto& b) {
    return std::tie(b.first, a.second->id) < std::tie(a.first, b.second->id);
  });
  std::vector<uint64_t> chosen;
  size_t freed = 0;
  for (const auto& [waste, holding] : by_waste) {
    if (freed >= bytes) {
      break;
    }
    freed += holding->bytes;
    chosen.push_back(holding->id);
  }
  return chosen;
}

std::vector<uint64_t> ChooseToFreeConnections(
    std::span<const ClientHolding> holdings,
    size_t count) {
  std::vector<std::tuple<int, Instant, uint64_t>> ranked;
  for (const ClientHolding& it : holdings | std::views::filter(MayClose)) {
    ranked.emplace_back(ConnectionRank(it), it.since, it.id);
  }
  const auto end =
      ranked.begin() + static_cast<ptrdiff_t>(std::min(count, ranked.size()));
  std::ranges::partial_sort(ranked, end);
  std::vector<uint64_t> chosen;
  std::transform(ranked.begin(), end, std::back_inserter(chosen),
                 [](const auto& it) { return std::get<uint64_t>(it); });
  return chosen;
}

std::shared_ptr<ClientBudget> ClientBudget::Create(size_t max_bytes,
                                                   ClosedHook on_closed) {
  return std::shared_ptr<ClientBudget>(
      new ClientBudget(max_bytes, std::move(on_closed)));
}

uint64_t ClientBudget::Add(Instant now, CloseHook close) {
  Client& client = clients_[++last_id_];
  client.holding.id = last_id_;
  client.holding.since = now;
  client.close = std::move(close);
  return last_id_;
}

void ClientBudget::Remove(uint64_t id) {
  const auto it = clients_.find(id);
  if (it != clients_.end()) {
    used_ -= it->second.holding.bytes;
    clients_.erase(it);
  }
}

void ClientBudget::Update(Instant now,
                          uint64_t id,
                          ClientActivity activity,
                          size_t bytes) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) {
    return;
  }
  ClientHolding& holding = it->second.holding;
  used_ = used_ - holding.bytes + bytes;
  holding.bytes = bytes;
  if (holding.activity != activity) {
    holding.activity = activity;
    holding.since = now;
  }
  holding.has_brought_request |= activity == ClientActivity::kWaiting;
}

void ClientBudget::Relieve(Instant now) {
  if (used_ > max_bytes_) {
    ReduceTo(now, max_bytes_ - max_bytes_ / 8);
  }
}

void ClientBudget::ReduceTo(Instant now, size_t bytes) {
  if (used_ <= bytes) {
    return;
  }
  std::vector<ClientHolding> holdings;
  std::ranges::transform(clients_ | std::views::values,
                         std::back_inserter(holdings), &Client::holding);
  size_t closed = 0;
  for (const uint64_t id : ChooseToFreeBytes(holdings, used_ - bytes, now)) {
    const auto it = clients_.find(id);
    if (it == clients_.end()) {
      continue;  // Closed together with another one.
    }
    ++closed;
    // The hook may remove the client, and itself with it.
    const CloseHook close = it->second.close;
    close();
  }
  ReportClosed(Shortage::kMemory, closed);
}

void ClientBudget::ReportClosed(Shortage shortage, size_t count) {
  closed_ += count;
  if (on_closed_ && count > 0) {
    on_closed_(shortage, count);
  }
}

bool ClientBudget::Reserve(Instant now, size_t bytes) {
  const size_t max_reserved = max_bytes_ - max_bytes_ / 4;
  if (bytes > max_reserved / kReservationHeadroom ||
      reserved_ > max_reserved - kReservationHeadroom * bytes) {
    ++refused_;
    return false;
  }
  reserved_ += bytes;
  used_ += bytes;
  Relieve(now);
  return true;
}

void ClientBudget::Release(size_t bytes) {
  reserved_ -= bytes;
  used_ -= bytes;
}

std::optional<ClientReservation> ClientReservation::Create(
    Instant now,
    std::shared_ptr<ClientBudget> budget,
    size_t bytes) {
  if (!budget->Reserve(now, bytes)) {
    return std::nullopt;
  }
  return ClientReservation(std::move(budget), bytes);
}

ClientReservation::ClientReservation(ClientReservation&& other) noexcept
    : budget_(std::move(other.budget_)),
      bytes_(std::exchange(other.bytes_, 0)) {}

ClientReservation& ClientReservation::operator=(
    ClientReservation&& other) noexcept {
  Release();
  budget_ = std::move(other.budget_);
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

void ClientReservation::Release() {
  if (budget_) {
    budget_->Release(bytes_);
    budget_.reset();
  }
}

}  // namespace filbertwick::core::policy
