/// A model of entries that begin and resume streams while datagrams get lost,
/// entries are killed, cut off or stand still, and software versions come and
/// go.
#include "direct/origin_lookup.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

constexpr Duration Tick = 20ms;    ///< As entries collect streams to tell.
constexpr Duration StreamAge = 3s; ///< Longest time until a resumption.
constexpr Duration WarmUp = 4s;    ///< Before the first stream begins.
constexpr Duration Length = 20s;
constexpr Duration CutLength = 3s;
constexpr Duration MaxStall = 900ms;
constexpr Duration MaxPollInterval = 2s; ///< Of entries and the service.
constexpr Duration ConfirmedFor = 2500ms;
constexpr Duration ConfirmInterval = 100ms;
constexpr Duration MaxServiceDelay = 60ms;

/// What happens to the software versions halfway.
enum class Release { None, Replacement, Joining };

struct ModelSettings {
  size_t Entries = 5;
  double Loss = 0.05;     ///< Share of datagrams.
  double KillsPerS = 0.2; ///< Of one random entry.
  double CutsPerS = 0.1;  ///< Each cuts one entry off for CutLength.
  /// In each, one entry stands still for up to MaxStall and loses what is sent
  /// to it meanwhile.
  double StallsPerS = 0;
  double StreamsPerS = 60;
  Release Halfway = Release::None; ///< None: two versions serve all the time.
};

struct ModelResult {
  size_t Resumed = 0;
  size_t Refused = 0;
  size_t Wrong = 0;
};

class Model {
public:
  Model(ModelSettings settings, uint64_t seed)
      : Settings(settings), Random(seed) {
    for (size_t i = 0; i < settings.Entries; ++i) {
      Peers.push_back(
          {"e" + std::to_string(i), {"10.0.0." + std::to_string(i + 1), 1}});
      Entries.emplace_back();
    }
    Owners = StreamOwnerIndex(Peers);
  }

  ModelResult run() {
    for (; Now < Start + WarmUp + Length; Now += Tick) {
      auto due = Events.upper_bound(Now);
      while (Events.begin() != due && Events.begin()->first <= Now) {
        auto step = std::move(Events.begin()->second);
        Events.erase(Events.begin());
        step();
      }
      if (Now >= Start + WarmUp)
        disturbAndBegin();
      for (size_t i = 0; i < Entries.size(); ++i)
        tick(i);
    }
    return Out;
  }

private:
  struct Lookup {
    OriginLookup Steps;
    std::string Truth;
  };
  /// A request for versions that waits for a confirmation.
  struct PendingVersions {
    size_t From;
    ServerVersionsRequest Request;
    TimePoint ArrivedAt;
  };
  /// What a process has in its memory.
  struct Memory {
    StreamOrigins Origins{{}};
    SoftwareVersions Versions{{}};
    std::list<Lookup> Lookups;
    std::list<PendingVersions> Pending;
    TimePoint NextConfirmAt{};
    TimePoint SyncedAt{}; ///< It knows what the service held then; 0: nothing.
    TimePoint NextPollAt{};
  };
  struct Entry {
    std::unique_ptr<Memory> Process = std::make_unique<Memory>();
    TimePoint CutUntil{};
    TimePoint StalledUntil{};
  };

  bool chance(double p) {
    return std::uniform_real_distribution<>(0, 1)(Random) < p;
  }
  size_t pick(size_t n) {
    return std::uniform_int_distribution<size_t>(0, n - 1)(Random);
  }
  Duration upTo(Duration max) {
    return Duration(
        std::uniform_int_distribution<int64_t>(0, max.count())(Random));
  }
  void in(Duration delay, std::function<void()> step) {
    Events.emplace(Now + delay, std::move(step));
  }
  bool isCut(size_t i) const { return Now < Entries[i].CutUntil; }
  bool isStalled(size_t i) const { return Now < Entries[i].StalledUntil; }

  /// The versions that the service lists at a time.
  std::vector<std::string> versionsAt(TimePoint at) const {
    bool isHalfway = at >= Start + WarmUp + Length / 2;
    if (Settings.Halfway == Release::Replacement)
      return {isHalfway ? "v2" : "v1"};
    if (Settings.Halfway == Release::Joining && !isHalfway)
      return {"v1"};
    return {"v1", "v2"};
  }

  void disturbAndBegin() {
    double seconds = std::chrono::duration<double>(Tick).count();
    if (chance(Settings.KillsPerS * seconds)) {
      Entry &it = Entries[pick(Entries.size())];
      it.Process = std::make_unique<Memory>();
    }
    if (chance(Settings.CutsPerS * seconds))
      Entries[pick(Entries.size())].CutUntil = Now + CutLength;
    if (chance(Settings.StallsPerS * seconds))
      Entries[pick(Entries.size())].StalledUntil = Now + upTo(MaxStall);
    if (chance(Settings.StreamsPerS * seconds))
      begin();
  }

