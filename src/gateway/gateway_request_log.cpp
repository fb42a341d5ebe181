/// The part of GatewayRequest that records and logs results.
#include "gateway/gateway_request.h"

#include "base/clock.h"
#include "base/duration.h"
#include "net/http_status.h"

#include <utility>

namespace daisytack::gateway {

using direct::AttemptOrder;
using direct::AttemptResult;

namespace {

std::string_view routeKindName(direct::RouteKind kind) {
  switch (kind) {
  case direct::RouteKind::Idempotent:
    return "idempotent";
  case direct::RouteKind::NonIdempotent:
    return "non_idempotent";
  case direct::RouteKind::Stream:
    return "stream";
  }
  return "unknown";
}

} // namespace

std::string GatewayRequest::sharedParts() const {
  const std::vector<direct::PromptPart> &parts = Flow.request().Head.Parts;
  std::string out;
  for (size_t i = 0; i + 1 < parts.size(); ++i)
    out += (i == 0 ? "" : ",") + parts[i].Id;
  return out;
}

balancing::AnswerEnd GatewayRequest::answerEnd(AttemptResult result) const {
  switch (result) {
  case AttemptResult::Answered:
    // An error that the request caused is no measure of a whole answer.
    return net::isSuccess(AnswerStatus) ? balancing::AnswerEnd::Complete
                                        : balancing::AnswerEnd::NotRun;
  case AttemptResult::Failed:
  case AttemptResult::ServerLost:
  case AttemptResult::BrokenOff:
  case AttemptResult::Abandoned:
    return balancing::AnswerEnd::Incomplete;
  case AttemptResult::TurnedAway:
  case AttemptResult::Misdirected:
  case AttemptResult::Unreached:
  case AttemptResult::Expired:
    return balancing::AnswerEnd::NotRun;
  }
  return balancing::AnswerEnd::NotRun;
}

LogPriority GatewayRequest::logPriority(const AttemptOrder &order,
                                        LogPriority usual) const {
  constexpr int64_t AuditedPart = 2; // The second half of the rollout.
  bool isOutdated = order.OutdatedFor >=
                    State.Options.Placement.OldWeightsLimit / AuditedPart;
  bool isRepeated =
      Flow.attempts() > 1 && !Flow.request().MatchedRoute.mayRepeat();
  return isOutdated || isRepeated ? LogPriority::Audit : usual;
}

void GatewayRequest::endSaves(AttemptResult result) {
  bool hasBegun =
      result == AttemptResult::Answered && net::isSuccess(AnswerStatus);
  bool wasNotRun = result == AttemptResult::TurnedAway ||
                   result == AttemptResult::Misdirected ||
                   result == AttemptResult::Unreached;
  // After any other end the server may still run the request, or have it in its
  // queue: the grant ends with the request's deadline.
  for (const SaveAnswer &it : std::exchange(Saves, {}))
    if (hasBegun || wasNotRun)
      State.SaveExchange->ended(it, hasBegun);
}

void GatewayRequest::recordResult(uint32_t attempt, const AttemptOrder &order,
                                  AttemptResult result, TimePoint now) {
  endPause(now);
  State.Loads.onEnded(order.server(), loadOf(order), FirstByteAt.has_value(),
                      now);
  State.AnswerTimes.onEnded(answerKey(), answerEnd(result),
                            Flow.request().Head.MaxOutputTokens, SentAt, now);
  bool isSuccess = result == AttemptResult::Answered;
  bool wasRefused = result == AttemptResult::TurnedAway ||
                    result == AttemptResult::Misdirected;
  if (wasRefused)
    State.Stats.AttemptsRejected.add();
  // Otherwise each request would have to try this server itself, and might wait
  // for a connection to it.
  if (wasRefused || result == AttemptResult::Unreached)
    State.Loads.onRejected(order.server(), now);
  if (result == AttemptResult::Misdirected)
    avoidReplacedServer(order, now);
  updateEjection(order, result, now);
  if (result == AttemptResult::BrokenOff)
    recordConnectionLoss(now);
  if (isSuccess)
    recordAnswer(now);
  endSaves(result);
  if (!isSuccess) {
    const direct::CallerHead &head = Flow.request().Head;
    for (size_t i = 0; i < order.Destinations.size(); ++i)
      if (order.Destinations[i])
        State.StoredParts.cancelSave(order.CacheScope, head.Parts[i]);
  }
  DecisionLog::Fields fields{{"request", Flow.request().Head.RequestId},
                             {"attempt", attempt},
                             {"server", order.ServerId},
                             {"result", direct::attemptResultName(result)}};
  if (HeadAt)
    fields["head_ms"] = millisecondsOf(*HeadAt - SentAt);
  if (Connection) {
    fields["address"] = toString(order.Address);
    fields["connection"] = Connection->Number;
    fields["local_port"] = Connection->LocalPort;
    fields["earlier_calls"] = Connection->EarlierCalls;
  }
  // The identity shows whether the same request failed before under another
  // request id, the parts whether another request that shares them did.
  if (result == AttemptResult::Failed || result == AttemptResult::BrokenOff) {
    fields["identity"] = toHex(identity());
    fields["shared_parts"] = sharedParts();
  }
  if (FirstByteAt)
    fields["first_byte_ms"] = millisecondsOf(*FirstByteAt - SentAt);
  if (IsCloseDelimited)
    fields["framing"] = "close";
  LogPriority priority =
      isSuccess ? LogPriority::Routine : LogPriority::Notable;
  // A rejected attempt at such a request is followed by another one, or by an
  // answer that promises that it never runs.
  bool isRejectedCall = wasRefused && !Flow.request().MatchedRoute.mayRepeat();
  if (result == AttemptResult::Expired || isRejectedCall)
    priority = LogPriority::Audit;
  State.Log.write(logPriority(order, priority), "attempt_ended",
                  std::move(fields), now);
}

void GatewayRequest::logEnd(unsigned status, std::string_view outcome,
                            const Error &reason) {
  const direct::ForwardRequest &request = Flow.request();
  TimePoint now = monotonicNow();
  bool isSuccess = outcome == "answered" && status < 500;
  DecisionLog::Fields fields{
      {"request", request.Head.RequestId},
      {"route", request.MatchedRoute.Name},
      {"organisation", request.Organisation},
      {"outcome", outcome},
      {"status", status},
      {"attempts", Flow.attempts()},
      {"took_ms", millisecondsOf(now - request.Arrived)},
      {"target_ms", millisecondsOf(request.MatchedRoute.TargetLatency)}};
  if (FirstByteAt)
    fields["first_byte_ms"] = millisecondsOf(*FirstByteAt - request.Arrived);
  if (reason) {
    fields["reason"] = errorName(reason.Kind);
    fields["detail"] = reason.Detail;
  }
  // The identity needs a hash of the body, which refusals under overload do
  // without.
  if (outcome == "failed" || reason.Kind == ErrorKind::RequestQuarantined) {
    fields["identity"] = toHex(identity());
    fields["shared_parts"] = sharedParts();
  }
  if (IsReturn)
    fields["returned"] = true;
  if (outcome == "refused")
    fields["retry_after_ms"] = millisecondsOf(reason.RetryAfter);
  State.Log.write(isSuccess ? LogPriority::Routine : LogPriority::Notable,
                  "request_ended", std::move(fields), now);
}

void GatewayRequest::logCut(std::string_view step, TimePoint now) {
  const direct::ForwardRequest &request = Flow.request();
  const direct::Route &route = request.MatchedRoute;
  std::shared_ptr<const direct::DrainPlan> drain = State.Drain.load();
  DecisionLog::Fields fields{
      {"request", request.Head.RequestId},
      {"route", route.Name},
      {"kind", routeKindName(route.Kind)},
      {"may_repeat", route.mayRepeat()},
      {"step", step},
      {"taken_ms", millisecondsOf(drain->elapsed(request.Arrived))},
      {"attempts", Flow.attempts()},
      {"answer_begun", HasAnswerStarted}};
  if (Flow.attempts() > 0)
    fields["attempt_age_ms"] = millisecondsOf(now - SentAt);
  State.Log.write(route.mayRepeat() ? LogPriority::Notable : LogPriority::Audit,
                  "request_cut", std::move(fields), now);
}

void GatewayRequest::logMalformedAnswer(uint32_t attempt, const Error &reason,
                                        TimePoint now) {
  State.Stats.AnswersMalformed.add();
  State.Log.write(LogPriority::Notable, "answer_malformed",
                  {{"request", Flow.request().Head.RequestId},
                   {"attempt", attempt},
                   {"server", Order.ServerId},
                   {"reason", reason.Detail}},
                  now);
}

bool GatewayRequest::isOwnAnswer(const std::string &server,
                                 const std::vector<net::HttpHeader> &headers,
                                 bool isFirst) const {
  const direct::CallerHead &head = Flow.request().Head;
  std::optional<std::string> id = State.WireProtocol.ReadAnsweredId(headers);
  bool out = direct::isAnswerTo(head, id, isFirst);
  if (out)
    return true;
  State.Stats.AnswersDiscarded.add();
  State.Log.write(LogPriority::Audit, "answer_discarded",
                  {{"request", head.RequestId},
                   {"server", server},
                   {"answered_request", id.value_or("")}},
                  monotonicNow());
  return false;
}

} // namespace daisytack::gateway
