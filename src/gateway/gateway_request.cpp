#include "gateway/gateway_request.h"

#include "base/clock.h"
#include "base/duration.h"
#include "direct/rendezvous.h"
#include "direct/request_signatures.h"
#include "gateway/quarantine.h"
#include "gateway/request_admission.h"
#include "gateway/server_limit.h"
#include "gateway/stream_origin_exchange.h"
#include "net/http_status.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

using direct::AttemptOrder;
using direct::AttemptResult;

namespace {

/// Added to the timeout of a call to a server, so that the timer of the
/// ForwardFlow fires first and decides how the attempt ends.
constexpr Duration CallTimeoutMargin{500'000};
/// Largest body in bytes that is hashed although there are no suspects; this
/// takes about a microsecond.
constexpr size_t MaxCommonBodyBytes = 1024;

/// Ids of the prompt parts that other requests may share, for the log.
std::string sharedPartsText(const direct::CallerHead &head) {
  std::string out;
  for (size_t i = 0; i + 1 < head.Parts.size(); ++i)
    out += (i == 0 ? "" : ",") + head.Parts[i].Id;
  return out;
}

} // namespace

GatewayRequest::GatewayRequest(GatewayState &state,
                               direct::ForwardRequest request, std::string body,
                               std::shared_ptr<net::HttpExchange> exchange)
    : State(state), Executor(boost::asio::make_strand(state.Io)),
      Timer(Executor), Body(std::move(body)), Exchange(std::move(exchange)),
      Flow(std::move(request), state.Options.Forward, hooks()) {}

template <class Step> void GatewayRequest::onStrand(Step step) {
  boost::asio::dispatch(Executor,
                        [self = shared_from_this(),
                         step = std::move(step)]() mutable { step(); });
}

void GatewayRequest::start() {
  State.Running.add(shared_from_this());
  State.Stats.Running.add(1);
  budget().onRequest();
  Exchange->onClosed([weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->onStrand([raw = self.get()] {
        if (raw->Flow.isEnded())
          return;
        raw->State.Stats.CallersGone.add();
        raw->logEnd(0, "caller_gone", {});
        raw->Flow.onCallerGone(monotonicNow());
      });
  });
  onStrand([this] {
    if (isResumption())
      resumeStream();
    else
      Flow.start(monotonicNow());
  });
}

bool GatewayRequest::isResumption() const {
  const direct::ForwardRequest &request = Flow.request();
  return request.MatchedRoute.Kind == direct::RouteKind::Stream &&
         request.Head.LastEventId.has_value();
}

void GatewayRequest::resumeStream() {
  const direct::ForwardRequest &request = Flow.request();
  StreamResumption resumption;
  if (request.Head.ResumedRequestId)
    resumption.Stream =
        direct::streamKey(request.Organisation, *request.Head.ResumedRequestId);
  resumption.Service = request.Service;
  State.OriginExchange->find(
      resumption,
      [self = shared_from_this()](const auto &origin, const Error &reason) {
        self->onStrand([raw = self.get(), origin, reason] {
          raw->onOrigin(origin, reason);
        });
      });
}

void GatewayRequest::onOrigin(const std::optional<direct::OriginAnswer> &origin,
                              const Error &reason) {
  TimePoint now = monotonicNow();
  if (Flow.isEnded())
    return;
  if (!origin)
    return refuseResumption(reason, now);
  const std::vector<direct::TrafficShare> &shares =
      Flow.request().MatchedRoute.Shares;
  bool isRouted =
      std::any_of(shares.begin(), shares.end(), [&](const auto &it) {
        return it.Service == origin->Origin.Service;
      });
  if (!isRouted)
    return refuseResumption(
        {ErrorKind::StreamVersionGone,
         "the route no longer leads to " + origin->Origin.Service},
        now);
  State.Stats.StreamsResumed.add();
  State.Log.write(
      LogPriority::Notable, "stream_resumed",
      {{"request", Flow.request().Head.RequestId},
       {"resumes", Flow.request().Head.ResumedRequestId.value_or("")},
       {"service", origin->Origin.Service},
       {"software", origin->Origin.SoftwareVersion},
       {"source", direct::originSourceName(origin->From)},
       {"age_ms", millisecondsOf(origin->Age)}},
      now);
  Flow.resumeFrom(origin->Origin);
  Flow.start(now);
}

void GatewayRequest::refuseResumption(const Error &reason, TimePoint now) {
  State.Stats.StreamsRefused.add();
  State.Log.write(
      LogPriority::Notable, "resumption_refused",
      {{"request", Flow.request().Head.RequestId},
       {"resumes", Flow.request().Head.ResumedRequestId.value_or("")},
       {"reason", errorName(reason.Kind)},
       {"detail", reason.Detail}},
      now);
  Flow.onBlocked(reason, now);
}

std::optional<std::string>
GatewayRequest::beginStream(const AttemptOrder &order) {
  auto catalog = State.catalog();
  bool mayBeReplaced = std::any_of(
      catalog->AllServers.begin(), catalog->AllServers.end(),
      [&](const direct::BackendServer &it) {
        return it.Id == order.ServerId && it.StartedMs != order.StartedMs;
      });
  const direct::ForwardRequest &request = Flow.request();
  if (mayBeReplaced) {
    State.Log.write(LogPriority::Notable, "stream_version_uncertain",
                    {{"request", request.Head.RequestId},
                     {"server", order.ServerId},
                     {"software", order.SoftwareVersion}},
                    monotonicNow());
    return std::nullopt;
  }
  if (request.MatchedRoute.mayRepeat())
    State.OriginExchange->began(
        direct::streamKey(request.Organisation, request.Head.RequestId),
        {request.Service, order.SoftwareVersion});
  return order.SoftwareVersion;
}

direct::ForwardHooks GatewayRequest::hooks() {
  direct::ForwardHooks out;
  out.ChooseServer = [this](const auto &criteria, TimePoint now,
                            Error &reason) {
    return choose(criteria, now, reason);
  };
  out.CanChooseServer = [this](const auto &criteria, TimePoint now) {
    Error unused;
    return !mustNotAttempt(now, unused) &&
           State.Placer.canChoose(
               Flow.request(), *State.catalog(),
               withLimitFactor(State, Flow.request(), criteria, IsReturn, now),
               now);
  };
  out.BeginStream = [this](const AttemptOrder &order) {
    return beginStream(order);
  };
  out.BeginLimit = [this](const AttemptOrder &order) {
    return State.Placer.beginLimit(Flow.request(), *State.catalog(), order);
  };
  out.TakeRetry = [this] { return takeRetry(); };
  out.SendAttempt = [this](uint32_t attempt, const AttemptOrder &order) {
    send(attempt, order);
  };
  out.CancelAttempt = [this](uint32_t) { std::exchange(Call, {}).cancel(); };
  out.RecordResult = [this](uint32_t attempt, const AttemptOrder &order,
                            AttemptResult result, TimePoint now) {
    recordResult(attempt, order, result, now);
  };
  out.BeginAnswer = [this](const direct::ServerHead &head) {
    HasAnswerStarted = true;
    State.Stats.FirstByteTime.observe(monotonicNow() - Flow.request().Arrived);
    Exchange->beginStream(head.Status, head.ForwardedHeaders);
  };
  out.WriteAnswer = [this](std::string data) {
    Exchange->write(std::move(data));
  };
  out.EndAnswer = [this] {
    Exchange->endStream();
    logEnd(200, "answered", {});
  };
  out.AbortAnswer = [this] {
    State.Stats.AnswersBroken.add();
    State.OriginExchange->flush();
    Exchange->abort();
    logEnd(0, "broken_off", {});
  };
  out.SendAnswer = [this](const direct::ServerHead &head, std::string body) {
    State.Stats.FirstByteTime.observe(monotonicNow() - Flow.request().Arrived);
    Exchange->respond({head.Status, head.ForwardedHeaders, std::move(body)});
    logEnd(head.Status, "answered", {});
  };
  out.SendError = [this](unsigned status, const Error &reason) {
    answerError(status, reason);
  };
  out.ArmTimer = [this](TimePoint at) { armTimer(at); };
  out.Ended = [this] {
    Timer.cancel();
    State.Running.remove(this);
    State.Stats.Running.add(-1);
    State.Stats.RequestTime.observe(monotonicNow() - Flow.request().Arrived);
  };
  return out;
}

bool GatewayRequest::isDraining(TimePoint now, Error &reason) const {
  std::shared_ptr<const direct::DrainPlan> drain = State.Drain.load();
  if (!drain || drain->mayAttempt(now))
    return false;
  reason = drainingError();
  return true;
}

bool GatewayRequest::mustNotAttempt(TimePoint now, Error &reason) {
  if (isDraining(now, reason))
    return true;
  std::optional<Error> refusal = quarantineError(now);
  if (refusal)
    reason = std::move(*refusal);
  return refusal.has_value();
}

std::optional<direct::AttemptChoice>
GatewayRequest::choose(const direct::ServerCriteria &criteria, TimePoint now,
                       Error &reason) {
  if (isDraining(now, reason))
    return std::nullopt;
  std::optional<Error> refusal = quarantineError(now);
  if (refusal && !takeProbe(now)) {
    reason = std::move(*refusal);
    return std::nullopt;
  }
  auto catalog = State.catalog();
  bool isFirst = Flow.attempts() == 0;
  if (isFirst)
    IsReturn = takeReturn(State, Flow.request(), Body.size(), now);
  direct::ServerCriteria limited =
      withLimitFactor(State, Flow.request(), criteria, IsReturn, now);
  direct::Refusal refused;
  std::optional<direct::AttemptChoice> out =
      State.Placer.choose(Flow.request(), *catalog, limited,
                          State.serverTimeForFetches(now), now, refused);
  if (isFirst)
    recordAdmission(State, Flow.request(), out.has_value(), refused, now);
  if (!out) {
    if (isFirst && refused.Busy)
      refused.Reason.RetryAfter =
          scheduleReturn(State, Flow.request(), refused, Body.size(), now);
    reason = std::move(refused.Reason);
    reason.Detail += loadDetail(refused, limited.LimitFactor);
  }
  return out;
}

RetryBudget &GatewayRequest::budget() {
  return State.Retries.budgetFor(Flow.request().Service,
                                 State.catalog()->Entries.size());
}

const Id128 &GatewayRequest::identity() {
  if (!Identity)
    Identity = direct::wholeSignature(Flow.request(), Body);
  return *Identity;
}

const std::vector<Id128> &GatewayRequest::partSignatures() {
  if (!PartSignatures)
    PartSignatures = direct::partSignatures(Flow.request());
  return *PartSignatures;
}

std::vector<Id128> GatewayRequest::signatures() {
  std::vector<Id128> out = partSignatures();
  out.push_back(identity());
  return out;
}

std::optional<Error> GatewayRequest::quarantineError(TimePoint now) {
  // Without suspects the body need not be hashed.
  if (State.Suspects.isEmpty())
    return std::nullopt;
  std::optional<Duration> left =
      State.Suspects.quarantineLeft(signatures(), now);
  if (!left)
    return std::nullopt;
  std::string detail = "backend servers ended as they ran this request";
  for (size_t i = 0; i < partSignatures().size(); ++i)
    if (State.Suspects.quarantineLeft({&partSignatures()[i], 1}, now))
      detail = "backend servers ended as they ran requests with the prompt "
               "part " +
               Flow.request().Head.Parts[i].Id;
  return Error{ErrorKind::RequestQuarantined, std::move(detail), *left};
}

bool GatewayRequest::takeProbe(TimePoint now) {
  for (const Id128 &signature : signatures())
    if (State.Suspects.quarantineLeft({&signature, 1}, now) &&
        entriesBefore(State, signature) > 0)
      return false;
  if (!State.Suspects.takeProbe(signatures(), now))
    return false;
  IsProbe = true;
  State.Log.write(LogPriority::Notable, "quarantine_probed",
                  {{"request", Flow.request().Head.RequestId},
                   {"identity", toHex(identity())},
                   {"shared_parts", sharedPartsText(Flow.request().Head)}},
                  now);
  return true;
}

void GatewayRequest::recordConnectionLoss(TimePoint now) {
  enforceQuarantine(State,
                    State.Suspects.onConnectionBroken(
                        signatures(), Order.server().key(), SentAt, now),
                    now);
}

void GatewayRequest::recordAnswer(TimePoint now) {
  // A server's end looks like the end of an answer that ends with its
  // connection.
  if (!net::isSuccess(AnswerStatus) || IsCloseDelimited)
    return;
  State.Suspects.onAnswered(partSignatures(), now);
  // Identical requests of many callers are short, so that only short ones are
  // hashed without a suspect.
  if (!State.Suspects.isEmpty() || Body.size() <= MaxCommonBodyBytes)
    State.Suspects.onAnswered({&identity(), 1}, now);
}

balancing::RequestLoad GatewayRequest::loadOf(const AttemptOrder &order) const {
  // How long a call without a prompt takes can't be predicted.
  if (Flow.request().Head.Model.empty())
    return {order.QueuedTokens, order.Priority == 0};
  auto predicted =
      Duration(static_cast<int64_t>(order.PredictedFirstTokenMs * 1000));
  return {order.QueuedTokens, order.Priority == 0,
          balancing::maxSilence(State.Options.Silence,
                                Flow.request().MatchedRoute.TargetLatency,
                                predicted),
          SentAt};
}

bool GatewayRequest::takeRetry() {
  bool out = budget().tryRetry();
  (out ? State.Stats.RetryAttempts : State.Stats.RetriesDenied).add();
  return out;
}

LogPriority GatewayRequest::logPriority(const AttemptOrder &order,
                                        LogPriority usual) const {
  constexpr int64_t AuditedPart = 2; // The second half of the rollout.
  bool isAudited = order.OutdatedFor >=
                   State.Options.Placement.OldWeightsLimit / AuditedPart;
  return isAudited ? LogPriority::Audit : usual;
}

void GatewayRequest::send(uint32_t attempt, const AttemptOrder &order) {
  const direct::ForwardRequest &request = Flow.request();
  TimePoint now = monotonicNow();
  Order = order;
  SentAt = now;
  FirstByteAt.reset();
  IsCloseDelimited = false;
  State.Stats.Attempts.add();
  if (order.OutdatedFor > Duration::zero())
    State.Stats.OutdatedAttempts.add();
  State.Loads.onSent(order.server(), loadOf(order), now);
  uint64_t saves = 0;
  uint64_t sourced = 0;
  for (size_t i = 0; i < order.Sources.size(); ++i) {
    if (i + 1 < request.Head.Parts.size())
      State.Stats.SharedTokens.add(request.Head.Parts[i].Tokens);
    if (order.Sources[i])
      sourced += request.Head.Parts[i].Tokens;
    saves += order.Destinations[i] ? 1 : 0;
  }
  State.Stats.SourcedTokens.add(sourced);
  State.Stats.SavesRequested.add(saves);
  DecisionLog::Fields fields{
      {"request", request.Head.RequestId},
      {"attempt", attempt},
      {"server", order.ServerId},
      {"weights", order.WeightVersion},
      {"software", order.SoftwareVersion},
      {"saves", saves},
      {"prompt_tokens", request.Head.PromptTokens},
      {"sourced_tokens", sourced},
      {"tokens_before", order.TokensAhead},
      {"held_before", order.RunningTokens},
      {"tokens_per_ms", order.PrefillTokensPerMs},
      {"predicted_first_byte_ms", order.PredictedFirstTokenMs},
      {"fetch_excess_ms", order.FetchExcessMs},
      {"time_left_ms", millisecondsOf(order.TimeLeft)},
      {"config_version", State.catalog()->Config->config().Version}};
  if (!request.Head.Model.empty()) {
    fields["outdated_ms"] = millisecondsOf(order.OutdatedFor);
    fields["eligible"] = order.EligibleServers;
    fields["eligible_current"] = order.CurrentServers;
  }
  if (order.FetchUntilMs)
    fields["fetch_until_ms"] = *order.FetchUntilMs;
  if (order.SlowestSource)
    fields["slowest_source"] = toString(*order.SlowestSource);
  State.Log.write(logPriority(order, LogPriority::Routine), "attempt_sent",
                  std::move(fields), now);
  net::HttpHooks hooks;
  hooks.MatchesRequest = [self = shared_from_this()](const auto &headers) {
    return self->State.WireProtocol.IsAnswerTo(self->Flow.request().Head,
                                               headers);
  };
  hooks.Head = [self = shared_from_this(), attempt](unsigned status,
                                                    const auto &headers) {
    self->onStrand([raw = self.get(), attempt, status, headers] {
      raw->onHead(attempt, status, headers);
    });
  };
  hooks.Data = [self = shared_from_this(), attempt](std::string_view data) {
    self->onStrand([raw = self.get(), attempt, data = std::string(data)] {
      raw->onData(attempt, data);
    });
  };
  hooks.Done = [self = shared_from_this(), attempt](const Error &error) {
    self->onStrand(
        [raw = self.get(), attempt, error] { raw->onDone(attempt, error); });
  };
  Call = State.BackendClient.call(
      order.Address, State.WireProtocol.WriteAttempt(request.Head, order, Body),
      order.TimeLeft + CallTimeoutMargin, std::move(hooks),
      net::MaxServerAnswerBytes);
}

void GatewayRequest::onHead(uint32_t attempt, unsigned status,
                            const std::vector<net::HttpHeader> &headers) {
  if (Flow.isEnded() || attempt != Flow.attempts())
    return;
  TimePoint now = monotonicNow();
  direct::ServerHead head = State.WireProtocol.ReadServerHead(status, headers);
  applyServerSignals(head, now);
  IsCloseDelimited = head.IsCloseDelimited;
  AnswerStatus = head.Status;
  State.Loads.onActivity(Order.server(), now);
  if (!head.WasNotRun) {
    FirstByteAt = now;
    State.Loads.onFirstByte(Order.server(), loadOf(Order), now);
    observeLink(now);
    State.PrefillRates.observe(Flow.request().Service, Order.PrefillTokens,
                               Order.TokensAhead, now - SentAt);
  }
  Flow.onHead(attempt, head, now);
}

void GatewayRequest::applyServerSignals(const direct::ServerHead &head,
                                        TimePoint now) {
  // The answer may come from another instance, which started at the address
  // after the server had ended.
  if (head.Status == net::StatusMisdirected)
    return;
  State.Suspects.onServerAlive(Order.server().key(), SentAt, now);
  bool isRejection = head.Status == net::StatusUnavailable ||
                     head.Status == net::StatusTooManyRequests;
  if (isRejection && head.RetryAfter)
    State.Loads.onRetryAfter(Order.server(), *head.RetryAfter, now);
  applyRequestLimit(State, Order.server(), head, ResponseKind::Request, now);
  // The server's record also says that the server is leaving, but cannot be
  // written while the key-value service is unreachable.
  bool isNewlyKnown =
      head.IsLeaving && State.Loads.onLeaving(Order.server().key(), now);
  if (isNewlyKnown)
    State.Log.write(LogPriority::Notable, "server_avoided",
                    {{"server", Order.ServerId},
                     {"reason", "its answers say that it leaves"}},
                    now);
}

void GatewayRequest::onData(uint32_t attempt, std::string_view data) {
  if (Flow.isEnded() || attempt != Flow.attempts())
    return;
  TimePoint now = monotonicNow();
  State.Loads.onActivity(Order.server(), now);
  Flow.onData(attempt, data, now);
}

void GatewayRequest::onDone(uint32_t attempt, const Error &error) {
  // The client reports ServiceUnavailable if nothing was sent.
  bool wasNotSent = error.Kind == ErrorKind::ServiceUnavailable;
  Flow.onDone(attempt, error, wasNotSent, monotonicNow());
}

void GatewayRequest::recordResult(uint32_t attempt, const AttemptOrder &order,
                                  AttemptResult result, TimePoint now) {
  State.Loads.onEnded(order.server(), loadOf(order), FirstByteAt.has_value(),
                      now);
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
  // The identity shows whether the same request failed before under another
  // request id, the parts whether another request that shares them did.
  if (result == AttemptResult::Failed || result == AttemptResult::BrokenOff) {
    fields["identity"] = toHex(identity());
    fields["shared_parts"] = sharedPartsText(Flow.request().Head);
  }
  if (FirstByteAt)
    fields["first_byte_ms"] = millisecondsOf(*FirstByteAt - SentAt);
  if (IsCloseDelimited)
    fields["framing"] = "close";
  LogPriority priority =
      isSuccess ? LogPriority::Routine : LogPriority::Notable;
  if (result == AttemptResult::Expired)
    priority = LogPriority::Audit;
  State.Log.write(logPriority(order, priority), "attempt_ended",
                  std::move(fields), now);
}

void GatewayRequest::avoidReplacedServer(const AttemptOrder &order,
                                         TimePoint now) {
  // While a newer version is desired, the server may refuse the expected
  // version because it has just loaded the newer one.
  const std::string &model = Flow.request().Head.Model;
  bool mayBeWeights =
      State.catalog()->outdatedSince(model, order.WeightVersion).has_value();
  if (mayBeWeights)
    return;
  State.Loads.onReplaced(order.server(), now);
  State.Log.write(LogPriority::Notable, "server_avoided",
                  {{"server", order.ServerId},
                   {"reason", "its address belongs to another instance"}},
                  now);
}

void GatewayRequest::observeLink(TimePoint now) {
  if (Order.Sources.empty())
    return;
  State.Links.observe(
      Order.SlowestSource,
      millisecondsOf(now - SentAt) - Order.PredictedFirstTokenMs, now);
}

void GatewayRequest::updateEjection(const AttemptOrder &order,
                                    AttemptResult result, TimePoint now) {
  uint64_t pool = direct::stableHash(Flow.request().Service);
  uint64_t server = order.server().key();
  size_t size = State.catalog()->serversOf(Flow.request().Service).size();
  bool isFailure =
      result == AttemptResult::Failed || result == AttemptResult::BrokenOff ||
      result == AttemptResult::ServerLost || result == AttemptResult::Unreached;
  if (result == AttemptResult::Answered)
    State.OutlierEjector.onAnswer(pool, size, server, Duration(1), Duration(0),
                                  now);
  if (!isFailure)
    return;
  if (State.OutlierEjector.onFailure(pool, size, server, now) !=
      EjectionVerdict::Ejected)
    return;
  State.Stats.Ejections.add();
  State.Log.write(LogPriority::Notable, "server_ejected",
                  {{"server", order.ServerId},
                   {"service", Flow.request().Service},
                   {"request", Flow.request().Head.RequestId}},
                  now);
}

void GatewayRequest::answerError(unsigned status, const Error &reason) {
  bool isRefusal = direct::promisesNotRun(status);
  (isRefusal ? State.Stats.Refused : State.Stats.Failed).add();
  if (isRefusal && reason.Kind == ErrorKind::WeightsOutdated)
    State.Stats.RefusedForWeights.add();
  Exchange->respond(State.WireProtocol.WriteErrorAnswer(
      status, Flow.request().Head.RequestId, reason));
  logEnd(status, isRefusal ? "refused" : "failed", reason);
}

void GatewayRequest::failIfUnanswered() {
  onStrand([this] { Flow.onProcessEnd(monotonicNow()); });
}

void GatewayRequest::onVersionsChanged() {
  onStrand([this] { Flow.onBeginLimitsChanged(monotonicNow()); });
}

void GatewayRequest::onServerLost(uint64_t server, TimePoint probedAt) {
  // Posted, so that answers which have arrived are handled first.
  boost::asio::post(Executor, [self = shared_from_this(), server, probedAt] {
    bool isThere = !self->Flow.isEnded() && self->Flow.attempts() > 0 &&
                   self->Order.server().key() == server;
    // A request that was sent after the probe began may still wait for its
    // connection, and then goes elsewhere as one that was not sent.
    if (!isThere || self->SentAt > probedAt ||
        self->State.Loads.hasHeardSince(server, probedAt))
      return;
    self->State.Stats.AttemptsLost.add();
    self->Flow.onServerLost(monotonicNow());
  });
}

void GatewayRequest::failIfQuarantined() {
  boost::asio::post(Executor, [self = shared_from_this()] {
    TimePoint now = monotonicNow();
    if (self->Flow.isEnded() || self->IsProbe)
      return;
    if (std::optional<Error> refusal = self->quarantineError(now))
      self->Flow.onBlocked(*refusal, now);
  });
}

void GatewayRequest::armTimer(TimePoint at) {
  Duration wait = std::max(at - monotonicNow(), Duration::zero());
  Timer.expires_after(wait);
  Timer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code &ec) {
        auto self = weak.lock();
        if (self && !ec)
          self->Flow.onTimer(monotonicNow());
      });
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
    fields["shared_parts"] = sharedPartsText(request.Head);
  }
  if (IsReturn)
    fields["returned"] = true;
  if (outcome == "refused")
    fields["retry_after_ms"] = millisecondsOf(reason.RetryAfter);
  State.Log.write(isSuccess ? LogPriority::Routine : LogPriority::Notable,
                  "request_ended", std::move(fields), now);
}

} // namespace daisytack::gateway
