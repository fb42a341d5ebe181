#include "balancing/shared_quota.h"

#include "direct/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace daisytack::balancing {

namespace {

uint64_t boundId(const QuotaBound &bound,
                 const std::map<Endpoint, uint64_t> &registered) {
  uint64_t out =
      direct::stableHash(bound.IsPaced ? "paced" : "unpaced", bound.Requests);
  out = direct::stableHash(std::to_string(bound.Window.count()), out);
  out = direct::stableHash(std::to_string(bound.Rotation), out);
  for (const auto &it : registered)
    out = direct::stableHash(toString(it.first), out);
  return out;
}

} // namespace

uint32_t quotaShare(uint32_t quota, std::string_view server, uint64_t rotation,
                    const std::map<Endpoint, uint64_t> &registered,
                    const Endpoint &own) {
  if (!registered.contains(own))
    return 0;
  auto entries = static_cast<uint32_t>(registered.size());
  uint32_t remainder = quota % entries;
  if (remainder == 0)
    return quota / entries;
  uint64_t key = direct::stableHash(server, rotation);
  uint64_t ownRank = direct::rendezvousRank(key, toString(own));
  auto higherRanked =
      std::count_if(registered.begin(), registered.end(), [&](const auto &it) {
        return direct::rendezvousRank(key, toString(it.first)) > ownRank;
      });
  bool getsOneMore = static_cast<uint32_t>(higherRanked) < remainder;
  return quota / entries + (getsOneMore ? 1 : 0);
}

SharedQuota::SharedQuota(Endpoint own, TimePoint startedAt, bool hasLoans)
    : Own(std::move(own)), StartedAt(startedAt), HasLoans(hasLoans) {}

SharedQuota::State &SharedQuota::stateOf(const direct::BackendServer &server,
                                         const QuotaBound &bound,
                                         const direct::Catalog &catalog) {
  auto [it, isNew] = Servers.try_emplace(server.ref().key());
  State &state = it->second;
  bool isCurrent = state.RegisteredVersion == catalog.RegisteredVersion &&
                   state.Bound == bound;
  if (!isNew && isCurrent)
    return state;
  state.RegisteredVersion = catalog.RegisteredVersion;
  state.Bound = bound;
  state.Share = quotaShare(bound.Requests, server.Id, bound.Rotation,
                           catalog.Registered, Own);
  state.IsRegistered = catalog.Registered.contains(Own);
  state.BoundId = boundId(bound, catalog.Registered);
  state.Loans.dropBorrowed();
  return state;
}

TimePoint SharedQuota::shareAvailableAt(const State &state) const {
  Duration window = state.Bound.Window;
  TimePoint out = StartedAt + window;
  const std::deque<TimePoint> &sent = state.Sent;
  const std::deque<QuotaLoans::Deduction> &lent = state.Loans.deductions();
  // What the predecessor at this address may have lent.
  QuotaLoans::Deduction earlier{StartedAt + window, maxLent(state.Share), 0};
  size_t used = sent.size() + earlier.Requests;
  for (const QuotaLoans::Deduction &it : lent)
    used += it.Requests;
  // All three are ordered by the time at which they end.
  auto nextSent = sent.begin();
  auto nextLent = lent.begin();
  bool isEarlierOver = false;
  while (used >= state.Share) {
    TimePoint sentEnd =
        nextSent != sent.end() ? *nextSent + window : TimePoint::max();
    TimePoint lentEnd = nextLent != lent.end()
                            ? QuotaLoans::releaseAt(*nextLent, window)
                            : TimePoint::max();
    TimePoint earlierEnd = isEarlierOver
                               ? TimePoint::max()
                               : QuotaLoans::releaseAt(earlier, window);
    TimePoint end = std::min({sentEnd, lentEnd, earlierEnd});
    out = std::max(out, end);
    if (end == sentEnd) {
      --used;
      ++nextSent;
    } else if (end == lentEnd) {
      used -= nextLent->Requests;
      ++nextLent;
    } else {
      used -= earlier.Requests;
      isEarlierOver = true;
    }
  }
  return out;
}

std::optional<TimePoint> SharedQuota::nextSendAt(const State &state,
                                                 TimePoint now) const {
  const QuotaBound &bound = state.Bound;
  bool hasLoan = state.Loans.available(now) > 0;
  if (state.Share == 0 && !hasLoan)
    return std::nullopt;
  TimePoint out = hasLoan ? now : shareAvailableAt(state);
  uint32_t requests = state.Share + state.Loans.borrowed(now);
  if (bound.IsPaced && state.LastSentAt)
    out = std::max(out, *state.LastSentAt + bound.Window / (2 * requests));
  return out;
}

void SharedQuota::onDenied(uint64_t server, State &state, TimePoint now) {
  // Not while an entry that has just started waits for its first window to end.
  bool isUsedUp = state.Loans.available(now) == 0 &&
                  now >= StartedAt + state.Bound.Window &&
                  (state.Share == 0 || now < shareAvailableAt(state));
  if (!HasLoans || !state.IsRegistered || !isUsedUp)
    return;
  state.Loans.onDenied(now);
  Wanting.insert(server);
}