  /// A stream begins, and its caller resumes it somewhere later.
  void begin() {
    size_t at = pick(Entries.size());
    TimePoint syncedAt = Entries[at].Process->SyncedAt;
    if (isStalled(at) || syncedAt == TimePoint{})
      return;
    std::vector<std::string> versions = versionsAt(syncedAt);
    std::erase_if(versions, [serving = versionsAt(Now)](const auto &it) {
      return std::find(serving.begin(), serving.end(), it) == serving.end();
    });
    if (versions.empty())
      return;
    std::string truth = versions[pick(versions.size())];
    Id128 stream{++LastStream, mix(LastStream)};
    Entries[at].Process->Origins.onBegan(stream, {"service", truth}, Now);
    in(Tick + upTo(StreamAge - Tick),
       [this, stream, truth] { resume(pick(Entries.size()), stream, truth); });
  }

  static uint64_t mix(uint64_t n) { return stableHash(std::to_string(n)); }

  void resume(size_t at, const Id128 &stream, const std::string &truth) {
    if (isStalled(at))
      return in(Entries[at].StalledUntil - Now,
                [this, at, stream, truth] { resume(at, stream, truth); });
    Memory &memory = *Entries[at].Process;
    if (auto known = memory.Origins.find(stream, Now))
      return finish(known->Origin.SoftwareVersion, truth);
    memory.Lookups.push_back(
        {OriginLookup({stream, "service"},
                      Owners.ownersOf(stream, Peers[at].Peer),
                      memory.Versions.seen("service", Now), StreamAge, {}, Now),
         truth});
  }

  void finish(const std::optional<std::string> &version,
              const std::string &truth) {
    if (!version)
      ++Out.Refused;
    else if (*version == truth)
      ++Out.Resumed;
    else
      ++Out.Wrong;
  }

  /// Runs the step at the entry with this address, unless the datagram is lost.
  void send(size_t from, const Endpoint &to,
            std::function<void(size_t, Memory &)> step) {
    auto peer = std::find_if(Peers.begin(), Peers.end(),
                             [&](const auto &it) { return it.Peer == to; });
    auto target = static_cast<size_t>(peer - Peers.begin());
    if (isCut(from) || isCut(target) || chance(Settings.Loss))
      return;
    in(upTo(2ms), [this, target, step = std::move(step)] {
      if (!isStalled(target))
        step(target, *Entries[target].Process);
    });
  }

  /// The entry has what the service held at the time.
  void sync(Memory &memory, TimePoint at) {
    memory.SyncedAt = std::max(memory.SyncedAt, at);
    Catalog catalog;
    for (const std::string &version : versionsAt(memory.SyncedAt)) {
      catalog.AllServers.emplace_back();
      catalog.AllServers.back().Service = "service";
      catalog.AllServers.back().SoftwareVersion = version;
    }
    memory.Versions.onCatalog(catalog, Now < memory.SyncedAt + ConfirmedFor,
                              Now);
  }

  void tick(size_t i) {
    if (isStalled(i))
      return;
    Memory &memory = *Entries[i].Process;
    if (!isCut(i) && Now >= memory.NextPollAt) {
      memory.SyncedAt = Now;
      memory.NextPollAt = Now + upTo(MaxPollInterval);
    }
    if (memory.SyncedAt != TimePoint{})
      sync(memory, memory.SyncedAt);
    for (const StreamsBegan &began : memory.Origins.takeUntold())
      for (const Id128 &stream : began.Streams)
        for (const Endpoint &owner : Owners.ownersOf(stream, Peers[i].Peer))
          send(i, owner, [this, began, stream](size_t, Memory &to) {
            to.Origins.onTold({began.Origin, {stream}}, Now);
          });
    advance(i, memory);
  }

  void advance(size_t i, Memory &memory) {
    bool needsState = !memory.Pending.empty();
    for (Lookup &it : memory.Lookups) {
      for (const Endpoint &owner : it.Steps.takeDue(Now))
        send(i, owner,
             [this, i, request = it.Steps.request()](size_t at, Memory &to) {
               answer(at, to, i, request);
             });
      if (it.Steps.needsOwnState(Now))
        it.Steps.onState(memory.Versions.seen("service", Now), memory.SyncedAt,
                         Now);
      for (const Endpoint &owner : it.Steps.takeStateDue(Now))
        send(i, owner, [this, i, askedAt = Now](size_t, Memory &to) {
          to.Pending.push_back(
              {i, {"service", askedAt.time_since_epoch().count()}, Now});
        });
      needsState |= it.Steps.needsOwnState(Now);
    }
    if (needsState && Now >= memory.NextConfirmAt)
      confirm(i, memory);
    std::erase_if(memory.Lookups, [&](const Lookup &it) {
      if (!it.Steps.isDecided(Now))
        return false;
      Error reason;
      auto found = it.Steps.result(reason);
      finish(found ? std::optional(found->Origin.SoftwareVersion)
                   : std::nullopt,
             it.Truth);
      return true;
    });
  }

