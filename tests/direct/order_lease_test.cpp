/// Guards against: servers got no new weights for ten seconds and more while
/// the holder of the order lease was killed and restarted every two seconds. If
/// servers check no fencing tokens, each new holder waited two seconds before
/// its first order and was killed before that.
///
/// The tests simulate entries, their leases and the key-value service without a
/// network. Entries are killed, restart on the same or another instance, are
/// suspended and lose their connection to the service. Only the decision code
/// is real.
#include "direct/order_lease.h"

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
/// Time until entries see a change in the service, and duration of a call.
constexpr Duration ServiceDelay{50'000};

/// The holder's record in the service.
struct HolderRecord {
  OrderLeaseHolder Holder;
  uint64_t Revision = 0;
  TimePoint ExpiresAt;
};

/// An instance with its entry process.
struct Instance {
  explicit Instance(OrderLeaseHolder own,
                    const OrderLeaseSettings &leaseSettings)
      : Own(std::move(own)), Lease(orderLease(leaseSettings)) {}
  OrderLeaseHolder Own;
  swap::Lease Lease;
  uint64_t Token = 0; ///< Revision of its holder record; 0: not the holder.
  TimePoint DownUntil;
  TimePoint FrozenUntil;
  TimePoint DisconnectedUntil;
};

/// An order that was sent.
struct SentOrder {
  std::string Peer; ///< Address of the sender.
  TimePoint At;
};

/// The simulation.
class OrderLeaseWorld {
public:
  OrderLeaseWorld(size_t instances, bool serversCheckFence) {
    Settings.Term = Term;
    Settings.ServersCheckFence = serversCheckFence;
    for (size_t i = 0; i < instances; ++i)
      Instances.emplace_back(
          OrderLeaseHolder{"e" + std::to_string(i), nextAddress()}, Settings);
  }

  void advance(Duration time) {
    for (TimePoint end = Now + time; Now < end;) {
      Now = Now + Tick;
      if (Record && Now >= Record->ExpiresAt)
        setRecord(std::nullopt);
      // Rotates which instance is the first to see a change.
      for (size_t i = 0; i < Instances.size(); ++i)
        step(Instances[(i + FirstStepped) % Instances.size()]);
      ++FirstStepped;
    }
  }
  void kill(size_t i, Duration downFor) {
    Instances[i].Token = 0;
    Instances[i].Lease.lost();
    Instances[i].DownUntil = Now + downFor;
  }
  /// Kills the entry; a process of its name starts on another instance.
  void moveToNewInstance(size_t i, Duration downFor) {
    kill(i, downFor);
    Instances[i].Own.Peer = nextAddress();
  }
  void freeze(size_t i, Duration time) {
    Instances[i].FrozenUntil = Now + time;
  }
  void disconnect(size_t i, Duration time) {
    Instances[i].DisconnectedUntil = Now + time;
  }
  std::optional<size_t> holder() const {
    for (size_t i = 0; i < Instances.size(); ++i)
      if (Instances[i].Token != 0)
        return i;
    return std::nullopt;
  }
  TimePoint now() const { return Now; }
  const std::vector<SentOrder> &orders() const { return Orders; }
  /// The shortest time between successive orders of two instances.
  Duration minHandoverGap() const {
    Duration out = Duration::max();
    for (size_t i = 1; i < Orders.size(); ++i)
      if (Orders[i].Peer != Orders[i - 1].Peer)
        out = std::min<Duration>(out, Orders[i].At - Orders[i - 1].At);
    return out;
  }
  /// The longest time without an order in the interval.
  Duration maxOrderGap(TimePoint from, TimePoint to) const {
    Duration out{0};
    TimePoint last = from;
    for (const SentOrder &it : Orders) {
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

  void setRecord(std::optional<HolderRecord> to) {
    Record = std::move(to);
    Catalog next;
    if (Record) {
      next.Holder = Record->Holder.Entry;
      next.HolderPeer = Record->Holder.Peer;
      next.HolderRevision = Record->Revision;
    }
    History[Now + ServiceDelay] = std::move(next);
  }

  /// What entries that follow the service know now.
  Catalog known() const {
    auto it = History.upper_bound(Now);
    return it == History.begin() ? Catalog{} : std::prev(it)->second;
  }

  void step(Instance &it) {
    bool isAwake = Now >= it.DownUntil && Now >= it.FrozenUntil;
    if (!isAwake)
      return;
    bool isConnected = Now >= it.DisconnectedUntil;
    if (it.Token != 0)
      stepHolder(it, isConnected);
    else if (isConnected)
      stepClaimant(it);
    if (it.Token != 0 && it.Lease.mayAct(Now))
      Orders.push_back({toString(it.Own.Peer), Now});
  }

  void stepHolder(Instance &it, bool isConnected) {
    bool hasLostLease = it.Lease.hasLapsed(Now) ||
                        (isConnected && isHolderReplaced(known(), it.Token));
    if (hasLostLease) {
      it.Token = 0;
      it.Lease.lost();
      return;
    }
    bool isDue = Now >= it.Lease.renewAt().value_or(TimePoint::max());
    bool isUnchanged = Record && Record->Revision == it.Token;
    if (!isConnected || !isDue || !isUnchanged)
      return;
    Duration timeToLive = it.Lease.settings().TimeToLive;
    it.Lease.renewed(it.Token, timeToLive, Now);
    Record->ExpiresAt = Now + ServiceDelay + timeToLive;
  }

  void stepClaimant(Instance &it) {
    std::optional<uint64_t> expected = claimableRevision(known(), it.Own);
    uint64_t held = Record ? Record->Revision : 0;
    if (!expected || *expected != held)
      return;
    Duration timeToLive = it.Lease.settings().TimeToLive;
    it.Token = ++Revision;
    it.Lease.granted(it.Token, timeToLive, Now);
    setRecord(HolderRecord{it.Own, it.Token, Now + ServiceDelay + timeToLive});
  }

  OrderLeaseSettings Settings;
  TimePoint Now{Duration(1'000'000'000)};
  std::vector<Instance> Instances;
  std::optional<HolderRecord> Record;
  std::map<TimePoint, Catalog> History;
  std::vector<SentOrder> Orders;
  uint64_t Revision = 0;
  size_t FirstStepped = 0;
  int Addresses = 0;
};

/// The holder is killed every two seconds, and its process restarts after half
/// a second. New weights must be in force within twelve seconds.
TEST(OrderLease, OrdersContinueWhileTheHolderIsKilledRepeatedly) {
  for (bool serversCheckFence : {true, false}) {
    OrderLeaseWorld world(4, serversCheckFence);
    world.advance(5s);
    TimePoint from = world.now();
    for (int i = 0; i < 10; ++i) {
      if (auto holder = world.holder())
        world.kill(*holder, RestartTime);
      world.advance(2s);
    }
    EXPECT_LE(world.maxOrderGap(from, world.now()), RestartTime + 500ms);
  }
}

/// The wait for an instance that is lost permanently happens only once.
TEST(OrderLease, TheWaitForALostHolderDoesNotRestartWhenClaimantsAreKilled) {
  OrderLeaseWorld world(4, false);
  world.advance(5s);
  TimePoint from = world.now();
  world.kill(*world.holder(), 60s);
  // Entries that try to claim the lease meanwhile are killed before they get
  // it.
  for (int i = 0; i < 3; ++i) {
    world.advance(1s);
    for (size_t entry = 0; entry < 4; ++entry)
      if (world.holder() != entry)
        world.kill(entry, entry == 0 ? 60s : RestartTime);
  }
  world.advance(5s);
  OrderLeaseSettings leaseSettings;
  leaseSettings.ServersCheckFence = false;
  Duration wait = orderLease(leaseSettings).TimeToLive;
  EXPECT_LE(world.maxOrderGap(from, world.now()), wait + RestartTime);
}

TEST(OrderLease, TheSameNameOnAnotherInstanceIsAnotherHolder) {
  OrderLeaseWorld world(1, false);
  world.advance(5s);
  world.moveToNewInstance(0, RestartTime);
  world.advance(20s);
  EXPECT_GE(world.minHandoverGap(), Term);
  EXPECT_LT(world.minHandoverGap(), 20s);
}

TEST(OrderLease, TheLeaseOutlastsTheLastOrderByOneTerm) {
  OrderLeaseSettings settings;
  settings.ServersCheckFence = false;
  swap::Lease lease(orderLease(settings));
  lease.granted(1, lease.settings().TimeToLive, TimePoint());
  TimePoint last;
  while (lease.mayAct(last + 10ms))
    last += 10ms;
  EXPECT_GT(last, TimePoint() + 1s);
  EXPECT_GE(TimePoint() + lease.settings().TimeToLive, last + settings.Term);
  EXPECT_LT(*lease.renewAt(), last) << "renewed before it must stop acting";
  settings.Term = settings.PauseMargin / 2;
  EXPECT_EQ(orderLease(settings).TimeToLive, settings.Term)
      << "too short to send any order, but still a lease";
}

TEST(OrderLease, ARecordThatNamesNoInstanceIsNotTakenOver) {
  Catalog catalog;
  catalog.Holder = "e1";
  catalog.HolderRevision = 7;
  OrderLeaseHolder own{"e1", {"10.0.0.1", 80}};
  EXPECT_EQ(claimableRevision(catalog, own), std::nullopt);
  catalog.HolderPeer = own.Peer;
  EXPECT_EQ(claimableRevision(catalog, own), 7);
  EXPECT_EQ(claimableRevision(Catalog{}, own), 0);
}

TEST(OrderLease, OnlyANewerRecordReplacesAHolder) {
  Catalog catalog;
  EXPECT_FALSE(isHolderReplaced(catalog, 7)) << "the record is not known yet";
  catalog.Holder = "e1";
  catalog.HolderRevision = 6;
  EXPECT_FALSE(isHolderReplaced(catalog, 7));
  catalog.HolderRevision = 7;
  EXPECT_FALSE(isHolderReplaced(catalog, 7));
  catalog.HolderRevision = 8;
  EXPECT_TRUE(isHolderReplaced(catalog, 7));
}

/// Applies a random fault.
void disturb(OrderLeaseWorld &world, size_t instances) {
  auto entry = *rc::gen::inRange<size_t>(0, instances);
  Duration time = 100ms * *rc::gen::inRange(1, 80);
  switch (*rc::gen::inRange(0, 6)) {
  case 0:
    return world.kill(entry, time);
  case 1:
    return world.moveToNewInstance(entry, time);
  case 2:
    return world.freeze(entry, time);
  case 3:
    return world.disconnect(entry, time);
  default:
    if (auto holder = world.holder())
      world.kill(*holder, RestartTime);
    return;
  }
}

RC_GTEST_PROP(OrderLease, OrdersOfTwoInstancesAreATermApart, ()) {
  constexpr size_t Instances = 4;
  OrderLeaseWorld world(Instances, false);
  auto n = *rc::gen::inRange(1, 30);
  for (int i = 0; i < n; ++i) {
    disturb(world, Instances);
    world.advance(100ms * *rc::gen::inRange(0, 40));
  }
  RC_ASSERT(world.minHandoverGap() >= Term);
  // After the faults have ended for longer than a lease, an entry sends orders.
  world.advance(14s);
  TimePoint calm = world.now();
  world.advance(2s);
  RC_ASSERT(world.maxOrderGap(calm, world.now()) <= 200ms);
}

} // namespace
} // namespace daisytack::direct
