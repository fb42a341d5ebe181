/// Placement among servers of different speeds, and among equal ones.
#include "direct/placement_fixture.h"

#include <map>

namespace daisytack::direct {
namespace {

class PlacementPace : public PlacementTest {
protected:
  PlacementPace() {
    std::vector<balancing::SpeedTarget> targets;
    for (BackendServer &it : Catalog.Servers["engines"]) {
      it.FailureDomain = "d1";
      targets.push_back({it.ref().key(), "engines"});
    }
    Speeds.setServers(targets);
  }

  /// Ten answers of each engine, of which one is slower by the factor.
  void learn(const std::string &slow, double factor) {
    for (int i = 0; i < 10; ++i) {
      for (const BackendServer &it : Catalog.Servers["engines"])
        Speeds.observe(it.ref().key(), 5600, 0, 112,
                       Duration(static_cast<int64_t>(
                           50'000 + 50'000 * (it.Id == slow ? factor : 1.0))),
                       Start);
      Speeds.onTimer(Start);
    }
  }

  AttemptOrder chooseAt(Placement &placement, const ForwardRequest &request) {
    Error reason;
    auto out = placement.choose(request, Catalog, {}, ClockMs, Start, reason);
    return out ? out->Order : AttemptOrder{};
  }

  balancing::ServerSpeeds Speeds{{}};
  Placement Paced{
      unboundedQueues(),
      {"d1"},
      {Loads, Links, Ejected, Rates, Kept, ColdServers, Limits, &Speeds}};
};

/// Guards against sending prompts to a server that takes 2.5 times as long.
TEST_F(PlacementPace, AvoidsASlowHomeServer) {
  std::string home = chooseAt(Paced, prompt("s")).ServerId;
  Loads.onSent(home, {2000, true}, Start);
  EXPECT_EQ(chooseAt(Paced, prompt("s")).ServerId, home);
  learn(home, 2.5);
  EXPECT_NE(chooseAt(Paced, prompt("s")).ServerId, home);
}

/// Guards against other decisions while all servers are equal.
TEST_F(PlacementPace, EqualServersHaveThePredictionsOfUnpacedOnes) {
  learn("", 1);
  for (int i = 0; i < 20; ++i) {
    ForwardRequest request = prompt(std::to_string(i));
    AttemptOrder paced = chooseAt(Paced, request);
    AttemptOrder unpaced = chooseAt(Place, request);
    EXPECT_EQ(paced.ServerId, unpaced.ServerId);
    EXPECT_EQ(paced.PredictedFirstTokenMs, unpaced.PredictedFirstTokenMs);
  }
}

/// Guards against a predicted queue that ignores the server's pace.
TEST_F(PlacementPace, PredictsByThePaceOfTheServer) {
  AttemptOrder usual = chooseAt(Paced, prompt("s"));
  learn(usual.ServerId, 1.2);
  AttemptOrder slower = chooseAt(Paced, prompt("s"));
  ASSERT_EQ(slower.ServerId, usual.ServerId);
  EXPECT_NEAR(slower.PredictedFirstTokenMs - 50,
              1.2 * (usual.PredictedFirstTokenMs - 50), 1);
}

/// Guards against entries that all choose the same server by the same loads.
TEST_F(PlacementPace, TheRequestIdDecidesAmongNearlyEqualServers) {
  std::string home = chooseAt(Paced, prompt("s")).ServerId;
  Loads.onSent(home, {60'000, true}, Start);
  std::map<std::string, int> counts;
  for (int i = 0; i < 200; ++i) {
    ForwardRequest request = prompt("s");
    request.Head.RequestId = std::to_string(i);
    ++counts[chooseAt(Paced, request).ServerId];
  }
  ASSERT_EQ(counts.size(), 2U);
  for (const auto &[id, count] : counts)
    EXPECT_GT(count, 60) << id;
}

} // namespace
} // namespace daisytack::direct
