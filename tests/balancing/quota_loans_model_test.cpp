/// Simulation of entries that lend one another requests of a quota: messages
/// are lost, late and repeated, entries are killed, suspended and restarted,
/// each has a clock of its own, and the demand moves from entry to entry. The
/// registrations stay the same, so the bound must hold exactly.
#include "balancing/shared_quota.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace daisytack::balancing {
namespace {

using namespace std::chrono_literals;

constexpr Duration Step{5'000};
constexpr Duration Length{40'000'000};
constexpr Duration Window{1'000'000};
constexpr Duration ExchangeInterval{100'000};
const TimePoint Begin{Duration(1'000'000'000)};

Endpoint addressOf(size_t entry) {
  return {"10.0.0." + std::to_string(entry + 1), 7000};
}

struct Scenario {
  size_t Entries = 2;
  uint32_t Requests = 20;
  uint64_t Seed = 0;
  double FaultsPerSecond = 0;
  bool HasLoans = true;
  /// Entries that restart ignore that they have lost their memory.
  bool StartsAtOnce = false;
  /// The demand stays at the first entry.
  bool IsDemandFixed = false;
};

struct Outcome {
  size_t MaxInWindow = 0;
  size_t Total = 0;
  uint64_t Used = 0; ///< Requests sent on loan, by entries that still run.
};

/// Deterministic for a seed.
class Simulation {
public:
  explicit Simulation(const Scenario &scenario)
      : Settings(scenario), Random(scenario.Seed), Entries(scenario.Entries) {
    Server.Id = "wanted";
    Bound.Requests = scenario.Requests;
    Bound.Window = Window;
    Bound.IsPaced = chance(0.5);
    for (size_t i = 0; i < Entries.size(); ++i) {
      Known.Registered[addressOf(i)] = 1;
      Entries[i].ClockOffset = upTo(1000s);
      start(i, Begin - 10s);
    }
  }

  Outcome run() {
    for (TimePoint now = Begin; now < Begin + Length; now += Step) {
      if (chance(Settings.FaultsPerSecond * 1e-6 *
                 static_cast<double>(Step.count())))
        injectFault(now);
      if (!Settings.IsDemandFixed && now >= DemandUntil)
        moveDemand(now);
      for (size_t i = 0; i < Entries.size(); ++i)
        step(i, now);
    }
    Outcome out{0, Sent.size(), 0};
    for (size_t first = 0, end = 0; first < Sent.size(); ++first) {
      while (end < Sent.size() && Sent[end] < Sent[first] + Window)
        ++end;
      out.MaxInWindow = std::max(out.MaxInWindow, end - first);
    }
    for (const Entry &it : Entries)
      out.Used += it.Quota ? it.Quota->loanCounts().Used : 0;
    return out;
  }

private:
  struct Message {
    TimePoint At;
    Endpoint From;
    std::variant<QuotaLoanRequest, QuotaLoan> Content;
  };
  struct Entry {
    std::unique_ptr<SharedQuota> Quota;
    Duration ClockOffset{0};
    TimePoint DownUntil{};
    TimePoint SuspendedUntil{};
    TimePoint ExchangeAt{};
    std::vector<Message> Inbox;
  };

  bool chance(double p) { return std::bernoulli_distribution(p)(Random); }
  Duration upTo(Duration most) {
    return Duration(
        std::uniform_int_distribution<int64_t>(0, most.count())(Random));
  }
  size_t anyEntry() {
    return std::uniform_int_distribution<size_t>(0, Entries.size() - 1)(Random);
  }

  void start(size_t i, TimePoint now) {
    Entries[i].Quota = std::make_unique<SharedQuota>(
        addressOf(i), now + Entries[i].ClockOffset, Settings.HasLoans);
    Entries[i].ExchangeAt = now + upTo(ExchangeInterval);
  }

  void injectFault(TimePoint now) {
    // Faults hit the busy entry, or those that lend to it.
    size_t i = chance(0.3) ? Busy : anyEntry();
    switch (std::uniform_int_distribution<int>(0, 3)(Random)) {
    case 0:
      return kill(i, now);
    case 1:
      return killSome(now);
    default:
      Entries[i].SuspendedUntil = now + upTo(3s);
    }
  }

  void moveDemand(TimePoint now) {
    Busy = anyEntry();
    DemandKind = chance(0.7) ? (DemandKind + 1) % 3
                             : std::uniform_int_distribution<int>(0, 2)(Random);
    DemandUntil = now + upTo(DemandKind == 2 ? 3s : 1s);
    BusyFactor = chance(0.5) ? 1.5 : 15;
    if (DemandKind == 0 && BusyFactor > 2) // A burst.
      DemandUntil = now + upTo(200ms);
    // Lenders that end while their loans are still unused.
    if (DemandKind == 1 && Settings.FaultsPerSecond > 0 && chance(0.5))
      killSome(now);
  }

  void killSome(TimePoint now) {
    for (size_t n = 0; n < Entries.size(); ++n)
      if (chance(0.5))
        kill(n, now);
  }

  void kill(size_t i, TimePoint now) {
    Entries[i].Quota.reset();
    Entries[i].DownUntil = now + upTo(100ms);
  }

  void post(size_t from, const Endpoint &to, TimePoint now,
            const std::variant<QuotaLoanRequest, QuotaLoan> &content) {
    bool hasFaults = Settings.FaultsPerSecond > 0;
    int copies = 1;
    if (hasFaults && chance(0.2))
      copies = chance(0.5) ? 0 : 2;
    for (size_t i = 0; i < Entries.size(); ++i)
      for (int n = 0; addressOf(i) == to && n < copies; ++n) {
        Duration delay = hasFaults && chance(0.2) ? upTo(2500ms) : upTo(5ms);
        Entries[i].Inbox.push_back({now + delay, addressOf(from), content});
      }
  }

  void step(size_t i, TimePoint now) {
    Entry &it = Entries[i];
    bool isDown = now < it.DownUntil;
    // A process that is down loses what arrives; a suspended one reads it
    // later.
    if (!isDown && now < it.SuspendedUntil)
      return;
    std::vector<Message> due;
    std::erase_if(it.Inbox, [&](const Message &m) {
      if (m.At > now)
        return false;
      due.push_back(m);
      return true;
    });
    if (isDown)
      return;
    if (!it.Quota)
      start(i, Settings.StartsAtOnce ? now - 10s : now);
    TimePoint own = now + it.ClockOffset;
    for (const Message &m : due)
      receive(i, m, now);
    if (now >= it.ExchangeAt) {
      it.ExchangeAt = now + ExchangeInterval;
      for (const auto &r : it.Quota->takeLoanRequests(Known, 3, own))
        post(i, r.Peer, now, r.Message);
    }
    // Requests per step: the busy entry gets 1.5 times the quota or, for a
    // short time, 15 times, and the others a third of it together.
    double perStep = Settings.Requests * static_cast<double>(Step.count()) /
                     static_cast<double>(Window.count());
    auto entries = static_cast<double>(Entries.size());
    double demand = i == Busy ? BusyFactor * perStep : perStep / 3 / entries;
    if (DemandKind == 1)
      demand = 0;
    if (DemandKind == 2)
      demand = std::max(demand, 3 * perStep / entries);
    // The distribution is defined for a mean above 0 only.
    int callers =
        demand > 0 ? std::poisson_distribution<int>(demand)(Random) : 0;
    for (int n = 0; n < callers; ++n)
      if (it.Quota->tryAcquire(Server, Bound, Known, own))
        Sent.push_back(now);
  }

  void receive(size_t i, const Message &message, TimePoint now) {
    SharedQuota &quota = *Entries[i].Quota;
    TimePoint own = now + Entries[i].ClockOffset;
    if (const auto *loan = std::get_if<QuotaLoan>(&message.Content)) {
      quota.onLoan(*loan, own);
      return;
    }
    const auto &request = std::get<QuotaLoanRequest>(message.Content);
    if (auto loan = quota.onLoanRequest(request, message.From, Server, Bound,
                                        Known, own))
      post(i, message.From, now, *loan);
  }

  Scenario Settings;
  std::mt19937_64 Random;
  direct::BackendServer Server;
  QuotaBound Bound;
  direct::Catalog Known;
  std::vector<Entry> Entries;
  size_t Busy = 0;
  /// 0: most at the busy entry; 1: none, so that loans are used long after they
  /// were granted; 2: all entries get more than their share.
  int DemandKind = 0;
  double BusyFactor = 1.5;
  TimePoint DemandUntil = Begin;
  std::vector<TimePoint> Sent; ///< Ordered.
};

/// Guards against a request of the quota that two entries use within a window.
RC_GTEST_PROP(QuotaLoansModel, HoldsTheBoundInEveryWindow, ()) {
  Scenario scenario;
  scenario.Entries = *rc::gen::inRange<size_t>(2, 41);
  scenario.Requests = *rc::gen::inRange<uint32_t>(1, 300);
  scenario.Seed = *rc::gen::arbitrary<uint64_t>();
  scenario.FaultsPerSecond = *rc::gen::element(0.0, 0.5, 2.0);
  Outcome out = Simulation(scenario).run();
  RC_ASSERT(out.MaxInWindow <= scenario.Requests);
}

/// Shows that the simulation detects a violation: entries that restart send
/// their share at once, although their predecessors sent or lent it.
TEST(QuotaLoansModel, BreaksTheBoundWithoutTheWaitAfterAStart) {
  size_t broken = 0;
  for (uint64_t seed = 0; seed < 20; ++seed) {
    Scenario scenario{4, 100, seed, 2, true, true};
    broken += Simulation(scenario).run().MaxInWindow > scenario.Requests;
  }
  EXPECT_GE(broken, 15);
}

/// The bound must not be held by lending hardly anything.
TEST(QuotaLoansModel, ServesMoreOfTheDemandAtOneEntry) {
  for (size_t entries : {2U, 5U, 20U, 40U}) {
    Scenario scenario{entries, 240, entries, 0};
    scenario.IsDemandFixed = true;
    Outcome with = Simulation(scenario).run();
    scenario.HasLoans = false;
    Outcome without = Simulation(scenario).run();
    EXPECT_GT(with.Used, 0) << entries;
    EXPECT_GE(static_cast<double>(with.Total),
              1.15 * static_cast<double>(without.Total))
        << entries << " entries: " << with.Total << " of " << without.Total;
  }
}

} // namespace
} // namespace daisytack::balancing
