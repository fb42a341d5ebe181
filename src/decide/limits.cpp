#include "decide/limits.h"

#include "base/digest.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace daisytack {

namespace {

constexpr double MicrosPerSecond = 1e6;
constexpr double MillisPerRequest = 1e3;
/// Time constant of the decaying average of demand.
constexpr Duration DemandWindow{1'000'000};
/// Requests per DemandWindow from which an entry counts as busy; a rate
/// measured from fewer requests is unreliable.
constexpr double BusyRequests = 4;
/// Factor from the current demand to the requested rate, so that growing demand
/// doesn't need another quota request at once.
constexpr double DemandMargin = 1.25;

double seconds(Duration d) {
  return static_cast<double>(d.count()) / MicrosPerSecond;
}

Duration fromSeconds(double s) {
  return Duration(static_cast<int64_t>(std::ceil(s * MicrosPerSecond)));
}

void refill(double &tokens, TimePoint &at, double rate, double depth,
            TimePoint now) {
  if (now > at) {
    tokens += rate * seconds(now - at);
    at = now;
  }
  tokens = std::min(tokens, depth);
}

} // namespace

LimitShare staticLimit(const Organisation &organisation, size_t entries,
                       const LimitSettings &settings) {
  double share =
      settings.StaticShare / static_cast<double>(std::max<size_t>(entries, 1));
  LimitShare out;
  out.Rate = organisation.RequestsPerSecond * share;
  out.Depth = std::max(settings.MinDepth, organisation.Burst * share);
  out.Slots = static_cast<uint32_t>(
      std::max(1.0, std::floor(organisation.MaxConcurrent * share)));
  return out;
}

LimitShare pooledLimit(const Organisation &organisation,
                       const LimitSettings &settings) {
  double share = 1.0 - settings.StaticShare;
  LimitShare out;
  out.Rate = organisation.RequestsPerSecond * share;
  out.Depth = organisation.Burst * share;
  out.Slots = static_cast<uint32_t>(organisation.MaxConcurrent * share);
  return out;
}

double admissionBound(const Organisation &organisation, size_t entries,
                      Duration window, const LimitSettings &settings) {
  LimitShare local = staticLimit(organisation, entries, settings);
  LimitShare pool = pooledLimit(organisation, settings);
  double each = local.Rate * seconds(window) + local.Depth;
  return static_cast<double>(entries) * each +
         pool.Rate * seconds(window + settings.GrantValidity) + pool.Depth;
}

const Member *quotaOwner(uint64_t organisationHash,
                         std::span<const Member> entries) {
  const Member *owner = nullptr;
  uint64_t ownerWeight = 0;
  for (const Member &entry : entries) {
    uint64_t weight = mix64(organisationHash ^ hashName(entry.Name));
    if (owner != nullptr && weight <= ownerWeight)
      continue;
    owner = &entry;
    ownerWeight = weight;
  }
  return owner;
}

OrganisationLimits::OrganisationLimits(uint64_t entry, LimitSettings settings)
    : Entry(entry), Settings(settings) {}

void OrganisationLimits::refresh(State &state, TimePoint now) const {
  const LimitShare &limit = state.Limit;
  if (!state.IsInitialised) {
    state.IsInitialised = true;
    state.Tokens = limit.Depth;
    state.RefilledAt = now;
    state.DemandUpdatedAt = now;
    state.RequestedAt = now - Settings.QuotaRequestInterval;
  }
  // Granted tokens may exceed the static depth; refilled tokens may not.
  TimePoint grantEnd = std::clamp(state.GrantedUntil, state.RefilledAt,
                                  std::max(now, state.RefilledAt));
  double inflow = state.RateGranted * seconds(grantEnd - state.RefilledAt);
  if (now > state.RefilledAt) {
    inflow += limit.Rate * seconds(now - state.RefilledAt);
    state.RefilledAt = now;
  }
  double room = std::max(limit.Depth - state.Tokens, 0.0);
  state.Tokens += std::min(inflow, room);
  if (now >= state.GrantedUntil) {
    state.RateGranted = 0;
    state.SlotsGranted = 0;
  }
  if (now > state.DemandUpdatedAt) {
    state.Demand *=
        std::exp(-seconds(now - state.DemandUpdatedAt) / seconds(DemandWindow));
    state.DemandUpdatedAt = now;
  }
}

