/// Times of return of refused callers, their tickets, and herds of callers that
/// return together or ignore the time.
#include "admission/return_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace daisytack::admission {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};

RefusedCaller caller(double position, Duration shortage = 0ms) {
  return {1000ms, 15s, 0ms, shortage, position};
}

TEST(ReturnDelay, FollowsTargetAndShortage) {
  EXPECT_EQ(returnDelay({}, caller(0)), 300ms);
  EXPECT_EQ(returnDelay({}, caller(0.5)), 450ms);
  // Within the target while an answer within it is possible.
  EXPECT_LE(returnDelay({}, caller(0.999, 10s)), 600ms);
  RefusedCaller queued = caller(0.5, 10s);
  queued.Earliest = 900ms;
  EXPECT_EQ(returnDelay({}, queued), 1400ms);
}

/// Callers don't wait longer than a third of the time that they have left.
TEST(ReturnDelay, EndsBeforeTheCallerGivesUp) {
  RefusedCaller impatient = caller(1, 10s);
  impatient.TimeLeft = 1200ms;
  EXPECT_EQ(returnDelay({}, impatient), 400ms);
  impatient.Earliest = 2s;
  EXPECT_EQ(returnDelay({}, impatient), 400ms);
  impatient.TimeLeft = 0ms;
  EXPECT_EQ(returnDelay({}, impatient), 300ms);
}

TEST(ReturnDelay, HasNoSpreadIfSwitchedOff) {
  ReturnSettings settings;
  settings.Spread = 0;
  EXPECT_EQ(returnDelay(settings, caller(0.9, 2s)), 300ms);
}

/// Guards against callers that were refused in one moment and return in one
/// moment: no tenth of the range gets more than twice its part.
TEST(ReturnDelay, SpreadsCallersThatWereRefusedTogether) {
  std::mt19937 random(1);
  std::uniform_real_distribution<double> position;
  std::array<int, 10> counts{};
  for (int i = 0; i < 1000; ++i) {
    double ms = static_cast<double>(
                    returnDelay({}, caller(position(random), 2s)).count()) /
                1000;
    ++counts.at(static_cast<size_t>((ms - 300) / 30.001));
  }
  EXPECT_LE(*std::max_element(counts.begin(), counts.end()), 200);
}

TEST(ReturnSchedule, HonoursATicketOnceWhenItIsDue) {
  ReturnSchedule schedule({});
  EXPECT_TRUE(schedule.isEmpty());
  schedule.onRefused("engines", 7, 1000, 300ms, Start);
  EXPECT_FALSE(schedule.takeReturn("engines", 8, Start + 300ms));
  EXPECT_FALSE(schedule.takeReturn("others", 7, Start + 300ms));
  EXPECT_EQ(schedule.dueTokens("engines", Start + 200ms), 0U);
  EXPECT_EQ(schedule.dueTokens("engines", Start + 300ms), 1000U);
  EXPECT_TRUE(schedule.takeReturn("engines", 7, Start + 300ms));
  EXPECT_FALSE(schedule.takeReturn("engines", 7, Start + 301ms));
  EXPECT_EQ(schedule.dueTokens("engines", Start + 320ms), 0U);
  schedule.onTimer(Start + 800ms);
  EXPECT_TRUE(schedule.isEmpty());
  EXPECT_EQ(schedule.counts(), (ReturnCounts{1, 1, 0, 0}));
}

/// Guards against capacity that is kept for callers who never return.
TEST(ReturnSchedule, DropsATicketThatIsNotUsed) {
  ReturnSchedule schedule({});
  schedule.onRefused("engines", 7, 1000, 300ms, Start);
  EXPECT_EQ(schedule.dueTokens("engines", Start + 449ms), 1000U);
  EXPECT_EQ(schedule.dueTokens("engines", Start + 470ms), 0U);
  schedule.onTimer(Start + 900ms);
  EXPECT_EQ(schedule.dueTokens("engines", Start + 900ms), 0U);
  EXPECT_TRUE(schedule.isEmpty());
  EXPECT_FALSE(schedule.takeReturn("engines", 7, Start + 900ms));
  EXPECT_EQ(schedule.counts(), (ReturnCounts{1, 0, 0, 1}));
}

