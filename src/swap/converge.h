/// Brings one agent's server to the weight version that configuration names.
/// There is no leader: every agent converges its own server, and the load slots
/// keep the servers of a model from doing it all at once. See docs/SWAPS.md.
#pragma once

#include "daisytack/event.h"
#include "swap/fence.h"
#include "swap/load_slots.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisytack::swap {

/// What a server runs, or should run.
struct WeightVersion {
  std::string Version;
  std::string Adapter;
  auto operator<=>(const WeightVersion &) const = default;
};

/// What the agent knows when it decides.
struct SwapView {
  WeightVersion Desired; ///< Version empty: unknown to configuration, any will
                         ///< do.
  uint32_t MinServers = 1;
  uint32_t ServersInService = 1; ///< Of the model, this one among them when it
                                 ///< is in service.
  uint32_t ServersOfModel = 1;   ///< In service or not.
  bool InService = true;         ///< Not drained by an operator.
  bool Leaving = false;          ///< The process is about to end.

  bool ServerReachable = false;
  WeightVersion Loaded;
  bool Loading = false;
  uint64_t ServerFence = 0;
  uint32_t ActiveRuns = 0; ///< Runs at the server that were not ended yet.
  bool operator==(const SwapView &) const = default;
};

/// Order the server to load; its answer is given to onOrder().
struct LoadOrder {
  WeightVersion Target;
  uint64_t Fence = 0;
  bool operator==(const LoadOrder &) const = default;
};

using SwapAction = std::variant<SlotCall, LoadOrder>;
using SwapActions = std::vector<SwapAction>;

/// Where a server stands; for queries and events.
enum class SwapState : uint8_t {
  Converged,
  Unreachable, ///< The server does not answer.
  BelowFloor,  ///< Taking it out would leave fewer than MinServers.
  WaitingForSlot,
  Draining, ///< Holds a slot; accepted runs finish first.
  Loading,
  Leaving,
};
/// Stable lower-case name: "waiting_for_slot".
std::string_view swapStateName(SwapState state);

struct ConvergerInit {
  LoadSlotInit Slot;
  uint32_t Slots = LoadSlots;
  /// An order that has not shown in the server's status by then is sent again.
  Duration LoadTimeout{15'000'000};
  /// Orders without success, after which the slot is left to others for a
  /// while.
  uint32_t MaxOrderAttempts = 3;
  Duration FailureBackoff{10'000'000};
};

/// Not thread-safe; one per agent.
class Converger {
public:
  Converger(ConvergerInit init, RandomSource random, EventSink events);

  /// Whenever the view changed, and when nextTimer() has come.
  SwapActions update(const SwapView &view, TimePoint now);
  /// A call to the key-value service was answered.
  SwapActions onSlotResult(const SlotResult &result, TimePoint now);
  /// The server answered a LoadOrder. Kind Conflict: it has seen `fence`.
  SwapActions onOrder(const Error &why, uint64_t fence, TimePoint now);

  /// New requests are refused, so that the server can drain and load.
  bool refusesNewRequests() const;
  SwapState state() const { return CurrentState; }
  std::optional<TimePoint> nextTimer() const;
  /// The version that the server surely runs; nothing while it is loading, or
  /// when it was changed by somebody else. Without it, no kept context may be
  /// imported.
  std::optional<WeightVersion> confirmedVersion() const;
  const FenceGuard &fenceGuard() const { return Guard; }

private:
  SwapActions step(TimePoint now);
  void observe(TimePoint now);
  SwapState decide(TimePoint now, SwapActions &out);
  SwapState decideWithoutSlot(TimePoint now, SwapActions &out);
  SwapState decideWithSlot(TimePoint now, SwapActions &out);
  void sendOrder(TimePoint now, SwapActions &out);
  void releaseSlot(TimePoint now, SwapActions &out);
  uint32_t usableSlots() const;
  bool isConverged() const;
  void emitEvent(EventKind kind, ErrorKind reason, std::string subject) const;

  ConvergerInit Init;
  EventSink Events;
  LoadSlot Slot;
  FenceGuard Guard;
  SwapView View;
  SwapState CurrentState = SwapState::Unreachable;
  std::optional<WeightVersion>
      OrderedVersion; ///< Sent, and not seen as loaded yet.
  TimePoint OrderedAt;
  uint32_t OrderAttempts = 0;
  std::optional<TimePoint> RetryNotBefore; ///< After too many failed orders.
  bool HadSlot = false;
};

} // namespace daisytack::swap
