#include "balancing/quota_loans.h"

#include <algorithm>

namespace daisytack::balancing {

namespace {

/// A peer that lends answers within a few milliseconds; one that does not lend
/// does not answer.
constexpr Duration ResponseTimeout{200'000};
constexpr size_t MaxInFlight = 2;
/// Bound on remembered requests for loans, of which the oldest are dropped.
constexpr size_t MaxRequested = 64;

} // namespace

std::optional<QuotaLoan> QuotaLoans::lend(const QuotaLoanRequest &request,
                                          uint32_t share, uint32_t sent,
                                          Duration window, TimePoint now) {
  std::erase_if(Deductions, [&](const Deduction &it) {
    return releaseAt(it, window) <= now;
  });
  uint32_t lent = 0;
  for (const Deduction &it : Deductions) {
    if (it.Nonce == request.Nonce) // A repeated datagram.
      return std::nullopt;
    lent += it.Requests;
  }
  bool isIdle = 2 * static_cast<uint64_t>(sent) < share && borrowed(now) == 0;
  if (!isIdle || lent >= maxLent(share) || sent + lent >= share)
    return std::nullopt;
  uint32_t requests =
      std::min({request.Wanted, maxLent(share) - lent, share - sent - lent});
  if (requests == 0)
    return std::nullopt;
  Deduction added{now + window, requests, request.Nonce};
  auto after = std::upper_bound(Deductions.begin(), Deductions.end(), added,
                                [](const Deduction &a, const Deduction &b) {
                                  return a.UsableUntil < b.UsableUntil;
                                });
  Deductions.insert(after, added);
  return QuotaLoan{request.ServerKey, request.BoundId, requests, request.Nonce};
}

void QuotaLoans::onDenied(TimePoint now) {
  Denied += Denied < UINT32_MAX ? 1 : 0;
  LastDeniedAt = now;
}

uint32_t QuotaLoans::wanted(uint32_t share, TimePoint now) const {
  auto inFlight =
      std::count_if(Requested.begin(), Requested.end(), [&](const Pending &it) {
        return now < it.SentAt + ResponseTimeout;
      });
  if (static_cast<size_t>(inFlight) >= MaxInFlight)
    return 0;
  return std::min(Denied, std::max(share, 1U));
}

void QuotaLoans::onRequested(const QuotaLoanRequest &request, Duration term,
                             TimePoint now) {
  Denied = 0;
  std::erase_if(Requested,
                [&](const Pending &it) { return it.UsableUntil <= now; });
  if (Requested.size() >= MaxRequested)
    Requested.erase(Requested.begin());
  Requested.push_back({request.Nonce, request.Wanted, now, now + term});
}

uint32_t QuotaLoans::receive(const QuotaLoan &loan, TimePoint now) {
  auto it =
      std::find_if(Requested.begin(), Requested.end(),
                   [&](const Pending &p) { return p.Nonce == loan.Nonce; });
  if (it == Requested.end())
    return 0;
  TimePoint until = it->UsableUntil;
  uint32_t requests = std::min(loan.Requests, it->Wanted);
  Requested.erase(it);
  if (until <= now)
    return 0;
  std::erase_if(Loans, [&](const Loan &l) { return l.UsableUntil <= now; });
  Loans.push_back({until, requests, requests});
  return requests;
}

uint32_t QuotaLoans::available(TimePoint now) const {
  uint32_t out = 0;
  for (const Loan &it : Loans)
    out += now < it.UsableUntil ? it.Left : 0;
  return out;
}

uint32_t QuotaLoans::borrowed(TimePoint now) const {
  uint32_t out = 0;
  for (const Loan &it : Loans)
    out += now < it.UsableUntil ? it.Granted : 0;
  return out;
}

bool QuotaLoans::tryUse(TimePoint now) {
  Loan *first = nullptr;
  for (Loan &it : Loans)
    if (now < it.UsableUntil && it.Left > 0 &&
        (!first || it.UsableUntil < first->UsableUntil))
      first = &it;
  if (!first)
    return false;
  --first->Left;
  return true;
}

void QuotaLoans::dropBorrowed() {
  Denied = 0;
  Requested.clear();
  Loans.clear();
}

bool QuotaLoans::isIdleSince(TimePoint time, Duration window) const {
  auto hasEnded = [&](const auto &it) { return it.UsableUntil < time; };
  return (Denied == 0 || LastDeniedAt < time) &&
         std::all_of(Requested.begin(), Requested.end(), hasEnded) &&
         std::all_of(Loans.begin(), Loans.end(), hasEnded) &&
         std::all_of(
             Deductions.begin(), Deductions.end(),
             [&](const Deduction &it) { return releaseAt(it, window) < time; });
}

} // namespace daisytack::balancing
