/// Guards against a configuration that is not in force everywhere in time
/// because it is large or links are slow: a simulation of one reader and the
/// entries that follow it, without network. The reader's link is the bottleneck
/// in a fleet whose entries all have slow links.
#include "direct/follow_plan.h"
#include "direct/record_transfer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <queue>
#include <random>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

/// The time within which a configuration must be in force.
constexpr Duration InForceTime = 2s;
/// The service encodes values as base64.
constexpr double ServiceEncoding = 4.0 / 3;
constexpr Duration CallTimeout = 700ms;
constexpr size_t MessageBytes = 300;

std::string configOf(size_t routes, uint64_t version) {
  std::string out = R"({"version":)" + std::to_string(version) + ",[";
  for (size_t i = 0; i < routes; ++i) {
    uint64_t name = (i + 1) * 0x9E3779B97F4A7C15U;
    out += R"({"name":"r)" + std::to_string(name) + R"(","host":"h)" +
           std::to_string(name >> 40U) +
           R"(.example","kind":"safe","timeout-ms":3000,"service":"plain",)"
           R"("attempts":2,"priority":2,"public":false,"resumable":false,)"
           R"("target-latency-ms":300,"path-prefix":"/p)" +
           std::to_string(name % 100'000) + R"(/"},)";
  }
  return out;
}

struct SpreadParams {
  uint64_t Seed = 1;
  size_t Followers = 15;
  double LinkBytesPerSecond = 1.25e6; ///< 10 Mbit/s.
  double LossShare = 0;               ///< Of the answers.
  /// Sends the whole record with each answer to a poll, in place of an offer.
  bool SendsWhole = false;
};

/// Versions of one record on their way from a reader to its followers.
class SpreadModel {
public:
  explicit SpreadModel(SpreadParams params)
      : Params(params), Random(params.Seed), Source(lookupIn(Reader)) {
    for (size_t i = 0; i < Params.Followers; ++i) {
      Followers.push_back(std::make_unique<Follower>());
      Follower &it = *Followers.back();
      it.Fetch.emplace(RecordFetchSettings{}, lookupIn(it.Values));
      at(Now + Random() % 300 * 1ms, [this, i] { poll(i); });
    }
  }

  /// The operator writes a version. The reader has it once its link has
  /// carried the service's answer.
  void write(uint64_t version, std::string value) {
    auto size = static_cast<size_t>(static_cast<double>(value.size()) *
                                    ServiceEncoding);
    at(carry(size), [this, version, value = std::move(value)] {
      Reader[version] = value;
      Newest = version;
    });
  }
  void runFor(Duration time) {
    TimePoint end = Now + time;
    while (!Events.empty() && Events.top().At <= end) {
      Event next = Events.top();
      Events.pop();
      Now = next.At;
      next.Run();
    }
    Now = end;
  }
  /// When the last follower got the version; empty: not all have it.
  std::optional<TimePoint> inForceAt(uint64_t version) const {
    TimePoint out;
    for (const auto &it : Followers) {
      auto seen = it->TakenAt.lower_bound(version);
      if (seen == it->TakenAt.end())
        return std::nullopt;
      out = std::max(out, seen->second);
    }
    return out;
  }
  bool hasGoneBack() const { return HasGoneBack; }
  size_t bytesSent() const { return BytesSent; }
  TimePoint now() const { return Now; }

private:
  using Values = std::map<uint64_t, std::string>;
  struct Follower {
    SpreadModel::Values Values;
    std::optional<RecordFetch> Fetch;
    std::map<uint64_t, TimePoint> TakenAt; ///< By version.
    uint64_t Current = 0;
  };
  struct Event {
    TimePoint At;
    uint64_t Order = 0;
    std::function<void()> Run;
    bool operator<(const Event &other) const {
      return std::tie(At, Order) > std::tie(other.At, other.Order);
    }
  };

  static RecordLookup lookupIn(const Values &values) {
    RecordLookup out;
    out.ValueAt = [&values](std::string_view, uint64_t revision) {
      auto it = values.find(revision);
      return it == values.end() ? nullptr : &it->second;
    };
    out.RevisionOf = [&values](std::string_view) {
      return values.empty() ? 0 : values.rbegin()->first;
    };
    return out;
  }
  void at(TimePoint when, std::function<void()> run) {
    Events.push({when, ++Order, std::move(run)});
  }
  /// The reader's link carries the bytes after those before them; returns when
  /// they have arrived.
  TimePoint carry(size_t bytes) {
    auto time = Duration(static_cast<int64_t>(1e6 * static_cast<double>(bytes) /
                                              Params.LinkBytesPerSecond));
    LinkFreeAt = std::max(LinkFreeAt, Now) + time;
    BytesSent += bytes;
    return LinkFreeAt + 1ms;
  }
  bool isLost() {
    return std::uniform_real_distribution<>()(Random) < Params.LossShare;
  }

