/// Gives the orders that one entry at a time may give: new weights for engines,
/// and the freeing of kept context that nobody can use any more.
#pragma once

#include "direct/peer_messages.h"
#include "direct/weight_plan.h"
#include "gateway/holder_lease.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace daisytack::gateway {

struct OrderDriverSettings {
  direct::WeightPlanSettings Weights;
  HolderLeaseSettings Holder;
  /// A process that finds itself paused so long waits for WakeDelay before it
  /// gives an order: its view is as old.
  Duration PauseThreshold{250'000};
  Duration WakeDelay{300'000};
  /// An absent holder is replaced after a random time up to this for each
  /// entry, so that few of them try at once.
  Duration TakeoverSpread{60'000};
  /// Between repeats of what loads, for entries that are new or missed it.
  Duration AnnounceInterval{1'000'000};
  bool operator==(const OrderDriverSettings &) const = default;
};

/// Runs on its strand.
class OrderDriver : public std::enable_shared_from_this<OrderDriver> {
public:
  /// Told of servers that are about to load, so that requests go elsewhere, and
  /// of those that have loaded.
  using BroadcastFn = std::function<void(const direct::PeerMessage &)>;

  OrderDriver(GatewayState &state, Strand strand, edge::KvStore store,
              OrderDriverSettings settings, RandomSource random,
              BroadcastFn broadcast);

  /// Call several times a second, and whenever the catalog has changed.
  void onTimer(TimePoint now);
  void stop();
  /// The token while this entry may give orders.
  std::optional<uint64_t> token(TimePoint now) const;

private:
  void announceLoading(TimePoint now);
  void acquireIfVacant(const direct::Catalog &catalog, TimePoint now);
  void perform(const std::vector<direct::WeightAction> &actions);
  void requestReport(const direct::RequestReport &action);
  void sendOrder(const direct::SendWeightOrder &action);
  void reportLoaded(const direct::NoteLoaded &action);
  /// What the head of a report or of an order's answer says.
  void applyLimit(direct::ServerRef server, const net::HttpResponse &answer);
  void onOrderAnswer(const direct::ServerStart &server, const Error &error,
                     unsigned status);

  GatewayState &State;
  Strand Executor;
  OrderDriverSettings Settings;
  RandomSource Random;
  BroadcastFn Broadcast;
  std::shared_ptr<HolderLease> Holder;
  direct::WeightPlan Plan;
  std::optional<TimePoint> AcquireAt; ///< When to try to become the holder.
  TimePoint LastTimerAt;
  TimePoint ResumeAt;
  std::vector<direct::ServerStart>
      AnnouncedServers; ///< Servers that entries were last told of.
  TimePoint AnnouncedAt;
};

} // namespace daisytack::gateway
