// Guarantees of RequestFlow under random interleavings of attempts, link
// failures, timers, caller disconnects and configuration changes.
#include "flow_harness.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <sstream>

using namespace daisytack;
using namespace daisytack::entry;

namespace {

/// An attempt at its agent, which answers with its own text and may lose,
/// repeat or reorder messages.
struct AgentRun {
  std::string Server;
  Attempt AttemptNumber = 0;
  uint32_t NextChunk = 0;
  bool Refused = false;
  bool MayHaveArrived = true;
};

constexpr uint32_t AnswerChunks = 5;

class RandomScenario {
public:
  RandomScenario(const FlowKind &kind, FlowHarness &harness)
      : Kind(kind), Harness(harness) {}

  void step() {
    trackNewOffers();
    int choice = *rc::gen::inRange(0, 16);
    if (Runs.empty() || choice >= 13)
      return stepOutside(choice);
    AgentRun &run = Runs[*rc::gen::inRange<size_t>(0, Runs.size())];
    stepAgent(run, choice);
  }

  void trackNewOffers() {
    for (; TrackedOffers < Harness.Offers.size(); ++TrackedOffers) {
      const SendOffer &it = Harness.Offers[TrackedOffers];
      Runs.push_back({it.Server, it.Offer.AttemptNumber,
                      it.Offer.GeneratedChunks, false, true});
    }
  }

  std::vector<AgentRun> Runs;

private:
  void chunk(const AgentRun &run, uint32_t index, const RequestId &id) {
    std::string text = id == FlowHarness::id()
                           ? std::to_string(run.AttemptNumber) + ":" +
                                 std::to_string(index) + " "
                           : "another's ";
    Harness.applyInput(
        ServerMessage{run.Server, wire::Chunk{id, run.AttemptNumber, index, 1,
                                              std::move(text)}});
  }

  void stepAgent(AgentRun &run, int choice) {
    RequestId id = FlowHarness::id();
    if (choice < 6 && run.NextChunk < AnswerChunks && !run.Refused)
      chunk(run, run.NextChunk++, id);
    else if (choice == 6)
      chunk(run, *rc::gen::inRange<uint32_t>(0, AnswerChunks), id);
    else if (choice == 7)
      chunk(run, run.NextChunk, RequestId{7, 7});
    else if (choice == 8)
      Harness.applyInput(ServerMessage{
          run.Server,
          wire::Accepted{id, run.AttemptNumber, 50'000, 90'000, {}}});
    else if (choice == 9)
      refuse(run);
    else if (choice == 10)
      Harness.applyInput(LinkLost{run.AttemptNumber, true});
    else if (choice == 11)
      loseUnsent(run);
    else
      finish(run);
  }

  // Only an attempt that has sent no chunk can report that it did not run.
  void refuse(AgentRun &run) {
    bool isUntouched = run.NextChunk == firstChunkOf(run) && run.MayHaveArrived;
    if (!isUntouched)
      return;
    run.Refused = true;
    wire::Refused out;
    out.Id = FlowHarness::id();
    out.AttemptNumber = run.AttemptNumber;
    out.Kind = ErrorKind::Overloaded;
    Harness.applyInput(ServerMessage{run.Server, out});
  }

  void loseUnsent(AgentRun &run) {
    if (run.NextChunk != firstChunkOf(run) || run.Refused)
      return;
    run.MayHaveArrived = false;
    Harness.applyInput(LinkLost{run.AttemptNumber, false});
  }

  uint32_t firstChunkOf(const AgentRun &run) const {
    for (const SendOffer &it : Harness.Offers)
      if (it.Offer.AttemptNumber == run.AttemptNumber)
        return it.Offer.GeneratedChunks;
    return 0;
  }

  void finish(const AgentRun &run) {
    wire::Finished out;
    out.Id = FlowHarness::id();
    out.AttemptNumber = run.AttemptNumber;
    out.Chunks = AnswerChunks;
    if (*rc::gen::inRange(0, 4) == 0) {
      out.Kind = ErrorKind::ServerFailed;
      out.RunOutcome = Outcome::MayHaveRun;
    }
    Harness.applyInput(ServerMessage{run.Server, out});
  }

  void stepOutside(int choice) {
    if (choice == 15 && *rc::gen::inRange(0, 4) == 0)
      Harness.applyInput(CallerDisconnected{});
    else if (choice == 14)
      Harness.applyInput(ConfigChanged{});
    else
      Harness.advance(Duration(*rc::gen::inRange(1, 1'500'000)));
  }

