/// Tests of streams, servers of several software versions, and the lookup of
/// the version that began a stream.
#include "direct/flow_harness.h"
#include "direct/origin_lookup.h"
#include "direct/placement_fixture.h"

#include <gtest/gtest.h>

namespace daisytack::direct {
namespace {

using Source = OriginAnswer::Source;

Route resumable(uint32_t attempts = 3) {
  Route out = routeFor(RouteKind::Stream, attempts);
  out.IsResumable = true;
  return out;
}

/// Breaks the current attempt off after the event.
void breakOffAfter(FlowHarness &it, const std::string &event) {
  uint32_t attempt = it.Flow.attempts();
  it.Flow.onHead(attempt, headOf(200), FlowStart);
  it.Flow.onData(attempt, event, FlowStart);
  it.failAttempt(attempt);
}

/// Guards against a resumed stream that holds events of two software versions.
TEST(StreamVersion, StreamGoesOnAtAServerOfItsVersion) {
  FlowHarness it(resumable());
  it.Versions = {{"s2", "v2"}};
  it.Flow.start(FlowStart);
  breakOffAfter(it, "id: 1\n\n");
  ASSERT_EQ(it.SentOrders.size(), 2);
  EXPECT_EQ(it.SentOrders[1].ServerId, "s3");
}

/// Guards against a stream going on elsewhere when its version is gone.
TEST(StreamVersion, StreamIsAbortedWhenNoServerOfItsVersionIsLeft) {
  FlowHarness it(resumable(), 2);
  it.Versions = {{"s2", "v2"}};
  it.Flow.start(FlowStart);
  breakOffAfter(it, "id: 1\n\n");
  EXPECT_EQ(it.SentOrders.size(), 1);
  EXPECT_TRUE(it.hasLogged("break"));
}

/// Guards against binding a stream to the version of an attempt that failed
/// before its first event.
TEST(StreamVersion, FirstEventDecidesTheVersion) {
  FlowHarness it(resumable(), 4);
  it.Versions = {{"s2", "v2"}, {"s4", "v2"}};
  it.Flow.start(FlowStart);
  it.Flow.onHead(1, headOf(200), FlowStart);
  it.failAttempt(1);
  breakOffAfter(it, "id: 1\n\n");
  ASSERT_EQ(it.SentOrders.size(), 3);
  EXPECT_EQ(it.SentOrders[1].ServerId, "s2");
  EXPECT_EQ(it.SentOrders[2].ServerId, "s4");
}

/// Guards against resuming a stream whose server may have been replaced under
/// its id by one of another version.
TEST(StreamVersion, StreamOfUncertainVersionIsNotResumed) {
  FlowHarness it(resumable());
  it.IsVersionCertain = false;
  it.Flow.start(FlowStart);
  breakOffAfter(it, "id: 1\n\n");
  EXPECT_EQ(it.SentOrders.size(), 1);
  EXPECT_TRUE(it.hasLogged("break"));
}

/// Guards against the first attempt of a caller's resumption going to any
/// version.
TEST(StreamVersion, ResumptionIsBoundToTheOriginOfItsStream) {
  FlowHarness it(resumable());
  it.Versions = {{"s3", "v2"}};
  it.Flow.resumeFrom({"service", "v2"});
  it.Flow.start(FlowStart);
  ASSERT_EQ(it.SentOrders.size(), 1);
  EXPECT_EQ(it.SentOrders[0].ServerId, "s3");
  EXPECT_EQ(it.Flow.request().Service, "service");
}

/// Guards against placement on another version while servers of the right one
/// are busy, and against a reason that doesn't say why none is left.
TEST_F(PlacementTest, ResumedStreamsGoToTheirVersionOnly) {
  for (BackendServer &it : Catalog.Servers["engines"])
    it.SoftwareVersion = it.Id == "e4" ? "v2" : "v1";
  Error reason;
  for (int i = 0; i < 20; ++i) {
    auto choice = Place.choose(prompt(std::to_string(i)), Catalog, {{}, "v2"},
                               ClockMs, Start, reason);
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->Order.ServerId, "e4");
    EXPECT_EQ(choice->Order.SoftwareVersion, "v2");
  }
  EXPECT_FALSE(Place.choose(prompt("s"), Catalog, {{"e4"}, "v2"}, ClockMs,
                            Start, reason));
  EXPECT_EQ(reason.Kind, ErrorKind::NoServer);
  EXPECT_FALSE(
      Place.choose(prompt("s"), Catalog, {{}, "v3"}, ClockMs, Start, reason));
  EXPECT_EQ(reason.Kind, ErrorKind::StreamVersionGone);
  EXPECT_GT(reason.RetryAfter, Duration::zero());
}

const Endpoint OwnerA{"10.0.0.1", 1};
const Endpoint OwnerB{"10.0.0.2", 1};
const Duration MaxAge = 3s;
const SeenVersions OneVersion{{"v1"}, Duration(10s).count()};
const SeenVersions TwoVersions{{"v1", "v2"}, Duration(10s).count()};

OriginLookup lookup(const SeenVersions &seen,
                    std::vector<Endpoint> owners = {OwnerA, OwnerB}) {
  return {{{1, 2}, "service"}, std::move(owners), seen, MaxAge, {}, FlowStart};
}

StreamOriginResponse unknownTo(const SeenVersions &seen) {
  return {{1, 2}, std::nullopt, seen};
}

TEST(OriginLookup, TakesTheOriginThatAnOwnerKnows) {
  OriginLookup it = lookup(OneVersion);
  EXPECT_EQ(it.takeDue(FlowStart).size(), 2U);
  it.onResponse(OwnerA, unknownTo(OneVersion));
  EXPECT_FALSE(it.isDecided(FlowStart));
  it.onResponse(OwnerB, {{1, 2}, StreamOrigin{"service", "v2"}, OneVersion});
  EXPECT_TRUE(it.isDecided(FlowStart));
  Error reason;
  auto result = it.result(reason);
  ASSERT_TRUE(result);
  EXPECT_EQ(result->Origin.SoftwareVersion, "v2");
  EXPECT_EQ(result->From, Source::Owner);
}

/// Guards against one lost datagram making a stream unknown.
TEST(OriginLookup, AsksAgainOnlyOwnersThatDidNotAnswer) {
  OriginLookup it = lookup(TwoVersions);
  EXPECT_EQ(it.takeDue(FlowStart).size(), 2U);
  EXPECT_TRUE(it.takeDue(FlowStart + 1ms).empty());
  it.onResponse(OwnerA, unknownTo(TwoVersions));
  EXPECT_EQ(it.takeDue(it.nextAt()), std::vector<Endpoint>{OwnerB});
  EXPECT_TRUE(it.isDecided(FlowStart + 1s));
}

/// Guards against a guess: the only version that an entry knows need not be the
/// only one that can have begun the stream.
TEST(OriginLookup, InfersAVersionOnlyIfNoOtherCanHaveBegunTheStream) {
  struct Case {
    const char *Name;
    SeenVersions Own;
    SeenVersions Owner;
    bool IsInferred;
  };
  const SeenVersions justStarted{{"v1"}, 0};
  const SeenVersions otherVersion{{"v2"}, Duration(10s).count()};
  for (const Case &it :
       {Case{"one version", OneVersion, OneVersion, true},
        Case{"two versions", TwoVersions, TwoVersions, false},
        Case{"this entry has just started", justStarted, OneVersion, true},
        Case{"all have just started", justStarted, justStarted, false},
        Case{"the owner knows another", OneVersion, otherVersion, false},
        Case{"the owner knows two", justStarted, TwoVersions, false},
        Case{"no server is known", {{}, Duration(10s).count()}, {}, false}}) {
    OriginLookup found = lookup(it.Own, {OwnerA});
    found.onResponse(OwnerA, unknownTo(it.Owner));
    if (found.needsOwnState(FlowStart))
      found.onState(it.Own, FlowStart, FlowStart);
    for (size_t i = found.takeStateDue(FlowStart).size(); i > 0; --i)
      found.onState(it.Owner, FlowStart, FlowStart);
    EXPECT_TRUE(found.isDecided(FlowStart)) << it.Name;
    Error reason;
    EXPECT_EQ(found.result(reason).has_value(), it.IsInferred) << it.Name;
    ErrorKind expected =
        it.IsInferred ? ErrorKind::None : ErrorKind::StreamVersionUnknown;
    EXPECT_EQ(reason.Kind, expected) << it.Name;
  }
}

/// Guards against a version that has joined unheard: what an entry knows may
/// end before the stream began, or begin after it.
TEST(OriginLookup, InfersAVersionOnlyFromStateThatCoversTheStreamsLife) {
  struct Case {
    const char *Name;
    Duration History;
    TimePoint CompleteAt;
    bool IsInferred;
  };
  for (const Case &it :
       {Case{"whole", MaxAge + 1ms, FlowStart, true},
        Case{"ends before the resumption", 10s, FlowStart - 1us, false},
        Case{"begins too late", MaxAge, FlowStart, false}}) {
    OriginLookup found = lookup(OneVersion, {});
    ASSERT_TRUE(found.needsOwnState(FlowStart));
    EXPECT_FALSE(found.isDecided(FlowStart));
    found.onState({{"v1"}, it.History.count()}, it.CompleteAt, FlowStart + 1ms);
    Error reason;
    EXPECT_EQ(found.result(reason).has_value(), it.IsInferred) << it.Name;
    EXPECT_EQ(found.isDecided(FlowStart + 1ms), it.IsInferred) << it.Name;
    EXPECT_TRUE(found.isDecided(FlowStart + 250ms)) << it.Name;
  }
}

/// Guards against a call of the key-value service for each resumption, also of
/// streams that an owner knows, and against an entry without a history giving
/// up although an owner has one.
TEST(OriginLookup, AsksForStateOnlyWhatCanDecide) {
  OriginLookup it = lookup(OneVersion, {OwnerA, OwnerB});
  EXPECT_FALSE(it.needsOwnState(FlowStart));
  it.onResponse(OwnerA, unknownTo({{"v1"}, 0}));
  EXPECT_FALSE(it.needsOwnState(FlowStart + 1ms));
  EXPECT_TRUE(it.needsOwnState(FlowStart + 60ms)); // An owner is silent.
  it.onResponse(OwnerB, unknownTo(OneVersion));
  EXPECT_TRUE(it.takeStateDue(FlowStart + 60ms).empty());
  EXPECT_EQ(it.takeStateDue(FlowStart + 120ms), std::vector<Endpoint>{OwnerB});
  OriginLookup young = lookup({{"v1"}, 0}, {OwnerA});
  young.onResponse(OwnerA, unknownTo(OneVersion));
  EXPECT_FALSE(young.needsOwnState(FlowStart));
  EXPECT_EQ(young.takeStateDue(FlowStart), std::vector<Endpoint>{OwnerA});
  OriginLookup mixed = lookup(TwoVersions, {});
  EXPECT_FALSE(mixed.needsOwnState(FlowStart));
}

/// Guards against an entry that is cut off from the key-value service and from
/// all others resuming streams at the only version that it knows.
TEST(OriginLookup, RefusesWhenCutOff) {
  SoftwareVersions versions({});
  Catalog catalog;
  catalog.AllServers.resize(1);
  catalog.AllServers[0].Service = "service";
  catalog.AllServers[0].SoftwareVersion = "v1";
  versions.onCatalog(catalog, true, FlowStart);
  versions.onCatalog(catalog, false, FlowStart + 20s);
  OriginLookup it = lookup(versions.seen("service", FlowStart + 20s));
  Error reason;
  EXPECT_FALSE(it.result(reason));
  EXPECT_GT(reason.RetryAfter, Duration::zero());
}

TEST(SoftwareVersions, RemembersVersionsWhoseServersHaveLeft) {
  SoftwareVersions versions({10s, 10s});
  Catalog catalog;
  catalog.AllServers.resize(2);
  for (size_t i = 0; i < 2; ++i) {
    catalog.AllServers[i].Service = "service";
    catalog.AllServers[i].SoftwareVersion = "v" + std::to_string(i + 1);
  }
  versions.onCatalog(catalog, true, FlowStart);
  catalog.AllServers.pop_back();
  versions.onCatalog(catalog, true, FlowStart + 9s);
  SeenVersions seen = versions.seen("service", FlowStart + 9s);
  EXPECT_EQ(seen.Versions, (std::vector<std::string>{"v1", "v2"}));
  EXPECT_EQ(Duration(seen.HistoryUs), 9s);
  versions.onCatalog(catalog, true, FlowStart + 10s);
  EXPECT_EQ(versions.seen("service", FlowStart + 10s).Versions.size(), 1U);
  EXPECT_TRUE(versions.seen("other", FlowStart).Versions.empty());
}

/// Guards against a suspended entry that answers before it notices how old its
/// knowledge is: another version may have come and begun streams meanwhile.
TEST(SoftwareVersions, HaveNoHistoryAcrossASuspension) {
  SoftwareVersions versions({60s});
  Catalog catalog;
  catalog.AllServers.resize(1);
  catalog.AllServers[0].Service = "service";
  catalog.AllServers[0].SoftwareVersion = "v1";
  TimePoint now = FlowStart;
  for (; now < FlowStart + 70s; now += 100ms)
    versions.onCatalog(catalog, true, now);
  EXPECT_GE(Duration(versions.seen("service", now).HistoryUs), 60s);
  now += 3s;
  EXPECT_EQ(versions.seen("service", now).HistoryUs, 0);
  versions.onCatalog(catalog, true, now);
  EXPECT_EQ(versions.seen("service", now).HistoryUs, 0);
}

/// Guards against a version whose only server came and left between two
/// updates.
TEST(SoftwareVersions, KnowsOfServersThatNoCatalogListed) {
  SoftwareVersions versions({});
  versions.onCatalog({}, true, FlowStart);
  BackendServer server;
  server.Service = "service";
  server.SoftwareVersion = "v2";
  versions.onShortLived(server, FlowStart);
  EXPECT_EQ(versions.seen("service", FlowStart + 1s).Versions,
            std::vector<std::string>{"v2"});
  EXPECT_EQ(Duration(versions.seen("service", FlowStart + 1s).HistoryUs), 1s);
  versions.onMissedChanges();
  EXPECT_EQ(versions.seen("service", FlowStart + 1s).HistoryUs, 0);
}

/// Guards against a message about versions that doesn't fit into a datagram.
TEST(SoftwareVersions, TellsOnlyOfAsManyVersionsAsFitIntoADatagram) {
  SoftwareVersions versions({});
  Catalog catalog;
  catalog.AllServers.resize(20);
  for (size_t i = 0; i < 20; ++i) {
    catalog.AllServers[i].Service = "service";
    catalog.AllServers[i].SoftwareVersion = "v" + std::to_string(i);
  }
  versions.onCatalog(catalog, true, FlowStart);
  EXPECT_EQ(versions.seen("service", FlowStart).Versions.size(),
            MaxSeenVersions);
}

TEST(StreamOrigins, KeepsOriginsForTheRetentionAndWithinItsBound) {
  StreamOrigins origins({10s, 100});
  const StreamOrigin v1{"service", "v1"};
  for (uint64_t i = 1; i <= 150; ++i)
    origins.onTold({v1, {Id128{i, i}}}, FlowStart);
  EXPECT_TRUE(origins.find({1, 1}, FlowStart));
  EXPECT_TRUE(origins.find({150, 150}, FlowStart));
  origins.onTold({v1, {Id128{200, 200}}}, FlowStart + 11s);
  EXPECT_FALSE(origins.find({1, 1}, FlowStart + 11s));
  EXPECT_TRUE(origins.find({150, 150}, FlowStart + 11s));
}

TEST(StreamOrigins, TellsEachStreamOnceByOrigin) {
  StreamOrigins origins({});
  EXPECT_TRUE(origins.onBegan({1, 1}, {"service", "v1"}, FlowStart));
  EXPECT_FALSE(origins.onBegan({2, 2}, {"service", "v2"}, FlowStart));
  EXPECT_FALSE(origins.onBegan({3, 3}, {"service", "v1"}, FlowStart));
  std::vector<StreamsBegan> untold = origins.takeUntold();
  ASSERT_EQ(untold.size(), 2U);
  EXPECT_EQ(untold[0].Streams, (std::vector<Id128>{{1, 1}, {3, 3}}));
  EXPECT_TRUE(origins.takeUntold().empty());
  EXPECT_TRUE(origins.find({1, 1}, FlowStart)->IsOwn);
}

/// Guards against one organisation resuming, or hiding, the stream of another
/// that uses the same request id.
TEST(StreamOrigins, KeepsOrganisationsApart) {
  EXPECT_NE(streamKey("a", "r1"), streamKey("b", "r1"));
  EXPECT_NE(streamKey("a", "br1"), streamKey("ab", "r1"));
  EXPECT_EQ(streamKey("a", "r1"), streamKey("a", "r1"));
}

} // namespace
} // namespace daisytack::direct
