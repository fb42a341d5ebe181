#include "decide/limits.h"

#include "base/digest.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace daisytack {

namespace {

constexpr double MicrosPerSecond = 1e6;
constexpr double MillisPerUnit = 1e3;
constexpr Duration DemandWindow{1'000'000};
/// So many recent requests make an entry busy: fewer say little of the rate.
constexpr double BusyRequests = 4;
/// Asked for beyond the present demand, so that growth needs no second ask.
constexpr double AskMargin = 1.25;

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

StaticLimit staticLimit(const Organisation &organisation, size_t entries,
                        const LimitSettings &settings) {
  double share =
      settings.StaticShare / static_cast<double>(std::max<size_t>(entries, 1));
  StaticLimit out;
  out.Rate = organisation.RequestsPerSecond * share;
  out.Depth = std::max(settings.LeastDepth, organisation.Burst * share);
  out.Slots = static_cast<uint32_t>(
      std::max(1.0, std::floor(organisation.MaxConcurrent * share)));
  return out;
}

StaticLimit pooledLimit(const Organisation &organisation,
                        const LimitSettings &settings) {
  double share = 1.0 - settings.StaticShare;
  StaticLimit out;
  out.Rate = organisation.RequestsPerSecond * share;
  out.Depth = organisation.Burst * share;
  out.Slots = static_cast<uint32_t>(organisation.MaxConcurrent * share);
  return out;
}

double admissionBound(const Organisation &organisation, size_t entries,
                      Duration window, const LimitSettings &settings) {
  StaticLimit local = staticLimit(organisation, entries, settings);
  StaticLimit pool = pooledLimit(organisation, settings);
  double each = local.Rate * seconds(window) + local.Depth;
  return static_cast<double>(entries) * each +
         pool.Rate * seconds(window + settings.Valid) + pool.Depth;
}

const Member *allotmentOwner(uint64_t organisationHash,
                             std::span<const Member> entries) {
  const Member *best = nullptr;
  uint64_t bestWeight = 0;
  for (const Member &entry : entries) {
    uint64_t weight = mix64(organisationHash ^ hashName(entry.Name));
    if (best != nullptr && weight <= bestWeight)
      continue;
    best = &entry;
    bestWeight = weight;
  }
  return best;
}

OrganisationLimits::OrganisationLimits(uint64_t entry, LimitSettings settings)
    : Entry(entry), Settings(settings) {}

void OrganisationLimits::refresh(State &state, TimePoint now) const {
  const StaticLimit &limit = state.Limit;
  if (!state.Known) {
    state.Known = true;
    state.Tokens = limit.Depth;
    state.RefilledAt = now;
    state.DemandAt = now;
    state.AskedAt = now - Settings.AskInterval;
  }
  // Granted tokens may stand above the static depth; what flows in may not.
  TimePoint leased = std::clamp(state.GrantedUntil, state.RefilledAt,
                                std::max(now, state.RefilledAt));
  double inflow = state.RateGranted * seconds(leased - state.RefilledAt);
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
  if (now > state.DemandAt) {
    state.Demand *=
        std::exp(-seconds(now - state.DemandAt) / seconds(DemandWindow));
    state.DemandAt = now;
  }
}

/// Only an entry that is busy beyond its static share asks ahead, so that
/// organisations with little traffic cost no messages.
bool OrganisationLimits::shouldAskAhead(const State &state,
                                        TimePoint now) const {
  const StaticLimit &limit = state.Limit;
  bool busy = state.Demand * seconds(DemandWindow) >= BusyRequests &&
              state.Demand > limit.Rate;
  bool manySlots = limit.Slots > 1 && state.Running >= limit.Slots;
  if (!busy && !manySlots)
    return false;
  bool ending = now + Settings.Valid / 2 >= state.GrantedUntil;
  bool fewSlots = state.Running >= limit.Slots + state.SlotsGranted;
  bool fewRequests = state.Demand > limit.Rate + state.RateGranted;
  return ending || fewSlots || fewRequests;
}

std::optional<AllotmentRequest> OrganisationLimits::ask(uint64_t organisation,
                                                        State &state,
                                                        TimePoint now) const {
  const StaticLimit &limit = state.Limit;
  if (now < state.AskedAt + Settings.AskInterval)
    return std::nullopt;
  state.AskedAt = now;
  state.Asking = true;
  ++state.Sequence;
  double beyond = std::max(state.Demand * AskMargin - limit.Rate, 0.0);
  uint32_t used = state.Running > limit.Slots ? state.Running - limit.Slots : 0;
  AllotmentRequest out;
  out.Organisation = organisation;
  out.Entry = Entry;
  out.Sequence = state.Sequence;
  out.Requests =
      state.Tokens >= 1.0 ? 0 : static_cast<uint32_t>(std::ceil(limit.Depth));
  out.Rate = static_cast<uint32_t>(std::min(beyond * MillisPerUnit, 4e9));
  out.RateHeld = static_cast<uint32_t>(state.RateGranted * MillisPerUnit);
  if (state.Running >= limit.Slots)
    out.Slots = used + std::max<uint32_t>(1, used / 4);
  out.SlotsHeld = used;
  return out;
}

LimitDecision OrganisationLimits::admit(const Organisation &organisation,
                                        size_t entries, TimePoint now) {
  uint64_t hash = hashName(organisation.Name);
  StateMap::accessor it;
  States.insert(it, hash);
  State &state = it->second;
  state.Limit = staticLimit(organisation, entries, Settings);
  const StaticLimit &limit = state.Limit;
  refresh(state, now);
  state.Demand += 1.0 / seconds(DemandWindow);

  LimitDecision out;
  bool slotFree = state.Running < limit.Slots + state.SlotsGranted;
  if (slotFree && state.Tokens >= 1.0) {
    state.Tokens -= 1.0;
    ++state.Running;
    out.Verdict = LimitVerdict::Admitted;
    out.Left = state.Tokens;
    if (shouldAskAhead(state, now))
      out.Ask = ask(hash, state, now);
    return out;
  }
  out.Left = state.Tokens;
  out.Ask = ask(hash, state, now);
  bool answerDue = state.Asking && now < state.AskedAt + Settings.GrantWait;
  out.Verdict = answerDue ? LimitVerdict::AskOwner : LimitVerdict::Refused;
  out.Reason.Kind = ErrorKind::OrganisationLimit;
  out.Reason.RetryAfter =
      std::max(state.AskedAt + Settings.AskInterval - now, Duration{1});
  double rate = limit.Rate + state.RateGranted;
  if (slotFree && rate > 0)
    out.Reason.RetryAfter = std::min(out.Reason.RetryAfter,
                                     fromSeconds((1.0 - state.Tokens) / rate));
  return out;
}

void OrganisationLimits::finished(uint64_t organisationHash) {
  StateMap::accessor it;
  if (States.find(it, organisationHash) && it->second.Running > 0)
    --it->second.Running;
}

void OrganisationLimits::apply(const AllotmentGrant &grant, TimePoint now) {
  StateMap::accessor it;
  if (!States.find(it, grant.Organisation))
    return;
  State &state = it->second;
  if (!state.Asking || state.Sequence != grant.Sequence)
    return;
  state.Asking = false;
  // From the ask on: a grant that was long on its way is worth less.
  Duration valid = std::min(Duration(static_cast<int64_t>(grant.ValidMicros)),
                            Settings.Valid);
  TimePoint until = state.AskedAt + valid;
  if (now >= until)
    return;
  refresh(state, now); // What flowed in at the rate until now.
  state.Tokens += grant.Requests;
  state.RateGranted = grant.Rate / MillisPerUnit;
  state.SlotsGranted = grant.Slots;
  state.GrantedUntil = until;
}

void OrganisationLimits::forgetIdle(Duration idle, TimePoint now) {
  std::vector<uint64_t> gone;
  for (const auto &[hash, state] : States)
    if (state.Running == 0 && state.RefilledAt + idle < now)
      gone.push_back(hash);
  for (uint64_t hash : gone)
    States.erase(hash);
}

AllotmentOwner::AllotmentOwner(LimitSettings settings) : Settings(settings) {}

void AllotmentOwner::refresh(PoolState &pool, const StaticLimit &limit,
                             TimePoint now) const {
  if (!pool.Known) {
    pool.Known = true;
    pool.RefilledAt = now;
    pool.Since = now;
  }
  double leased = 0;
  for (const auto &[entry, lease] : pool.Leases)
    leased += lease.Rate;
  // Leases that ended meanwhile are counted to now: the pool errs on the side
  // of too little.
  refill(pool.Tokens, pool.RefilledAt, std::max(limit.Rate - leased, 0.0),
         limit.Depth, now);
  std::erase_if(pool.Leases,
                [now](const auto &it) { return it.second.Until <= now; });
}

AllotmentOwner::Lease AllotmentOwner::lease(const PoolState &pool,
                                            const StaticLimit &limit,
                                            const AllotmentRequest &request,
                                            TimePoint now) const {
  Lease others;
  double holders = 1;
  for (const auto &[entry, it] : pool.Leases) {
    if (entry == request.Entry)
      continue;
    ++holders;
    others.Rate += it.Rate;
    others.RateWanted += it.RateWanted;
    others.Slots += it.Slots;
    others.SlotsWanted += it.SlotsWanted;
  }
  // An equal part, or more where the others want less; never what they hold,
  // and never less than what can't be given back.
  auto part = [holders](double all, double held, double wantedByOthers,
                        double wanted, double inUse) {
    double fair = std::max({all / holders, all - wantedByOthers, inUse});
    return std::max(0.0, std::min({wanted, fair, all - held}));
  };
  // Until an earlier owner's grants have ended, only what is held is renewed.
  bool settled = now >= pool.Since + Settings.Valid;
  Lease out;
  out.RateWanted = request.Rate / MillisPerUnit;
  out.SlotsWanted = request.Slots;
  out.Rate =
      part(limit.Rate, others.Rate, others.RateWanted,
           settled ? out.RateWanted
                   : std::min(out.RateWanted, request.RateHeld / MillisPerUnit),
           0);
  out.Slots = std::floor(
      part(limit.Slots, others.Slots, others.SlotsWanted,
           settled ? out.SlotsWanted
                   : std::min<double>(request.Slots, request.SlotsHeld),
           request.SlotsHeld));
  out.Until = now + Settings.Valid;
  return out;
}

AllotmentGrant AllotmentOwner::grant(const Organisation &organisation,
                                     const AllotmentRequest &request,
                                     TimePoint now) {
  PoolMap::accessor it;
  Pools.insert(it, request.Organisation);
  PoolState &pool = it->second;
  StaticLimit limit = pooledLimit(organisation, Settings);
  refresh(pool, limit, now);
  pool.LastAsk = now;
  Lease granted = lease(pool, limit, request, now);
  if (granted.RateWanted > 0 || granted.SlotsWanted > 0)
    pool.Leases[request.Entry] = granted;
  else
    pool.Leases.erase(request.Entry);

  // Half of the pool at most, so that the next entry finds something.
  double part = std::max(std::floor(pool.Tokens / 2), 1.0);
  double tokens = std::min(
      {static_cast<double>(request.Requests), part, std::floor(pool.Tokens)});
  AllotmentGrant out;
  out.Organisation = request.Organisation;
  out.Sequence = request.Sequence;
  out.Requests = static_cast<uint32_t>(std::max(tokens, 0.0));
  pool.Tokens -= out.Requests;
  out.Rate = static_cast<uint32_t>(granted.Rate * MillisPerUnit);
  out.Slots = static_cast<uint32_t>(granted.Slots);
  out.ValidMicros = static_cast<uint64_t>(Settings.Valid.count());
  return out;
}

void AllotmentOwner::forgetIdle(Duration idle, TimePoint now) {
  std::vector<uint64_t> gone;
  for (const auto &[hash, pool] : Pools)
    if (pool.LastAsk + idle < now)
      gone.push_back(hash);
  for (uint64_t hash : gone)
    Pools.erase(hash);
}

} // namespace daisytack
