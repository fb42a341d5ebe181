#include "gateway/rollout_times.h"

#include "base/clock.h"

#include <utility>

namespace daisytack::gateway {

void learnVersionAges(GatewayState &state,
                      const std::vector<direct::DesiredVersionAge> &ages,
                      std::string_view source, TimePoint now) {
  for (const direct::DesiredVersionAge &it :
       state.Catalog.onPeerAges(ages, now))
    state.Log.write(LogPriority::Notable, "version_age_learned",
                    {{"model", it.Desired.Model},
                     {"version", it.Desired.Version},
                     {"age_ms", it.Age / 1000},
                     {"source", source}},
                    now);
}

RolloutTimes::RolloutTimes(GatewayState &state,
                           std::shared_ptr<HolderRecord> record)
    : State(state), Record(std::move(record)) {}

void RolloutTimes::onCatalog(TimePoint now) { learn(now); }

void RolloutTimes::onTimer(TimePoint now) {
  learn(now);
  writeMissing(now);
}

void RolloutTimes::learn(TimePoint now) {
  auto catalog = State.catalog();
  std::optional<int64_t> clock = State.Clock.at(now);
  if (!clock || catalog->RolloutTimes.empty())
    return;
  if (std::exchange(JudgedRevision, catalog->RolloutTimesRevision) !=
      catalog->RolloutTimesRevision)
    Judged.clear();
  std::vector<direct::DesiredVersionAge> ages;
  for (const direct::DesiredVersionTime &it : catalog->RolloutTimes) {
    bool isNamed = direct::isNamed(catalog->DesiredVersions, it.Desired);
    if (!isNamed || !Judged.insert(it.Desired).second)
      continue;
    if (std::optional<int64_t> age = direct::ageOf(it, *clock))
      ages.push_back({it.Desired, *age});
    else
      State.Log.write(LogPriority::Notable, "version_time_ignored",
                      {{"model", it.Desired.Model},
                       {"version", it.Desired.Version},
                       {"since_ms", it.SinceMs},
                       {"clock_ms", *clock},
                       {"revision", catalog->RolloutTimesRevision}},
                      now);
  }
  learnVersionAges(State, ages, "service", now);
}

void RolloutTimes::writeMissing(TimePoint now) {
  std::optional<int64_t> clock = State.Clock.at(now);
  if (!clock || !Record->mayWrite(now))
    return;
  auto catalog = State.catalog();
  std::vector<direct::DesiredVersionTime> times = direct::timesToRecord(
      catalog->rolloutAges(now), catalog->RolloutTimes, *clock);
  if (times.empty())
    return;
  size_t versions = times.size();
  Record->write(State.WireProtocol.EncodeRolloutTimes({std::move(times)}),
                catalog->RolloutTimesRevision, now,
                [&state = State, versions](const edge::KvHeader &header) {
                  state.Log.write(
                      LogPriority::Notable, "rollout_times_recorded",
                      {{"versions", versions},
                       {"status", edge::kvStatusName(header.Status)},
                       {"revision", header.Revision}},
                      monotonicNow());
                });
}

} // namespace daisytack::gateway
