/// Property test of AgentCore under random interleavings of its inputs.
#include "serve_agent/fake_platform.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>
#include <tuple>

namespace daisytack::serve::test {
namespace {

constexpr uint64_t RequestCount = 6;
constexpr uint32_t Slots = 2;

AgentSettings settings() {
  AgentSettings out = modelSettings();
  out.Queue.Slots = Slots;
  out.Stores.Instances = {
      {"s1", "imanta", {"127.0.0.1", 1}, hashName("s1")},
      {"s2", "jugla", {"127.0.0.1", 2}, hashName("s2")},
  };
  return out;
}

std::string chunkTextOf(const RequestId &id) {
  return "<" + std::to_string(id.Lo) + ">";
}

/// Applies random steps to an AgentCore and checks its invariants: every
/// accepted attempt whose link is open gets a final message, no attempt gets
/// more final messages than it had offers and resumes, chunks arrive in order
/// and only for their own request, the slots are not exceeded, and no faulty
/// piece is imported.
class Schedule {
public:
  Schedule() : Rig(settings()), Platform(Rig) {
    for (uint8_t i = 1; i <= 3; ++i)
      Platform.storePiece({i % 2U}, keyOf(i));
    Links = {LinkA, LinkB};
  }

  /// Applies the step that a random number encodes.
  void apply(uint32_t draw) {
    uint32_t action = draw % 16;
    Draw = draw / 16;
    switch (action) {
    case 0:
    case 1:
    case 2:
      return offer();
    case 3:
      return cancel();
    case 4:
      return resume();
    case 5:
      return replaceLink();
    case 6:
    case 7:
      return text();
    case 8:
      return done();
    case 9:
      return fail();
    case 10:
      return answerOfOtherRun();
    case 11:
      return answer();
    case 12:
      return status();
    case 13:
      return advanceTime(Duration((Draw % 4000) * 1000));
    case 14:
      return stop();
    default:
      return Draw % 8 == 0 ? drain() : answer();
    }
  }

  /// Answers all calls and finishes all runs.
  void finishAll() {
    Platform.Fault = StoreFault::None;
    for (int i = 0; i < 40; ++i) {
      Platform.answerAll();
      advanceTime(Duration(2'000'000));
      for (const RunToken &run : std::set<RunToken>(AtServer))
        finishRun(run);
    }
    checkOutputs();
  }

  /// Checks the final messages and the imported pieces after finishAll().
  void checkFinals() {
    for (const auto &[attempt, state] : Attempts) {
      auto link = std::get<0>(attempt);
      RC_ASSERT(state.Finals <= state.Requests);
      if (state.Accepted > 0 && Links.contains(LinkHandle{link}))
        RC_ASSERT(state.Finals > 0);
    }
    for (const auto &[key, bytes] : Platform.Imported)
      RC_ASSERT(bytes == payloadOf(key));
  }

private:
  struct AttemptState {
    int Requests = 0; ///< Number of offers and resumes.
    int Accepted = 0; ///< Number of Accepted messages.
    int Finals = 0;   ///< Number of Refused and Finished messages.
    /// Index expected of the next chunk; empty if any index is valid.
    std::optional<uint32_t> NextIndex;
  };
  using AttemptKey = std::tuple<uint32_t, RequestId, Attempt>;

  AttemptState &attempt(LinkHandle link, const RequestId &id, Attempt n) {
    return Attempts[{link.Index, id, n}];
  }

  LinkHandle anyLink() const {
    auto it = Links.begin();
    std::advance(it, Draw % Links.size());
    return *it;
  }
  uint64_t anyId() const { return 1 + (Draw / 2) % RequestCount; }
  Attempt anyAttempt() const { return 1 + (Draw / 16) % 3; }

