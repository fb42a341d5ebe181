/// A request's flow with recorded effects and servers named s1, s2, ...
#pragma once

#include "direct/forward_flow.h"

#include <algorithm>
#include <string>
#include <vector>

namespace daisytack::direct {

using namespace std::chrono_literals;

const TimePoint FlowStart{Duration(1'000'000'000)};

inline Route routeFor(RouteKind kind, uint32_t attempts) {
  Route out;
  out.Name = "route";
  out.Kind = kind;
  out.Attempts = attempts;
  out.Timeout = 3s;
  out.TargetLatency = 300ms;
  out.Shares = {{"service", 1}};
  return out;
}

inline ServerHead headOf(unsigned status, bool notRun = false) {
  ServerHead out;
  out.Status = status;
  out.WasNotRun = notRun;
  return out;
}

/// Records what the flow does, in words: "send s1", "cancel 1", "begin 200",
/// "write TEXT", "end", "break", "answer 200 BODY", "error 503", "ended".
class FlowHarness {
public:
  explicit FlowHarness(Route route, size_t servers = 3,
                       ForwardSettings settings = {})
      : Servers(servers),
        Flow(requestFor(std::move(route)), settings, hooks()) {}

  static ForwardRequest requestFor(Route route) {
    ForwardRequest out;
    out.Head.RequestId = "r";
    out.Arrived = FlowStart;
    out.Deadline = FlowStart + route.Timeout;
    out.Service = "service";
    out.MatchedRoute = std::move(route);
    return out;
  }

  /// An attempt's whole answer at once.
  void answer(uint32_t attempt, const ServerHead &head, std::string body = "",
              TimePoint now = FlowStart) {
    Flow.onHead(attempt, head, now);
    if (!body.empty())
      Flow.onData(attempt, body, now);
    Flow.onDone(attempt, {}, false, now);
  }
  void lose(uint32_t attempt, TimePoint now = FlowStart) {
    Flow.onDone(attempt, {ErrorKind::ServerLost, "lost"}, false, now);
  }

  bool did(const std::string &what) const {
    return std::find(Log.begin(), Log.end(), what) != Log.end();
  }
  std::vector<std::string> take() { return std::exchange(Log, {}); }

  size_t Servers;
  bool HasBudget = true;
  Error NoneLeft{ErrorKind::NoServer, "none left"};
  std::vector<std::string> Log;
  std::vector<AttemptOrder> Sent;
  std::vector<AttemptResult> Results;
  Error LastError;
  unsigned FinalStatus = 0;
  size_t Choices = 0;                   ///< Times that a server was asked for.
  std::vector<size_t> ChoicesWhenEnded; ///< As each attempt ended.
  size_t Finals = 0;                    ///< Final answers given to the caller.
  TimePoint TimerAt;
  ForwardFlow Flow;

private:
  void add(std::string what) { Log.push_back(std::move(what)); }

  ForwardHooks hooks() {
    ForwardHooks out;
    out.ChooseServer = [this](const std::vector<std::string> &tried, TimePoint,
                              Error &reason) -> std::optional<AttemptChoice> {
      ++Choices;
      for (size_t i = 1; i <= Servers; ++i) {
        std::string name = "s" + std::to_string(i);
        if (std::find(tried.begin(), tried.end(), name) != tried.end())
          continue;
        AttemptChoice choice;
        choice.Order.ServerId = name;
        return choice;
      }
      reason = NoneLeft;
      return std::nullopt;
    };
    out.CanChooseServer = [this](const std::vector<std::string> &tried,
                                 TimePoint) { return tried.size() < Servers; };
    out.TakeRetry = [this] { return HasBudget; };
    out.SendAttempt = [this](uint32_t, const AttemptOrder &order) {
      Sent.push_back(order);
      add("send " + order.ServerId);
    };
    out.CancelAttempt = [this](uint32_t n) {
      add("cancel " + std::to_string(n));
    };
    out.RecordResult = [this](uint32_t, const AttemptOrder &,
                              AttemptResult result, TimePoint) {
      Results.push_back(result);
      ChoicesWhenEnded.push_back(Choices);
    };
    out.BeginAnswer = [this](const ServerHead &head) {
      add("begin " + std::to_string(head.Status));
    };
    out.WriteAnswer = [this](const std::string &text) { add("write " + text); };
    out.EndAnswer = [this] {
      ++Finals;
      add("end");
    };
    out.AbortAnswer = [this] {
      ++Finals;
      add("break");
    };
    out.SendAnswer = [this](const ServerHead &head, const std::string &body) {
      ++Finals;
      FinalStatus = head.Status;
      add("answer " + std::to_string(head.Status) + " " + body);
    };
    out.SendError = [this](unsigned status, const Error &error) {
      ++Finals;
      FinalStatus = status;
      LastError = error;
      add("error " + std::to_string(status));
    };
    out.ArmTimer = [this](TimePoint at) { TimerAt = at; };
    out.Ended = [this] { add("ended"); };
    return out;
  }
};

} // namespace daisytack::direct
