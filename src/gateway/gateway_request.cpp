#include "gateway/gateway_request.h"

#include "base/clock.h"
#include "base/duration.h"
#include "direct/rendezvous.h"
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
/// Longest answer that is passed on, in bytes. Ends one without end on a fast
/// link before its request's time is over.
constexpr size_t MaxAnswerBytes = 64U << 20;
/// Smaller bodies are kept until the answer ends: it would cost more to compute
/// the request's identity first.
constexpr size_t MinDroppedBytes = 64U << 10;
/// Granted saves are not ordered after this time. Shorter than the margin for
/// which owners keep a grant (direct::SaveGrantSettings).
constexpr Duration MaxGrantAge{500'000};
constexpr Duration MinTimeLeft{1'000};

} // namespace

GatewayRequest::GatewayRequest(GatewayState &state,
                               direct::ForwardRequest request,
                               std::shared_ptr<const std::string> body,
                               std::shared_ptr<net::HttpExchange> exchange)
    : State(state), Executor(boost::asio::make_strand(state.Io)),
      Timer(Executor), Body(std::move(body)), BodyBytes(Body->size()),
      Exchange(std::move(exchange)),
      Flow(std::move(request), state.Options.Forward, hooks()),
      BufferedAnswer(state.Memory, admission::MemoryCause::Answer) {}

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
    TimePoint now = monotonicNow();
    Error reason;
    // Before the origin of a stream is looked up, which may take other entries.
    if (isDraining(now, reason))
      Flow.onBlocked(reason, now);
    else if (isResumption())
      resumeStream();
    else
      Flow.start(now);
  });
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
  out.CancelAttempt = [this](uint32_t) {
    Unsent.reset();
    std::exchange(Call, {}).cancel();
  };
  out.RecordResult = [this](uint32_t attempt, const AttemptOrder &order,
                            AttemptResult result, TimePoint now) {
    recordResult(attempt, order, result, now);
  };
  out.BeginAnswer = [this](const direct::ServerHead &head) {
    HasAnswerStarted = true;
    dropBody();
    State.Stats.FirstByteTime.observe(monotonicNow() - Flow.request().Arrived);
    Exchange->beginStream(head.Status, head.ForwardedHeaders);
  };
  out.WriteAnswer = [this](std::string data) {
    Exchange->write(std::move(data));
    pauseIfUnsent();
  };
  out.BufferLimit = [this] { return State.Memory->answerAllowance(); };
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
    Body.reset();
    BufferedAnswer.set(0);
    State.Running.remove(this);
    State.Stats.Running.add(-1);
    State.Stats.RequestTime.observe(monotonicNow() - Flow.request().Arrived);
  };
  return out;
}

bool GatewayRequest::isDraining(TimePoint now, Error &reason) const {
  std::shared_ptr<const direct::DrainPlan> drain = State.Drain.load();
  if (!drain || drain->mayAttempt(now, expectedEnd(*drain, now)))
    return false;
  reason = drainingError();
  return true;
}

TimePoint GatewayRequest::expectedEnd(const direct::DrainPlan &drain,
                                      TimePoint now) const {
  const direct::ForwardRequest &request = Flow.request();
  // The drain finishes what was taken before it, with all its attempts. One
  // that may not be repeated has not run if another attempt is due, and can
  // still be refused as not run.
  if (drain.isBeforeSignal(request.Arrived) && request.MatchedRoute.mayRepeat())
    return now;
  std::optional<Duration> answer = State.AnswerTimes.estimate(
      answerKey(), request.Head.MaxOutputTokens, now);
  return answer ? std::min(request.Deadline, now + *answer) : request.Deadline;
}

balancing::AnswerKey GatewayRequest::answerKey() const {
  return {Flow.request().MatchedRoute.Name, Flow.request().Service};
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
    IsReturn = takeReturn(State, Flow.request(), BodyBytes, now);
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
          scheduleReturn(State, Flow.request(), refused, BodyBytes, now);
    reason = std::move(refused.Reason);
    reason.Detail += loadDetail(refused, limited.LimitFactor);
  }
  return out;
}

RetryBudget &GatewayRequest::budget() {
  return State.Retries.budgetFor(Flow.request().Service,
                                 State.catalog()->Entries.size());
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
          WaitingSince};
}

