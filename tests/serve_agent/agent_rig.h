/// Test harness around an AgentCore that records its actions.
#pragma once

#include "serve/agent_core.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace daisytack::serve::test {

constexpr LinkHandle LinkA{1};
constexpr LinkHandle LinkB{2};
inline const std::string Model = "lima";
inline const std::string Version = "v1";

inline AgentSettings modelSettings() {
  AgentSettings out;
  out.Instance = "agent-1";
  out.Serves = Model;
  out.Queue.Slots = 2;
  return out;
}

inline EngineStatus engineStatus() {
  EngineStatus out;
  out.Model = Model;
  out.Version = Version;
  out.PrefillTokensPerSecond = 10'000;
  out.DecodeTokensPerSecond = 100;
  return out;
}

inline wire::Offer offerOf(uint64_t id, Attempt attempt = 1) {
  wire::Offer out;
  out.Id = {7, id};
  out.AttemptNumber = attempt;
  out.Organisation = "riga-buyers";
  out.Model = Model;
  out.Version = Version;
  out.Class = "quote";
  out.Priority = 5;
  out.RemainingMicros = 30'000'000;
  out.PromptTokens = 100;
  out.MaxTokens = 16;
  out.Body = "{\"prompt\":\"price of apples\"}";
  return out;
}

/// Applies inputs to an AgentCore and records its actions by type.
class AgentRig {
public:
  explicit AgentRig(AgentSettings settings = modelSettings())
      : Core(std::move(settings), [this] { return ++LastRandom; }) {
    apply(engineStatus());
    apply(LinkOpened{LinkA});
    apply(LinkOpened{LinkB});
  }

  void apply(AgentInput input) {
    for (AgentAction &action : Core.apply(std::move(input), Now))
      recordAction(std::move(action));
  }
  /// Applies an offer received over a link.
  void offer(wire::Offer offer, LinkHandle link = LinkA) {
    apply(LinkMessage{link, std::move(offer)});
  }
  /// Applies a text chunk from the backend server.
  void text(const RunToken &run, std::string text) {
    apply(RunText{run, run, std::nullopt, 1, std::move(text)});
  }
  /// Applies the end of a run at the backend server.
  void done(const RunToken &run) {
    RunDone out;
    out.Run = run;
    out.Answer = run;
    out.FinishReason = "stop";
    out.PromptTokens = 100;
    apply(out);
  }
  /// Advances the clock by d and fires every timer that becomes due. The engine
  /// reports its status at each timer.
  void advanceTime(Duration d) {
    TimePoint end = Now + d;
    for (auto next = Core.nextTimer(); next && *next <= end;
         next = Core.nextTimer()) {
      Now = std::max(Now, *next);
      apply(engineStatus());
      apply(TimerFired{});
    }
    Now = end;
  }

  /// Messages of type T sent over a link, in order.
  template <class T> std::vector<T> sentTo(LinkHandle link) const {
    std::vector<T> out;
    for (const SendMessage &sent : Sent)
      if (sent.Link == link && std::holds_alternative<T>(sent.Body))
        out.push_back(std::get<T>(sent.Body));
    return out;
  }
  /// The last message of type T sent over a link; a default one if there is
  /// none.
  template <class T> T lastTo(LinkHandle link) const {
    std::vector<T> all = sentTo<T>(link);
    return all.empty() ? T() : all.back();
  }
  /// Concatenated text of the chunks sent over a link.
  std::string textTo(LinkHandle link) const {
    std::string out;
    for (const auto &chunk : sentTo<wire::Chunk>(link))
      out += chunk.Text;
    return out;
  }
  size_t eventCount(EventKind kind) const {
    auto it = Events.find(kind);
    return it == Events.end() ? 0 : it->second;
  }

  TimePoint Now{Duration(1'000'000)};
  uint64_t LastRandom = 0;
  AgentCore Core;
  std::vector<SendMessage> Sent;
  std::vector<StartRun> Started;
  std::vector<RunToken> Cancelled;
  std::vector<RunToken> Suspended;
  std::vector<RunToken> Resumed;
  /// Actions without a list of their own, such as calls to stores.
  std::vector<AgentAction> OtherActions;
  std::map<EventKind, size_t> Events;

private:
  void recordAction(AgentAction action) {
    if (auto *sent = std::get_if<SendMessage>(&action))
      Sent.push_back(std::move(*sent));
    else if (auto *start = std::get_if<StartRun>(&action))
      Started.push_back(std::move(*start));
    else if (auto *cancel = std::get_if<CancelRun>(&action))
      Cancelled.push_back(cancel->Run);
    else if (auto *suspend = std::get_if<SuspendRun>(&action))
      Suspended.push_back(suspend->Run);
    else if (auto *resume = std::get_if<ResumeRun>(&action))
      Resumed.push_back(resume->Run);
    else if (auto *event = std::get_if<RecordEvent>(&action))
      ++Events[event->What.Kind];
    else
      OtherActions.push_back(std::move(action));
  }
};

} // namespace daisytack::serve::test