  void poll(size_t i) {
    at(Now + FollowSettings{}.PollInterval, [this, i] { poll(i); });
    if (isLost())
      return;
    if (Params.SendsWhole)
      return sendWhole(i);
    at(carry(MessageBytes), [this, i, offered = Newest] {
      if (offered != 0)
        Followers[i]->Fetch->onOffer({"config", offered}, {}, Now);
      requestPart(i);
    });
  }
  void sendWhole(size_t i) {
    if (Newest <= Followers[i]->Current)
      return;
    TimePoint sentAt = Now;
    at(carry(Reader[Newest].size()),
       [this, i, sentAt, version = Newest, value = Reader[Newest]] {
         if (Now < sentAt + CallTimeout)
           take(i, version, value);
       });
  }
  void requestPart(size_t i) {
    Follower &it = *Followers[i];
    std::optional<RecordPartCall> call = it.Fetch->next(Now);
    if (!call)
      return;
    RecordPart part = Source.answer(call->Request);
    TimePoint arrival = carry(part.Bytes.size() + MessageBytes);
    TimePoint timeout = Now + call->Timeout;
    if (isLost() || arrival > timeout)
      return at(timeout, [this, i] { onFailure(i); });
    at(arrival, [this, i, part = std::move(part)]() mutable {
      Error reason;
      auto fetched = Followers[i]->Fetch->onPart(std::move(part), Now, reason);
      if (fetched)
        take(i, fetched->Record.Revision, fetched->Record.Value);
      requestPart(i);
    });
  }
  void onFailure(size_t i) {
    Follower &it = *Followers[i];
    it.Fetch->onFailure(Now);
    at(Now + 60ms, [this, i] { requestPart(i); });
  }
  void take(size_t i, uint64_t version, const std::string &value) {
    Follower &it = *Followers[i];
    it.Values[version] = value;
    HasGoneBack |= version < it.Current;
    it.Current = version;
    it.TakenAt.emplace(version, Now);
  }

  SpreadParams Params;
  std::mt19937_64 Random;
  TimePoint Now{Duration(1'000'000'000)};
  TimePoint LinkFreeAt;
  size_t BytesSent = 0;
  Values Reader;
  uint64_t Newest = 0;
  RecordSource Source;
  std::vector<std::unique_ptr<Follower>> Followers;
  std::priority_queue<Event> Events;
  uint64_t Order = 0;
  bool HasGoneBack = false;
};

/// Lets the followers of a model have a first version.
void settle(SpreadModel &model, size_t routes) {
  model.write(1, configOf(routes, 1));
  model.runFor(10s);
}

/// How long the next version takes to be in force everywhere.
std::optional<Duration> timeOfChange(const SpreadParams &params,
                                     size_t routesBefore, size_t routesAfter) {
  SpreadModel model(params);
  settle(model, routesBefore);
  TimePoint begin = model.now();
  model.write(2, configOf(routesAfter, 2));
  model.runFor(20s);
  std::optional<TimePoint> end = model.inForceAt(2);
  if (!end)
    return std::nullopt;
  return *end - begin;
}

/// One reader has up to sixteen entries, with itself.
TEST(RecordSpread, IsInForceInTimeWhateverItsSize) {
  for (size_t routes : {1, 48, 1448, 3500}) {
    auto small = timeOfChange({}, routes, routes + 1);
    ASSERT_TRUE(small) << routes;
    EXPECT_LT(*small, InForceTime) << routes << " routes, one more";
    auto large = timeOfChange({}, 48, routes);
    ASSERT_TRUE(large) << routes;
    EXPECT_LT(*large, InForceTime) << routes << " routes at once";
  }
}

TEST(RecordSpread, CostsTheLinkLittleMoreThanTheChange) {
  SpreadParams params;
  SpreadModel model(params);
  settle(model, 1448);
  size_t before = model.bytesSent();
  std::string value = configOf(1449, 2);
  model.write(2, value);
  model.runFor(1s);
  ASSERT_TRUE(model.inForceAt(2));
  // Once for the reader, and the polls.
  EXPECT_LT(model.bytesSent() - before, 2 * value.size());
}

RC_GTEST_PROP(RecordSpread, ReachesAllWhenAnswersAreLost, ()) {
  SpreadParams params;
  params.Seed = *rc::gen::arbitrary<uint64_t>();
  params.Followers = *rc::gen::inRange<size_t>(1, 30);
  params.LossShare = 0.1 * *rc::gen::inRange(0, 5);
  RC_ASSERT(timeOfChange(params, 48, 1448).has_value());
}

RC_GTEST_PROP(RecordSpread, FollowsChangesInQuickSuccession, ()) {
  SpreadParams params;
  params.Seed = *rc::gen::arbitrary<uint64_t>();
  params.LossShare = 0.1 * *rc::gen::inRange(0, 3);
  SpreadModel model(params);
  settle(model, 1448);
  auto pause = *rc::gen::inRange(300, 1500) * 1ms;
  constexpr uint64_t Last = 8;
  for (uint64_t version = 2; version <= Last; ++version) {
    model.write(version, configOf(1448 + version, version));
    model.runFor(pause);
  }
  TimePoint begin = model.now();
  model.runFor(20s);
  std::optional<TimePoint> end = model.inForceAt(Last);
  RC_ASSERT(end.has_value());
  RC_ASSERT(params.LossShare > 0 || *end - begin < InForceTime);
  RC_ASSERT(!model.hasGoneBack());
}

/// The checks above must notice the fault that they guard against.
TEST(RecordSpread, WholeRecordsInAnswersToPollsWouldComeTooLate) {
  SpreadParams params;
  params.SendsWhole = true;
  std::optional<Duration> time = timeOfChange(params, 48, 3500);
  EXPECT_TRUE(!time || *time > InForceTime);
}

} // namespace
} // namespace daisytack::direct
