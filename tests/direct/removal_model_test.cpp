/// A model of entries, backend servers and the store, in which leases run out
/// in outages, servers leave by the removal of their record, and entries lose
/// their paths to the store and restart. Guards against entries that send
/// requests to a removed server, and against those that drop one that runs.
#include "direct/catalog_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <set>

namespace daisytack::direct {
namespace {

constexpr Duration Step = 50ms;
constexpr Duration Heartbeat = 1200ms;
constexpr Duration LeaseTerm = 3 * Heartbeat;
/// After this time without trouble of its own, an entry must know what the
/// store says.
constexpr Duration SettleTime = 3s;
/// How long after the removal of its record a server may get requests.
constexpr Duration RemovalLimit = 2s;
/// Longest time within which a change that the store made while it answers
/// reaches every entry.
constexpr Duration NewsTime = 600ms;

struct ModelServer {
  std::string Id;
  TimePoint NextBeat;
  TimePoint LeaseEnd;
  TimePoint ListedSince; ///< When it registered, as it was not listed.
  bool IsListed = false; ///< Whether the store has its record.
};

/// The store answers, or an outage lasts.
struct ModelStore {
  bool Answers = true;
  TimePoint Since; ///< When it began to answer, or stopped.
  TimePoint NextTurn;
  TimePoint SweepsFrom; ///< When it begins to remove expired records.
  uint64_t Revision = 1;
  std::vector<StoreRecord> History;

  void write(const std::string &id, bool isDeleted) {
    ++Revision;
    History.push_back(
        {"server:" + id, isDeleted ? "" : "1", Revision, isDeleted});
  }
};

/// What happens to the entry itself.
enum class Trouble : uint8_t { None, Resets, Silence, Restarts, Follows };

struct ModelEntry {
  Trouble Kind = Trouble::None;
  std::unique_ptr<CatalogKeeper> Keeper;
  bool HasPath = true;
  TimePoint TurnAt;
  TimePoint CalmSince;
  bool IsLost = false;
  bool HasRead = false;
  TimePoint AnsweredAt; ///< The last own answer.
  TimePoint RetryAt;
  TimePoint AskAt;
  uint64_t SyncedTo = 0;

  bool lists(const std::string &id) const {
    auto servers = Keeper->view();
    const auto &all = servers->AllServers;
    return std::any_of(all.begin(), all.end(),
                       [&](const BackendServer &it) { return it.Id == id; });
  }
};

class RemovalModel {
public:
  explicit RemovalModel(uint64_t seed, Duration slowestMessage)
      : SlowestMessage(slowestMessage), Random(seed), Now(CatalogStart) {
    for (Trouble kind :
         {Trouble::None, Trouble::None, Trouble::Resets, Trouble::Silence,
          Trouble::Restarts, Trouble::Follows, Trouble::Follows}) {
      Entries.emplace_back();
      Entries.back().Kind = kind;
      restart(Entries.back());
    }
    for (int i = 0; i < 4; ++i)
      addServer();
    Store.Since = Now;
    Store.NextTurn = Now + random(5s, 12s);
    NextLeaving = Now + random(4s, 6s);
  }

  void run(Duration time) {
    for (TimePoint end = Now + time; Now < end; Now += Step)
      step();
  }

  size_t Outages = 0;
  size_t Removals = 0;
  size_t Expiries = 0;

private:
  Duration random(Duration from, Duration to) {
    return Duration(std::uniform_int_distribution<int64_t>(from.count(),
                                                           to.count())(Random));
  }
  bool chance(double share) {
    return std::bernoulli_distribution(share)(Random);
  }

  void step() {
    turnStore();
    for (ModelServer &it : Servers)
      beat(it);
    if (Now >= NextLeaving)
      replaceServer();
    for (ModelEntry &it : Entries)
      stepEntry(it);
    auto due = Messages.upper_bound(Now);
    std::vector<std::function<void()>> arrived;
    for (auto it = Messages.begin(); it != due; ++it)
      arrived.push_back(it->second);
    Messages.erase(Messages.begin(), due);
    for (const auto &it : arrived)
      it();
    check();
  }

  void turnStore() {
    if (Now < Store.NextTurn)
      return;
    Store.Answers = !Store.Answers;
    Store.Since = Now;
    if (!Store.Answers)
      ++Outages;
    else if (chance(0.5))
      Store.SweepsFrom = Now + random(0ms, 200ms);
    Store.NextTurn =
        Now + (Store.Answers ? random(1s, 12s) : random(200ms, 8s));
  }

  void addServer() {
    Servers.push_back({"s" + std::to_string(++LastServer), Now, Now, Now});
  }

