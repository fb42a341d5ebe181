/// Test harness: a ForwardFlow with recorded side effects, and servers named
/// s1, s2, ...
#pragma once

#include "direct/forward_flow.h"

#include <algorithm>
#include <map>
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

inline ServerHead headOf(unsigned status, bool wasNotRun = false) {
  ServerHead out;
  out.Status = status;
  out.WasNotRun = wasNotRun;
  return out;
}

/// Logs each side effect of the flow as a line of text: "send s1", "cancel 1",
/// "begin 200", "write TEXT", "end", "break", "answer 200 BODY", "error 503",
/// "ended".
class FlowHarness {
public:
  explicit FlowHarness(Route route, size_t servers = 3,
                       ForwardSettings settings = {})
      : ServerCount(servers),
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

  /// Delivers the complete answer of an attempt at once.
  void answer(uint32_t attempt, const ServerHead &head, std::string body = "",
              TimePoint now = FlowStart) {
    Flow.onHead(attempt, head, now);
    if (!body.empty())
      Flow.onData(attempt, body, now);
    Flow.onDone(attempt, {}, false, now);
  }
  void failAttempt(uint32_t attempt, TimePoint now = FlowStart) {
    Flow.onDone(attempt, {ErrorKind::ServerLost, "lost"}, false, now);
  }

  bool hasLogged(const std::string &what) const {
    return std::find(Log.begin(), Log.end(), what) != Log.end();
  }
  std::vector<std::string> takeLog() { return std::exchange(Log, {}); }

  size_t ServerCount;
  bool HasRetryBudget = true;
  Error NoServerError{ErrorKind::NoServer, "none left"};
  std::vector<std::string> Log;
  std::vector<AttemptOrder> SentOrders;
  std::vector<AttemptResult> Results;
  Error LastError;
  unsigned FinalStatus = 0;
  size_t ChoiceCount = 0; ///< Number of calls of ChooseServer.
  /// ChoiceCount at the end of each attempt.
  std::vector<size_t> ChoicesAtAttemptEnd;
  size_t FinalAnswers = 0; ///< Number of final answers to the caller.
  TimePoint TimerAt;
  std::optional<TimePoint> BeginLimit; ///< Of every attempt.
  /// Software versions by server; others have version "v1".
  std::map<std::string, std::string> Versions;
  bool IsVersionCertain = true;  ///< What BeginStream returns.
  size_t BufferLimit = SIZE_MAX; ///< Bytes of an answer that may be held.
  /// Number of results at the latest WriteAnswer.
  size_t ResultsAtWrite = 0;
  ForwardFlow Flow;

private:
  std::string versionOf(const std::string &server) const {
    auto it = Versions.find(server);
    return it == Versions.end() ? "v1" : it->second;
  }
  void log(std::string what) { Log.push_back(std::move(what)); }

  ForwardHooks hooks() {
    ForwardHooks out;
    out.ChooseServer = [this](const ServerCriteria &criteria, TimePoint,
                              Error &reason) -> std::optional<AttemptChoice> {
      ++ChoiceCount;
      const std::vector<std::string> &tried = criteria.Tried;
      for (size_t i = 1; i <= ServerCount; ++i) {
        std::string name = "s" + std::to_string(i);
        if (std::find(tried.begin(), tried.end(), name) != tried.end())
          continue;
        std::string version = versionOf(name);
        if (criteria.SoftwareVersion.value_or(version) != version)
          continue;
        AttemptChoice choice;
        choice.Order.ServerId = name;
        choice.Order.SoftwareVersion = version;
        return choice;
      }
      reason = NoServerError;
      return std::nullopt;
    };
    out.CanChooseServer = [this](const ServerCriteria &criteria, TimePoint) {
      return criteria.Tried.size() < ServerCount;
    };
    out.BeginStream = [this](const AttemptOrder &order) {
      return IsVersionCertain ? std::optional(order.SoftwareVersion)
                              : std::nullopt;
    };
    out.BeginLimit = [this](const AttemptOrder &) { return BeginLimit; };
    out.TakeRetry = [this] { return HasRetryBudget; };
    out.SendAttempt = [this](uint32_t, const AttemptOrder &order) {
      SentOrders.push_back(order);
      log("send " + order.ServerId);
    };
    out.CancelAttempt = [this](uint32_t n) {
      log("cancel " + std::to_string(n));
    };
    out.RecordResult = [this](uint32_t, const AttemptOrder &,
                              AttemptResult result, TimePoint) {
      Results.push_back(result);
      ChoicesAtAttemptEnd.push_back(ChoiceCount);
    };
    out.BeginAnswer = [this](const ServerHead &head) {
      log("begin " + std::to_string(head.Status));
    };
    out.WriteAnswer = [this](const std::string &text) {
      ResultsAtWrite = Results.size();
      log("write " + text);
    };
    out.BufferLimit = [this] { return BufferLimit; };
    out.EndAnswer = [this] {
      ++FinalAnswers;
      log("end");
    };
    out.AbortAnswer = [this] {
      ++FinalAnswers;
      log("break");
    };
    out.SendAnswer = [this](const ServerHead &head, const std::string &body) {
      ++FinalAnswers;
      FinalStatus = head.Status;
      log("answer " + std::to_string(head.Status) + " " + body);
    };
    out.SendError = [this](unsigned status, const Error &error) {
      ++FinalAnswers;
      FinalStatus = status;
      LastError = error;
      log("error " + std::to_string(status));
    };
    out.ArmTimer = [this](TimePoint at) { TimerAt = at; };
    out.Ended = [this] { log("ended"); };
    return out;
  }
};

} // namespace daisytack::direct
