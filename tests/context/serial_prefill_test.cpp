#include "decide/fixtures.h"

#include "context/check.h"

#include <algorithm>

namespace daisytack {

namespace {

RunQueueSettings serial() {
  RunQueueSettings out;
  out.Slots = 8;
  out.MaxPrefills = 1;
  return out;
}

} // namespace

TEST(SerialPrefill, OnePrefillAtATimeEvenWithFreeSlots) {
  RunQueue queue(serial());
  RunRequest first = makeRun(1, 1, millis(100), millis(500), at(9'000));
  RunRequest second = makeRun(2, 1, millis(100), millis(500), at(9'000));
  queue.push(first, Epoch);
  queue.push(second, Epoch);
  ASSERT_TRUE(queue.start(Epoch));
  EXPECT_FALSE(queue.start(Epoch));
  EXPECT_EQ(queue.backlog(Epoch), millis(200));
  queue.markPrefilled(first.Id, first.AttemptNumber);
  EXPECT_EQ(queue.start(Epoch)->Id, second.Id);
}

TEST(SerialPrefill, RequestWaitingForContextIsSkipped) {
  RunQueue queue(serial());
  RunRequest fetching = makeRun(1, 1, millis(100), millis(1), at(1'000));
  fetching.ContextReady = at(50);
  RunRequest ready = makeRun(2, 1, millis(100), millis(1), at(2'000));
  queue.push(fetching, Epoch);
  queue.push(ready, Epoch);
  EXPECT_EQ(queue.start(Epoch)->Id, ready.Id);
  queue.markPrefilled(ready.Id, ready.AttemptNumber);
  EXPECT_FALSE(queue.start(at(49)));
  EXPECT_EQ(queue.start(at(50))->Id, fetching.Id);
}

/// The predicted first-token times equal those of an engine that prefills one
/// request at a time.
TEST(SerialPrefill, PredictsASerialEngine) {
  expectProperty([] {
    RunQueue queue(serial());
    std::map<RequestId, TimePoint> predicted;
    auto n = *rc::gen::inRange<uint64_t>(1, 8);
    for (uint64_t i = 1; i <= n; ++i) {
      RunRequest run = makeRun(i, 1, millis(*rc::gen::inRange(1, 200)),
                               millis(10'000), at(1'000'000 + i));
      predicted[run.Id] = queue.plan(run, Epoch).FirstToken;
      queue.push(run, Epoch);
    }
    TimePoint now = Epoch;
    while (auto run = queue.start(now)) {
      now += run->Prefill;
      queue.markPrefilled(run->Id, run->AttemptNumber);
      RC_ASSERT(now == predicted[run->Id]);
    }
    RC_ASSERT(queue.waiting() == 0U);
  });
}

} // namespace daisytack