  void beat(ModelServer &server) {
    bool isExpired = server.IsListed && Now >= server.LeaseEnd;
    // Some stores remove expired records only once they answer again.
    if (isExpired && Now >= Store.SweepsFrom) {
      Store.write(server.Id, true);
      server.IsListed = false;
      ++Expiries;
    }
    if (Now < server.NextBeat)
      return;
    server.NextBeat = Now + Heartbeat - random(0ms, 100ms);
    if (!Store.Answers)
      return;
    server.LeaseEnd = Now + LeaseTerm;
    if (!server.IsListed)
      server.ListedSince = Now;
    if (!std::exchange(server.IsListed, true) || chance(0.2))
      Store.write(server.Id, false);
  }

  /// One server leaves without a word; another one comes.
  void replaceServer() {
    if (!Store.Answers || !Servers.front().IsListed)
      return;
    NextLeaving = Now + random(2s, 5s);
    Store.write(Servers.front().Id, true);
    Left[Servers.front().Id] = Now;
    // A server that leaves just after an outage, or just before one, can't be
    // told from one whose record expired.
    if (Now >= Store.Since + RemovalLimit && Now + NewsTime < Store.NextTurn) {
      ++Removals;
      Announced.insert(Servers.front().Id);
    }
    Servers.erase(Servers.begin());
    addServer();
  }

  void restart(ModelEntry &entry) {
    Trouble kind = entry.Kind;
    auto i = static_cast<size_t>(&entry - Entries.data());
    std::erase_if(WasListed, [i](const auto &it) { return it.first == i; });
    entry = ModelEntry();
    entry.Kind = kind;
    entry.Keeper =
        std::make_unique<CatalogKeeper>(CatalogSettings(), textHooks());
    entry.CalmSince = entry.RetryAt = entry.AskAt = Now;
    // An entry that starts hears from others before its first read.
    entry.IsLost = true;
    if (kind == Trouble::Restarts) {
      entry.RetryAt = Now + random(0ms, 500ms);
      entry.TurnAt = Now + random(2s, 10s);
    }
  }

  void stepEntry(ModelEntry &entry) {
    if (entry.Kind == Trouble::Restarts && Now >= entry.TurnAt)
      restart(entry);
    bool hasBadPath =
        entry.Kind == Trouble::Resets || entry.Kind == Trouble::Silence;
    if (hasBadPath && Now >= entry.TurnAt) {
      entry.HasPath = !entry.HasPath;
      entry.TurnAt =
          Now + (entry.HasPath ? random(300ms, 9s) : random(300ms, 6s));
    }
    if (!entry.HasPath)
      entry.CalmSince = Now;
    if (entry.Kind != Trouble::Follows)
      callStore(entry);
    bool needsRecords = entry.Kind == Trouble::Follows || entry.IsLost ||
                        entry.Keeper->keepsServers();
    if (needsRecords && Now >= entry.AskAt) {
      entry.AskAt = Now + (entry.Kind == Trouble::Follows ? 300ms : 400ms);
      askOthers(entry);
    }
    entry.Keeper->onTimer(Now);
  }

  void callStore(ModelEntry &entry) {
    bool isReached = Store.Answers && entry.HasPath;
    bool isSilent = entry.Kind == Trouble::Silence;
    if (!entry.IsLost) {
      bool hasNews = Store.Revision > entry.SyncedTo;
      bool isDue = Now >= entry.AnsweredAt + (hasNews ? 300ms : 1700ms);
      bool hasTimedOut = Now >= entry.AnsweredAt + 2600ms;
      if (isReached && isDue)
        return onAnswer(entry);
      if (isReached || (isSilent && !hasTimedOut))
        return;
      entry.IsLost = true;
      entry.Keeper->onStoreLost();
      entry.RetryAt = Now + random(150ms, 600ms);
      return;
    }
    if (Now < entry.RetryAt)
      return;
    if (isReached)
      return onAnswer(entry);
    entry.RetryAt = Now + (isSilent ? 1500ms : random(150ms, 600ms));
  }

  void onAnswer(ModelEntry &entry) {
    entry.IsLost = false;
    entry.AnsweredAt = Now;
    entry.Keeper->onStoreAnswered(Store.Revision, Now);
    if (!std::exchange(entry.HasRead, true)) {
      std::map<std::string, StoreRecord> newest;
      for (const StoreRecord &it : Store.History)
        newest[it.Key] = it;
      std::vector<StoreRecord> present;
      for (const auto &[key, record] : newest)
        if (!record.IsDeleted)
          present.push_back(record);
      entry.Keeper->applyAll(present, Store.Revision, Now);
    } else {
      std::vector<StoreRecord> changes;
      for (const StoreRecord &it : Store.History)
        if (it.Revision > entry.SyncedTo)
          changes.push_back(it);
      entry.Keeper->apply(changes, Now);
    }
    entry.SyncedTo = Store.Revision;
  }

  /// Entries that follow ask one of the first two; others ask any three.
  void askOthers(ModelEntry &asking) {
    bool follows = asking.Kind == Trouble::Follows;
    size_t to = static_cast<size_t>(&asking - Entries.data());
    for (int i = 0; i < (follows ? 1 : 3); ++i) {
      size_t from = Random() % (follows ? 2 : Entries.size());
      TimePoint askedAt = Now;
      TimePoint arrivesAt = Now + messageDelay(asking);
      if (from != to)
        Messages.emplace(arrivesAt, [this, from, to, askedAt] {
          answerEntry(Entries[from], to, askedAt);
        });
    }
  }

