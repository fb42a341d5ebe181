#include "active_request.h"

#include "base/clock.h"
#include "base/digest.h"
#include "net/problem.h"
#include "net/sse.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace daisytack::entry {

namespace asio = boost::asio;

namespace {

constexpr unsigned DefaultServiceStatus = 200;

} // namespace

void DisconnectNotifier::notify() {
  std::function<void()> hook;
  {
    std::lock_guard guard(Lock);
    IsDisconnected = true;
    hook.swap(Hook);
  }
  if (hook)
    hook();
}

void DisconnectNotifier::onDisconnect(std::function<void()> hook) {
  {
    std::lock_guard guard(Lock);
    if (!IsDisconnected) {
      Hook = std::move(hook);
      return;
    }
  }
  hook();
}

ActiveRequest::ActiveRequest(EntryState &state, RequestSpec spec,
                             AnswerIdentity identity,
                             std::shared_ptr<net::HttpExchange> exchange)
    : State(state), Strand(state.Io.get_executor()), Timer(Strand),
      Flow(std::move(spec), state.Options.Flow, hooks()),
      Identity(std::move(identity)), Exchange(std::move(exchange)) {
  State.Counts.InFlight.add(1);
}

query::RequestRow ActiveRequest::row(TimePoint now) const {
  const RequestSpec &spec = Flow.spec();
  query::RequestRow out;
  out.Request = spec.Offer.Id;
  out.Organisation = spec.Offer.Organisation;
  out.Class = spec.Offer.Class;
  out.Model = spec.Service.empty() ? spec.Offer.Model : spec.Service;
  out.Version = spec.Offer.Version;
  out.Priority = spec.Offer.Priority;
  out.PromptTokens = spec.Offer.PromptTokens;
  out.Age = std::chrono::duration_cast<Duration>(now - spec.Arrived);
  out.Remaining = std::chrono::duration_cast<Duration>(spec.Deadline - now);
  std::lock_guard guard(ProgressLock);
  out.State = LatestProgress.State;
  out.Server = LatestProgress.Server;
  out.AttemptNumber = LatestProgress.AttemptNumber;
  out.GeneratedTokens = LatestProgress.Chunks;
  return out;
}

bool ActiveRequest::isHeld() const {
  std::lock_guard guard(ProgressLock);
  return LatestProgress.State == query::RequestState::Held;
}

void ActiveRequest::updateProgress() {
  Progress next;
  next.Chunks = Flow.chunks();
  if (Flow.isHeld())
    next.State = query::RequestState::Held;
  else if (next.Chunks > 0)
    next.State = query::RequestState::Running;
  else if (Flow.isAccepted())
    next.State = query::RequestState::Waiting;
  std::lock_guard guard(ProgressLock);
  LatestProgress.State = next.State;
  LatestProgress.Chunks = next.Chunks;
  if (!OpenedAttempts.empty()) {
    LatestProgress.AttemptNumber = OpenedAttempts.back().second.AttemptNumber;
    LatestProgress.Server = OpenedAttempts.back().first;
  }
}

ActiveRequest::~ActiveRequest() {
  State.Counts.InFlight.add(-1);
  State.Requests.remove(this);
  State.Limits.releaseSlot(Flow.spec().Offer.Organisation);
  State.Running.fetch_sub(1, std::memory_order_release);
}

FlowHooks ActiveRequest::hooks() {
  FlowHooks out;
  out.Rank = [this](const RequestSpec &spec, const FlowContext &context) {
    return State.rank(spec, context.Now);
  };
  out.TakeRetry = [this] {
    bool taken = State.Retries.tryRetry();
    if (taken)
      State.Counts.Retries.add();
    return taken;
  };
  out.Random = secureRandom;
  out.Refresh = [this](wire::Offer &offer, const RequestSpec &spec,
                       const FlowContext &context) {
    if (spec.Service.empty())
      refreshPieceKeys(offer, spec.Scope, context.Config, State.Keyer);
  };
  return out;
}

void ActiveRequest::start(DisconnectNotifier &notifier) {
  State.Requests.add(shared_from_this());
  notifier.onDisconnect([weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->push(CallerDisconnected{});
  });
  push(FlowStarted{});
}

void ActiveRequest::push(FlowInput input) {
  auto run = [self = shared_from_this(), input = std::move(input)] {
    self->apply(input);
  };
  // An input caused by an action is applied after the remaining actions.
  if (Strand.running_in_this_thread())
    asio::post(Strand, std::move(run));
  else
    asio::dispatch(Strand, std::move(run));
}

void ActiveRequest::apply(const FlowInput &input) {
  std::shared_ptr<const RoutingTable> routes = State.table();
  FlowActions actions =
      Flow.apply(input, {routes->snapshot(), monotonicNow(), wallNow()});
  for (FlowAction &action : actions)
    std::visit([this](auto &it) { perform(it); }, action);
  updateProgress();
}

void ActiveRequest::openAttempt(const std::string &server, Attempt number,
                                wire::Message message) {
  AttemptKey key{Flow.spec().Offer.Id, number};
  std::shared_ptr<const RoutingTable> routes = State.table();
  const Server *to = routes->snapshot().server(server);
  if (to == nullptr || to->State == MemberState::Gone)
    return push(LinkLost{number, false});
  {
    AttemptTable::accessor it;
    State.Attempts.insert(it, key);
    it->second = shared_from_this();
  }
  OpenedAttempts.emplace_back(server, key);
  State.Links.open(*to, key, std::move(message));
}

