#include <criterion/criterion.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "filbertwick/core/policy/client_budget.h"

namespace {

using filbertwick::Duration;
using filbertwick::Instant;
using filbertwick::core::policy::ChooseToFreeBytes;
using filbertwick::core::policy::ChooseToFreeConnections;
using filbertwick::core::policy::ClientActivity;
using filbertwick::core::policy::ClientBudget;
using filbertwick::core::policy::ClientHolding;
using filbertwick::core::policy::ClientReservation;

using Ids = std::vector<uint64_t>;

constexpr Instant kStart{std::chrono::seconds(100)};
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr size_t kKilobyte = 1024;

/// A holding whose activity began `age` before kStart.
ClientHolding Holding(uint64_t id,
                      ClientActivity activity,
                      size_t bytes,
                      Duration age) {
  return {id, activity, bytes, kStart - age, false};
}

}  // namespace

// A crowd stops just short of the end of large bodies. They go, oldest first,
// and a caller that has just begun its request stays.
Test(client_budget, frees_bytes_of_large_and_old_parts_first) {
  const std::vector<ClientHolding> holdings = {
      Holding(1, ClientActivity::kReceiving, kKilobyte, Duration(0)),
      Holding(2, ClientActivity::kReceiving, 200 * kKilobyte, 2 * kSecond),
      Holding(3, ClientActivity::kReceiving, 200 * kKilobyte, 5 * kSecond),
      Holding(4, ClientActivity::kReceiving, 4000 * kKilobyte, kSecond),
  };
  cr_assert(ChooseToFreeBytes(holdings, 1, kStart) == Ids{4});
  cr_assert(ChooseToFreeBytes(holdings, 4001 * kKilobyte, kStart) ==
            (Ids{4, 3}));
  cr_assert(ChooseToFreeBytes(holdings, 10'000 * kKilobyte, kStart) ==
            (Ids{4, 3, 2, 1}));
}

// A caller on a slow link has a body of the allowed size on the way for some
// seconds, while a crowd holds bodies of the same size for longer.
Test(client_budget, a_slow_caller_stays_before_a_crowd_that_has_stopped) {
  std::vector<ClientHolding> holdings = {
      Holding(1, ClientActivity::kReceiving, 256 * kKilobyte, 2 * kSecond)};
  for (uint64_t id = 2; id < 50; ++id) {
    holdings.push_back(
        Holding(id, ClientActivity::kReceiving, 256 * kKilobyte, 8 * kSecond));
  }
  const Ids chosen =
      ChooseToFreeBytes(holdings, 40UL * 256 * kKilobyte, kStart);
  cr_assert_eq(chosen.size(), 40);
  cr_assert(std::ranges::find(chosen, 1) == chosen.end());
}

// Clients that do not take their answers hold them; clients whose jobs are in
// progress do not hold anything for nothing.
Test(client_budget, frees_answers_that_are_not_taken_but_no_job) {
  const std::vector<ClientHolding> holdings = {
      Holding(1, ClientActivity::kWaiting, 64 * kKilobyte, 9 * kSecond),
      Holding(2, ClientActivity::kSending, 32 * kKilobyte, kSecond),
  };
  cr_assert(ChooseToFreeBytes(holdings, 96 * kKilobyte, kStart) == Ids{2});
}

// A crowd opens connections and sends nothing, beside callers that keep theirs
// open between requests and callers whose jobs run.
Test(client_budget, frees_connections_that_brought_no_request_first) {
  std::vector<ClientHolding> holdings = {
      Holding(1, ClientActivity::kIdle, 0, 50 * kSecond),
      Holding(2, ClientActivity::kIdle, 0, 9 * kSecond),
      Holding(3, ClientActivity::kReceiving, kKilobyte, 10 * kSecond),
      Holding(4, ClientActivity::kWaiting, 0, 60 * kSecond),
      Holding(5, ClientActivity::kClosing, 0, kSecond),
  };
  holdings[0].has_brought_request = true;
  cr_assert(ChooseToFreeConnections(holdings, 1) == Ids{5});
  cr_assert(ChooseToFreeConnections(holdings, 3) == (Ids{5, 3, 2}));
  cr_assert(ChooseToFreeConnections(holdings, 9) == (Ids{5, 3, 2, 1}));
}

Test(client_budget, closes_holders_until_an_eighth_is_free) {
  const auto budget = ClientBudget::Create(800);
  Ids closed;
  Ids ids;
  for (size_t n = 0; n < 9; ++n) {
    ids.push_back(budget->Add(kStart, [&, n] {
      closed.push_back(n);
      budget->Remove(ids[n]);
    }));
    budget->Update(kStart + n * kSecond, ids[n], ClientActivity::kReceiving,
                   100);
    budget->Relieve(kStart + n * kSecond);
    cr_assert_leq(budget->used_bytes(), budget->max_bytes());
  }
  cr_assert(closed == (Ids{0, 1}));
  cr_assert_eq(budget->closed(), 2);
  cr_assert_eq(budget->used_bytes(), 700);
}

// A crowd of jobs whose state is far larger than their text. A quarter of the
// budget stays for requests that are still being received, a job makes room for
// itself at the cost of those that are not complete, and a small job still fits
// when large ones are refused.
Test(client_budget, reserves_three_quarters_for_complete_requests) {
  const auto budget = ClientBudget::Create(800);
  uint64_t id = 0;
  id = budget->Add(kStart, [&] { budget->Remove(id); });
  budget->Update(kStart, id, ClientActivity::kReceiving, 600);
  std::vector<ClientReservation> large;
  while (auto reservation = ClientReservation::Create(kStart, budget, 100)) {
    large.push_back(*std::move(reservation));
  }
  cr_assert_eq(large.size(), 3);
  cr_assert_eq(budget->closed(), 1);
  std::vector<ClientReservation> small;
  while (auto reservation = ClientReservation::Create(kStart, budget, 1)) {
    small.push_back(*std::move(reservation));
  }
  cr_assert_eq(small.size(), 297);
  cr_assert_eq(budget->refused(), 2);
  cr_assert_eq(budget->used_bytes(), 597);
  small.clear();
  large.pop_back();
  ClientReservation moved = std::move(large.back());
  large.clear();
  cr_assert_eq(budget->used_bytes(), 100);
}

Test(client_budget, does_not_read_ahead_when_half_is_used) {
  const auto budget = ClientBudget::Create(800);
  cr_assert(budget->MayReadAhead());
  constexpr size_t kReservations = 10;
  std::vector<ClientReservation> reservations;
  reservations.reserve(kReservations);
  for (size_t n = 0; n < kReservations; ++n) {
    reservations.push_back(*ClientReservation::Create(kStart, budget, 41));
  }
  cr_assert_not(budget->MayReadAhead());
}
