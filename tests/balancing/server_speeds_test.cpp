/// Speeds of servers, learned by one entry and by many without network.
#include "balancing/server_speeds.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>

namespace daisytack::balancing {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};
constexpr double TokensPerMs = 55;
constexpr uint64_t Tokens = 6000;
constexpr Duration Interval = 100ms; ///< Of ticks and reports.

/// Entries that send prompts to servers at random, and exchange reports. Each
/// time to first byte varies by 10%.
class Model {
public:
  Model(size_t entries, std::vector<double> speeds, double lostReports = 0,
        uint32_t seed = 1)
      : Speeds(std::move(speeds)), LostReports(lostReports), Random(seed) {
    for (size_t i = 0; i < entries; ++i)
      Entries.push_back(std::make_unique<ServerSpeeds>(ServerSpeedSettings{}));
    Slowdowns.assign(Speeds.size(), 1);
    Answers.assign(Speeds.size(), 0);
    Starts.assign(Speeds.size(), 1);
    setServers();
  }

  uint64_t key(size_t server) const {
    return direct::ServerRef("s" + std::to_string(server), Starts[server])
        .key();
  }

  void setServers() {
    std::vector<SpeedTarget> targets;
    for (size_t i = 0; i < Speeds.size(); ++i)
      targets.push_back({key(i), "engines"});
    for (auto &it : Entries)
      it->setServers(targets);
  }

  /// One answer of the server, to a random entry.
  void answer(size_t server) {
    std::uniform_real_distribution<double> noise(0.9, 1.1);
    double ms = 50 + Tokens / TokensPerMs / Speeds[server] * Slowdowns[server] *
                         noise(Random);
    Entries[Random() % Entries.size()]->observe(
        key(server), Tokens, 0, TokensPerMs,
        Duration(static_cast<int64_t>(ms * 1000)), Now);
    ++Answers[server];
  }

  /// An interval with this number of answers of each server, and the reports
  /// and ticks at its end.
  void run(uint32_t answers) {
    for (uint32_t i = 0; i < answers; ++i) {
      Now += Interval / answers;
      for (size_t server = 0; server < Speeds.size(); ++server)
        answer(server);
    }
    tick();
  }

  void tick() {
    for (size_t from = 0; from < Entries.size(); ++from) {
      std::vector<LoadShare> shares;
      for (size_t server = 0; server < Speeds.size(); ++server)
        shares.push_back({key(server), 1, 0, 0});
      Entries[from]->addTo(shares);
      for (size_t to = 0; to < Entries.size(); ++to)
        if (to != from &&
            std::uniform_real_distribution<double>(0, 1)(Random) >= LostReports)
          Entries[to]->onPeerReport(shares, Now);
    }
    for (auto &it : Entries)
      for (const SpeedChange &change : it->onTimer(Now))
        Changes.push_back(change);
  }

  uint32_t pace(size_t server, size_t entry = 0) const {
    return Entries[entry]->pace(key(server), Now);
  }

  std::vector<double> Speeds;
  std::vector<double> Slowdowns;
  std::vector<uint32_t> Answers;
  std::vector<uint64_t> Starts;
  std::vector<std::unique_ptr<ServerSpeeds>> Entries;
  std::vector<SpeedChange> Changes;
  TimePoint Now = Start;

private:
  double LostReports;
  std::mt19937 Random;
};

void expectPaces(const Model &model) {
  for (size_t entry = 0; entry < model.Entries.size(); ++entry)
    for (size_t server = 0; server < model.Speeds.size(); ++server) {
      double expected = 100 / model.Speeds[server];
      EXPECT_NEAR(model.pace(server, entry), expected, expected / 10)
          << "entry " << entry << ", server " << server;
    }
}

/// Guards against estimates that need more answers than one entry of many
/// gets, and against counting an answer twice.
TEST(ServerSpeeds, LearnsFromTwentyAnswersAtFortyEntries) {
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    Model model(40, {1, 1, 1.3}, 0, seed);
    for (int i = 0; i < 10; ++i)
      model.run(2);
    ASSERT_EQ(model.Answers[0], 20U);
    expectPaces(model);
  }
}

/// Guards against estimates that depend on every report.
TEST(ServerSpeeds, LearnsWhileAThirdOfTheReportsIsLost) {
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    Model model(40, {1, 1, 1.3}, 1.0 / 3, seed);
    for (int i = 0; i < 10; ++i)
      model.run(2);
    expectPaces(model);
  }
}

/// Guards against a choice that changes with noise: equal servers have exactly
/// the usual pace.
TEST(ServerSpeeds, EqualServersHaveTheUsualPace) {
  Model model(5, {1, 1, 1, 1});
  for (int i = 0; i < 100; ++i) {
    model.run(2);
    for (size_t entry = 0; entry < 5; ++entry)
      for (size_t server = 0; server < 4; ++server)
        ASSERT_EQ(model.pace(server, entry), 100U) << "interval " << i;
  }
}

