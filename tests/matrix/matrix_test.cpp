#include "table.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace daisytack::matrix {

namespace {

void expectAllHold(const std::vector<Cell> &cells) {
  for (const Cell &it : cells) {
    EXPECT_EQ(it.Result.Violation, "") << cellName(it.Plan);
    EXPECT_TRUE(it.Result.Injected || !skipReason(it.Plan).empty())
        << cellName(it.Plan) << " was not reached";
  }
}

} // namespace

/// Guards against violations without any fault, and against a workload whose
/// submissions mostly fail: it would exercise little.
TEST(FaultMatrix, HoldsWithoutFaults) {
  RunResult out = SimulatedCluster(FaultPlan()).run();
  EXPECT_EQ(out.Violation, "");
  EXPECT_GT(out.Completed * 4, out.Submissions * 3);
  std::printf("without faults: %zu of %zu submissions completed\n",
              out.Completed, out.Submissions);
}

/// Guards against a fault at some step of the request or control path violating
/// an invariant.
TEST(FaultMatrix, EveryFaultAtEveryStep) {
  constexpr size_t MinCells = 300;
  std::vector<Cell> cells = singleCells();
  runCells(cells);
  TableCounts counts = printTable("single faults", cells);
  expectAllHold(cells);
  EXPECT_GE(counts.Run, MinCells);
}

/// Guards against violations that need two faults, at once or one after the
/// other.
TEST(FaultMatrix, PairsOfFaults) {
  constexpr size_t MinCells = 1000;
  std::vector<Cell> cells = pairCells();
  runCells(cells);
  TableCounts counts = printTable("pairs of faults", cells);
  expectAllHold(cells);
  EXPECT_GE(counts.Run, MinCells);
}

/// Guards against runs that differ for the same plan: a failed cell could not
/// be reproduced.
TEST(FaultMatrix, IsDeterministic) {
  FaultPlan plan;
  plan.TriggerStep = Step::Run;
  plan.Faults = {Fault::RestartsEmpty, Fault::ServiceDown};
  RunResult first = SimulatedCluster(plan).run();
  RunResult second = SimulatedCluster(plan).run();
  EXPECT_EQ(first.Submissions, second.Submissions);
  EXPECT_EQ(first.Completed, second.Completed);
  EXPECT_EQ(first.Violation, second.Violation);
}

/// Guards against checks that can't fail: for each invariant, a defect that its
/// check must detect.
struct SeededDefect {
  Invariant Violated = Invariant::Count;
  Defect Kind = Defect::None;
  Step TriggerStep = Step::Count;
  Fault Injected = Fault::Count;
};

/// Maximum number of passes of the step at which the fault is tried.
constexpr uint32_t MaxSkippedPasses = 40;

class InvariantTest : public ::testing::TestWithParam<SeededDefect> {};

TEST_P(InvariantTest, DetectsDefectAndPassesWithoutIt) {
  FaultPlan plan;
  plan.TriggerStep = GetParam().TriggerStep;
  if (plan.TriggerStep != Step::Count)
    plan.Faults = {GetParam().Injected};
  auto invariant = static_cast<size_t>(GetParam().Violated);
  bool shown = false;
  // The pass that exposes the defect depends on the preceding messages, so
  // passes are tried in order.
  for (; !shown && plan.SkippedPasses < MaxSkippedPasses;
       ++plan.SkippedPasses) {
    plan.Seeded = Defect::None;
    EXPECT_FALSE(SimulatedCluster(plan).run().Violated[invariant])
        << plan.SkippedPasses;
    plan.Seeded = GetParam().Kind;
    shown = SimulatedCluster(plan).run().Violated[invariant];
  }
  EXPECT_TRUE(shown);
}

INSTANTIATE_TEST_SUITE_P(
    FaultMatrix, InvariantTest,
    ::testing::Values(
        SeededDefect{Invariant::FreedOrTornNeverRead,
                     Defect::ImportsUnverified},
        SeededDefect{Invariant::OrganisationsStayApart,
                     Defect::AnswersWrongCaller},
        SeededDefect{Invariant::VersionsStayApart, Defect::KeepsOldPieceKeys},
        SeededDefect{Invariant::AnswersAreWholeAndOwn, Defect::DropsChunks},
        SeededDefect{Invariant::NotRunIsTrue, Defect::AlwaysReportsNotRun,
                     Step::Offer, Fault::ServerDies},
        SeededDefect{Invariant::AtMostOnce, Defect::RetriesAnyCall,
                     Step::Record, Fault::ServerDies},
        SeededDefect{Invariant::LeavingGetsNothingNew, Defect::IgnoresLeaving},
        SeededDefect{Invariant::ShutdownCutsNothingOff, Defect::ExitsAtOnce},
        SeededDefect{Invariant::ConfigurationStands, Defect::AcceptsOlderState,
                     Step::Spread, Fault::MessageLate}),
    [](const auto &it) {
      return std::string(invariantName(it.param.Violated));
    });

} // namespace daisytack::matrix
