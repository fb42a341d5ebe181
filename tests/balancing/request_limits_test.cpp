/// The limits that entries assume for servers, and a simulation of the requests
/// that all entries send under faults: entries crash, restart without state,
/// are partitioned from one another, and learn of registrations late.
#include "balancing/request_limits.h"

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

const TimePoint Begin{Duration(1'000'000'000)};

Endpoint addressOf(size_t entry) {
  return {"10.0." + std::to_string(entry / 200) + "." +
              std::to_string(entry % 200 + 1),
          7000};
}

direct::BackendServer makeLimitedServer() {
  direct::BackendServer out;
  out.Id = "needy";
  return out;
}
const direct::BackendServer LimitedServer = makeLimitedServer();

class RequestLimitsTest : public testing::Test {
protected:
  RequestLimitsTest() {
    for (size_t i = 0; i < 2; ++i)
      Known.Registered[addressOf(i)] = 1;
  }
  /// Whether a request may be sent at once.
  bool isAvailable(RequestLimits &limits, TimePoint now) {
    std::optional<TimePoint> available =
        limits.availableAt(LimitedServer, Known, now);
    return available && *available <= now;
  }
  /// Number of requests that may be sent within this time, tried every 10 ms.
  size_t sent(RequestLimits &limits, TimePoint from, Duration time) {
    size_t out = 0;
    for (TimePoint now = from; now < from + time; now += 10ms)
      out += isAvailable(limits, now) &&
                     limits.tryAcquire(LimitedServer, Known, now)
                 ? 1
                 : 0;
    return out;
  }

  /// Passes the messages of both entries on, as their exchange does ten times a
  /// second.
  void exchange(TimePoint now) {
    lend(First, addressOf(0), Second, now);
    lend(Second, addressOf(1), First, now);
    Second.onPeerReports(First.takeGossip(now), now);
    First.onPeerReports(Second.takeGossip(now), now);
  }
  void lend(RequestLimits &borrower, const Endpoint &address,
            RequestLimits &lender, TimePoint now) {
    for (const OutgoingLoanRequest &it :
         borrower.takeLoanRequests(Known, 3, now))
      if (auto loan = lender.onLoanRequest(it.Message, address, LimitedServer,
                                           Known, now))
        borrower.onLoan(*loan, now);
  }

  direct::Catalog Known;
  RequestLimits First{{}, addressOf(0), Begin - 20s};
  RequestLimits Second{{}, addressOf(1), Begin - 20s};
};

TEST_F(RequestLimitsTest, HoldsALimitUntilTheServerLiftsIt) {
  EXPECT_TRUE(isAvailable(First, Begin));
  EXPECT_EQ(First.onAnswer("needy", std::nullopt, Begin), LimitChange::None);
  EXPECT_EQ(First.onAnswer("needy", 2, Begin), LimitChange::Imposed);
  EXPECT_EQ(First.onAnswer("needy", 2.5, Begin + 1ms), LimitChange::None);
  EXPECT_EQ(First.limitedCount(), 1);
  EXPECT_LE(sent(First, Begin, 4s), 6);
  EXPECT_EQ(First.onAnswer("needy", std::nullopt, Begin + 4s),
            LimitChange::Lifted);
  EXPECT_EQ(sent(First, Begin + 4s, 1s), 100);
}

/// Also to entries that have received no answer of the server themselves.
TEST_F(RequestLimitsTest, PassesLimitsOnToOtherEntries) {
  First.onAnswer("needy", 2, Begin);
  Second.onPeerReports(First.takeGossip(Begin + 100ms), Begin + 101ms);
  EXPECT_EQ(Second.limitedCount(), 1);
  First.onAnswer("needy", std::nullopt, Begin + 1s);
  Second.onPeerReports(First.takeGossip(Begin + 1100ms), Begin + 1101ms);
  EXPECT_EQ(Second.limitedCount(), 0);
  // Reports of other entries are not passed on, as their age would be lost.
  EXPECT_TRUE(Second.takeGossip(Begin + 1200ms).empty());
}

/// Answers to different entries may overtake one another.
TEST_F(RequestLimitsTest, AppliesTheLatestAnswer) {
  First.onAnswer("needy", 2, Begin);
  std::vector<LimitReport> staleReports = First.takeGossip(Begin + 10ms);
  Second.onAnswer("needy", 2, Begin + 100ms);
  Second.onAnswer("needy", std::nullopt, Begin + 200ms);
  Second.onPeerReports(staleReports, Begin + 20ms);
  EXPECT_EQ(Second.limitedCount(), 0);
  // An entry that still reports the limit gets a report that it was lifted,
  // however long ago that was.
  EXPECT_TRUE(Second.takeGossip(Begin + 30s).empty());
  Second.onPeerReports(First.takeGossip(Begin + 30s), Begin + 30s);
  First.onPeerReports(Second.takeGossip(Begin + 30s), Begin + 30s);
  EXPECT_EQ(First.limitedCount(), 0);
}

TEST_F(RequestLimitsTest, AppliesToOneStartOfTheServerOnly) {
  First.onAnswer(direct::ServerRef("needy", 1), 2, Begin);
  direct::BackendServer restarted = LimitedServer;
  restarted.StartedMs = 2;
  std::optional<TimePoint> available =
      First.availableAt(restarted, Known, Begin);
  ASSERT_TRUE(available);
  EXPECT_LE(*available, Begin);
}

TEST_F(RequestLimitsTest, IgnoresInvalidReports) {
  for (double invalid : {-1.0, std::nan(""), HUGE_VAL})
    First.onPeerReports({{direct::ServerRef("needy").key(), true, invalid, 0}},
                        Begin);
  EXPECT_EQ(First.limitedCount(), 0);
}

/// Only an answer shows that a limit was lifted, so even a server with the
/// limit 0 gets a request now and then. A very large limit has no effect.
TEST_F(RequestLimitsTest, BoundsTheRequestsOfAllEntries) {
  auto boundOf = [](double perSecond) {
    return requestLimitBound({}, perSecond);
  };
  EXPECT_EQ(boundOf(2.1).Requests, 9);
  EXPECT_EQ(boundOf(2.1).Window, 4400ms);
  EXPECT_EQ(boundOf(0.2).Requests, 1);
  EXPECT_EQ(boundOf(0.2).Window, 5s);
  EXPECT_EQ(boundOf(0).Requests, 1);
  EXPECT_EQ(boundOf(0).Window, 10s);
  EXPECT_EQ(boundOf(0.001), boundOf(0));
  EXPECT_EQ(boundOf(1e9).Requests, 1'000'000);
}

/// An entry does not use up a long window in a burst.
TEST_F(RequestLimitsTest, PacesTheRequestsOfAnEntry) {
  First.onAnswer("needy", 50, Begin);
  EXPECT_LE(sent(First, Begin, 1s), 51);
  EXPECT_GE(sent(First, Begin + 1s, 10s), 200);
}

/// Guards against refusing requests that a server still bears, at an entry that
/// gets most new connections while the shares of the others lie idle. Requests
/// must be served at least three quarters as often as while both entries get
/// them.
TEST_F(RequestLimitsTest, ServesTheLoadThatMovesToOneEntry) {
  constexpr double Limit = 50;
  constexpr Duration LoadInterval = 25ms; // Four fifths of the limit.
  constexpr Duration LoadTime = 10s;
  First.onAnswer("needy", Limit, Begin);
  Second.onAnswer("needy", Limit, Begin);
  TimePoint now = Begin;
  auto served = [&](auto entryOf) {
    size_t out = 0;
    TimePoint end = now + LoadTime;
    for (size_t n = 0; now < end; now += LoadInterval, ++n) {
      RequestLimits &entry = entryOf(n);
      if (n % 4 == 0)
        exchange(now);
      if (n % 100 == 0) // The server goes on to name its limit.
        entry.onAnswer("needy", Limit, now);
      out += entry.tryAcquire(LimitedServer, Known, now) ? 1 : 0;
    }
    return out;
  };
  size_t before = served(
      [&](size_t n) -> RequestLimits & { return n % 2 == 0 ? First : Second; });
  size_t moved = served([&](size_t) -> RequestLimits & { return First; });
  EXPECT_GE(4 * moved, 3 * before);
}

/// Guards against a lifted limit going unnoticed: the entries with a share of
/// the limit have no requests for the server, so no entry receives an answer.
TEST_F(RequestLimitsTest, RotatesSharesWhileNoAnswerIsReceived) {
  First.onAnswer("needy", 0, Begin);
  Second.onAnswer("needy", 0, Begin);
  std::vector<bool> firstAvailable;
  std::vector<bool> secondAvailable;
  for (int i = 0; i < 12; ++i) {
    TimePoint now = Begin + i * 20s;
    firstAvailable.push_back(isAvailable(First, now));
    secondAvailable.push_back(isAvailable(Second, now));
    EXPECT_NE(firstAvailable.back(), secondAvailable.back()) << i;
  }
  EXPECT_TRUE(std::count(firstAvailable.begin(), firstAvailable.end(), true) >
              0);
  EXPECT_TRUE(std::count(secondAvailable.begin(), secondAvailable.end(), true) >
              0);
}

/// Each message has as many limits as fit into a datagram.
TEST_F(RequestLimitsTest, PassesOnManyLimitsInTurns) {
  for (int i = 0; i < 150; ++i)
    First.onAnswer("s" + std::to_string(i), 2, Begin);
  for (int round = 0; round < 3; ++round)
    Second.onPeerReports(First.takeGossip(Begin + round * 100ms),
                         Begin + round * 100ms);
  EXPECT_EQ(Second.limitedCount(), 150);
}

/// The required bound on a server's requests within a window. It counts
/// requests of entries that passed on an answer with the limit at least
/// GossipTime before, and applies from SettlingTime after the limit was set.
constexpr Duration MeasuredWindow{4'000'000};
constexpr Duration GossipTime{500'000};
constexpr Duration SettlingTime{3'000'000};
double allowedInWindow(double perSecond) { return 1.5 * perSecond * 4 + 5; }

struct Outcome {
  size_t MaxInWindow = 0; ///< Counted requests.
  size_t Total = 0;       ///< All requests.
};

/// Deterministic for a seed. The server announces its limit from the start, and
/// callers send far more requests than it allows.
class Simulation {
public:
  Simulation(size_t entries, double perSecond, uint64_t seed,
             double faultsPerSecond)
      : Random(seed), PerSecond(perSecond), Entries(entries),
        FaultsPerStep(faultsPerSecond * 1e-6 *
                      static_cast<double>(Step.count())) {
    for (size_t i = 0; i < entries; ++i) {
      Entries[i].Address = addressOf(i);
      Service.Registered[Entries[i].Address] = 1;
      start(Entries[i], Begin - 20s);
    }
    for (Entry &it : Entries)
      it.CatalogView = Service;
  }

  /// Each entry computes its share as if it were the only entry.
  void ignoreOtherEntries() { IgnoresOthers = true; }

  Outcome run() {
    for (TimePoint now = Begin; now < Begin + Length; now += Step) {
      if (chance(FaultsPerStep))
        injectFault(now);
      deliverAnswers(now);
      gossip(now);
      for (size_t i = 0; i < Entries.size(); ++i)
        step(i, now);
    }
    return evaluate();
  }

private:
  static constexpr Duration Step{10'000};
  static constexpr Duration Length{25'000'000};

  struct Entry {
    Endpoint Address;
    std::unique_ptr<RequestLimits> Limits;
    direct::Catalog CatalogView;
    /// When this process first passed on an answer with the limit.
    std::optional<TimePoint> PassedOnAt;
    TimePoint DownUntil{};
    TimePoint PartitionedUntil{};
    TimePoint ReadAt{};
    uint32_t Starts = 0;
  };
  struct Answer {
    TimePoint At;
    size_t Entry;
    uint32_t Start; ///< Start of the entry that sent the request.
  };
  struct Sent {
    TimePoint ArrivedAt;
    bool Counts;
  };

  bool chance(double p) {
    return std::bernoulli_distribution(std::min(p, 1.0))(Random);
  }
  Duration upTo(Duration most) {
    return Duration(
        std::uniform_int_distribution<int64_t>(0, most.count())(Random));
  }
  void start(Entry &entry, TimePoint now) {
    entry.Limits = std::make_unique<RequestLimits>(RequestLimitSettings{},
                                                   entry.Address, now);
    entry.CatalogView = {};
    entry.PassedOnAt.reset();
    ++entry.Starts;
  }
  void kill(Entry &entry, TimePoint now) {
    entry.DownUntil = now + upTo(1s);
    entry.Limits.reset();
  }

  void injectFault(TimePoint now) {
    size_t i =
        std::uniform_int_distribution<size_t>(0, Entries.size() - 1)(Random);
    switch (std::uniform_int_distribution<int>(0, 3)(Random)) {
    case 0:
      return kill(Entries[i], now);
    case 1:
      for (Entry &it : Entries)
        kill(it, now);
      return;
    case 2: // Partitioned from the key-value service and from one another.
      for (Entry &it : Entries)
        if (chance(0.35))
          it.PartitionedUntil = now + upTo(4s);
      return;
    default: // Replaced by an entry at another address.
      kill(Entries[i], now);
      Entries[i].Address = addressOf(Entries.size() + ++Replaced);
      Service.Registered[Entries[i].Address] = 2;
      ++Service.RegisteredVersion;
    }
  }

  /// Passes the answers that are due to the entries that sent the requests.
  void deliverAnswers(TimePoint now) {
    std::erase_if(Answers, [&](const Answer &it) {
      if (now < it.At)
        return false;
      Entry &entry = Entries[it.Entry];
      if (!entry.Limits || entry.Starts != it.Start)
        return true;
      entry.Limits->onAnswer("needy", PerSecond, now);
      if (!entry.PassedOnAt)
        entry.PassedOnAt = now;
      return true;
    });
  }

  void gossip(TimePoint now) {
    if ((now - Begin) % Duration(100'000) != Duration(0))
      return;
    for (Entry &from : Entries) {
      if (!from.Limits || now < from.PartitionedUntil)
        continue;
      std::vector<LimitReport> reports = from.Limits->takeGossip(now);
      for (Entry &to : Entries) {
        bool isReceived =
            &to != &from && to.Limits && now >= to.PartitionedUntil;
        if (isReceived && !chance(0.02))
          to.Limits->onPeerReports(reports, now);
      }
    }
  }

  void step(size_t i, TimePoint now) {
    Entry &it = Entries[i];
    if (now < it.DownUntil)
      return;
    if (!it.Limits) {
      start(it, now);
      it.ReadAt = now + 50ms;
    }
    if (now >= it.PartitionedUntil && now >= it.ReadAt) {
      it.CatalogView = Service;
      if (IgnoresOthers)
        it.CatalogView.Registered = {{it.Address, 1}};
      it.ReadAt = now + 300ms;
    }
    if (!chance(20 / static_cast<double>(Entries.size())))
      return;
    std::optional<TimePoint> available =
        it.Limits->availableAt(LimitedServer, it.CatalogView, now);
    if (!available || now < *available ||
        !it.Limits->tryAcquire(LimitedServer, it.CatalogView, now))
      return;
    bool counts = it.PassedOnAt && now >= *it.PassedOnAt + GossipTime;
    Duration transit = chance(0.1) ? upTo(80ms) : upTo(4ms);
    History.push_back({now + transit, counts});
    Answers.push_back({now + transit + upTo(2s), i, it.Starts});
  }

  Outcome evaluate() {
    std::sort(History.begin(), History.end(), [](const Sent &a, const Sent &b) {
      return a.ArrivedAt < b.ArrivedAt;
    });
    Outcome out{0, History.size()};
    for (const Sent &last : History) {
      if (last.ArrivedAt < Begin + SettlingTime)
        continue;
      size_t n = 0;
      for (const Sent &it : History)
        n += it.Counts && it.ArrivedAt <= last.ArrivedAt &&
                     it.ArrivedAt > last.ArrivedAt - MeasuredWindow
                 ? 1
                 : 0;
      out.MaxInWindow = std::max(out.MaxInWindow, n);
    }
    return out;
  }

  std::mt19937_64 Random;
  double PerSecond;
  direct::Catalog Service; ///< Contents of the key-value service.
  std::vector<Entry> Entries;
  std::vector<Sent> History;
  std::vector<Answer> Answers;
  size_t Replaced = 0;
  bool IgnoresOthers = false;
  double FaultsPerStep;
};

/// Guards against entries that ignore limits: a server with a limit of 2.1
/// requests per second got 35 requests in four seconds where 18 were allowed.
RC_GTEST_PROP(RequestLimitsModel, HoldsTheLimitUnderFaults, ()) {
  auto entries = *rc::gen::element<size_t>(1, 2, 5, 26, 68);
  auto perSecond = *rc::gen::element(0.0, 0.1, 0.7, 2.1, 2.3, 10.0);
  auto seed = *rc::gen::arbitrary<uint64_t>();
  Outcome out = Simulation(entries, perSecond, seed, 0.4).run();
  RC_ASSERT(static_cast<double>(out.MaxInWindow) <= allowedInWindow(perSecond));
}

/// Shows that the simulation detects a violation: here each entry uses the
/// whole limit.
TEST(RequestLimitsModel, BreaksTheLimitWhenEntriesDoNotShareIt) {
  Simulation world(5, 2.1, 1, 0);
  world.ignoreOtherEntries();
  EXPECT_GT(static_cast<double>(world.run().MaxInWindow), allowedInWindow(2.1));
}

/// The limit must not be held by sending hardly any requests.
TEST(RequestLimitsModel, UsesTheLimitWhenNothingFails) {
  for (size_t entries : {1U, 2U, 5U, 26U, 68U})
    for (double perSecond : {0.7, 2.1, 10.0}) {
      Outcome out = Simulation(entries, perSecond, entries, 0).run();
      EXPECT_GE(static_cast<double>(out.Total) / 25, perSecond * 0.7)
          << entries << " entries, " << perSecond << " a second";
    }
}

} // namespace
} // namespace daisytack::balancing
