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

Converge::Converge(ConvergeInit init, RandomSource random, EventSink events)
    : Init(std::move(init)), Events(std::move(events)),
      Slot(Init.Slot, std::move(random)) {}

SwapActions Converge::update(const SwapView &view, TimePoint now) {
  View = view;
  return step(now);
}

SwapActions Converge::on(const SlotResult &result, TimePoint now) {
  SwapActions out;
  append(out, Slot.on(result, now));
  if (!HadSlot && Slot.isHeld(now))
    note(EventKind::LeaseTaken, ErrorKind::None, Init.Slot.Model);
  SwapActions more = step(now);
  std::move(more.begin(), more.end(), std::back_inserter(out));
  return out;
}

SwapActions Converge::onOrder(const Error &why, uint64_t fence, TimePoint now) {
  Guard.observe(fence);
  if (!why)
    return step(now);
  note(EventKind::OrderRefused, why.Kind, Init.Slot.Instance);
  Ordered.reset();
  SwapActions out;
  // A higher number than ours: another holder came later. What it ordered will
  // show in the status.
  if (why.Kind == ErrorKind::Conflict || Orders >= Init.MaxOrders) {
    NotBefore = now + Init.GiveUpFor;
    leaveSlot(now, out);
  }
  SwapActions more = step(now);
  std::move(more.begin(), more.end(), std::back_inserter(out));
  return out;
}

SwapActions Converge::step(TimePoint now) {
  SwapActions out;
  append(out, Slot.onTimer(now));
  if (HadSlot && !Slot.isHeld(now))
    note(EventKind::LeaseLost, ErrorKind::None, Init.Slot.Model);
  observe(now);
  Current = decide(now, out);
  HadSlot = Slot.isHeld(now);
  return out;
}

/// Learns from the server's status what became of the last order.
void Converge::observe(TimePoint now) {
  if (Ordered && now >= OrderedAt + Init.LoadTimeout)
    Ordered.reset();
  if (NotBefore && now >= *NotBefore) {
    NotBefore.reset();
    Orders = 0;
  }
  if (!View.EngineReachable)
    return;
  Guard.observe(View.EngineFence);
  if (Ordered && !View.Loading && View.Loaded == *Ordered) {
    Guard.expect(Ordered->Version, Ordered->Adapter);
    Ordered.reset();
    Orders = 0;
    note(EventKind::LoadFinished, ErrorKind::None, View.Loaded.Version);
  }
  // Whoever loaded it: what configuration asks for is what is expected.
  if (!Ordered && !View.Loading && View.Loaded == View.Desired)
    Guard.expect(View.Loaded.Version, View.Loaded.Adapter);
}

bool Converge::isConverged() const {
  return View.Desired.Version.empty() ||
         (!View.Loading && !Ordered && View.Loaded == View.Desired);
}

SwapState Converge::decide(TimePoint now, SwapActions &out) {
  if (View.Leaving || isConverged()) {
    leaveSlot(now, out);
    return View.Leaving ? SwapState::Leaving : SwapState::Converged;
  }
  if (!View.EngineReachable) {
    leaveSlot(now, out);
    return SwapState::Unreachable;
  }
  // A load that runs is waited for, whoever ordered it and whether or not the
  // slot still stands: a lapsed one costs speed only.
  if (View.Loading || Ordered)
    return SwapState::Loading;
  return Slot.isHeld(now) ? withSlot(now, out) : withoutSlot(now, out);
}

/// Servers that may be out of service at once without going below the floor.
uint32_t Converge::usableSlots() const {
  if (!View.InService)
    return Init.Slots;
  if (View.ServersInService <= View.MinServers)
    return 0;
  return std::min(Init.Slots, View.ServersInService - View.MinServers);
}

SwapState Converge::withoutSlot(TimePoint now, SwapActions &out) {
  uint32_t usable = usableSlots();
  if (usable == 0)
    return SwapState::BelowFloor;
  if (!NotBefore)
    append(out, Slot.acquire(usable, View.ServersOfModel, now));
  return SwapState::WaitingForSlot;
}

SwapState Converge::withSlot(TimePoint now, SwapActions &out) {
  if (Slot.slot() >= usableSlots()) {
    leaveSlot(now, out);
    return SwapState::BelowFloor;
  }
  if (View.Running > 0)
    return SwapState::Draining;
  order(now, out);
  return Ordered ? SwapState::Loading : SwapState::WaitingForSlot;
}

void Converge::order(TimePoint now, SwapActions &out) {
  auto fence = Slot.fence(now);
  Error reason;
  if (!fence || !Guard.admit(*fence, reason) || Orders >= Init.MaxOrders) {
    // Too near to the lease's end, or overtaken: begin anew with a higher
    // number.
    if (fence)
      NotBefore = now + Init.GiveUpFor;
    leaveSlot(now, out);
    return;
  }
  ++Orders;
  Ordered = View.Desired;
  OrderedAt = now;
  out.emplace_back(LoadOrder{*Ordered, *fence});
  note(EventKind::OrderSent, ErrorKind::None, Ordered->Version);
}

void Converge::leaveSlot(TimePoint now, SwapActions &out) {
  if (Slot.isBusy())
    append(out, Slot.release(now));
}

bool Converge::holdsNewWork() const {
  return Current == SwapState::Draining || Current == SwapState::Loading;
}

std::optional<WeightVersion> Converge::trusted() const {
  bool settled = View.EngineReachable && !View.Loading && !Ordered;
  if (!settled || Guard.isStray(View.Loaded.Version, View.Loaded.Adapter))
    return std::nullopt;
  return View.Loaded;
}

std::optional<TimePoint> Converge::nextTimer() const {
  std::optional<TimePoint> out;
  auto consider = [&](std::optional<TimePoint> time) {
    if (time && (!out || *time < *out))
      out = time;
  };
  bool mayTry = Current == SwapState::WaitingForSlot && !NotBefore;
  if (Slot.isBusy() || mayTry)
    consider(Slot.nextTimer());
  if (Ordered)
    consider(OrderedAt + Init.LoadTimeout);
  consider(NotBefore);
  return out;
}

void Converge::note(EventKind kind, ErrorKind reason,
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