  const FlowKind &Kind;
  FlowHarness &Harness;
  size_t TrackedOffers = 0;
};

/// Checks that the text has each chunk once and in order, and that each attempt
/// continues exactly the text that its offer carried.
void checkText(const FlowHarness &harness, const std::string &text) {
  std::istringstream in(text);
  std::string before;
  std::string word;
  Attempt last = 0;
  for (uint32_t i = 0; in >> word; ++i) {
    size_t colon = word.find(':');
    RC_ASSERT(colon != std::string::npos);
    auto attempt = static_cast<Attempt>(std::stoul(word.substr(0, colon)));
    RC_ASSERT(word.substr(colon + 1) == std::to_string(i));
    if (attempt != last)
      RC_ASSERT(harness.Offers.at(attempt - 1).Offer.Generated == before);
    last = attempt;
    before += word + " ";
  }
}

uint32_t chunksIn(const std::string &text) {
  return static_cast<uint32_t>(std::count(text.begin(), text.end(), ' '));
}

void checkGuarantees(const FlowHarness &harness, const RandomScenario &scenario,
                     const FlowKind &kind) {
  // At most one final answer; the text is a prefix of the answer.
  RC_ASSERT(harness.FinalAnswers <= 1);
  checkText(harness, harness.CallerText);
  if (harness.HasWholeAnswer)
    RC_ASSERT(chunksIn(harness.CallerText) == AnswerChunks);
  for (size_t i = 1; i < harness.PartIndexes.size(); ++i)
    RC_ASSERT(harness.PartIndexes[i] > harness.PartIndexes[i - 1]);
  RC_ASSERT(harness.Offers.size() <= MaxAttempts);
  if (kind.Idempotent || !harness.Failure)
    return;
  // NotRun is only reported if every offer was refused or never arrived.
  bool noneRan = true;
  for (const AgentRun &run : scenario.Runs)
    noneRan = noneRan && (run.Refused || !run.MayHaveArrived);
  if (harness.Failure->RunOutcome == Outcome::NotRun)
    RC_ASSERT(noneRan);
}

FlowKind randomKind(bool idempotent) {
  FlowKind kind;
  kind.Idempotent = idempotent;
  kind.Stream = *rc::gen::arbitrary<bool>();
  if (*rc::gen::inRange(0, 3) == 0)
    kind.ReleaseIn = Duration(*rc::gen::inRange(1, 8'000'000));
  return kind;
}

} // namespace

RC_GTEST_PROP(RequestFlowProperty, CallerSeesEachChunkOnce, ()) {
  FlowKind kind = randomKind(true);
  FlowHarness harness(kind);
  harness.RetryBudget = *rc::gen::inRange(0, 6);
  harness.applyInput(FlowStarted{});
  RandomScenario scenario(kind, harness);
  for (int i = 0; i < 40; ++i)
    scenario.step();
  harness.advance(Duration(30'000'000));
  checkGuarantees(harness, scenario, kind);
}

RC_GTEST_PROP(RequestFlowProperty, EveryRequestEnds, ()) {
  FlowKind kind = randomKind(*rc::gen::arbitrary<bool>());
  FlowHarness harness(kind);
  harness.applyInput(FlowStarted{});
  RandomScenario scenario(kind, harness);
  for (int i = 0, n = *rc::gen::inRange(0, 30); i < n; ++i)
    scenario.step();
  harness.advance(Duration(30'000'000));
  RC_ASSERT(harness.Flow.isEnded());
  RC_ASSERT(harness.Flow.servers().empty());
}

RC_GTEST_PROP(RequestFlowProperty, NonIdempotentIsNeverOfferedTwice, ()) {
  FlowKind kind = randomKind(false);
  FlowHarness harness(kind);
  harness.applyInput(FlowStarted{});
  RandomScenario scenario(kind, harness);
  for (int i = 0; i < 40; ++i) {
    size_t before = harness.Offers.size();
    scenario.step();
    scenario.trackNewOffers();
    if (harness.Offers.size() == before)
      continue;
    // No offer before the new one can have run.
    for (size_t j = 0; j + 1 < scenario.Runs.size(); ++j)
      RC_ASSERT(scenario.Runs[j].Refused || !scenario.Runs[j].MayHaveArrived);
  }
  harness.advance(Duration(30'000'000));
  checkGuarantees(harness, scenario, kind);
}