/// Guards against callers that gain precedence by returning too soon.
TEST(ReturnSchedule, DropsTheTicketOfAnEarlyReturn) {
  ReturnSchedule schedule({});
  schedule.onRefused("engines", 7, 1000, 300ms, Start);
  EXPECT_FALSE(schedule.takeReturn("engines", 7, Start + 100ms));
  EXPECT_FALSE(schedule.takeReturn("engines", 7, Start + 300ms));
  EXPECT_EQ(schedule.counts(), (ReturnCounts{1, 0, 1, 0}));
}

/// A caller returns to another entry, which learned of its ticket.
TEST(ReturnSchedule, PassesTicketsOnToOtherEntries) {
  ReturnSchedule first({});
  ReturnSchedule second({});
  first.onRefused("engines", 7, 1000, 300ms, Start);
  ReturnTickets report = first.takeReport(2, Start + 100ms);
  ASSERT_EQ(report.Tickets.size(), 1U);
  EXPECT_EQ(report.Tickets[0].DueMs, 200);
  EXPECT_EQ(first.takeReport(2, Start + 200ms).Tickets.size(), 1U);
  EXPECT_TRUE(first.takeReport(2, Start + 300ms).Tickets.empty());
  second.onPeerTickets(report, Start + 101ms);
  EXPECT_TRUE(second.takeReport(2, Start + 200ms).Tickets.empty());
  EXPECT_TRUE(second.takeReturn("engines", 7, Start + 301ms));
  // A repeated message does not bring a used ticket back.
  second.onPeerTickets(report, Start + 302ms);
  EXPECT_FALSE(second.takeReturn("engines", 7, Start + 303ms));
}