  void offer() {
    wire::Offer out = offerOf(anyId(), anyAttempt());
    out.Priority = static_cast<uint8_t>(Draw / 64 % 10);
    out.RemainingMicros = 1'000 * (500 + Draw / 7 % 20'000);
    out.Pieces = {keyOf(1), keyOf(2), keyOf(3)};
    out.PromptTokens = 3 * PieceTokens + 10;
    out.KeepMicros = 3'600'000'000;
    out.KeptQuota = 1 << 20;
    out.Keep = static_cast<uint8_t>(KeepRule::Always);
    if (Draw / 5 % 11 == 0)
      out.Body = "{\"other\":1}";
    if (Draw / 3 % 13 == 0)
      out.Organisation = "dakar-notices";
    ++attempt(anyLink(), out.Id, out.AttemptNumber).Requests;
    Rig.offer(out, anyLink());
    checkOutputs();
  }
  void cancel() {
    Rig.apply(LinkMessage{anyLink(), wire::Cancel{{7, anyId()}, anyAttempt()}});
    checkOutputs();
  }
  void resume() {
    ++attempt(anyLink(), {7, anyId()}, anyAttempt()).Requests;
    attempt(anyLink(), {7, anyId()}, anyAttempt()).NextIndex.reset();
    Rig.apply(LinkMessage{
        anyLink(),
        wire::Resume{{7, anyId()}, anyAttempt(), "riga-buyers", Draw % 3}});
    checkOutputs();
  }
  void replaceLink() {
    LinkHandle old = anyLink();
    Links.erase(old);
    Rig.apply(LinkClosed{old});
    LinkHandle fresh{++LastLink};
    Links.insert(fresh);
    Rig.apply(LinkOpened{fresh});
    checkOutputs();
  }
  std::optional<RunToken> anyRunning() const {
    if (AtServer.empty())
      return std::nullopt;
    auto it = AtServer.begin();
    std::advance(it, Draw % AtServer.size());
    return *it;
  }
  /// A run that was started at any time. If it has ended, inputs for it are
  /// late.
  std::optional<RunToken> anyStarted() const {
    if (Rig.Started.empty())
      return std::nullopt;
    return Rig.Started[Draw % Rig.Started.size()].Run;
  }
  void text() {
    auto run = Draw % 5 == 0 ? anyStarted() : anyRunning();
    if (!run)
      return;
    uint32_t &sequence = Sequences[*run];
    bool repeat = sequence > 0 && Draw % 7 == 0;
    uint32_t n = repeat ? sequence - 1 : sequence++;
    Rig.apply(RunText{*run, *run, n, 1, chunkTextOf(run->Id)});
    checkOutputs();
  }
  void done() {
    if (auto run = Draw % 5 == 0 ? anyStarted() : anyRunning())
      finishRun(*run);
  }
  void finishRun(const RunToken &run) {
    AtServer.erase(run);
    RunDone out;
    out.Run = run;
    out.Answer = run;
    out.PromptTokens = 100;
    Rig.apply(out);
    checkOutputs();
  }
  void fail() {
    auto run = Draw % 5 == 0 ? anyStarted() : anyRunning();
    if (!run)
      return;
    AtServer.erase(*run);
    bool notRun = Sequences[*run] == 0 && Draw % 2 == 0;
    Rig.apply(RunFailed{*run,
                        {ErrorKind::ServerLost, "broke"},
                        notRun ? Outcome::NotRun : Outcome::MayHaveRun});
    checkOutputs();
  }
  void answerOfOtherRun() {
    auto run = anyRunning();
    if (!run)
      return;
    RunToken other = *run;
    other.Id.Lo += 100;
    Rig.apply(RunText{*run, other, std::nullopt, 1, "<foreign>"});
    checkOutputs();
  }
  void answer() {
    constexpr std::array<StoreFault, 8> Faults{
        StoreFault::None,           StoreFault::None,
        StoreFault::Unreachable,    StoreFault::Truncated,
        StoreFault::FreedAfterRead, StoreFault::ReplacedAfterLookup,
        StoreFault::WrongKey,       StoreFault::Full};
    Platform.Fault = Faults[Draw % Faults.size()];
    for (uint32_t i = 0; i <= Draw / 8 % 4; ++i)
      Platform.answerOne();
    checkOutputs();
  }
  void status() {
    EngineStatus out = engineStatus();
    if (Draw % 6 == 0)
      out.Version = "v2";
    if (Draw % 5 == 0)
      out.Started = Draw;
    if (Draw % 7 == 0)
      Rig.apply(EngineUnresponsive{{ErrorKind::ServerLost, "silent"}});
    else
      Rig.apply(out);
    checkOutputs();
  }
  void advanceTime(Duration d) {
    Rig.advanceTime(d);
    checkOutputs();
  }
  void stop() {
    if (Draw % 4 == 0)
      Rig.apply(StopRequested{RequestId{7, anyId()}, ""});
    checkOutputs();
  }
  void drain() {
    Rig.apply(DrainRequested{});
    checkOutputs();
  }

