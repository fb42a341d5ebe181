#include "decide/limits.h"

#include "decide/fixtures.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>

namespace daisytack {

namespace {

Organisation makeOrganisation(double rate, uint32_t burst,
                              uint32_t concurrent = 1'000'000) {
  Organisation out;
  out.Name = "o";
  out.RequestsPerSecond = rate;
  out.Burst = burst;
  out.MaxConcurrent = concurrent;
  return out;
}

/// Several entries and the owner of the pool. Grants arrive immediately, or
/// never if IsPartitioned is set.
struct Fleet {
  LimitSettings Settings;
  std::deque<OrganisationLimits> Entries;
  QuotaOwner Owner;
  bool IsPartitioned = false;

  Fleet(size_t entries, LimitSettings settings)
      : Settings(settings), Owner(settings) {
    for (size_t i = 0; i < entries; ++i)
      Entries.emplace_back(i + 1, settings);
  }
  bool admit(size_t entry, const Organisation &organisation, TimePoint now) {
    LimitDecision out = Entries[entry].admit(organisation, Entries.size(), now);
    if (out.OwnerRequest && !IsPartitioned)
      Entries[entry].apply(Owner.grant(organisation, *out.OwnerRequest, now),
                           now);
    if (out.Verdict == LimitVerdict::AwaitGrant)
      out = Entries[entry].admit(organisation, Entries.size(), now);
    return out.Verdict == LimitVerdict::Admitted;
  }
};

} // namespace

RC_GTEST_PROP(Limits, NeverAdmitsMoreThanTheBoundInAnyWindow, ()) {
  auto entries = *rc::gen::inRange<size_t>(1, 12);
  Organisation organisation =
      makeOrganisation(*rc::gen::inRange(1, 200), *rc::gen::inRange(1, 200));
  Fleet fleet(entries, {});
  fleet.IsPartitioned = *rc::gen::arbitrary<bool>();
  std::vector<TimePoint> admitted;
  TimePoint now = Epoch;
  auto busyEntry = *rc::gen::inRange<size_t>(0, entries);
  for (int i = 0; i < 2'000; ++i) {
    size_t entry = i % 3 == 0 ? i % entries : busyEntry;
    if (fleet.admit(entry, organisation, now))
      admitted.push_back(now);
    fleet.Entries[entry].releaseSlot(hashName(organisation.Name));
    if (i % 16 == 0)
      now += millis(*rc::gen::inRange(0, 500));
  }
  for (Duration window :
       {millis(0), millis(100), millis(1'000), millis(5'000)}) {
    double bound =
        admissionBound(organisation, entries, window, fleet.Settings);
    auto from = admitted.begin();
    for (auto to = admitted.begin(); to != admitted.end(); ++to) {
      while (*to - *from > window)
        ++from;
      RC_ASSERT(static_cast<double>(to - from + 1) <= bound + 1e-6);
    }
  }
}

TEST(Limits, ABusyEntryGetsThePoolAndAPartitionedOneItsStaticShare) {
  Organisation organisation = makeOrganisation(300, 30);
  for (bool isPartitioned : {false, true}) {
    Fleet fleet(3, {});
    fleet.IsPartitioned = isPartitioned;
    int admitted = 0;
    for (int i = 0; i < 10'000; ++i) {
      admitted += fleet.admit(0, organisation, at(i)) ? 1 : 0;
      fleet.Entries[0].releaseSlot(hashName(organisation.Name));
    }
    // In these ten seconds, the static share of one entry is 50 requests/s and
    // the rate of the pool 150 requests/s.
    if (isPartitioned) {
      EXPECT_NEAR(admitted, 505, 5);
    } else {
      EXPECT_GT(admitted, 1'700);
      EXPECT_LE(admitted, 2'050);
    }
  }
}

TEST(Limits, ConcurrencyIsSharedAndReleased) {
  Organisation organisation = makeOrganisation(1e6, 1'000'000, 12);
  Fleet fleet(3, {});
  int admitted = 0;
  for (int i = 0; i < 200; ++i)
    admitted += fleet.admit(0, organisation, at(i * 250)) ? 1 : 0;
  EXPECT_EQ(admitted, 2 + 6);
  EXPECT_FALSE(fleet.admit(0, organisation, at(60'000)));
  fleet.Entries[0].releaseSlot(hashName(organisation.Name));
  EXPECT_TRUE(fleet.admit(0, organisation, at(60'300)));
}

TEST(Limits, ANewOwnerRenewsSlotsInUseBeforeItGrantsOthers) {
  Organisation organisation = makeOrganisation(100, 100, 20);
  QuotaOwner owner({});
  QuotaRequest held{hashName("o"), 1, 1, 0, 0, 0, 8, 6};
  QuotaRequest other{hashName("o"), 2, 1, 0, 0, 0, 8, 0};
  EXPECT_EQ(owner.grant(organisation, other, Epoch).Slots, 0U);
  EXPECT_EQ(owner.grant(organisation, held, at(100)).Slots, 6U);
  EXPECT_EQ(owner.grant(organisation, other, at(2'000)).Slots, 4U);
}

TEST(Limits, GrantsApplyOnceAndExpireFromTheRequestOn) {
  Organisation organisation = makeOrganisation(1, 2);
  LimitSettings settings;
  settings.MinDepth = 1;
  OrganisationLimits entry(1, settings);
  ASSERT_EQ(entry.admit(organisation, 2, Epoch).Verdict,
            LimitVerdict::Admitted);
  LimitDecision exhausted = entry.admit(organisation, 2, Epoch);
  ASSERT_EQ(exhausted.Verdict, LimitVerdict::AwaitGrant);
  ASSERT_TRUE(exhausted.OwnerRequest);
  QuotaGrant grant{exhausted.OwnerRequest->Organisation,
                   exhausted.OwnerRequest->Sequence,
                   1,
                   0,
                   0,
                   2'000'000};
  entry.apply(grant, Epoch);
  entry.apply(grant, Epoch);
  EXPECT_EQ(entry.admit(organisation, 2, Epoch).Verdict,
            LimitVerdict::Admitted);
  EXPECT_NE(entry.admit(organisation, 2, Epoch).Verdict,
            LimitVerdict::Admitted);
  LimitDecision again = entry.admit(organisation, 2, at(300));
  ASSERT_TRUE(again.OwnerRequest);
  entry.apply({again.OwnerRequest->Organisation, again.OwnerRequest->Sequence,
               1, 0, 0, 2'000'000},
              at(2'400));
  EXPECT_NE(entry.admit(organisation, 2, at(2'400)).Verdict,
            LimitVerdict::Admitted);
}

TEST(Limits, RemovingAnEntryMovesOnlyItsOrganisations) {
  std::vector<Member> entries(10);
  for (size_t i = 0; i < entries.size(); ++i)
    entries[i].Name = "entry" + std::to_string(i);
  EXPECT_EQ(quotaOwner(1, {}), nullptr);
  std::vector<Member> fewer(entries.begin() + 1, entries.end());
  for (uint64_t i = 0; i < 500; ++i) {
    const Member *before = quotaOwner(mix64(i), entries);
    if (before->Name != "entry0") {
      EXPECT_EQ(quotaOwner(mix64(i), fewer)->Name, before->Name);
    }
  }
}

} // namespace daisytack
