/// Brings one agent's backend server to the weight version that the
/// configuration names. There is no leader: each agent converges its own
/// server, and the load slots limit how many servers of a model swap at once.
/// See docs/SWAPS.md.
#pragma once

#include "daisytack/event.h"
#include "swap/fence.h"
#include "swap/load_slots.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisytack::swap {

/// The weights and adapter that a server runs or should run.
struct WeightVersion {
  std::string Version;
  std::string Adapter;
  auto operator<=>(const WeightVersion &) const = default;
};

/// The agent's view of its server and the configuration.
struct SwapView {
  /// An empty version means that the configuration names none; the server is
  /// then left as it is.
  WeightVersion Desired;
  uint32_t MinServers = 1;
  /// Servers of the model that are in service, including this one if it is.
  uint32_t ServersInService = 1;
  uint32_t ServersOfModel = 1; ///< All servers, in service or not.
  bool InService = true;       ///< The server is not drained by an operator.
  bool Leaving = false;        ///< The agent process is shutting down.

  bool ServerReachable = false;
  WeightVersion Loaded;
  bool Loading = false;
  uint64_t ServerFence = 0; ///< Fencing token that the server reports; 0: none.
  uint32_t ActiveRuns = 0;  ///< Accepted runs that have not ended.
  bool operator==(const SwapView &) const = default;
};

/// An order to the server to load weights. The caller passes the server's
/// answer to onOrder().
struct LoadOrder {
  WeightVersion Target;
  uint64_t Fence = 0;
  bool operator==(const LoadOrder &) const = default;
};

using SwapAction = std::variant<SlotCall, LoadOrder>;
using SwapActions = std::vector<SwapAction>;

/// Progress of a server; reported in queries and events.
enum class SwapState : uint8_t {
  Converged,
  Unreachable, ///< The server does not answer.
  BelowFloor,  ///< A swap would leave fewer than MinServers in service.
  WaitingForSlot,
  Draining, ///< Holds a slot and waits for accepted runs to finish.
  Loading,
  Leaving, ///< The agent process is shutting down.
};
/// The stable name of a state in lower case, such as "waiting_for_slot".
std::string_view swapStateName(SwapState state);

struct ConvergerInit {
  LoadSlotInit Slot;
  uint32_t Slots = LoadSlots;
  /// An order is sent again if the server's status doesn't show the load after
  /// this time.
  Duration LoadTimeout{15'000'000};
  /// After this many unsuccessful orders the slot is released, and the next
  /// attempt waits for FailureBackoff.
  uint32_t MaxOrderAttempts = 3;
  Duration FailureBackoff{10'000'000};
};

/// The state machine of one server's swaps. Not thread-safe; one per agent.
class Converger {
public:
  Converger(ConvergerInit init, RandomSource random, EventSink events);

  /// Must be called when the view has changed and at the time nextTimer().
  SwapActions update(const SwapView &view, TimePoint now);
  /// Handles the result of a call to the key-value service.
  SwapActions onSlotResult(const SlotResult &result, TimePoint now);
  /// Handles the server's answer to a LoadOrder. `why` is empty on success; its
  /// kind is Conflict if the server has seen the higher fencing token `fence`.
  SwapActions onOrder(const Error &why, uint64_t fence, TimePoint now);

  /// Whether the agent must refuse new requests, because the server drains or
  /// loads.
  bool refusesNewRequests() const;
  SwapState state() const { return CurrentState; }
  std::optional<TimePoint> nextTimer() const;
  /// The version that the server certainly runs. Empty while the server is
  /// unreachable or loading, or if another process changed its version. Kept
  /// context must not be imported then.
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
  /// Version of the last order, until the server's status shows it as loaded.
  std::optional<WeightVersion> OrderedVersion;
  TimePoint OrderedAt;
  uint32_t OrderAttempts = 0;
  std::optional<TimePoint> RetryNotBefore; ///< End of the backoff.
  bool HadSlot = false;
};

} // namespace daisytack::swap
