/// A model of a planned stop: random arrivals and durations of answers on
/// several routes, and a random grace period, with the entry's own decisions.
///
/// Guards against an entry that passes on requests which it can't answer before
/// its end, and against one that refuses those which it can: all of them would
/// go to the other entries at once.
#include "balancing/answer_times.h"
#include "direct/drain_plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;
using balancing::AnswerEnd;
using balancing::AnswerKey;
using balancing::AnswerTimes;

/// When the signal comes.
const TimePoint Signal{Duration(1'000'000'000)};

struct RouteModel {
  AnswerKey Key;
  Duration Slowest; ///< Of its answers.
  Duration Timeout; ///< Of its requests.
  bool IsKnown;     ///< Whether answers were seen before the signal.
};

struct Running {
  size_t Route;
  TimePoint SentAt;
  TimePoint EndsAt;
};

Duration randomDuration(Duration low, Duration high) {
  // Of the whole range in each run: at small sizes, time would stand still.
  return Duration(*rc::gen::resize(
      rc::kNominalSize, rc::gen::inRange(low.count(), high.count())));
}

class DrainModel {
public:
  explicit DrainModel(Duration grace)
      : Grace(grace), Plan({}, Signal, Signal, Signal + grace), Times({}) {
    auto count = *rc::gen::inRange<size_t>(1, 4);
    for (size_t i = 0; i < count; ++i)
      Routes.push_back({{"route" + std::to_string(i), "service"},
                        randomDuration(10ms, 12s),
                        randomDuration(1s, 30s),
                        *rc::gen::arbitrary<bool>()});
    for (const RouteModel &route : Routes)
      if (route.IsKnown)
        learn(route);
  }

  void run() {
    TimePoint now = Signal - 5s;
    while (now < Signal + Grace) {
      now += randomDuration(1ms, 400ms);
      endUntil(now);
      arrive(*rc::gen::inRange<size_t>(0, Routes.size()), now);
    }
  }

private:
  /// The slowest of some answers, all of which ended before the first arrival.
  void learn(const RouteModel &route) {
    TimePoint end = Signal - 5s;
    for (uint32_t i = 0; i < balancing::AnswerTimeSettings{}.MinAnswers; ++i) {
      Times.onSent(route.Key, end - route.Slowest);
      Times.onEnded(route.Key, AnswerEnd::Complete, 0, end - route.Slowest,
                    end);
    }
  }

  void endUntil(TimePoint now) {
    std::erase_if(Answers, [&](const Running &it) {
      bool hasEnded = it.EndsAt <= now;
      if (hasEnded)
        Times.onEnded(Routes[it.Route].Key, AnswerEnd::Complete, 0, it.SentAt,
                      it.EndsAt);
      return hasEnded;
    });
  }

  void arrive(size_t number, TimePoint now) {
    const RouteModel &route = Routes[number];
    Duration took =
        std::min(randomDuration(1ms, route.Slowest + 1us), route.Timeout);
    bool isLate = !Plan.isBeforeSignal(now);
    if (isLate && now >= Plan.acceptsRequestsUntil())
      return;
    std::optional<Duration> estimate = Times.estimate(route.Key, 0, now);
    TimePoint deadline = now + route.Timeout;
    TimePoint expected =
        estimate ? std::min(deadline, now + *estimate) : deadline;
    bool isTaken = !isLate || Plan.mayAttempt(now, expected);
    if (!isTaken)
      return checkRefusal(route, now);
    Times.onSent(route.Key, now);
    Answers.push_back({number, now, now + took});
    // Answers that nothing was known of may only be begun if their time-out is
    // in time.
    if (isLate && (route.IsKnown || !estimate))
      RC_ASSERT(!Plan.isFinalAnswerDue(now + took - Duration(1)));
  }

  /// A request is refused only if its answer might come too late.
  void checkRefusal(const RouteModel &route, TimePoint now) const {
    if (!route.IsKnown)
      return;
    double margin = balancing::AnswerTimeSettings{}.Margin;
    Duration needed =
        std::max(Duration(static_cast<int64_t>(
                     static_cast<double>(route.Slowest.count()) * margin)),
                 DrainSettings{}.MinAttemptTime);
    RC_ASSERT(Plan.isFinalAnswerDue(now + needed));
  }

  Duration Grace;
  DrainPlan Plan;
  AnswerTimes Times;
  std::vector<RouteModel> Routes;
  std::vector<Running> Answers;
};

RC_GTEST_PROP(DrainModel, PassesOnExactlyWhatCanBeAnswered, ()) {
  DrainModel(randomDuration(2s, 20s)).run();
}

} // namespace
} // namespace daisytack::direct