TEST(ReturnSchedule, BoundsTheNumberOfTickets) {
  ReturnSettings settings;
  settings.MaxTickets = 10;
  settings.MaxReported = 4;
  ReturnSchedule schedule(settings);
  for (uint32_t i = 0; i < 20; ++i)
    schedule.onRefused("engines", i, 1000, 300ms, Start);
  EXPECT_EQ(schedule.dueTokens("engines", Start + 300ms), 10'000U);
  EXPECT_EQ(schedule.takeReport(1, Start).Tickets.size(), 4U);
}

/// Callers before a service with one queue, at several entries. Those who wait
/// return when they are told to; the others repeat at once, up to three times.
class Herd {
public:
  struct Result {
    size_t Callers = 0;
    size_t Served = 0;
    double share() const {
      return static_cast<double>(Served) / static_cast<double>(Callers);
    }
  };

  explicit Herd(size_t entries, ReturnSettings settings = {}) {
    for (size_t i = 0; i < entries; ++i)
      Entries.push_back(std::make_unique<ReturnSchedule>(settings));
  }

  /// Callers arrive at 1.6 times the capacity for two seconds, then at 0.9
  /// times. A third of them repeats at once.
  void run() {
    for (uint32_t i = 0; i < 1220; ++i) {
      auto at = i < 320 ? i * 6250us : 2s + (i - 320) * 11'111us;
      Arrivals.emplace(Start + at, Caller{i, i % 3 == 0, 3});
    }
    while (!Arrivals.empty()) {
      auto [at, caller] = *Arrivals.begin();
      Arrivals.erase(Arrivals.begin());
      advance(at);
      arrive(caller);
    }
  }

  Result Waiting;
  Result Repeating;
  Result Returns; ///< Of callers who wait, when they were told to.
  /// Most returns in a tenth of a second.
  size_t mostReturns() const {
    size_t out = 0;
    for (const auto &[tenth, n] : ReturnsByTenth)
      out = std::max(out, n);
    return out;
  }

private:
  struct Caller {
    uint32_t Id = 0;
    bool Repeats = false;
    int TriesLeft = 0;
  };
  static constexpr uint64_t Tokens = 10'000; ///< 10 ms of prefill.
  static constexpr double TokensPerMs = 1000;
  static constexpr double LimitMs = 300;

  void advance(TimePoint to) {
    QueueMs =
        std::max(0.0, QueueMs - static_cast<double>((to - Now).count()) / 1000);
    Now = to;
    while (NextReport <= Now) {
      NextReport += 100ms;
      for (auto &from : Entries) {
        ReturnTickets report = from->takeReport(1, Now);
        for (auto &entry : Entries)
          if (entry != from)
            entry->onPeerTickets(report, Now);
      }
    }
  }

  void arrive(const Caller &caller) {
    Result &result = caller.Repeats ? Repeating : Waiting;
    result.Callers += caller.TriesLeft == 3 ? 1 : 0;
    ReturnSchedule &entry = *Entries[Random() % Entries.size()];
    double limitMs = LimitMs;
    if (!entry.takeReturn("engines", caller.Id, Now))
      limitMs -= std::min(LimitMs / 4,
                          static_cast<double>(entry.dueTokens("engines", Now)) /
                              TokensPerMs);
    bool isReturn = !caller.Repeats && caller.TriesLeft < 3;
    Returns.Callers += isReturn ? 1 : 0;
    if (QueueMs <= limitMs) {
      QueueMs += static_cast<double>(Tokens) / TokensPerMs;
      ++result.Served;
      Returns.Served += isReturn ? 1 : 0;
      return;
    }
    auto earliest = Duration(static_cast<int64_t>((QueueMs - limitMs) * 1000));
    Duration delay =
        returnDelay({}, {500ms, 3s, earliest, Now - Start,
                         std::uniform_real_distribution<double>()(Random)});
    entry.onRefused("engines", caller.Id, Tokens, delay, Now);
    if (caller.TriesLeft == 0)
      return;
    Duration wait = caller.Repeats ? Duration(5ms) : delay;
    if (!caller.Repeats)
      ++ReturnsByTenth[(Now + wait - Start) / 100ms];
    Arrivals.emplace(Now + wait,
                     Caller{caller.Id, caller.Repeats, caller.TriesLeft - 1});
  }

  std::vector<std::unique_ptr<ReturnSchedule>> Entries;
  std::multimap<TimePoint, Caller> Arrivals;
  std::map<int64_t, size_t> ReturnsByTenth;
  std::mt19937 Random{1};
  TimePoint Now = Start;
  TimePoint NextReport = Start;
  double QueueMs = 0;
};

/// Guards against callers that are served more often because they ignore the
/// time that they are told.
TEST(ReturnSchedule, ServesCallersThatWaitAtLeastAsOften) {
  for (size_t entries : {1U, 4U, 20U}) {
    Herd herd(entries);
    herd.run();
    EXPECT_GE(herd.Waiting.share(), herd.Repeating.share()) << entries;
    EXPECT_GE(herd.Waiting.share(), 0.9) << entries;
    EXPECT_LE(herd.mostReturns(), 20U) << entries; // 10 are served in the time.
  }
}

/// Guards against tickets that are recognised but give no precedence.
TEST(ReturnSchedule, ServesReturnsMoreOftenThanWithoutTickets) {
  ReturnSettings withoutTickets;
  withoutTickets.UsesTickets = false;
  for (size_t entries : {1U, 4U, 20U}) {
    Herd herd(entries);
    Herd plain(entries, withoutTickets);
    herd.run();
    plain.run();
    EXPECT_GT(herd.Returns.share(), plain.Returns.share()) << entries;
  }
}

} // namespace
} // namespace daisytack::admission
