/// Simulation of the bound on the requests to a cold server under faults:
/// entries crash, restart without state, pause, and are partitioned from one
/// another and from the key-value service, and requests are delayed in transit.
///
/// Two other strategies run in the same simulation, to show how they fail:
/// counts gossiped by datagram, and an equal rate for each entry.
#include "balancing/slow_start.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace daisytack::balancing {
namespace {

using namespace std::chrono_literals;

constexpr double Rate = 17;
constexpr double Bound = Rate * 1.5 + 5;
constexpr Duration Step{5'000};
constexpr Duration Length{12'000'000};
const TimePoint Begin{Duration(1'000'000'000)};

direct::BackendServer coldServer() {
  direct::BackendServer out;
  out.Id = "cold";
  return out;
}
const direct::BackendServer Cold = coldServer();

SlowStartSettings settings() {
  SlowStartSettings out;
  out.Overshoot = 1.5;
  out.Slack = 5;
  return out;
}

Endpoint addressOf(size_t entry) {
  return {"10.0." + std::to_string(entry / 200) + "." +
              std::to_string(entry % 200 + 1),
          7000};
}

/// Decides whether an entry may send a request, and counts it as sent if so.
class Strategy {
public:
  virtual ~Strategy() = default;
  virtual bool tryAcquire(const direct::Catalog &catalog, TimePoint now) = 0;
  /// Number of requests that the other entries reported for the last second.
  virtual void onGossip(uint32_t) {}
  /// Number of requests that this entry reports for the last second.
  virtual uint32_t gossiped(TimePoint) { return 0; }
};

class RendezvousShares : public Strategy {
public:
  RendezvousShares(Endpoint own, TimePoint now)
      : Start(settings(), std::move(own), now) {}
  bool tryAcquire(const direct::Catalog &catalog, TimePoint now) override {
    return Start.tryAcquire(Cold, Rate, catalog, now);
  }

private:
  SlowStart Start;
};

/// Each registered entry sends at an equal share of the rate.
class EqualRates : public Strategy {
public:
  bool tryAcquire(const direct::Catalog &catalog, TimePoint now) override {
    auto entries =
        static_cast<double>(std::max<size_t>(catalog.Registered.size(), 1));
    auto pause = Duration(static_cast<int64_t>(1e6 * entries / (Rate * 1.5)));
    if (Last && now < *Last + pause)
      return false;
    Last = now;
    return true;
  }

private:
  std::optional<TimePoint> Last;
};

/// Limits the requests that all entries sent in the last second, as reported by
/// datagram. The limit is below Bound, as a margin.
class GossipedCounts : public Strategy {
public:
  bool tryAcquire(const direct::Catalog &, TimePoint now) override {
    if (OthersSent + gossiped(now) + 1 > Rate * 1.5)
      return false;
    Sent.push_back(now);
    return true;
  }
  void onGossip(uint32_t sum) override { OthersSent = sum; }
  uint32_t gossiped(TimePoint now) override {
    std::erase_if(Sent, [&](TimePoint at) { return at + 1s <= now; });
    return static_cast<uint32_t>(Sent.size());
  }

private:
  uint32_t OthersSent = 0;
  std::vector<TimePoint> Sent;
};

enum class Kind : uint8_t { Rendezvous, Equal, GossipedCount };

std::unique_ptr<Strategy> make(Kind kind, const Endpoint &own, TimePoint now) {
  if (kind == Kind::Equal)
    return std::make_unique<EqualRates>();
  if (kind == Kind::GossipedCount)
    return std::make_unique<GossipedCounts>();
  return std::make_unique<RendezvousShares>(own, now);
}

struct Outcome {
  size_t MaxInSecond = 0; ///< Sent and received in one second.
  size_t Total = 0;       ///< Requests sent.
};

/// Deterministic for a seed.
class Simulation {
public:
  Simulation(Kind strategy, size_t entries, uint64_t seed,
             double faultsPerSecond = 0.4)
      : StrategyKind(strategy), Random(seed), Entries(entries),
        FaultsPerStep(faultsPerSecond * 1e-6 *
                      static_cast<double>(Step.count())) {
    for (size_t i = 0; i < entries; ++i) {
      Entries[i].Address = addressOf(i);
      Service.Registered[Entries[i].Address] = 1;
      start(Entries[i], Begin - 10s);
    }
    for (Entry &it : Entries)
      it.CatalogView = Service;
  }

  Outcome run() {
    // Callers send far more requests than the server can handle.
    for (TimePoint now = Begin; now < Begin + Length; now += Step) {
      if (chance(FaultsPerStep))
        injectFault(now);
      gossip(now);
      for (size_t i = 0; i < Entries.size(); ++i)
        step(i, now);
    }
    return evaluate();
  }

private:
  struct Entry {
    Endpoint Address;
    std::unique_ptr<Strategy> Decider;
    direct::Catalog CatalogView;
    TimePoint DownUntil{};
    TimePoint PartitionedUntil{};
    TimePoint PausedUntil{};
    /// Interval at which the entry reads the key-value service.
    Duration Lag{300'000};
    TimePoint ReadAt{};
  };
  struct Sent {
    TimePoint At;
    TimePoint ArrivedAt;
  };

  bool chance(double p) { return std::bernoulli_distribution(p)(Random); }
  Duration upTo(Duration most) {
    return Duration(
        std::uniform_int_distribution<int64_t>(0, most.count())(Random));
  }
  size_t anyEntry() {
    return std::uniform_int_distribution<size_t>(0, Entries.size() - 1)(Random);
  }

  void start(Entry &entry, TimePoint now) {
    entry.Decider = make(StrategyKind, entry.Address, now);
    entry.CatalogView = {};
  }

  void injectFault(TimePoint now) {
    auto until = now + upTo(3s);
    switch (std::uniform_int_distribution<int>(0, 4)(Random)) {
    case 0: // One entry crashes.
      kill(anyEntry(), now, upTo(1s));
      return;
    case 1: { // All entries crash at once.
      Duration pause = upTo(1s);
      for (size_t i = 0; i < Entries.size(); ++i)
        kill(i, now, pause);
      return;
    }
    case 2: // Some entries are partitioned.
      for (Entry &it : Entries)
        if (chance(0.35))
          it.PartitionedUntil = until;
      return;
    case 3: // One entry is paused; its clock continues.
      Entries[anyEntry()].PausedUntil = until;
      return;
    default: // One entry is replaced by one at another address.
      size_t i = anyEntry();
      kill(i, now, upTo(1s));
      Entries[i].Address = addressOf(Entries.size() + ++Replaced);
      Service.Registered[Entries[i].Address] = 2;
      ++Service.RegisteredVersion;
    }
  }

  void kill(size_t i, TimePoint now, Duration pause) {
    Entries[i].DownUntil = now + pause;
    Entries[i].Decider.reset();
  }

  void gossip(TimePoint now) {
    if ((now - Begin) % Duration(100'000) != Duration(0))
      return;
    std::vector<uint32_t> gossiped;
    uint32_t sum = 0;
    for (Entry &it : Entries) {
      bool isSending =
          it.Decider && now >= it.PartitionedUntil && now >= it.PausedUntil;
      gossiped.push_back(isSending ? it.Decider->gossiped(now) : 0);
      sum += gossiped.back();
    }
    for (size_t i = 0; i < Entries.size(); ++i) {
      bool isReceiving =
          Entries[i].Decider && now >= Entries[i].PartitionedUntil;
      // A few datagrams are lost.
      if (isReceiving && !chance(0.02))
        Entries[i].Decider->onGossip(sum - gossiped[i]);
    }
  }

  void step(size_t i, TimePoint now) {
    Entry &it = Entries[i];
    if (now < it.DownUntil || now < it.PausedUntil)
      return;
    if (!it.Decider) {
      start(it, now);
      it.ReadAt = now + 50ms;
    }
    if (now >= it.PartitionedUntil && now >= it.ReadAt) {
      it.CatalogView = Service;
      it.ReadAt = now + it.Lag;
    }
    if (!chance(std::min(1.0, 1.5 / static_cast<double>(Entries.size()) * 10)))
      return;
    if (!it.Decider->tryAcquire(it.CatalogView, now))
      return;
    Duration transit = chance(0.1) ? upTo(80ms) : upTo(4ms);
    History.push_back({now, now + transit});
  }

  Outcome evaluate() const {
    Outcome out{0, History.size()};
    for (size_t first = 0; first < History.size(); ++first) {
      // The second that begins with this request.
      TimePoint end = History[first].At + 1s;
      size_t n = 0;
      for (size_t i = first; i < History.size() && History[i].At < end; ++i)
        n += History[i].ArrivedAt < end ? 1 : 0;
      out.MaxInSecond = std::max(out.MaxInSecond, n);
    }
    return out;
  }

  Kind StrategyKind;
  std::mt19937_64 Random;
  direct::Catalog Service; ///< Contents of the key-value service.
  std::vector<Entry> Entries;
  std::vector<Sent> History; ///< Ordered by send time.
  size_t Replaced = 0;
  double FaultsPerStep;
};

RC_GTEST_PROP(SlowStartModel, HoldsTheBoundUnderFaults, ()) {
  auto entries = *rc::gen::element<size_t>(1, 4, 26, 31, 100, 300);
  auto seed = *rc::gen::arbitrary<uint64_t>();
  Outcome out = Simulation(Kind::Rendezvous, entries, seed).run();
  RC_ASSERT(static_cast<double>(out.MaxInSecond) <= Bound);
}

/// The bound must not be held by sending hardly any requests.
TEST(SlowStartModel, UsesTheBoundWhenNothingFails) {
  for (size_t entries : {1U, 4U, 26U, 100U, 300U}) {
    Outcome out = Simulation(Kind::Rendezvous, entries, entries, 0).run();
    double seconds = 1e-6 * static_cast<double>(Length.count());
    EXPECT_GE(static_cast<double>(out.Total) / seconds, Rate) << entries;
  }
}

/// Shows why the other strategies are not used.
TEST(SlowStartModel, OtherStrategiesBreakTheBound) {
  auto worst = [](Kind strategy, size_t entries) {
    size_t out = 0;
    for (uint64_t seed = 0; seed < 20; ++seed)
      out =
          std::max(out, Simulation(strategy, entries, seed).run().MaxInSecond);
    return static_cast<double>(out);
  };
  EXPECT_GT(worst(Kind::GossipedCount, 26), Bound);
  EXPECT_GT(worst(Kind::Equal, 300), Bound);
}

} // namespace
} // namespace daisytack::balancing