/// Whether to request quota although the current request was admitted. Only an
/// entry that is busy beyond its static share does so, so that organisations
/// with little traffic cause no messages.
bool OrganisationLimits::shouldRequestEarly(const State &state,
                                            TimePoint now) const {
  const LimitShare &limit = state.Limit;
  bool busy = state.Demand * seconds(DemandWindow) >= BusyRequests &&
              state.Demand > limit.Rate;
  bool staticSlotsExhausted = limit.Slots > 1 && state.Running >= limit.Slots;
  if (!busy && !staticSlotsExhausted)
    return false;
  bool grantEndsSoon = now + Settings.GrantValidity / 2 >= state.GrantedUntil;
  bool slotsExhausted = state.Running >= limit.Slots + state.SlotsGranted;
  bool rateExceeded = state.Demand > limit.Rate + state.RateGranted;
  return grantEndsSoon || slotsExhausted || rateExceeded;
}

std::optional<QuotaRequest>
OrganisationLimits::requestQuota(uint64_t organisation, State &state,
                                 TimePoint now) const {
  const LimitShare &limit = state.Limit;
  if (now < state.RequestedAt + Settings.QuotaRequestInterval)
    return std::nullopt;
  state.RequestedAt = now;
  state.IsGrantPending = true;
  ++state.Sequence;
  double excessRate = std::max(state.Demand * DemandMargin - limit.Rate, 0.0);
  uint32_t slotsInUse =
      state.Running > limit.Slots ? state.Running - limit.Slots : 0;
  QuotaRequest out;
  out.Organisation = organisation;
  out.Entry = Entry;
  out.Sequence = state.Sequence;
  out.Requests =
      state.Tokens >= 1.0 ? 0 : static_cast<uint32_t>(std::ceil(limit.Depth));
  out.Rate =
      static_cast<uint32_t>(std::min(excessRate * MillisPerRequest, 4e9));
  out.RateHeld = static_cast<uint32_t>(state.RateGranted * MillisPerRequest);
  if (state.Running >= limit.Slots)
    out.Slots = slotsInUse + std::max<uint32_t>(1, slotsInUse / 4);
  out.SlotsHeld = slotsInUse;
  return out;
}

LimitDecision OrganisationLimits::admit(const Organisation &organisation,
                                        size_t entries, TimePoint now) {
  uint64_t hash = hashName(organisation.Name);
  StateMap::accessor it;
  States.insert(it, hash);
  State &state = it->second;
  state.Limit = staticLimit(organisation, entries, Settings);
  const LimitShare &limit = state.Limit;
  refresh(state, now);
  state.Demand += 1.0 / seconds(DemandWindow);

  LimitDecision out;
  bool slotFree = state.Running < limit.Slots + state.SlotsGranted;
  if (slotFree && state.Tokens >= 1.0) {
    state.Tokens -= 1.0;
    ++state.Running;
    out.Verdict = LimitVerdict::Admitted;
    out.TokensLeft = state.Tokens;
    if (shouldRequestEarly(state, now))
      out.OwnerRequest = requestQuota(hash, state, now);
    return out;
  }
  out.TokensLeft = state.Tokens;
  out.OwnerRequest = requestQuota(hash, state, now);
  bool isGrantExpected =
      state.IsGrantPending && now < state.RequestedAt + Settings.MaxGrantWait;
  out.Verdict =
      isGrantExpected ? LimitVerdict::AwaitGrant : LimitVerdict::Refused;
  out.Reason.Kind = ErrorKind::OrganisationLimit;
  out.Reason.RetryAfter = std::max(
      state.RequestedAt + Settings.QuotaRequestInterval - now, Duration{1});
  double rate = limit.Rate + state.RateGranted;
  if (slotFree && rate > 0)
    out.Reason.RetryAfter = std::min(out.Reason.RetryAfter,
                                     fromSeconds((1.0 - state.Tokens) / rate));
  return out;
}

void OrganisationLimits::releaseSlot(uint64_t organisationHash) {
  StateMap::accessor it;
  if (States.find(it, organisationHash) && it->second.Running > 0)
    --it->second.Running;
}

void OrganisationLimits::apply(const QuotaGrant &grant, TimePoint now) {
  StateMap::accessor it;
  if (!States.find(it, grant.Organisation))
    return;
  State &state = it->second;
  if (!state.IsGrantPending || state.Sequence != grant.Sequence)
    return;
  state.IsGrantPending = false;
  // The validity counts from the quota request, so that a delayed grant does
  // not outlive the owner's lease.
  Duration valid = std::min(Duration(static_cast<int64_t>(grant.ValidMicros)),
                            Settings.GrantValidity);
  TimePoint until = state.RequestedAt + valid;
  if (now >= until)
    return;
  refresh(state, now); // Refills at the old rate until now.
  state.Tokens += grant.Requests;
  state.RateGranted = grant.Rate / MillisPerRequest;
  state.SlotsGranted = grant.Slots;
  state.GrantedUntil = until;
}

