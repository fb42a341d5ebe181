/// What bodies of several organisations may hold, and how the limit follows the
/// memory of the process. Guards against entries that end as they take more
/// memory than their instance has.
#include "admission/request_memory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace daisytack::admission {
namespace {

constexpr size_t Limit = 64'000'000;
constexpr size_t LargeBody = 4'000'000;
constexpr size_t SmallBody = 16'000;

using Memory = std::shared_ptr<RequestMemory>;

/// The limit is `Limit` while nothing else takes memory.
Memory makeMemory() {
  RequestMemorySettings settings;
  settings.InstanceBytes = Limit;
  settings.UsableShare = 1;
  auto out = std::make_shared<RequestMemory>(settings);
  out->onResident(0);
  return out;
}

/// Reserves room for large bodies until one is refused.
std::vector<MemoryReservation> fill(const Memory &memory,
                                    std::string_view organisation) {
  std::vector<MemoryReservation> out;
  while (auto it = memory->reserve(organisation, LargeBody))
    out.push_back(std::move(*it));
  return out;
}

TEST(RequestMemory, LetsOneOrganisationUseAboutHalf) {
  Memory memory = makeMemory();
  auto first = fill(memory, "a");
  EXPECT_GE(first.size() * LargeBody, Limit * 35 / 100);
  EXPECT_LE(first.size() * LargeBody, Limit / 2);
  auto second = fill(memory, "b");
  EXPECT_GE(second.size(), 2U);
  EXPECT_GE(memory->view().Refusals, 2U);
}

TEST(RequestMemory, ReturnsTheRoomOfEndedBodies) {
  Memory memory = makeMemory();
  size_t count = fill(memory, "a").size();
  EXPECT_EQ(memory->view().Reserved, 0U);
  EXPECT_EQ(fill(memory, "a").size(), count);
}

TEST(RequestMemory, CountsAnswersAndHeads) {
  Memory memory = makeMemory();
  size_t allowance = memory->answerAllowance();
  {
    HeldMemory answers(memory, MemoryCause::Answer);
    answers.set(Limit * 8 / 10);
    memory->adjust(MemoryCause::Head, Limit / 10);
    EXPECT_FALSE(memory->reserve("a", LargeBody));
    EXPECT_TRUE(memory->reserve("a", SmallBody));
    answers.set(Limit);
    EXPECT_LT(memory->answerAllowance(), allowance);
  }
  memory->adjust(MemoryCause::Head, -int64_t{Limit} / 10);
  EXPECT_EQ(memory->answerAllowance(), allowance);
  EXPECT_TRUE(memory->reserve("a", LargeBody));
}

/// Bytes that were reserved and have not arrived are not part of the memory of
/// the process: they must not hide what else takes it.
TEST(RequestMemory, SubtractsWhatElseTakesMemory) {
  Memory memory = makeMemory();
  auto body = memory->reserve("a", LargeBody);
  ASSERT_TRUE(body);
  memory->onResident(20'000'000);
  EXPECT_EQ(memory->view().Limit, Limit - 20'000'000);
  body->setReceived(3'000'000);
  memory->onResident(20'000'000);
  EXPECT_EQ(memory->view().Limit, Limit - 17'000'000);
}

/// Small requests go on while more is reserved than the limit allows by now.
TEST(RequestMemory, AcceptsSmallBodiesWhileTheLimitIsExceeded) {
  Memory memory = makeMemory();
  auto held = fill(memory, "a");
  memory->onResident(10 * Limit);
  EXPECT_EQ(memory->view().Limit, RequestMemorySettings().MinLimitBytes);
  EXPECT_FALSE(memory->reserve("b", LargeBody));
  std::vector<MemoryReservation> small;
  while (auto it = memory->reserve("a", 1000))
    small.push_back(std::move(*it));
  EXPECT_GE(small.size(), 100U);
  EXPECT_TRUE(memory->reserve("b", SmallBody));
}

TEST(RequestMemory, GrowsReservationsWithinTheLimit) {
  Memory memory = makeMemory();
  auto held = fill(memory, "a");
  auto body = memory->reserve("a", SmallBody);
  ASSERT_TRUE(body);
  EXPECT_TRUE(body->grow(SmallBody));
  EXPECT_FALSE(body->grow(LargeBody));
  EXPECT_EQ(body->bytes(), SmallBody);
  held.clear();
  EXPECT_TRUE(body->grow(LargeBody));
  EXPECT_EQ(memory->view().Reserved, LargeBody);
}

TEST(RequestMemory, RefusesAsNotRunWithATimeToReturn) {
  Memory memory = makeMemory();
  Error early = memory->refusal(0);
  Error late = memory->refusal(1);
  EXPECT_EQ(errorStatus(early.Kind), 503U);
  EXPECT_EQ(early.RetryAfter, RequestMemorySettings().MinRetryAfter);
  EXPECT_EQ(late.RetryAfter, RequestMemorySettings().MaxRetryAfter);
}

/// Whatever six organisations reserve, the sum never exceeds the limit, and a
/// small body of an idle organisation is accepted.
RC_GTEST_PROP(RequestMemory, KeepsTheLimitAndRoomForOthers, ()) {
  Memory memory = makeMemory();
  std::vector<MemoryReservation> held;
  auto steps = *rc::gen::inRange(1, 300);
  for (int i = 0; i < steps; ++i) {
    auto organisation = std::to_string(*rc::gen::inRange(0, 6));
    bool isSmall = *rc::gen::inRange(0, 2) == 0;
    auto bytes = *rc::gen::inRange<size_t>(0, isSmall ? 17'000 : 8'000'000);
    auto action = *rc::gen::inRange(0, 4);
    if (action == 0 && !held.empty())
      held.erase(held.begin() +
                 *rc::gen::inRange<int>(0, static_cast<int>(held.size())));
    else if (action == 1 && !held.empty())
      held.back().grow(bytes);
    else if (auto it = memory->reserve(organisation, bytes))
      held.push_back(std::move(*it));
    RC_ASSERT(memory->view().Reserved <= Limit);
    RC_ASSERT(memory->reserve("idle", SmallBody).has_value());
  }
  held.clear();
  RC_ASSERT(memory->view().Reserved == 0U);
}

} // namespace
} // namespace daisytack::admission
