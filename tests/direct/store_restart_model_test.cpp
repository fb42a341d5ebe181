/// Simulates entries and a context store that restarts and returns empty,
/// without a network. Only the index of kept context is real.
#include "direct/kept_context.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

constexpr Duration Step{50'000};
constexpr Duration MaxFetch{2'000'000};
/// Longest time between two answers of the store to one entry.
constexpr Duration MaxInterval{1'500'000};
constexpr Duration SaveTime{300'000};
constexpr int64_t ClockOffsetMs = 77'000;
constexpr StoreTiming Timing{MaxFetch + MaxInterval, MaxFetch + MaxInterval};

struct Entry {
  KeptContext Kept{{}};
  TimePoint NextCall;
  TimePoint FrozenUntil;
  uint64_t Epoch = 0;
};

class RestartWorld {
public:
  RestartWorld() {
    for (int i = 0; i < 3; ++i)
      startEntry(Entries.emplace_back());
  }

  void startEntry(std::unique_ptr<Entry> &entry) {
    Service store;
    store.Name = "store";
    store.Store = ContextStoreTraits{};
    store.Store->CapacityTokens = 100'000;
    entry = std::make_unique<Entry>();
    entry->Kept.setStores({store});
    entry->Kept.onSettled(Recorded);
    entry->NextCall = Now;
  }

  void restartStore() {
    ++Epoch;
    Complete.clear();
    Writing.clear();
  }

  void advance() {
    Now += Step;
    std::erase_if(Writing, [&](const auto &it) {
      if (it.second > Now)
        return false;
      Complete.insert(it.first);
      return true;
    });
    std::erase_if(Fetches, [&](const auto &it) { return it.second < nowMs(); });
  }

  void call(Entry &entry) {
    if (Now < entry.NextCall || Now < entry.FrozenUntil)
      return;
    entry.NextCall =
        Now + Duration(*rc::gen::inRange<int64_t>(1, MaxInterval.count() + 1));
    if (*rc::gen::inRange(0, 10) == 0)
      return entry.Kept.onUnreachable("store");
    PartList list{Epoch, 0, {}, {}};
    for (const std::string &part : Complete)
      list.Kept.push_back({0, true, "s", part, 10});
    entry.Epoch = Epoch;
    entry.Kept.apply("store", PartChanges{Epoch, 0, false, nowMs(), {}}, Timing,
                     Now);
    entry.Kept.apply("store", list, Timing, Now);
  }

  /// A request whose prompt has the part. Its server may fetch at any time
  /// until the deadline.
  void request(Entry &entry, const std::string &id) {
    if (Now < entry.FrozenUntil)
      return;
    PromptPart part{id, 10};
    if (auto source = entry.Kept.find("s", part, "", {}, nowMs())) {
      int64_t until = std::min(nowMs() + MaxFetch.count() / 1000,
                               source->FetchUntilMs.value_or(INT64_MAX));
      Fetches.emplace_back(id, until);
      return;
    }
    // A save that an entry requests before it learns of the restart is left
    // out: it is of a part that this entry never knew to be kept.
    if (entry.Kept.planSave("s", part, "", Now) && entry.Epoch == Epoch &&
        !Complete.contains(id))
      Writing.try_emplace(id, Now + SaveTime);
  }

  /// Any entry may be the one that records settled epochs.
  void exchangeRecord(Entry &entry) {
    if (Now < entry.FrozenUntil)
      return;
    if (auto settled = entry.Kept.settledEpochs(Now); !settled.empty())
      Recorded = settled;
    entry.Kept.onSettled(Recorded);
  }

  bool isAnyFetchedPartIncomplete() const {
    return std::any_of(Fetches.begin(), Fetches.end(), [&](const auto &it) {
      return Writing.contains(it.first);
    });
  }

  TimePoint Now{Duration(1'000'000'000)};
  std::vector<std::unique_ptr<Entry>> Entries;

private:
  int64_t nowMs() const {
    return Now.time_since_epoch().count() / 1000 + ClockOffsetMs;
  }

  uint64_t Epoch = 1;
  std::vector<SettledEpoch> Recorded;
  std::set<std::string> Complete;
  std::map<std::string, TimePoint> Writing; ///< By part: when it is complete.
  std::vector<std::pair<std::string, int64_t>> Fetches; ///< With deadlines.
};

/// Guards against servers that fetch a part from a store that has restarted,
/// while another entry has it saved there again.
RC_GTEST_PROP(StoreRestartModel, NoPartIsFetchedWhileItIsSaved, ()) {
  RestartWorld world;
  for (int step = 0; step < 400; ++step) {
    world.advance();
    auto &entry =
        world.Entries[*rc::gen::inRange<size_t>(0, world.Entries.size())];
    switch (*rc::gen::inRange(0, 100)) {
    case 0:
      world.restartStore();
      break;
    case 1:
      world.startEntry(entry);
      break;
    case 2:
      entry->FrozenUntil = world.Now + 3s;
      break;
    default:
      break;
    }
    for (auto &it : world.Entries)
      world.request(*it, std::string(1, *rc::gen::inRange('a', 'd')));
    RC_ASSERT(!world.isAnyFetchedPartIncomplete());
    world.exchangeRecord(*entry);
    // Last, as an entry that resumes may send requests before it calls.
    for (auto &it : world.Entries)
      world.call(*it);
  }
}

} // namespace
} // namespace daisytack::direct