void OrganisationLimits::forgetIdle(Duration idle, TimePoint now) {
  std::vector<uint64_t> idleHashes;
  for (const auto &[hash, state] : States)
    if (state.Running == 0 && state.RefilledAt + idle < now)
      idleHashes.push_back(hash);
  for (uint64_t hash : idleHashes)
    States.erase(hash);
}

QuotaOwner::QuotaOwner(LimitSettings settings) : Settings(settings) {}

void QuotaOwner::refresh(PoolState &pool, const LimitShare &limit,
                         TimePoint now) const {
  if (!pool.IsInitialised) {
    pool.IsInitialised = true;
    pool.RefilledAt = now;
    pool.CreatedAt = now;
  }
  double leasedRate = 0;
  for (const auto &[entry, lease] : pool.Leases)
    leasedRate += lease.Rate;
  // The rate of an expired lease is subtracted until now, not only until its
  // end: the pool refills too little rather than too much.
  refill(pool.Tokens, pool.RefilledAt, std::max(limit.Rate - leasedRate, 0.0),
         limit.Depth, now);
  std::erase_if(pool.Leases,
                [now](const auto &it) { return it.second.Until <= now; });
}

QuotaOwner::Lease QuotaOwner::lease(const PoolState &pool,
                                    const LimitShare &limit,
                                    const QuotaRequest &request,
                                    TimePoint now) const {
  Lease others;
  double holders = 1;
  for (const auto &[entry, it] : pool.Leases) {
    if (entry == request.Entry)
      continue;
    ++holders;
    others.Rate += it.Rate;
    others.RequestedRate += it.RequestedRate;
    others.Slots += it.Slots;
    others.RequestedSlots += it.RequestedSlots;
  }
  // An equal share of the pool, or more if the other entries request less. It
  // covers what is in use, as running requests can't be taken back, but never
  // exceeds what the other entries leave free.
  auto quotaPart = [holders](double all, double held, double requestedByOthers,
                             double requested, double inUse) {
    double fair = std::max({all / holders, all - requestedByOthers, inUse});
    return std::max(0.0, std::min({requested, fair, all - held}));
  };
  // Until the grants of a previous owner have expired, an entry only gets what
  // it already holds.
  bool priorGrantsExpired = now >= pool.CreatedAt + Settings.GrantValidity;
  Lease out;
  out.RequestedRate = request.Rate / MillisPerRequest;
  out.RequestedSlots = request.Slots;
  out.Rate = quotaPart(
      limit.Rate, others.Rate, others.RequestedRate,
      priorGrantsExpired
          ? out.RequestedRate
          : std::min(out.RequestedRate, request.RateHeld / MillisPerRequest),
      0);
  out.Slots = std::floor(quotaPart(
      limit.Slots, others.Slots, others.RequestedSlots,
      priorGrantsExpired ? out.RequestedSlots
                         : std::min<double>(request.Slots, request.SlotsHeld),
      request.SlotsHeld));
  out.Until = now + Settings.GrantValidity;
  return out;
}

QuotaGrant QuotaOwner::grant(const Organisation &organisation,
                             const QuotaRequest &request, TimePoint now) {
  PoolMap::accessor it;
  Pools.insert(it, request.Organisation);
  PoolState &pool = it->second;
  LimitShare limit = pooledLimit(organisation, Settings);
  refresh(pool, limit, now);
  pool.LastRequestAt = now;
  Lease granted = lease(pool, limit, request, now);
  if (granted.RequestedRate > 0 || granted.RequestedSlots > 0)
    pool.Leases[request.Entry] = granted;
  else
    pool.Leases.erase(request.Entry);

  // At most half of the tokens, so that some are left for other entries.
  double maxTokens = std::max(std::floor(pool.Tokens / 2), 1.0);
  double tokens = std::min({static_cast<double>(request.Requests), maxTokens,
                            std::floor(pool.Tokens)});
  QuotaGrant out;
  out.Organisation = request.Organisation;
  out.Sequence = request.Sequence;
  out.Requests = static_cast<uint32_t>(std::max(tokens, 0.0));
  pool.Tokens -= out.Requests;
  out.Rate = static_cast<uint32_t>(granted.Rate * MillisPerRequest);
  out.Slots = static_cast<uint32_t>(granted.Slots);
  out.ValidMicros = static_cast<uint64_t>(Settings.GrantValidity.count());
  return out;
}

void QuotaOwner::forgetIdle(Duration idle, TimePoint now) {
  std::vector<uint64_t> idleHashes;
  for (const auto &[hash, pool] : Pools)
    if (pool.LastRequestAt + idle < now)
      idleHashes.push_back(hash);
  for (uint64_t hash : idleHashes)
    Pools.erase(hash);
}

} // namespace daisytack
