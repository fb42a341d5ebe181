#include "swap/converge.h"

#include <algorithm>

namespace daisytack::swap {

namespace {

template <class T> void append(SwapActions &out, std::optional<T> action) {
  if (action)
    out.emplace_back(std::move(*action));
}

} // namespace

std::string_view swapStateName(SwapState state) {
  switch (state) {
  case SwapState::Converged:
    return "converged";
  case SwapState::Unreachable:
    return "unreachable";
  case SwapState::BelowFloor:
    return "below_floor";
  case SwapState::WaitingForSlot:
    return "waiting_for_slot";
  case SwapState::Draining:
    return "draining";
  case SwapState::Loading:
    return "loading";
  case SwapState::Leaving:
    return "leaving";
  }
  return "unknown";
}

Converger::Converger(ConvergerInit init, RandomSource random, EventSink events)
    : Init(std::move(init)), Events(std::move(events)),
      Slot(Init.Slot, std::move(random)) {}

SwapActions Converger::update(const SwapView &view, TimePoint now) {
  View = view;
  return step(now);
}

SwapActions Converger::onSlotResult(const SlotResult &result, TimePoint now) {
  SwapActions out;
  append(out, Slot.onResult(result, now));
  if (!HadSlot && Slot.isHeld(now))
    emitEvent(EventKind::LeaseTaken, ErrorKind::None, Init.Slot.Model);
  SwapActions more = step(now);
  std::move(more.begin(), more.end(), std::back_inserter(out));
  return out;
}

SwapActions Converger::onOrder(const Error &why, uint64_t fence,
                               TimePoint now) {
  Guard.observe(fence);
  if (!why)
    return step(now);
  emitEvent(EventKind::OrderRefused, why.Kind, Init.Slot.Instance);
  OrderedVersion.reset();
  SwapActions out;
  // A conflict means that the slot has a newer holder. The server's status will
  // show what that holder ordered.
  if (why.Kind == ErrorKind::Conflict ||
      OrderAttempts >= Init.MaxOrderAttempts) {
    RetryNotBefore = now + Init.FailureBackoff;
    releaseSlot(now, out);
  }
  SwapActions more = step(now);
  std::move(more.begin(), more.end(), std::back_inserter(out));
  return out;
}

SwapActions Converger::step(TimePoint now) {
  SwapActions out;
  append(out, Slot.onTimer(now));
  if (HadSlot && !Slot.isHeld(now))
    emitEvent(EventKind::LeaseLost, ErrorKind::None, Init.Slot.Model);
  observe(now);
  CurrentState = decide(now, out);
  HadSlot = Slot.isHeld(now);
  return out;
}

/// Updates the state of the last order from the server's status.
void Converger::observe(TimePoint now) {
  if (OrderedVersion && now >= OrderedAt + Init.LoadTimeout)
    OrderedVersion.reset();
  if (RetryNotBefore && now >= *RetryNotBefore) {
    RetryNotBefore.reset();
    OrderAttempts = 0;
  }
  if (!View.ServerReachable)
    return;
  Guard.observe(View.ServerFence);
  if (OrderedVersion && !View.Loading && View.Loaded == *OrderedVersion) {
    Guard.expect(OrderedVersion->Version, OrderedVersion->Adapter);
    OrderedVersion.reset();
    OrderAttempts = 0;
    emitEvent(EventKind::LoadFinished, ErrorKind::None, View.Loaded.Version);
  }
  // The configured version is expected, whichever process ordered it.
  if (!OrderedVersion && !View.Loading && View.Loaded == View.Desired)
    Guard.expect(View.Loaded.Version, View.Loaded.Adapter);
}

bool Converger::isConverged() const {
  return View.Desired.Version.empty() ||
         (!View.Loading && !OrderedVersion && View.Loaded == View.Desired);
}

SwapState Converger::decide(TimePoint now, SwapActions &out) {
  if (View.Leaving || isConverged()) {
    releaseSlot(now, out);
    return View.Leaving ? SwapState::Leaving : SwapState::Converged;
  }
  if (!View.ServerReachable) {
    releaseSlot(now, out);
    return SwapState::Unreachable;
  }
  // Wait for a running load, whichever process ordered it and even if the slot
  // has expired: an expired slot only allows more servers to load at once.
  if (View.Loading || OrderedVersion)
    return SwapState::Loading;
  return Slot.isHeld(now) ? decideWithSlot(now, out)
                          : decideWithoutSlot(now, out);
}

/// Number of servers that may be out of service at once without leaving fewer
/// than MinServers in service.
uint32_t Converger::usableSlots() const {
  if (!View.InService)
    return Init.Slots;
  if (View.ServersInService <= View.MinServers)
    return 0;
  return std::min(Init.Slots, View.ServersInService - View.MinServers);
}

SwapState Converger::decideWithoutSlot(TimePoint now, SwapActions &out) {
  uint32_t usable = usableSlots();
  if (usable == 0)
    return SwapState::BelowFloor;
  if (!RetryNotBefore)
    append(out, Slot.acquire(usable, View.ServersOfModel, now));
  return SwapState::WaitingForSlot;
}

SwapState Converger::decideWithSlot(TimePoint now, SwapActions &out) {
  if (Slot.slot() >= usableSlots()) {
    releaseSlot(now, out);
    return SwapState::BelowFloor;
  }
  if (View.ActiveRuns > 0)
    return SwapState::Draining;
  sendOrder(now, out);
  return OrderedVersion ? SwapState::Loading : SwapState::WaitingForSlot;
}

void Converger::sendOrder(TimePoint now, SwapActions &out) {
  auto fence = Slot.fence(now);
  Error reason;
  if (!fence || !Guard.admit(*fence, reason) ||
      OrderAttempts >= Init.MaxOrderAttempts) {
    // The lease is about to expire, there is a newer holder, or too many orders
    // failed. Claim a slot again, which gives a higher fencing token.
    if (fence)
      RetryNotBefore = now + Init.FailureBackoff;
    releaseSlot(now, out);
    return;
  }
  ++OrderAttempts;
  OrderedVersion = View.Desired;
  OrderedAt = now;
  out.emplace_back(LoadOrder{*OrderedVersion, *fence});
  emitEvent(EventKind::OrderSent, ErrorKind::None, OrderedVersion->Version);
}

void Converger::releaseSlot(TimePoint now, SwapActions &out) {
  if (Slot.isBusy())
    append(out, Slot.release(now));
}

bool Converger::refusesNewRequests() const {
  return CurrentState == SwapState::Draining ||
         CurrentState == SwapState::Loading;
}

std::optional<WeightVersion> Converger::confirmedVersion() const {
  bool settled = View.ServerReachable && !View.Loading && !OrderedVersion;
  if (!settled || Guard.isUnexpected(View.Loaded.Version, View.Loaded.Adapter))
    return std::nullopt;
  return View.Loaded;
}

std::optional<TimePoint> Converger::nextTimer() const {
  std::optional<TimePoint> out;
  auto consider = [&](std::optional<TimePoint> time) {
    if (time && (!out || *time < *out))
      out = time;
  };
  bool mayTry = CurrentState == SwapState::WaitingForSlot && !RetryNotBefore;
  if (Slot.isBusy() || mayTry)
    consider(Slot.nextTimer());
  if (OrderedVersion)
    consider(OrderedAt + Init.LoadTimeout);
  consider(RetryNotBefore);
  return out;
}

void Converger::emitEvent(EventKind kind, ErrorKind reason,
                          std::string subject) const {
  if (!Events)
    return;
  Event event;
  event.Kind = kind;
  event.Reason = reason;
  event.Subject = std::move(subject);
  Events(std::move(event));
}

} // namespace daisytack::swap
