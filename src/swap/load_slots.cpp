#include "swap/load_slots.h"

#include <algorithm>

namespace daisytack::swap {

namespace {

constexpr std::string_view SlotPrefix = "/daisytack/slots/";

/// Half to one and a half times the mean, so that servers don't try in step.
Duration jittered(Duration mean, const RandomSource &random) {
  constexpr uint64_t Steps = 1024;
  auto share = static_cast<int64_t>(random() % Steps);
  return mean / 2 + mean * share / static_cast<int64_t>(Steps);
}

} // namespace

std::string slotPrefix(std::string_view model) {
  std::string out(SlotPrefix);
  out += model;
  out += '/';
  return out;
}

LoadSlot::LoadSlot(LoadSlotInit init, RandomSource random)
    : Init(std::move(init)), Random(std::move(random)), Term(Init.Term) {}

std::string LoadSlot::slotKey(uint32_t slot) const {
  return slotPrefix(Init.Model) + std::to_string(slot);
}

SlotCall LoadSlot::call(State next, decltype(SlotCall::What) what,
                        TimePoint now) {
  At = next;
  AskedAt = now;
  Awaited = ++Calls;
  return {Calls, std::move(what)};
}

std::optional<SlotCall> LoadSlot::acquire(uint32_t usable, uint32_t waiting,
                                          TimePoint now) {
  if (At != State::Idle || now < NextTry || usable == 0)
    return std::nullopt;
  Usable = usable;
  Waiting = waiting;
  edge::KvRange range;
  range.Begin = slotPrefix(Init.Model);
  range.End = edge::prefixEnd(range.Begin);
  return call(State::Looking, std::move(range), now);
}

std::optional<SlotCall> LoadSlot::on(const SlotResult &result, TimePoint now) {
  if (!Awaited || result.Number != *Awaited)
    return std::nullopt;
  Awaited.reset();
  if (auto *range = std::get_if<edge::KvRangeResult>(&result.What))
    return At == State::Looking ? onSlots(*range, now) : onCheck(*range, now);
  if (auto *written = std::get_if<edge::KvTransactionResult>(&result.What))
    return onClaim(*written, now);
  const auto &lease = std::get<edge::KvLeaseResult>(result.What);
  if (At == State::Granting)
    return onGrant(lease, now);
  onKeep(lease, now);
  return std::nullopt;
}

/// A read first: reads are cheaper for the service than leases, and most tries
/// of a large model find no slot free.
std::optional<SlotCall> LoadSlot::onSlots(const edge::KvRangeResult &result,
                                          TimePoint now) {
  if (result.Header.Status != edge::KvStatus::Ok)
    return giveUp(now);
  for (Slot = 0; Slot < Usable; ++Slot) {
    auto taken = [&](const edge::KvEntry &it) {
      return it.Key == slotKey(Slot);
    };
    if (std::none_of(result.Entries.begin(), result.Entries.end(), taken))
      return call(State::Granting, GrantLease{Init.Term.TimeToLive}, now);
  }
  return giveUp(now);
}

std::optional<SlotCall> LoadSlot::onGrant(const edge::KvLeaseResult &result,
                                          TimePoint now) {
  if (result.Header.Status != edge::KvStatus::Ok || result.Lease == 0)
    return giveUp(now);
  Term.granted(result.Lease, result.TimeLeft, AskedAt);
  edge::KvTransaction out;
  out.If.push_back({slotKey(Slot), edge::KvCompare::Target::CreateRevision, 0});
  out.Then.push_back({slotKey(Slot), Init.Instance + ' ' + toHex(Init.Process),
                      result.Lease, false});
  out.ReadOnFailure.push_back(slotKey(Slot));
  return call(State::Claiming, std::move(out), now);
}

std::optional<SlotCall>
LoadSlot::onClaim(const edge::KvTransactionResult &result, TimePoint now) {
  if (result.Header.Status == edge::KvStatus::Ok) {
    hold(result.Header.Revision);
    return std::nullopt;
  }
  if (result.Header.Status != edge::KvStatus::Unknown)
    return giveUp(now);
  edge::KvRange range;
  range.Begin = slotKey(Slot);
  return call(State::Checking, std::move(range), now);
}

/// A claim whose answer was lost holds only if it can be seen. One that is
/// applied later fails with its lease, which giveUp() revokes.
std::optional<SlotCall> LoadSlot::onCheck(const edge::KvRangeResult &result,
                                          TimePoint now) {
  if (result.Header.Status != edge::KvStatus::Ok || result.Entries.empty() ||
      !isOurs(result.Entries.front()))
    return giveUp(now);
  hold(result.Entries.front().CreateRevision);
  return std::nullopt;
}

void LoadSlot::hold(uint64_t fence) {
  At = State::Held;
  Fence = fence;
  NextRenewal = *Term.renewAt();
}

bool LoadSlot::isOurs(const edge::KvEntry &entry) const {
  return entry.Lease == Term.id() &&
         entry.Value == Init.Instance + ' ' + toHex(Init.Process);
}

void LoadSlot::onKeep(const edge::KvLeaseResult &result, TimePoint now) {
  // Without an answer the lease stands as it is and runs out by itself.
  NextRenewal = now + Init.LeastRetry;
  if (result.Header.Status != edge::KvStatus::Ok)
    return;
  Term.renewed(result.Lease, result.TimeLeft, AskedAt);
  NextRenewal = Term.renewAt().value_or(now);
}

std::optional<SlotCall> LoadSlot::giveUp(TimePoint now) {
  double seconds = static_cast<double>(Waiting) / Init.AttemptsPerSecond;
  auto mean = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
  NextTry = now + jittered(std::max(mean, Init.LeastRetry), Random);
  return release(now);
}

std::optional<SlotCall> LoadSlot::release(TimePoint now) {
  At = State::Idle;
  Awaited.reset();
  Fence = 0;
  uint64_t lease = Term.id();
  Term.lost();
  if (lease == 0)
    return std::nullopt;
  SlotCall out = call(State::Idle, RevokeLease{lease}, now);
  Awaited.reset();
  return out;
}

std::optional<SlotCall> LoadSlot::onTimer(TimePoint now) {
  if (At == State::Held && Term.hasLapsed(now))
    return giveUp(now);
  if (Awaited && now >= AskedAt + Init.CallTimeout) {
    Awaited.reset();
    if (At != State::Held)
      return giveUp(now);
  }
  if (At == State::Held && !Awaited && now >= NextRenewal)
    return call(State::Held, KeepLease{Term.id()}, now);
  return std::nullopt;
}

std::optional<uint64_t> LoadSlot::fence(TimePoint now) const {
  if (At != State::Held || !Term.mayAct(now))
    return std::nullopt;
  return Fence;
}

std::optional<TimePoint> LoadSlot::nextTimer() const {
  if (At == State::Idle)
    return NextTry;
  if (At != State::Held)
    return AskedAt + Init.CallTimeout;
  TimePoint next = Awaited ? AskedAt + Init.CallTimeout : NextRenewal;
  return std::min(next, Term.endsAt().value_or(next));
}

} // namespace daisytack::swap