  void answerEntry(const ModelEntry &from, size_t to, TimePoint askedAt) {
    const StoreUptime &uptime = from.Keeper->storeUptime();
    if (!uptime.period())
      return;
    Duration latestAge = Now - uptime.latest()->Earliest;
    Duration periodAge = Now - uptime.period()->Since;
    PeerAnswers answers{{askedAt - latestAge, uptime.latest()->Delay},
                        from.Keeper->revision(),
                        {TimePoint(), uptime.period()->Revision}};
    std::vector<StoreRecord> records = from.Keeper->recordsSince(0).Records;
    Messages.emplace(Now + messageDelay(Entries[to]),
                     [this, to, answers, askedAt, periodAge, records] {
                       PeerAnswers arrived = answers;
                       arrived.Latest.Delay += Now - askedAt;
                       arrived.Period.Since = Now - periodAge;
                       Entries[to].Keeper->onPeerAnswers(arrived, Now);
                       Entries[to].Keeper->apply(records, Now);
                     });
  }

  /// Entries that follow ask others all the time, and must learn in time.
  Duration messageDelay(const ModelEntry &asking) {
    return random(0ms,
                  asking.Kind == Trouble::Follows ? 100ms : SlowestMessage);
  }

  void check() {
    for (size_t i = 0; i < Entries.size(); ++i) {
      const ModelEntry &entry = Entries[i];
      if (Now < entry.CalmSince + SettleTime)
        continue;
      for (const auto &[id, leftAt] : Left) {
        bool isLate = Announced.contains(id) && Now > leftAt + RemovalLimit;
        EXPECT_FALSE(isLate && entry.lists(id))
            << "entry " << i << ", " << id << ", "
            << (Now - leftAt).count() / 1000 << " ms after its removal";
      }
      for (const ModelServer &it : Servers) {
        bool isKnown = Now > it.ListedSince + NewsTime || !it.IsListed;
        EXPECT_TRUE(!isKnown || entry.lists(it.Id) ||
                    !WasListed.contains({i, it.Id}))
            << "entry " << i << ", " << it.Id << ", store "
            << (Store.Answers ? "answers for " : "away for ")
            << (Now - Store.Since).count() / 1000 << " ms";
        if (entry.lists(it.Id))
          WasListed.insert({i, it.Id});
      }
    }
  }

  /// Of the messages of entries that ask others on occasion, in one direction.
  const Duration SlowestMessage;
  std::mt19937_64 Random;
  TimePoint Now;
  ModelStore Store;
  std::vector<ModelServer> Servers;
  std::vector<ModelEntry> Entries;
  std::multimap<TimePoint, std::function<void()>> Messages;
  std::map<std::string, TimePoint> Left; ///< When records were removed.
  /// Removed while the store answered for long.
  std::set<std::string> Announced;
  /// Servers that each entry has listed.
  std::set<std::pair<size_t, std::string>> WasListed;
  TimePoint NextLeaving;
  int LastServer = 0;
};

/// Plays a minute of the model for each seed, until one fails.
struct RemovalCounts {
  size_t Outages = 0;
  size_t Removals = 0;
  size_t Expiries = 0;

  explicit RemovalCounts(const std::vector<uint64_t> &seeds,
                         Duration slowestMessage = 100ms) {
    for (uint64_t seed : seeds) {
      SCOPED_TRACE("seed " + std::to_string(seed));
      RemovalModel model(seed, slowestMessage);
      model.run(60s);
      Outages += model.Outages;
      Removals += model.Removals;
      Expiries += model.Expiries;
      if (testing::Test::HasFailure())
        return;
    }
  }
};

TEST(RemovalModel, DropsRemovedServersAndKeepsThoseThatRun) {
  std::vector<uint64_t> seeds(60);
  std::iota(seeds.begin(), seeds.end(), 1);
  RemovalCounts counts(seeds);
  EXPECT_GT(counts.Outages, 100U);
  EXPECT_GT(counts.Removals, 100U);
  EXPECT_GT(counts.Expiries, 100U);
}

/// Guards against an outage that is hidden by messages which take as long as
/// the timeout of their call allows.
TEST(RemovalModel, KeepsServersThatRunBehindSlowMessages) {
  RemovalCounts counts({337, 480, 629, 1093, 1410, 1908, 2916}, 350ms);
  EXPECT_GT(counts.Expiries, 0U);
}

/// Leases run out over two outages, of which the second, or both, are too short
/// to be told from a cut path.
TEST(RemovalModel, KeepsServersThatRunInShortOutagesInSeries) {
  RemovalCounts counts({636, 1007, 1544});
  EXPECT_GT(counts.Expiries, 0U);
}

} // namespace
} // namespace daisytack::direct