void GatewayRequest::dropBody() {
  const direct::Route &route = Flow.request().MatchedRoute;
  bool mayGoOn = route.Kind == direct::RouteKind::Stream && route.mayRepeat();
  if (mayGoOn || BodyBytes < MinDroppedBytes)
    return;
  // The log names it if the answer breaks off, and the body is needed for it.
  identity();
  Body.reset();
}

bool GatewayRequest::takeRetry() {
  bool out = budget().tryRetry();
  (out ? State.Stats.RetryAttempts : State.Stats.RetriesDenied).add();
  return out;
}

void GatewayRequest::send(uint32_t attempt, const AttemptOrder &order) {
  TimePoint now = monotonicNow();
  Order = order;
  SentAt = WaitingSince = now;
  FirstByteAt.reset();
  Connection.reset();
  HeadAt.reset();
  IsCloseDelimited = false;
  State.Stats.Attempts.add();
  if (order.OutdatedFor > Duration::zero())
    State.Stats.OutdatedAttempts.add();
  State.Loads.onSent(order.server(), loadOf(order), now);
  State.AnswerTimes.onSent(answerKey(), now);
  Saves.clear();
  std::vector<direct::PartSave> wanted = plannedSaves();
  if (wanted.empty())
    return transmit(attempt, now);
  // What is left of the order is decided when the owners of the parts have
  // answered.
  Unsent = attempt;
  State.SaveExchange->request(
      std::move(wanted), order.TimeLeft,
      Duration(static_cast<int64_t>(order.PredictedFirstTokenMs * 1000)),
      [self = shared_from_this(), attempt, now](const auto &answers) {
        self->onStrand([raw = self.get(), attempt, askedAt = now, answers] {
          raw->onSaveAnswers(attempt, askedAt, answers);
        });
      });
}

std::vector<direct::PartSave> GatewayRequest::plannedSaves() const {
  const std::vector<direct::PromptPart> &parts = Flow.request().Head.Parts;
  std::vector<direct::PartSave> out;
  for (size_t i = 0; i < Order.Destinations.size(); ++i) {
    if (!Order.Destinations[i])
      continue;
    auto save = State.StoredParts.plannedSave(Order.CacheScope, parts[i].Id);
    // Without one, a store has reported the part meanwhile.
    out.push_back(save.value_or(direct::PartSave{{}, 0, {}, parts[i].Id}));
  }
  return out;
}

void GatewayRequest::onSaveAnswers(uint32_t attempt, TimePoint askedAt,
                                   const std::vector<SaveAnswer> &answers) {
  TimePoint now = monotonicNow();
  bool isCurrent = Unsent == attempt;
  // A suspension may have outlasted the grants.
  bool mayUse = isCurrent && now < askedAt + MaxGrantAge;
  for (const SaveAnswer &it : answers) {
    bool isGranted = it.Result == SaveAnswer::Kind::Granted;
    if (isGranted && mayUse)
      Saves.push_back(it);
    else if (isGranted)
      State.SaveExchange->ended(it, false);
    if (isCurrent && !(isGranted && mayUse))
      dropSave(it);
  }
  if (!isCurrent)
    return;
  Unsent.reset();
  Order.TimeLeft = std::max(Order.TimeLeft - (now - askedAt), MinTimeLeft);
  transmit(attempt, now);
}

void GatewayRequest::dropSave(const SaveAnswer &answer) {
  bool isNeedless = answer.Result == SaveAnswer::Kind::Needless;
  (isNeedless ? State.Stats.SavesNeedless : State.Stats.SavesNotGranted).add();
  // A part that another entry has saved is not asked for again for a while.
  if (!isNeedless)
    State.StoredParts.cancelSave(Order.CacheScope, {answer.Save.Part, 0});
  const std::vector<direct::PromptPart> &parts = Flow.request().Head.Parts;
  for (size_t i = 0; i < Order.Destinations.size(); ++i)
    if (parts[i].Id == answer.Save.Part)
      Order.Destinations[i].reset();
}

