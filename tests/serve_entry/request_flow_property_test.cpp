// Random interleavings of what two or more attempts, links, timers, callers and
// operators do.
#include "flow_harness.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <sstream>

using namespace daisytack;
using namespace daisytack::entry;

namespace {

/// One attempt as its agent sees it: answers with its own text, loses, repeats
/// and reorders.
struct AgentRun {
  std::string Server;
  Attempt Try = 0;
  uint32_t Next = 0;
  bool Refused = false;
  bool Delivered = true;
};

constexpr uint32_t AnswerChunks = 5;

class World {
public:
  World(const FlowKind &kind, FlowHarness &harness)
      : Kind(kind), Harness(harness) {}

  void step() {
    adopt();
    int what = *rc::gen::inRange(0, 16);
    if (Runs.empty() || what >= 13)
      return outside(what);
    AgentRun &run = Runs[*rc::gen::inRange<size_t>(0, Runs.size())];
    inside(run, what);
  }

  void adopt() {
    for (; Seen < Harness.Offers.size(); ++Seen) {
      const SendOffer &it = Harness.Offers[Seen];
      Runs.push_back(
          {it.Server, it.Offer.Try, it.Offer.GeneratedChunks, false, true});
    }
  }

  std::vector<AgentRun> Runs;

private:
  void chunk(const AgentRun &run, uint32_t index, const RequestId &id) {
    std::string text = id == FlowHarness::id() ? std::to_string(run.Try) + ":" +
                                                     std::to_string(index) + " "
                                               : "another's ";
    Harness.feed(ServerSaid{
        run.Server, wire::Chunk{id, run.Try, index, 1, std::move(text)}});
  }

  void inside(AgentRun &run, int what) {
    RequestId id = FlowHarness::id();
    if (what < 6 && run.Next < AnswerChunks && !run.Refused)
      chunk(run, run.Next++, id);
    else if (what == 6)
      chunk(run, *rc::gen::inRange<uint32_t>(0, AnswerChunks), id);
    else if (what == 7)
      chunk(run, run.Next, RequestId{7, 7});
    else if (what == 8)
      Harness.feed(ServerSaid{run.Server,
                              wire::Accepted{id, run.Try, 50'000, 90'000, {}}});
    else if (what == 9)
      refuse(run);
    else if (what == 10)
      Harness.feed(LinkLost{run.Try, true});
    else if (what == 11)
      loseUnsent(run);
    else
      finish(run);
  }

  // Only an attempt that produced nothing can truthfully be refused.
  void refuse(AgentRun &run) {
    bool fresh = run.Next == startOf(run) && run.Delivered;
    if (!fresh)
      return;
    run.Refused = true;
    wire::Refused out;
    out.Id = FlowHarness::id();
    out.Try = run.Try;
    out.Kind = ErrorKind::Overloaded;
    Harness.feed(ServerSaid{run.Server, out});
  }

  void loseUnsent(AgentRun &run) {
    if (run.Next != startOf(run) || run.Refused)
      return;
    run.Delivered = false;
    Harness.feed(LinkLost{run.Try, false});
  }

  uint32_t startOf(const AgentRun &run) const {
    for (const SendOffer &it : Harness.Offers)
      if (it.Offer.Try == run.Try)
        return it.Offer.GeneratedChunks;
    return 0;
  }

  void finish(const AgentRun &run) {
    wire::Finished out;
    out.Id = FlowHarness::id();
    out.Try = run.Try;
    out.Chunks = AnswerChunks;
    if (*rc::gen::inRange(0, 4) == 0) {
      out.Kind = ErrorKind::ServerFailed;
      out.Ran = Outcome::MayHaveRun;
    }
    Harness.feed(ServerSaid{run.Server, out});
  }

  void outside(int what) {
    if (what == 15 && *rc::gen::inRange(0, 4) == 0)
      Harness.feed(CallerGone{});
    else if (what == 14)
      Harness.feed(ConfigChanged{});
    else
      Harness.pass(Duration(*rc::gen::inRange(1, 1'500'000)));
  }

  const FlowKind &Kind;
  FlowHarness &Harness;
  size_t Seen = 0;
};

/// Each chunk once and in order, and each attempt's from where the text it was
/// given ends: two attempts' words are never mixed.
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

void checkPromises(const FlowHarness &harness, const World &world,
                   const FlowKind &kind) {
  // One final answer at most; the text is the answer's beginning, in order.
  RC_ASSERT(harness.Finals <= 1);
  checkText(harness, harness.Shown);
  if (harness.Whole)
    RC_ASSERT(chunksIn(harness.Shown) == AnswerChunks);
  for (size_t i = 1; i < harness.Parts.size(); ++i)
    RC_ASSERT(harness.Parts[i] > harness.Parts[i - 1]);
  RC_ASSERT(harness.Offers.size() <= MaxAttempts);
  if (kind.Idempotent || !harness.Failure)
    return;
  // "Not run" is true only when every offer was refused or never arrived.
  bool surely = true;
  for (const AgentRun &run : world.Runs)
    surely = surely && (run.Refused || !run.Delivered);
  if (harness.Failure->Ran == Outcome::NotRun)
    RC_ASSERT(surely);
}

FlowKind anyKind(bool idempotent) {
  FlowKind kind;
  kind.Idempotent = idempotent;
  kind.Stream = *rc::gen::arbitrary<bool>();
  if (*rc::gen::inRange(0, 3) == 0)
    kind.ReleaseIn = Duration(*rc::gen::inRange(1, 8'000'000));
  return kind;
}

} // namespace

RC_GTEST_PROP(RequestFlowProperty, CallerSeesEachChunkOnce, ()) {
  FlowKind kind = anyKind(true);
  FlowHarness harness(kind);
  harness.Budget = *rc::gen::inRange(0, 6);
  harness.feed(FlowStarted{});
  World world(kind, harness);
  for (int i = 0; i < 40; ++i)
    world.step();
  harness.pass(Duration(30'000'000));
  checkPromises(harness, world, kind);
}

RC_GTEST_PROP(RequestFlowProperty, EveryRequestEnds, ()) {
  FlowKind kind = anyKind(*rc::gen::arbitrary<bool>());
  FlowHarness harness(kind);
  harness.feed(FlowStarted{});
  World world(kind, harness);
  for (int i = 0, n = *rc::gen::inRange(0, 30); i < n; ++i)
    world.step();
  harness.pass(Duration(30'000'000));
  RC_ASSERT(harness.Flow.isEnded());
  RC_ASSERT(harness.Flow.servers().empty());
}

RC_GTEST_PROP(RequestFlowProperty, NonIdempotentIsNeverOfferedTwice, ()) {
  FlowKind kind = anyKind(false);
  FlowHarness harness(kind);
  harness.feed(FlowStarted{});
  World world(kind, harness);
  for (int i = 0; i < 40; ++i) {
    size_t before = harness.Offers.size();
    world.step();
    world.adopt();
    if (harness.Offers.size() == before)
      continue;
    // All offers before the new one surely didn't run.
    for (size_t j = 0; j + 1 < world.Runs.size(); ++j)
      RC_ASSERT(world.Runs[j].Refused || !world.Runs[j].Delivered);
  }
  harness.pass(Duration(30'000'000));
  checkPromises(harness, world, kind);
}