/// Guards against sending new work to a server throughout its slowdown, and
/// against avoiding it when it is over.
TEST(ServerSpeeds, FollowsAShortSlowdown) {
  for (double lost : {0.0, 1.0 / 3}) {
    Model model(40, {1, 1, 1.3, 1, 1.3, 1}, lost);
    for (int i = 0; i < 20; ++i)
      model.run(2);
    model.Changes.clear();
    model.Slowdowns[0] = 2.5;
    for (int i = 0; i < 5; ++i)
      model.run(2);
    for (size_t entry = 0; entry < 40; ++entry) {
      EXPECT_GT(model.pace(0, entry), 150U);
      EXPECT_EQ(model.pace(1, entry), 100U);
    }
    EXPECT_EQ(model.Entries[0]->summary(model.Now).SlowServers, 1U);
    model.run(2);
    model.Slowdowns[0] = 1;
    // No new work is sent there, so that nothing but time shows the end.
    Model idle = std::move(model);
    for (int i = 0; i < 6; ++i) {
      idle.Now += Interval;
      for (size_t server = 1; server < 6; ++server)
        idle.answer(server);
      idle.tick();
    }
    for (size_t entry = 0; entry < 40; ++entry)
      EXPECT_EQ(idle.pace(0, entry), 100U);
    // Each entry reports the beginning and the end once.
    EXPECT_EQ(idle.Changes.size(), 80U);
    EXPECT_EQ(std::count_if(idle.Changes.begin(), idle.Changes.end(),
                            [](const auto &it) { return it.IsSlow; }),
              40);
  }
}

/// Guards against a slowdown that outlasts its end where answers show the end.
TEST(ServerSpeeds, NewAnswersEndASlowdown) {
  Model model(40, {1, 1, 1.3, 1});
  for (int i = 0; i < 20; ++i)
    model.run(2);
  model.Slowdowns[0] = 2.5;
  for (int i = 0; i < 6; ++i)
    model.run(2);
  EXPECT_GT(model.pace(0), 150U);
  model.Slowdowns[0] = 1;
  for (int i = 0; i < 3; ++i)
    model.run(2);
  EXPECT_EQ(model.pace(0), 100U);
}

/// Guards against carrying the pace of a start over to the next one, and
/// against reports on the earlier start.
TEST(ServerSpeeds, ARestartBeginsWithTheUsualPace) {
  Model model(40, {1, 1, 0.5});
  for (int i = 0; i < 20; ++i)
    model.run(2);
  EXPECT_NEAR(model.pace(2), 200, 20);
  LoadShare late{model.key(2), 1, 0, 0};
  late.Pace = 100;
  late.PaceSamples = 50;
  model.Starts[2] = 2;
  model.Speeds[2] = 1;
  model.setServers();
  EXPECT_EQ(model.pace(2), 100U);
  model.Entries[0]->onPeerReport({late}, model.Now);
  for (int i = 0; i < 20; ++i) {
    model.run(2);
    EXPECT_EQ(model.pace(2), 100U);
  }
}

/// Guards against taking a queue or a shortage at all servers for a property of
/// single ones.
TEST(ServerSpeeds, AShortageOfAllServersChangesNoPace) {
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    Model model(40, {1, 1, 1.3}, 1.0 / 3, seed);
    for (int i = 0; i < 30; ++i)
      model.run(2);
    for (double slowdown : {2.5, 1.0, 4.0, 1.0}) {
      std::fill(model.Slowdowns.begin(), model.Slowdowns.end(), slowdown);
      for (int i = 0; i < 20; ++i) {
        model.run(2);
        expectPaces(model);
      }
    }
  }
}

/// Guards against effects of the part when it is switched off.
TEST(ServerSpeeds, SwitchedOffEveryPaceIsUsual) {
  ServerSpeedSettings off;
  off.IsEnabled = false;
  ServerSpeeds speeds(off);
  speeds.setServers({{1, "engines"}, {2, "engines"}});
  for (int i = 0; i < 50; ++i)
    speeds.observe(1, Tokens, 0, TokensPerMs, 900ms, Start);
  std::vector<LoadShare> shares{{1, 1, 0, 0}};
  speeds.addTo(shares);
  EXPECT_EQ(shares[0].PaceSamples, 0);
  EXPECT_TRUE(speeds.onTimer(Start).empty());
  EXPECT_EQ(speeds.pace(1, Start), 100U);
  EXPECT_EQ(speeds.summary(Start), SpeedSummary{});
}

/// Guards against damaged or crafted reports: no growth by unknown servers, and
/// no pace out of bounds.
TEST(ServerSpeeds, ReportsStayWithinBounds) {
  ServerSpeeds speeds({});
  speeds.setServers({{1, "engines"}, {2, "engines"}, {3, "engines"}});
  LoadShare slow{1, 1, 0, 0};
  slow.Pace = 255;
  slow.PaceSamples = 255;
  LoadShare fast{2, 1, 0, 0};
  fast.Pace = 1;
  fast.PaceSamples = 255;
  LoadShare usual{3, 1, 0, 0};
  usual.Pace = 50;
  usual.PaceSamples = 255;
  LoadShare unknown = slow;
  unknown.ServerKey = 4;
  for (int i = 0; i < 100; ++i) {
    speeds.onPeerReport({slow, fast, usual, unknown}, Start);
    speeds.onTimer(Start);
  }
  EXPECT_EQ(speeds.pace(1, Start), 400U);
  EXPECT_EQ(speeds.pace(2, Start), 50U);
  EXPECT_EQ(speeds.pace(3, Start), 100U);
  EXPECT_EQ(speeds.pace(4, Start), 100U);
}

} // namespace
} // namespace daisytack::balancing
