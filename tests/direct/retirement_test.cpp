/// Guards against servers fetching prompt parts from a context store after
/// another entry had them freed. Agreements to retire context were kept only in
/// processes: a restarted entry had agreed to nothing and named parts that were
/// freed during the fetch.
#include "direct/retirement_world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace daisytack::direct::test {
namespace {

using namespace std::chrono_literals;

std::function<uint64_t()> randomFrom(uint64_t seed) {
  return [engine = std::mt19937_64(seed)]() mutable { return engine(); };
}

std::string firstViolation(const std::vector<std::string> &violations) {
  return violations.empty() ? "" : violations.front();
}

/// Entries restart repeatedly while servers load new weights.
TEST(RetirementAgreement, HoldsWhileEntriesRestartRepeatedly) {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    RetirementWorld world(4, randomFrom(seed));
    world.advance(20s);
    world.raiseDesiredVersion();
    for (int i = 0; i < 12; ++i) {
      world.advance(900ms);
      if (i == 6)
        world.killHolder();
      else
        world.killFollower(500ms);
    }
    world.advance(30s);
    EXPECT_EQ(firstViolation(world.violations()), "") << "seed " << seed;
    EXPECT_GT(world.freedParts(), 0) << "seed " << seed;
  }
}

/// A third of the entries is cut off from the service for twelve seconds, four
/// times the duration of their leases, and gets records from other entries. If
/// they named no sources, every shared part of their callers' prompts would be
/// recomputed for nine of the twelve seconds.
TEST(RetirementAgreement, AnEntryThatIsCutOffContinuesToNameSources) {
  RetirementWorld world(6, randomFrom(7));
  world.advance(20s);
  for (size_t instance : {1, 3})
    world.cutFromService(instance, true);
  world.advance(4s); // Their leases have expired.
  size_t before = world.unannouncedFetches();
  world.advance(8s);
  EXPECT_GT(world.unannouncedFetches(), before);
  for (size_t instance : {1, 3})
    world.cutFromService(instance, false);
  world.advance(10s);
  EXPECT_EQ(firstViolation(world.violations()), "");
}

/// An entry whose announcement has been absent for longer than
/// MaxSourceStaleness names no sources, even if other entries keep its records
/// up to date.
TEST(RetirementAgreement, AnEntryThatIsUnannouncedForLongNamesNoSources) {
  RetirementWorld world(6, randomFrom(8));
  world.advance(20s);
  world.cutFromService(1, true);
  world.advance(MaxSourceStaleness + 4s);
  size_t before = world.unannouncedFetches();
  world.advance(10s);
  EXPECT_EQ(world.unannouncedFetches(), before);
}

/// Applies a random fault.
void disturb(RetirementWorld &world, size_t entries) {
  auto entry = *rc::gen::inRange<size_t>(0, entries);
  bool isOn = *rc::gen::weightedElement<bool>({{2, true}, {1, false}});
  Duration time = 100ms * *rc::gen::inRange(1, 80);
  switch (*rc::gen::inRange(0, 18)) {
  case 0:
  case 1:
    return world.kill(entry, 500ms, false);
  case 2:
    return world.kill(entry, time, true);
  case 3:
    return world.killHolder();
  case 4:
  case 5:
    return world.freeze(entry, time);
  case 6:
  case 7:
  case 8:
    return world.cutFromService(entry, isOn);
  case 9:
  case 10:
    return world.cutFromPeers(entry, isOn);
  case 11:
  case 12:
    return world.refuseWrites(entry, isOn);
  case 13:
    return world.crashServer(entry, time);
  case 14:
    return world.setServiceDelay(10ms * *rc::gen::inRange(1, 80));
  case 15:
    return world.loseHistory();
  case 16:
    return world.setPeerDelay(10ms * *rc::gen::inRange(1, 60));
  default:
    return world.killFollower(500ms);
  }
}

RC_GTEST_PROP(RetirementAgreement, NeverFreesWhatAServerMayRead, ()) {
  constexpr size_t Entries = 4;
  RetirementWorld world(Entries, randomFrom(*rc::gen::arbitrary<uint64_t>()));
  world.setUpdateInterval(100ms * *rc::gen::inRange(1, 200));
  world.advance(100ms * *rc::gen::inRange(1, 250));
  auto n = *rc::gen::inRange(1, 30);
  auto named = *rc::gen::inRange(0, n);
  for (int i = 0; i < n; ++i) {
    if (i == named)
      world.raiseDesiredVersion();
    disturb(world, Entries);
    world.advance(100ms * *rc::gen::inRange(0, 40));
  }
  world.raiseDesiredVersion();
  world.advance(25s);
  RC_ASSERT(firstViolation(world.violations()) == "");
}