std::optional<TimePoint>
SharedQuota::availableAt(const direct::BackendServer &server,
                         const QuotaBound &bound,
                         const direct::Catalog &catalog, TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = stateOf(server, bound, catalog);
  std::optional<TimePoint> out = nextSendAt(state, now);
  if (!out || now < *out)
    onDenied(server.ref().key(), state, now);
  return out;
}

bool SharedQuota::tryAcquire(const direct::BackendServer &server,
                             const QuotaBound &bound,
                             const direct::Catalog &catalog, TimePoint now) {
  std::lock_guard guard(Lock);
  State &state = stateOf(server, bound, catalog);
  std::optional<TimePoint> availableFrom = nextSendAt(state, now);
  if (!availableFrom || now < *availableFrom) {
    onDenied(server.ref().key(), state, now);
    return false;
  }
  state.LastSentAt = now;
  // A loan ends, whereas the own share remains for later.
  if (state.Loans.tryUse(now)) {
    ++Counts.Used;
    return true;
  }
  state.Sent.push_back(now);
  while (state.Sent.front() + bound.Window <= now)
    state.Sent.pop_front();
  return true;
}

void SharedQuota::forgetIdle(TimePoint usedBefore) {
  std::lock_guard guard(Lock);
  std::erase_if(Servers, [&](const auto &it) {
    const State &state = it.second;
    return (state.Sent.empty() || state.Sent.back() < usedBefore) &&
           state.Loans.isIdleSince(usedBefore, state.Bound.Window);
  });
}

std::vector<OutgoingLoanRequest>
SharedQuota::takeLoanRequests(const direct::Catalog &catalog, size_t max,
                              TimePoint now) {
  std::lock_guard guard(Lock);
  std::vector<OutgoingLoanRequest> out;
  size_t peers = catalog.Registered.size();
  if (peers < 2 || !catalog.Registered.contains(Own)) {
    Wanting.clear();
    return out;
  }
  uint64_t ownHash = direct::stableHash(
      toString(Own),
      static_cast<uint64_t>(StartedAt.time_since_epoch().count()));
  for (auto server = Wanting.begin();
       server != Wanting.end() && out.size() < max;) {
    auto it = Servers.find(*server);
    bool isCurrent = it != Servers.end() &&
                     it->second.RegisteredVersion == catalog.RegisteredVersion;
    uint32_t wanted =
        isCurrent ? it->second.Loans.wanted(it->second.Share, now) : 0;
    if (wanted > 0) {
      State &state = it->second;
      // Entries begin at different peers, so that they don't ask the same one.
      auto peer =
          std::next(catalog.Registered.begin(),
                    static_cast<ptrdiff_t>((ownHash + LoanRequests++) % peers));
      if (peer->first == Own)
        peer = std::next(peer) == catalog.Registered.end()
                   ? catalog.Registered.begin()
                   : std::next(peer);
      uint64_t nonce = direct::stableHash("quota loan", ownHash + LoanRequests);
      QuotaLoanRequest request{*server, state.BoundId, wanted, nonce};
      state.Loans.onRequested(request, state.Bound.Window, now);
      out.push_back({peer->first, request});
      ++Counts.Requested;
    }
    bool isWaiting = isCurrent && wanted == 0;
    server = isWaiting ? std::next(server) : Wanting.erase(server);
  }
  return out;
}

std::optional<QuotaLoan> SharedQuota::onLoanRequest(
    const QuotaLoanRequest &request, const Endpoint &borrower,
    const direct::BackendServer &server, const QuotaBound &bound,
    const direct::Catalog &catalog, TimePoint now) {
  std::lock_guard guard(Lock);
  // What an earlier process at this address sent or lent is unknown at first.
  bool isKnown = now >= StartedAt + 2 * bound.Window + QuotaLoanMargin;
  if (!HasLoans || !isKnown || borrower == Own ||
      !catalog.Registered.contains(borrower) ||
      server.ref().key() != request.ServerKey)
    return std::nullopt;
  State &state = stateOf(server, bound, catalog);
  if (!state.IsRegistered || state.BoundId != request.BoundId)
    return std::nullopt;
  auto sent =
      std::count_if(state.Sent.begin(), state.Sent.end(),
                    [&](TimePoint at) { return now < at + bound.Window; });
  auto out = state.Loans.lend(request, state.Share, static_cast<uint32_t>(sent),
                              bound.Window, now);
  Counts.Granted += out ? 1 : 0;
  return out;
}

uint32_t SharedQuota::onLoan(const QuotaLoan &loan, TimePoint now) {
  std::lock_guard guard(Lock);
  auto it = Servers.find(loan.ServerKey);
  if (it == Servers.end() || it->second.BoundId != loan.BoundId)
    return 0;
  uint32_t out = it->second.Loans.receive(loan, now);
  Counts.Received += out > 0 ? 1 : 0;
  return out;
}

QuotaLoanCounts SharedQuota::loanCounts() const {
  std::lock_guard guard(Lock);
  return Counts;
}

} // namespace daisytack::balancing