void ActiveRequest::perform(SendOffer &action) {
  State.Counts.Offers.add();
  openAttempt(action.Server, action.Offer.AttemptNumber,
              wire::Message(std::move(action.Offer)));
}

void ActiveRequest::perform(SendResume &action) {
  State.Counts.Resumes.add();
  openAttempt(action.Server, action.Resume.AttemptNumber,
              wire::Message(std::move(action.Resume)));
}

void ActiveRequest::perform(SendCancel &action) {
  State.Links.send(action.Server, wire::Message(action.Cancel));
}

void ActiveRequest::perform(AnswerPart &action) {
  bool isFirst = !StreamStarted;
  if (isFirst) {
    StreamStarted = true;
    Exchange->beginStream(200,
                          {{"Content-Type", "text/event-stream"},
                           {"Cache-Control", "no-store"},
                           {"X-Daisytack-Request-Id", toHex(Identity.Id)}});
  }
  const std::string &organisation = Flow.spec().Offer.Organisation;
  net::SseEvent event;
  event.Id = State.Ids.eventId(organisation,
                               {Identity.Id, action.Server, action.Index});
  event.Data = answerPartJson(Identity, action.Text, isFirst);
  Exchange->write(net::formatSse(event));
}

void ActiveRequest::perform(AnswerEnd &action) {
  if (!StreamStarted)
    Exchange->beginStream(200,
                          {{"Content-Type", "text/event-stream"},
                           {"X-Daisytack-Request-Id", toHex(Identity.Id)}});
  net::SseEvent last;
  last.Data = answerEndJson(Identity, action.Summary);
  net::SseEvent done;
  done.Data = "[DONE]";
  Exchange->write(net::formatSse(last) + net::formatSse(done));
  Exchange->endStream();
  State.Counts.countAnswer(ErrorKind::None);
  State.Counts.FirstToken.observe(action.Summary.FirstToken);
  State.Counts.countServed(Flow.spec().Offer, action.Summary);
}

void ActiveRequest::respondService(WholeAnswer &action) {
  net::HttpResponse out;
  out.Status = action.Summary.ServiceStatus != 0 ? action.Summary.ServiceStatus
                                                 : DefaultServiceStatus;
  for (wire::HeaderField &it : action.Summary.ServiceHeaders)
    if (isForwardedHeader(it.Name))
      out.Headers.push_back({std::move(it.Name), std::move(it.Value)});
  out.Headers.push_back({"X-Daisytack-Request-Id", toHex(Identity.Id)});
  out.Body = std::move(action.Text);
  Exchange->respond(std::move(out));
}

void ActiveRequest::perform(WholeAnswer &action) {
  State.Counts.countAnswer(ErrorKind::None);
  State.Counts.FirstToken.observe(action.Summary.FirstToken);
  if (!Flow.spec().Service.empty())
    return respondService(action);
  State.Counts.countServed(Flow.spec().Offer, action.Summary);
  const AnswerSummary &summary = action.Summary;
  net::HttpResponse out;
  out.Headers = {
      {"Content-Type", "application/json"},
      {"X-Daisytack-Request-Id", toHex(Identity.Id)},
      {"X-Daisytack-First-Token-Us",
       std::to_string(summary.FirstToken.count())},
      {"X-Daisytack-Prompt-Tokens", std::to_string(summary.PromptTokens)},
      {"X-Daisytack-Recomputed-Tokens",
       std::to_string(summary.RecomputedTokens)}};
  out.Body = wholeAnswerJson(Identity, action);
  Exchange->respond(std::move(out));
}

void ActiveRequest::recordRefusal(const AnswerError &action) {
  const RequestSpec &spec = Flow.spec();
  query::RefusalRow row;
  row.Request = spec.Offer.Id;
  row.Kind = action.Reason.Kind;
  row.RunOutcome = action.RunOutcome;
  row.Organisation = spec.Offer.Organisation;
  row.Class = spec.Offer.Class;
  row.Model = spec.Service.empty() ? spec.Offer.Model : spec.Service;
  State.Requests.recordRefusal(std::move(row), monotonicNow());
}

void ActiveRequest::perform(AnswerError &action) {
  recordRefusal(action);
  State.Counts.countAnswer(action.Reason.Kind);
  if (!StreamStarted)
    return Exchange->respond(
        net::problemResponse(action.Reason, action.RunOutcome, Identity.Id));
  net::SseEvent event;
  event.Event = "error";
  event.Data = net::problemJson(action.Reason, action.RunOutcome, Identity.Id);
  Exchange->write(net::formatSse(event));
  Exchange->endStream();
}

void ActiveRequest::perform(ArmTimer &action) {
  Timer.expires_after(action.At - monotonicNow());
  Timer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code &ec) {
        auto self = weak.lock();
        if (self && !ec)
          self->apply(TimerFired{});
      });
}

void ActiveRequest::perform(ReportServer &action) {
  State.recordServerResult(action, Flow.spec());
}

void ActiveRequest::perform(RecordEvent &action) {
  if (action.Recorded.Kind == EventKind::RequestAnswered)
    State.Counts.AnswerDuration.observe(Duration(action.Recorded.Scores[0]));
  State.Events(std::move(action.Recorded));
}

void ActiveRequest::perform(FlowEnded & /*action*/) {
  Timer.cancel();
  for (const auto &[server, key] : OpenedAttempts) {
    State.Links.close(server, key);
    State.Attempts.erase(key);
  }
  Exchange.reset();
}

} // namespace daisytack::entry