/// The same while the key-value service is restored from older copies, which
/// reverts the record of retired context, registrations, announcements and the
/// order lease, and reissues revisions.
RC_GTEST_PROP(RetirementAgreement, NeverFreesWhatAServerMayReadAfterRestores,
              ()) {
  constexpr size_t Entries = 4;
  RetirementWorld world(Entries, randomFrom(*rc::gen::arbitrary<uint64_t>()));
  world.setUpdateInterval(100ms * *rc::gen::inRange(1, 200));
  world.advance(100ms * *rc::gen::inRange(1, 250));
  auto n = *rc::gen::inRange(1, 30);
  auto named = *rc::gen::inRange(0, n);
  for (int i = 0; i < n; ++i) {
    if (i == named)
      world.raiseDesiredVersion();
    if (*rc::gen::weightedElement<bool>({{1, true}, {3, false}}))
      world.restoreService(100ms * *rc::gen::inRange(1, 100));
    else
      disturb(world, Entries);
    world.advance(100ms * *rc::gen::inRange(0, 40));
  }
  world.raiseDesiredVersion();
  world.advance(25s);
  RC_ASSERT(firstViolation(world.violations()) == "");
}

/// Context of replaced weights is freed also after a restore.
TEST(RetirementAgreement, FreesAfterTheServiceWasRestored) {
  for (uint64_t seed = 0; seed < 10; ++seed) {
    RetirementWorld world(4, randomFrom(seed));
    world.advance(20s);
    world.restoreService(3s);
    world.advance(5s);
    world.raiseDesiredVersion();
    world.advance(60s);
    EXPECT_EQ(firstViolation(world.violations()), "") << "seed " << seed;
    EXPECT_GT(world.freedParts(), 0) << "seed " << seed;
    EXPECT_EQ(world.upToDateEntries(), 4) << "seed " << seed;
  }
}

/// Guards against a watch in every entry, which costs the service one call per
/// entry and change.
TEST(Followers, AFewEntriesReadTheServiceForAll) {
  constexpr size_t Entries = 16;
  RetirementWorld world(Entries, randomFrom(3));
  world.advance(10s);
  world.takeCallerCount();
  world.raiseDesiredVersion();
  world.advance(20s);
  EXPECT_LE(world.takeCallerCount(), 2) << "a reader, and the holder";
  EXPECT_EQ(world.upToDateEntries(), Entries);
}

/// Readers are killed one after the other, and no entry lags behind by more
/// than the limit for a new configuration.
TEST(Followers, LearnOfAChangeInTimeAlthoughReadersAreKilled) {
  constexpr size_t Entries = 8;
  constexpr Duration Bound = 4s;
  for (uint64_t seed = 0; seed < 20; ++seed) {
    RetirementWorld world(Entries, randomFrom(seed));
    world.advance(10s);
    for (size_t i = 0; i < Entries; ++i) {
      world.kill(i, 60s, false);
      world.raiseDesiredVersion();
      for (Duration past{0}; past < Bound + 1s; past += 100ms) {
        world.advance(100ms);
        EXPECT_LE(world.longestLag(), Bound) << "seed " << seed;
      }
    }
  }
}

/// Whether an entry may permanently reject requests, name sources or send
/// orders depends on its claim to know everything that the service held up to a
/// revision.
RC_GTEST_PROP(Followers, NeverClaimToKnowMoreThanTheyDo, ()) {
  constexpr size_t Entries = 6;
  RetirementWorld world(Entries, randomFrom(*rc::gen::arbitrary<uint64_t>()));
  world.advance(100ms * *rc::gen::inRange(1, 100));
  auto n = *rc::gen::inRange(1, 30);
  for (int i = 0; i < n; ++i) {
    disturb(world, Entries);
    world.advance(100ms * *rc::gen::inRange(0, 40));
    RC_ASSERT(world.wrongClaim() == "");
  }
  world.raiseDesiredVersion();
  world.heal();
  world.advance(15s);
  RC_ASSERT(world.wrongClaim() == "");
  RC_ASSERT(world.longestLag() <= 4s);
}

} // namespace
} // namespace daisytack::direct::test
