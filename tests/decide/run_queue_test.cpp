#include "decide/run_queue.h"

#include "decide/fixtures.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <map>

namespace daisytack {

/// Higher priorities run before lower ones. Within a priority and a round of
/// fair sharing, requests run by earliest deadline first. The quantum is so
/// large that all requests are in one round.
RC_GTEST_PROP(RunQueue, RunsByPriorityThenDeadline, ()) {
  RunQueueSettings settings;
  settings.Slots = 1;
  settings.Quantum = Duration{1'000'000'000'000};
  RunQueue queue(settings);
  auto n = *rc::gen::inRange<uint64_t>(1, 60);
  for (uint64_t i = 1; i <= n; ++i)
    queue.push(makeRun(i, *rc::gen::inRange<uint64_t>(1, 4), millis(1),
                       millis(1), at(*rc::gen::inRange(0, 1'000)),
                       *rc::gen::inRange<uint8_t>(0, 10)),
               Epoch);
  std::optional<RunRequest> last;
  while (auto run = queue.start(Epoch)) {
    if (last)
      RC_ASSERT(
          last->Priority > run->Priority ||
          (last->Priority == run->Priority && last->Deadline <= run->Deadline));
    last = run;
    RC_ASSERT(queue.finish(run->Id, run->AttemptNumber));
  }
}

/// While two organisations both have waiting requests, the work done per unit
/// of weight differs between them by at most two rounds plus two runs of the
/// longest duration.
RC_GTEST_PROP(RunQueue, FairShareWithinBound, ()) {
  RunQueueSettings settings;
  settings.Slots = 1;
  RunQueue queue(settings);
  std::map<uint64_t, uint32_t> weights{{1, 1}, {2, *rc::gen::inRange(1, 5)}};
  std::map<uint64_t, double> served;
  const Duration longest = millis(400);
  uint64_t id = 0;
  for (auto [organisation, weight] : weights)
    for (int i = 0; i < 200; ++i) {
      RunRequest run = makeRun(++id, organisation, millis(0),
                               millis(*rc::gen::inRange(1, 401)),
                               at(*rc::gen::inRange(0, 100'000)));
      run.Weight = weight;
      queue.push(run, Epoch);
    }
  while (queue.waitingWork(1).count() > 0 && queue.waitingWork(2).count() > 0) {
    auto run = queue.start(Epoch);
    served[run->Organisation] += static_cast<double>(run->service().count()) /
                                 weights[run->Organisation];
    queue.finish(run->Id, run->AttemptNumber);
    double bound = 2.0 * static_cast<double>(settings.Quantum.count()) +
                   2.0 * static_cast<double>(longest.count());
    RC_ASSERT(std::abs(served[1] - served[2]) <= bound);
  }
}

TEST(RunQueue, ALateSmallOrganisationDoesNotWaitForALargeOnesBacklog) {
  RunQueueSettings settings;
  settings.Slots = 1;
  RunQueue queue(settings);
  for (uint64_t i = 1; i <= 100; ++i)
    queue.push(makeRun(i, 1, millis(0), millis(100), at(20'000)), Epoch);
  queue.push(makeRun(101, 2, millis(0), millis(100), at(90'000)), Epoch);
  int before = 0;
  while (queue.start(Epoch)->Organisation != 2) {
    ++before;
    queue.finish({1, static_cast<uint64_t>(before)}, 1);
  }
  EXPECT_LE(before, 6);
}

TEST(RunQueue, PreemptsTheLowestPriorityThatCanStillMeetItsDeadline) {
  RunQueueSettings settings;
  settings.Slots = 3;
  RunQueue queue(settings);
  auto run = [&](uint64_t id, uint8_t priority, TimePoint deadline) {
    RunRequest it =
        makeRun(id, 1, millis(0), millis(1'000), deadline, priority);
    it.Preemptible = true;
    queue.push(it, Epoch);
    queue.start(Epoch);
  };
  run(1, 1, at(1'050));
  run(2, 3, at(9'000));
  run(3, 4, at(9'000));
  RunRequest urgent = makeRun(4, 2, millis(0), millis(100), at(200), 5);
  auto victim = queue.preemptionVictim(urgent, Epoch);
  ASSERT_TRUE(victim);
  EXPECT_EQ(victim->Id, (RequestId{1, 2}));
  EXPECT_TRUE(queue.suspend(victim->Id, 1, Epoch));
  EXPECT_TRUE(queue.hasFreeSlot());
  EXPECT_EQ(queue.waiting(), 1U);
  urgent.Priority = 1;
  EXPECT_FALSE(queue.preemptionVictim(urgent, Epoch));
}

TEST(RunQueue, ReportsRequestsPredictedToMissTheirDeadline) {
  RunQueueSettings settings;
  settings.Slots = 1;
  RunQueue queue(settings);
  queue.push(makeRun(1, 1, millis(0), millis(1'000), at(1'000)), Epoch);
  queue.start(Epoch);
  queue.push(makeRun(2, 1, millis(0), millis(500), at(1'600)), Epoch);
  EXPECT_FALSE(queue.firstAtRisk(at(500)));
  // The running request takes longer than predicted.
  ASSERT_TRUE(queue.firstAtRisk(at(1'050)));
  EXPECT_TRUE(queue.cancel({1, 2}, 1));
  EXPECT_FALSE(queue.firstAtRisk(at(1'050)));
}

} // namespace daisytack
