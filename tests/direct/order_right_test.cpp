/// What was seen: new weights stayed away from servers for ten seconds and more
/// while the entry that gives orders was killed and started again every two
/// seconds. Where servers check no fencing token, a new holder waited two
/// seconds before its first order, and each one was killed before that.
///
/// The world below has entries, their leases and the key-value service, without
/// a network: entries are killed, start again on their instance or another,
/// stand still and are cut off from the service. Only the decisions are real.
#include "direct/order_right.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

constexpr Duration Tick{50'000};
constexpr Duration Term{3'000'000};
constexpr Duration RestartTime{500'000};
/// From a change in the service until entries know it, and for one call.
constexpr Duration Way{50'000};

/// The record of the holder, as the service holds it.
struct HolderRecord {
  OrderHolder Holder;
  uint64_t Revision = 0;
  TimePoint LapsesAt;
};

struct Instance {
  explicit Instance(OrderHolder own, const OrderRightSettings &right)
      : Own(std::move(own)), Lease(orderLease(right)) {}
  OrderHolder Own;
  swap::Lease Lease;
  uint64_t Token = 0;
  TimePoint DownUntil;
  TimePoint FrozenUntil;
  TimePoint CutUntil;
};

/// An order, and the instance that gave it.
struct GivenOrder {
  std::string Peer;
  TimePoint At;
};

class OrderRightWorld {
public:
  OrderRightWorld(size_t instances, bool serversCheckFence) {
    Right.Term = Term;
    Right.ServersCheckFence = serversCheckFence;
    for (size_t i = 0; i < instances; ++i)
      Instances.emplace_back(
          OrderHolder{"e" + std::to_string(i), nextAddress()}, Right);
  }

  void pass(Duration time) {
    for (TimePoint end = Now + time; Now < end;) {
      Now = Now + Tick;
      if (Record && Now >= Record->LapsesAt)
        change(std::nullopt);
      // Any of them may be the first to see a change.
      for (size_t i = 0; i < Instances.size(); ++i)
        step(Instances[(i + Turn) % Instances.size()]);
      ++Turn;
    }
  }
  void kill(size_t i, Duration downFor) {
    Instances[i].Token = 0;
    Instances[i].Lease.lost();
    Instances[i].DownUntil = Now + downFor;
  }
  /// Its name comes back on another instance.
  void replace(size_t i, Duration downFor) {
    kill(i, downFor);
    Instances[i].Own.Peer = nextAddress();
  }
  void freeze(size_t i, Duration time) {
    Instances[i].FrozenUntil = Now + time;
  }
  void cut(size_t i, Duration time) { Instances[i].CutUntil = Now + time; }
  std::optional<size_t> holder() const {
    for (size_t i = 0; i < Instances.size(); ++i)
      if (Instances[i].Token != 0)
        return i;
    return std::nullopt;
  }
  TimePoint now() const { return Now; }
  const std::vector<GivenOrder> &orders() const { return Orders; }
  /// The shortest time from an order to the next one of another instance.
  Duration closestTurn() const {
    Duration out = Duration::max();
    for (size_t i = 1; i < Orders.size(); ++i)
      if (Orders[i].Peer != Orders[i - 1].Peer)
        out = std::min<Duration>(out, Orders[i].At - Orders[i - 1].At);
    return out;
  }
  /// The longest time without an order between the two moments.
  Duration longestPause(TimePoint from, TimePoint to) const {
    Duration out{0};
    TimePoint last = from;
    for (const GivenOrder &it : Orders) {
      if (it.At < from || it.At > to)
        continue;
      out = std::max<Duration>(out, it.At - last);
      last = it.At;
    }
    return std::max<Duration>(out, to - last);
  }

private:
  Endpoint nextAddress() {
    return {"10.0.0." + std::to_string(++Addresses), 80};
  }

  void change(std::optional<HolderRecord> to) {
    Record = std::move(to);
    Catalog next;
    if (Record) {
      next.Holder = Record->Holder.Entry;
      next.HolderPeer = Record->Holder.Peer;
      next.HolderRevision = Record->Revision;
    }
    History[Now + Way] = std::move(next);
  }

  /// What an entry that follows the service knows.
  Catalog known() const {
    auto it = History.upper_bound(Now);
    return it == History.begin() ? Catalog{} : std::prev(it)->second;
  }

  void step(Instance &it) {
    bool isAwake = Now >= it.DownUntil && Now >= it.FrozenUntil;
    if (!isAwake)
      return;
    bool isInTouch = Now >= it.CutUntil;
    if (it.Token != 0)
      hold(it, isInTouch);
    else if (isInTouch)
      claim(it);
    if (it.Token != 0 && it.Lease.mayAct(Now))
      Orders.push_back({toString(it.Own.Peer), Now});
  }

  void hold(Instance &it, bool isInTouch) {
    bool isOver =
        it.Lease.hasLapsed(Now) || (isInTouch && isReplaced(known(), it.Token));
    if (isOver) {
      it.Token = 0;
      it.Lease.lost();
      return;
    }
    bool isDue = Now >= it.Lease.renewAt().value_or(TimePoint::max());
    bool isStill = Record && Record->Revision == it.Token;
    if (!isInTouch || !isDue || !isStill)
      return;
    Duration timeToLive = it.Lease.settings().TimeToLive;
    it.Lease.renewed(it.Token, timeToLive, Now);
    Record->LapsesAt = Now + Way + timeToLive;
  }

  void claim(Instance &it) {
    std::optional<uint64_t> over = claimOver(known(), it.Own);
    uint64_t held = Record ? Record->Revision : 0;
    if (!over || *over != held)
      return;
    Duration timeToLive = it.Lease.settings().TimeToLive;
    it.Token = ++Revision;
    it.Lease.granted(it.Token, timeToLive, Now);
    change(HolderRecord{it.Own, it.Token, Now + Way + timeToLive});
  }

  OrderRightSettings Right;
  TimePoint Now{Duration(1'000'000'000)};
  std::vector<Instance> Instances;
  std::optional<HolderRecord> Record;
  std::map<TimePoint, Catalog> History;
  std::vector<GivenOrder> Orders;
  uint64_t Revision = 0;
  size_t Turn = 0;
  int Addresses = 0;
};

/// The load: the holder is killed every two seconds, and its process is back
/// after half a second. New weights must be in force within twelve seconds.
TEST(OrderRight, OrdersGoOnWhileTheHolderIsKilledInSeries) {
  for (bool serversCheckFence : {true, false}) {
    OrderRightWorld world(4, serversCheckFence);
    world.pass(5s);
    TimePoint from = world.now();
    for (int i = 0; i < 10; ++i) {
      if (auto holder = world.holder())
        world.kill(*holder, RestartTime);
      world.pass(2s);
    }
    EXPECT_LE(world.longestPause(from, world.now()), RestartTime + 500ms);
  }
}

/// An instance that is lost for good is waited for once.
TEST(OrderRight, ALostHolderIsWaitedForOnceThoughItsSuccessorsAreKilled) {
  OrderRightWorld world(4, false);
  world.pass(5s);
  TimePoint from = world.now();
  world.kill(*world.holder(), 60s);
  // Whoever seeks the right meanwhile is killed before it has it.
  for (int i = 0; i < 3; ++i) {
    world.pass(1s);
    for (size_t entry = 0; entry < 4; ++entry)
      if (world.holder() != entry)
        world.kill(entry, entry == 0 ? 60s : RestartTime);
  }
  world.pass(5s);
  OrderRightSettings right;
  right.ServersCheckFence = false;
  Duration wait = orderLease(right).TimeToLive;
  EXPECT_LE(world.longestPause(from, world.now()), wait + RestartTime);
}

TEST(OrderRight, ANameOnAnotherInstanceIsAnotherHolder) {
  OrderRightWorld world(1, false);
  world.pass(5s);
  world.replace(0, RestartTime);
  world.pass(20s);
  EXPECT_GE(world.closestTurn(), Term);
  EXPECT_LT(world.closestTurn(), 20s);
}

TEST(OrderRight, TheLeaseOutlastsTheLastOrderByATerm) {
  OrderRightSettings settings;
  settings.ServersCheckFence = false;
  swap::Lease lease(orderLease(settings));
  lease.granted(1, lease.settings().TimeToLive, TimePoint());
  TimePoint last;
  while (lease.mayAct(last + 10ms))
    last += 10ms;
  EXPECT_GT(last, TimePoint() + 1s);
  EXPECT_GE(TimePoint() + lease.settings().TimeToLive, last + settings.Term);
  EXPECT_LT(*lease.renewAt(), last) << "before it must stop to act";
  settings.Term = settings.PauseMargin / 2;
  EXPECT_EQ(orderLease(settings).TimeToLive, settings.Term)
      << "too short to act in, but a lease";
}

TEST(OrderRight, ARecordThatNamesNoInstanceIsNotTakenOver) {
  Catalog catalog;
  catalog.Holder = "e1";
  catalog.HolderRevision = 7;
  OrderHolder own{"e1", {"10.0.0.1", 80}};
  EXPECT_EQ(claimOver(catalog, own), std::nullopt);
  catalog.HolderPeer = own.Peer;
  EXPECT_EQ(claimOver(catalog, own), 7);
  EXPECT_EQ(claimOver(Catalog{}, own), 0);
}

TEST(OrderRight, AHolderIsReplacedByANewerRecordOnly) {
  Catalog catalog;
  EXPECT_FALSE(isReplaced(catalog, 7)) << "not heard of yet";
  catalog.Holder = "e1";
  catalog.HolderRevision = 6;
  EXPECT_FALSE(isReplaced(catalog, 7));
  catalog.HolderRevision = 7;
  EXPECT_FALSE(isReplaced(catalog, 7));
  catalog.HolderRevision = 8;
  EXPECT_TRUE(isReplaced(catalog, 7));
}

void disturb(OrderRightWorld &world, size_t instances) {
  auto entry = *rc::gen::inRange<size_t>(0, instances);
  Duration time = 100ms * *rc::gen::inRange(1, 80);
  switch (*rc::gen::inRange(0, 6)) {
  case 0:
    return world.kill(entry, time);
  case 1:
    return world.replace(entry, time);
  case 2:
    return world.freeze(entry, time);
  case 3:
    return world.cut(entry, time);
  default:
    if (auto holder = world.holder())
      world.kill(*holder, RestartTime);
    return;
  }
}

RC_GTEST_PROP(OrderRight, OrdersOfTwoInstancesLieATermApart, ()) {
  constexpr size_t Instances = 4;
  OrderRightWorld world(Instances, false);
  auto n = *rc::gen::inRange(1, 30);
  for (int i = 0; i < n; ++i) {
    disturb(world, Instances);
    world.pass(100ms * *rc::gen::inRange(0, 40));
  }
  RC_ASSERT(world.closestTurn() >= Term);
  // Somebody gives orders once all is well again for as long as a lease.
  world.pass(14s);
  TimePoint calm = world.now();
  world.pass(2s);
  RC_ASSERT(world.longestPause(calm, world.now()) <= 200ms);
}

} // namespace
} // namespace daisytack::direct
