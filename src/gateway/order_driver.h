/// Sends engines the orders to load new weights while this entry holds the
/// order lease, and tries to acquire that lease when no entry holds it.
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
  /// A process that was paused for longer than this waits for WakeDelay before
  /// it gives an order, because its view may be as old as the pause was long.
  Duration PauseThreshold{250'000};
  Duration WakeDelay{300'000};
  /// A missing holder is replaced after a random time of up to this multiplied
  /// by the number of entries, so that few of them try at once.
  Duration TakeoverSpread{60'000};
  /// Time between repeated messages about loading servers, for entries that are
  /// new or missed one.
  Duration AnnounceInterval{1'000'000};
  bool operator==(const OrderDriverSettings &) const = default;
};

/// Does all its work on the strand passed to the constructor.
class OrderDriver : public std::enable_shared_from_this<OrderDriver> {
public:
  /// Tells all entries which servers are about to load weights, so that
  /// requests go elsewhere, and which have loaded them.
  using BroadcastFn = std::function<void(const direct::PeerMessage &)>;

  OrderDriver(GatewayState &state, Strand strand, edge::KvStore store,
              OrderDriverSettings settings, RandomSource random,
              BroadcastFn broadcast);

  /// Call several times a second and whenever the catalog has changed.
  void onTimer(TimePoint now);
  void stop();
  /// The fencing token while this entry may give orders; nothing while it does
  /// not hold the order lease, or waits for WakeDelay after a pause.
  std::optional<uint64_t> token(TimePoint now) const;

private:
  void announceLoading(TimePoint now);
  /// Tries to become the holder if no other instance can hold the order lease.
  void acquireIfVacant(const direct::Catalog &catalog, TimePoint now);
  void perform(const std::vector<direct::WeightAction> &actions);
  void requestReport(const direct::RequestReport &action);
  void sendOrder(const direct::SendWeightOrder &action);
  void reportLoaded(const direct::NoteLoaded &action);
  void logPostponed(const direct::NotePostponed &action);
  /// Applies the request limit in the head of a server's answer to a call for a
  /// report or to an order.
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
  /// When to try to become the holder; nothing while it need not try.
  std::optional<TimePoint> AcquireAt;
  TimePoint LastTimerAt;
  /// After a pause of the process: time before which it gives no orders.
  TimePoint ResumeAt;
  /// Servers that the last message to the entries named as loading.
  std::vector<direct::ServerStart> AnnouncedServers;
  TimePoint AnnouncedAt;
};

} // namespace daisytack::gateway