  /// Checks the actions since the last call.
  void checkOutputs() {
    for (; CheckedStarted < Rig.Started.size(); ++CheckedStarted)
      RC_ASSERT(AtServer.insert(Rig.Started[CheckedStarted].Run).second);
    for (const RunToken &run : std::exchange(Rig.Cancelled, {}))
      AtServer.erase(run);
    std::set<RunToken> active = AtServer;
    for (const RunToken &run : std::exchange(Rig.Suspended, {}))
      Suspended.insert(run);
    for (const RunToken &run : std::exchange(Rig.Resumed, {}))
      Suspended.erase(run);
    std::erase_if(active,
                  [&](const RunToken &run) { return Suspended.contains(run); });
    RC_ASSERT(active.size() <= Slots);
    for (; CheckedSent < Rig.Sent.size(); ++CheckedSent)
      checkMessage(Rig.Sent[CheckedSent]);
  }
  void checkMessage(const SendMessage &sent) {
    if (const auto *accepted = std::get_if<wire::Accepted>(&sent.Body)) {
      AttemptState &state =
          attempt(sent.Link, accepted->Id, accepted->AttemptNumber);
      ++state.Accepted;
      state.NextIndex.reset();
    } else if (const auto *chunk = std::get_if<wire::Chunk>(&sent.Body)) {
      AttemptState &state = attempt(sent.Link, chunk->Id, chunk->AttemptNumber);
      RC_ASSERT(chunk->Text == chunkTextOf(chunk->Id));
      // The macro evaluates both operands of a condition.
      bool isExpected = !state.NextIndex || *state.NextIndex == chunk->Index;
      RC_ASSERT(isExpected);
      state.NextIndex = chunk->Index + 1;
    } else if (const auto *refused = std::get_if<wire::Refused>(&sent.Body)) {
      ++attempt(sent.Link, refused->Id, refused->AttemptNumber).Finals;
    } else if (const auto *end = std::get_if<wire::Finished>(&sent.Body)) {
      ++attempt(sent.Link, end->Id, end->AttemptNumber).Finals;
    }
  }

  AgentRig Rig;
  FakePlatform Platform;
  uint32_t Draw = 0; ///< The random number for the current step's arguments.
  std::set<LinkHandle> Links;
  uint32_t LastLink = 10;
  /// Runs that have not ended, including suspended ones.
  std::set<RunToken> AtServer;
  std::set<RunToken> Suspended;
  std::map<RunToken, uint32_t> Sequences;
  std::map<AttemptKey, AttemptState> Attempts;
  size_t CheckedStarted = 0;
  size_t CheckedSent = 0;
};

void checkSchedules(size_t length) {
  EXPECT_TRUE(rc::check("agent schedules", [length] {
    auto draw = rc::gen::inRange<uint32_t>(0, 1U << 30);
    auto draws = *rc::gen::container<std::vector<uint32_t>>(length, draw);
    Schedule schedule;
    for (uint32_t it : draws)
      schedule.apply(it);
    schedule.finishAll();
    schedule.checkFinals();
  }));
}

TEST(AgentSchedules, Short) { checkSchedules(12); }
TEST(AgentSchedules, Medium) { checkSchedules(60); }
TEST(AgentSchedules, Long) { checkSchedules(400); }

} // namespace
} // namespace daisytack::serve::test