void GatewayRequest::transmit(uint32_t attempt, TimePoint now) {
  const direct::ForwardRequest &request = Flow.request();
  const AttemptOrder &order = Order;
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
  hooks.MatchesRequest = [self = shared_from_this(), server = order.ServerId](
                             const auto &headers, bool isFirst) {
    return self->isOwnAnswer(server, headers, isFirst);
  };
  hooks.MaySend = [self = shared_from_this(), attempt,
                   server = order.server().start(), chosenAt = SentAt] {
    return self->maySend(attempt, server, chosenAt);
  };
  hooks.Sending = [self = shared_from_this(), attempt](const auto &connection) {
    self->onStrand([raw = self.get(), attempt, connection] {
      raw->onSending(attempt, connection);
    });
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
  net::HttpCallOptions options;
  options.MaxBodyBytes = MaxAnswerBytes;
  options.ResponseKey = direct::stableHash(request.Head.RequestId);
  Call = State.BackendClient.call(
      order.Address, State.WireProtocol.WriteAttempt(request.Head, order, Body),
      order.TimeLeft + CallTimeoutMargin, std::move(hooks), options);
}

void GatewayRequest::onSending(uint32_t attempt,
                               const net::HttpConnectionInfo &connection) {
  if (Flow.isEnded() || attempt != Flow.attempts())
    return;
  Connection = connection;
}

bool GatewayRequest::maySend(uint32_t attempt,
                             const direct::ServerStart &server,
                             TimePoint chosenAt) const {
  TimePoint now = monotonicNow();
  if (State.takesRequests(server, now))
    return true;
  State.Stats.AttemptsAfterLeaving.add();
  State.Log.write(LogPriority::Notable, "server_left_before_sending",
                  {{"request", Flow.request().Head.RequestId},
                   {"attempt", attempt},
                   {"server", server.Id},
                   {"since_choice_ms", millisecondsOf(now - chosenAt)}},
                  now);
  return false;
}

void GatewayRequest::onHead(uint32_t attempt, unsigned status,
                            const std::vector<net::HttpHeader> &headers) {
  if (Flow.isEnded() || attempt != Flow.attempts())
    return;
  TimePoint now = monotonicNow();
  HeadAt = now;
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
  BufferedAnswer.set(Flow.bufferedBytes());
}

void GatewayRequest::pauseIfUnsent() {
  size_t allowed = State.Memory->answerAllowance();
  if (Exchange->pendingBytes() <= allowed)
    return;
  if (!ResumeAnswer) {
    ResumeAnswer = Call.pause();
    if (!ResumeAnswer)
      return; // The call has ended.
    State.Loads.onPaused(Order.server(), loadOf(Order));
  }
  Exchange->onDrained(allowed / 2, [weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->onStrand([raw = self.get()] { raw->resumeAnswer(); });
  });
}

void GatewayRequest::resumeAnswer() {
  if (net::HttpCall::Resume resume = endPause(monotonicNow()))
    resume();
}

net::HttpCall::Resume GatewayRequest::endPause(TimePoint now) {
  if (!ResumeAnswer)
    return {};
  WaitingSince = now;
  State.Loads.onResumed(Order.server(), loadOf(Order), now);
  return std::exchange(ResumeAnswer, nullptr);
}

void GatewayRequest::onDone(uint32_t attempt, const Error &error) {
  // The client reports ServiceUnavailable if nothing was sent.
  bool wasNotSent = error.Kind == ErrorKind::ServiceUnavailable;
  bool isCurrent = !Flow.isEnded() && attempt == Flow.attempts();
  if (isCurrent && error.Kind == ErrorKind::ProtocolError)
    logMalformedAnswer(attempt, error, monotonicNow());
  Flow.onDone(attempt, error, wasNotSent, monotonicNow());
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
  if (reason.Kind == ErrorKind::Draining)
    (isRefusal ? State.Stats.RefusedForDrain : State.Stats.CutByDrain).add();
  Exchange->respond(State.WireProtocol.WriteErrorAnswer(
      status, Flow.request().Head.RequestId, reason));
  logEnd(status, isRefusal ? "refused" : "failed", reason);
}

void GatewayRequest::failIfUnanswered() {
  onStrand([this] {
    TimePoint now = monotonicNow();
    if (Flow.isEnded() || HasAnswerStarted)
      return;
    logCut("last_word", now);
    Flow.onProcessEnd(now);
  });
}

void GatewayRequest::recordCutOff(std::function<void()> done) {
  onStrand([this, done = std::move(done)] {
    if (!Flow.isEnded()) {
      State.Stats.CutByDrain.add();
      logCut("end", monotonicNow());
    }
    done();
  });
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

} // namespace daisytack::gateway