  /// Asks the service, which answers other entries that wait as well.
  void confirm(size_t i, Memory &memory) {
    memory.NextConfirmAt = Now + ConfirmInterval;
    if (isCut(i) || chance(Settings.Loss))
      return;
    in(upTo(MaxServiceDelay), [this, i, &memory, askedAt = Now] {
      if (isStalled(i) || Entries[i].Process.get() != &memory)
        return;
      sync(memory, askedAt);
      std::erase_if(memory.Pending, [&](const PendingVersions &it) {
        if (memory.SyncedAt < it.ArrivedAt)
          return false;
        ServerVersionsResponse out{it.Request.Service, it.Request.AskedAtUs,
                                   memory.Versions.seen("service", Now)};
        send(i, Peers[it.From].Peer, [this, out](size_t, Memory &to) {
          for (Lookup &lookup : to.Lookups)
            lookup.Steps.onState(out.Seen, TimePoint(Duration(out.AskedAtUs)),
                                 Now);
        });
        return true;
      });
    });
  }

  void answer(size_t at, Memory &memory, size_t to,
              const StreamOriginRequest &request) {
    StreamOriginResponse out{request.Stream, std::nullopt,
                             memory.Versions.seen(request.Service, Now)};
    if (auto known = memory.Origins.find(request.Stream, Now))
      out.Origin = known->Origin;
    send(at, Peers[to].Peer,
         [from = Peers[at].Peer, out](size_t, Memory &asker) {
           for (Lookup &it : asker.Lookups)
             if (it.Steps.request().Stream == out.Stream)
               it.Steps.onResponse(from, out);
         });
  }

  const TimePoint Start{Duration(1'000'000'000)};
  const ModelSettings Settings;
  std::mt19937_64 Random;
  TimePoint Now = Start;
  std::vector<EntryPeer> Peers;
  std::vector<Entry> Entries;
  StreamOwnerIndex Owners;
  std::multimap<TimePoint, std::function<void()>> Events;
  uint64_t LastStream = 0;
  ModelResult Out;
};

/// Whatever datagrams are lost, entries killed and cut off, no stream goes on
/// at another version than the one that began it, and at least half of the
/// streams go on.
RC_GTEST_PROP(StreamOriginsModel, StreamsGoOnAtTheirVersionAndMostDo, ()) {
  ModelSettings settings;
  settings.Entries = *rc::gen::inRange<size_t>(2, 14);
  settings.Loss = *rc::gen::inRange(0, 15) / 100.0;
  settings.KillsPerS = *rc::gen::inRange(0, 10) / 10.0;
  settings.CutsPerS = *rc::gen::inRange(0, 2) / 10.0;
  ModelResult out = Model(settings, *rc::gen::arbitrary<uint64_t>()).run();
  RC_ASSERT(out.Wrong == 0U);
  RC_ASSERT(out.Resumed >= out.Refused);
}

/// Guards against streams that nobody knows being bound to a version that has
/// replaced theirs.
RC_GTEST_PROP(StreamOriginsModel, NoStreamGoesOnAtTheVersionThatReplacedItsOwn,
              ()) {
  ModelSettings settings;
  settings.Halfway = Release::Replacement;
  settings.Loss = *rc::gen::inRange(0, 30) / 100.0;
  settings.KillsPerS = *rc::gen::inRange(0, 20) / 10.0;
  ModelResult out = Model(settings, *rc::gen::arbitrary<uint64_t>()).run();
  RC_ASSERT(out.Wrong == 0U);
  RC_ASSERT(out.Resumed >= out.Refused);
}

/// Guards against an entry that is out of step for a moment continuing streams
/// of a version that has just joined at the one that it knows.
RC_GTEST_PROP(StreamOriginsModel, NoStreamGoesOnAtAnotherVersionAsOneJoins,
              ()) {
  ModelSettings settings;
  settings.Halfway = Release::Joining;
  settings.Entries = *rc::gen::inRange<size_t>(3, 8);
  settings.Loss = *rc::gen::inRange(0, 30) / 100.0;
  settings.KillsPerS = *rc::gen::inRange(0, 5) / 10.0;
  settings.CutsPerS = *rc::gen::inRange(0, 2) / 10.0;
  settings.StallsPerS = *rc::gen::inRange(0, 30) / 10.0;
  ModelResult out = Model(settings, *rc::gen::arbitrary<uint64_t>()).run();
  RC_ASSERT(out.Wrong == 0U);
  RC_ASSERT(out.Resumed >= out.Refused);
}

/// All entries end at once and have lost what they knew: no stream is guessed.
TEST(StreamOriginsModel, GuessesNothingAfterAllEntriesHaveLostTheirMemory) {
  ModelSettings settings;
  settings.KillsPerS = 40;
  settings.Halfway = Release::Replacement;
  ModelResult out = Model(settings, 7).run();
  EXPECT_EQ(out.Wrong, 0U);
}

} // namespace
} // namespace daisytack::direct
