#include "entry_host.h"

#include "base/digest.h"
#include "once/ticket.h"

#include <algorithm>

namespace daisytack::matrix {

using namespace entry;

namespace {

/// Time for the announcement to spread before the first check whether the
/// process may exit, and from one check to the next.
constexpr Duration DrainCheckInterval{500'000};
const std::string Secret = "a secret that all entries share: 32 bytes";
const std::string Region = "riga";
constexpr std::string_view ServiceName = "portal";
/// Length of the prefix shared by all prompts of an organisation: two pieces.
constexpr size_t GuideBytes = 2 * PieceBytes;

std::string promptBody(const Submission &submission) {
  std::string guide = "style guide of " + submission.Call.Organisation + ". ";
  guide.resize(GuideBytes, '.');
  std::string call =
      formatCallBody({submission.Call.Number, submission.Call.Organisation,
                      submission.Chunks});
  return R"({"model":")" + submission.Model + R"(","stream":)" +
         (submission.Stream ? "true" : "false") +
         R"(,"max_tokens":64,"prompt":")" + guide + call + R"("})";
}

} // namespace

EntryHost::EntryHost(std::string name, FakePlatform &platform,
                     InvariantChecker &check, ControlHost &control, Hooks hooks)
    : Name(std::move(name)), Platform(platform), Checker(check),
      Control(control), Callbacks(std::move(hooks)),
      Routes(std::make_shared<const RoutingTable>(control.snapshot())),
      Loads({}), Limits(hashName(Name), {}), Owner({}), Retries({}),
      Keyer(Secret), Bindings({}) {}

void EntryHost::submit(const Submission &submission) {
  Callbacks.StepReached(Step::Receive);
  if (Draining)
    return refuse(submission, {ErrorKind::Draining, "leaving"});
  if (!Control.isReady())
    return refuse(submission, {ErrorKind::NotReady, "no configuration"});
  Callbacks.StepReached(Step::Authenticate);
  const Organisation *caller = Routes->snapshot().organisationByKey(
      "key of " + submission.Call.Organisation);
  if (caller == nullptr || caller->Name != submission.Call.Organisation)
    return refuse(submission, {ErrorKind::Unauthenticated, "no such key"});
  admit(submission, true);
}

void EntryHost::admit(const Submission &submission, bool mayWait) {
  Callbacks.StepReached(Step::Limit);
  const Snapshot &config = Routes->snapshot();
  const Organisation *caller =
      config.organisation(submission.Call.Organisation);
  if (caller == nullptr)
    return refuse(submission, {ErrorKind::Unauthenticated, "deleted"});
  LimitDecision decision =
      Limits.admit(*caller, config.Entries.size(), Callbacks.Now());
  const Member *owner = quotaOwner(hashName(caller->Name), config.Entries);
  if (decision.OwnerRequest && owner != nullptr)
    Callbacks.RequestQuota(owner->Name, *decision.OwnerRequest);
  if (decision.Verdict == LimitVerdict::Admitted)
    return startSubmission(submission);
  if (decision.Verdict == LimitVerdict::Refused || !mayWait)
    return refuse(submission, decision.Reason);
  ++PendingAdmissions;
  Callbacks.Schedule(LimitSettings().MaxGrantWait, [this, submission] {
    --PendingAdmissions;
    admit(submission, false);
  });
}

void EntryHost::startSubmission(const Submission &submission) {
  switch (submission.KeyKind) {
  case CallKeyKind::None:
    return startFlow(submission, "");
  case CallKeyKind::Ticket:
    if (!submission.Key.empty())
      return startFlow(submission, submission.Key);
    return fetchTicket(submission);
  case CallKeyKind::OpaqueKey:
    return fetchTicket(submission);
  }
}

void EntryHost::fetchTicket(const Submission &submission) {
  Error reason;
  auto spec = readSpec(submission, reason);
  if (!spec)
    return refuse(submission, reason);
  auto candidates = rank(*spec, "");
  if (candidates.empty())
    return refuse(submission, {ErrorKind::NoServer, "no server"});
  PendingTickets[submission.Id] = submission;
  sendOrQueue(candidates.front().Server,
              wire::TicketRequest{submission.Id, submission.Call.Organisation,
                                  std::string(ServiceName)});
  constexpr Duration TicketTimeout{1'000'000};
  Callbacks.Schedule(TicketTimeout, [this, submission] {
    if (PendingTickets.erase(submission.Id) > 0)
      refuse(submission, {ErrorKind::NoServer, "no ticket"});
  });
}

void EntryHost::bind(const Submission &submission, const std::string &ticket) {
  Error reason;
  if (!Bindings.take(Callbacks.Now(), reason))
    return refuse(submission, reason);
  auto binding = std::make_shared<KeyBinding>(
      BindRequest{submission.Call.Organisation,
                  submission.Key,
                  ticket,
                  {Callbacks.Random(), Callbacks.Random()},
                  0});
  ++PendingAdmissions;
  onBindStep(submission, binding, binding->start());
}

void EntryHost::onBindStep(const Submission &submission,
                           const std::shared_ptr<KeyBinding> &binding,
                           BindStep step) {
  if (const auto *write = std::get_if<edge::KvTransaction>(&step))
    return Platform.call<edge::KvTransactionResult>(
        [write = *write](test::FakeKv &kv, TimePoint now) {
          return kv.commit(write, now);
        },
        [this, submission, binding](const edge::KvTransactionResult &result) {
          Callbacks.Schedule(Duration(0), [this, submission, binding, result] {
            onBindStep(submission, binding, binding->onCommit(result));
          });
        });
  if (const auto *range = std::get_if<edge::KvRange>(&step))
    return Platform.call<edge::KvRangeResult>(
        [range = *range](test::FakeKv &kv, TimePoint now) {
          return kv.range(range, now);
        },
        [this, submission, binding](const edge::KvRangeResult &result) {
          Callbacks.Schedule(Duration(0), [this, submission, binding, result] {
            onBindStep(submission, binding, binding->onRange(result));
          });
        });
  --PendingAdmissions;
  if (const auto *bound = std::get_if<KeyBound>(&step))
    return startFlow(submission, bound->Ticket);
  refuse(submission, std::get<KeyRefused>(step).Reason);
}

std::optional<RequestSpec> EntryHost::readSpec(const Submission &submission,
                                               Error &reason) const {
  const Snapshot &config = Routes->snapshot();
  const Organisation *caller =
      config.organisation(submission.Call.Organisation);
  if (caller == nullptr) {
    reason = {ErrorKind::Unauthenticated, "deleted"};
    return std::nullopt;
  }
  CallerLimits limits;
  CallerContext context{config, *caller, limits, Callbacks.Now(),
                        Callbacks.Wall()};
  CallerInput input;
  input.Method = "POST";
  input.Class = submission.Class;
  std::string body = promptBody(submission);
  input.Body = body;
  auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      submission.Call.Deadline - Callbacks.Now());
  std::string millis = std::to_string(std::max<int64_t>(1, left.count()));
  input.DeadlineMs = millis;
  std::optional<RequestSpec> out;
  if (submission.Model.empty()) {
    input.Target = "/quotes";
    out = readServiceCall(input, context, ServiceName, {}, reason);
  } else {
    auto prompt = readPrompt(input, context, false, reason);
    if (!prompt)
      return std::nullopt;
    out = std::move(prompt->Spec);
    setPieceKeys(out->Offer, out->Scope, config, Keyer, prompt->Text);
  }
  if (out)
    out->Offer.Id = submission.Id;
  return out;
}

void EntryHost::startFlow(const Submission &submission,
                          const std::string &ticket) {
  Error reason;
  auto spec = readSpec(submission, reason);
  if (!spec)
    return refuse(submission, reason);
  spec->Offer.Ticket = ticket;
  spec->FirstAttempt = NextAttempt;
  NextAttempt += 2 * MaxAttempts;
  if (RetriesAnyCall)
    spec->Offer.Idempotent = true;
  RequestId id = spec->Offer.Id;
  ActiveRequest active;
  active.Request = submission;
  active.Flow = std::make_unique<RequestFlow>(std::move(*spec), FlowSettings(),
                                              flowHooks(ticket));
  Flows.insert_or_assign(id, std::move(active));
  applyInput(id, FlowStarted{});
}

void EntryHost::resume(const Submission &submission, const std::string &server,
                       uint32_t fromIndex) {
  Error reason;
  auto spec = readSpec(submission, reason);
  if (!spec || Draining || !Control.isReady())
    return refuse(submission, {ErrorKind::NotReady, "can't resume"});
  spec->Resume = ResumePoint{server, fromIndex};
  spec->FirstAttempt = NextAttempt;
  NextAttempt += 2 * MaxAttempts;
  RequestId id = spec->Offer.Id;
  ActiveRequest active;
  active.Request = submission;
  active.Flow = std::make_unique<RequestFlow>(std::move(*spec), FlowSettings(),
                                              flowHooks(""));
  Flows.insert_or_assign(id, std::move(active));
  applyInput(id, FlowStarted{});
}

FlowHooks EntryHost::flowHooks(const std::string &ticket) {
  FlowHooks out;
  out.Rank = [this, ticket](const RequestSpec &spec, const FlowContext &) {
    return rank(spec, ticket);
  };
  out.TakeRetry = [this] { return Retries.tryRetry(); };
  out.Refresh = [this](wire::Offer &offer, const RequestSpec &spec,
                       const FlowContext &context) {
    if (spec.Service.empty())
      refreshPieceKeys(offer, spec.Scope, context.Config, Keyer);
  };
  return out;
}

std::vector<Candidate> EntryHost::rank(const RequestSpec &spec,
                                       const std::string &ticket) {
  Callbacks.StepReached(Step::Rank);
  Error reason;
  if (!ticket.empty()) {
    auto parsed = parseTicket(ticket, reason);
    if (!parsed)
      return {};
    return {{parsed->Instance, {}}};
  }
  bool isService = !spec.Service.empty();
  std::string_view serves = isService ? spec.Service : spec.Offer.Model;
  RouteKey key =
      makeRouteKey(hashName(spec.Offer.Organisation), serves, spec.Offer.Pieces,
                   std::hash<Id128>()(spec.Offer.Id));
  auto list = Routes->candidates(serves, isService, key, Region);
  RouteDecision decision =
      rankCandidates(list, Routes->snapshot(), Loads, {},
                     spec.Offer.PromptTokens, key, Region, Callbacks.Now());
  std::vector<Candidate> out;
  for (const RankedCandidate &it : decision)
    out.push_back(
        {Routes->snapshot().Servers[it.Server.Index].Name, it.FirstToken});
  return out;
}

void EntryHost::refuse(const Submission &submission, Error reason) {
  Checker.onErrorAnswer(submission.Number, reason, Outcome::NotRun,
                        Callbacks.Now());
}

void EntryHost::onSnapshot(std::shared_ptr<const Snapshot> snapshot) {
  auto isNotLive = [](const daisytack::Server &it) {
    return it.State != MemberState::Live;
  };
  if (IgnoresLeaving && std::any_of(snapshot->Servers.begin(),
                                    snapshot->Servers.end(), isNotLive))
    return;
  Routes = std::make_shared<const RoutingTable>(std::move(snapshot));
  std::vector<RequestId> ids;
  for (const auto &[id, active] : Flows)
    ids.push_back(id);
  for (const RequestId &id : ids)
    applyInput(id, ConfigChanged{});
}

QuotaGrant EntryHost::grant(const QuotaRequest &request) {
  for (const Organisation &it : Routes->snapshot().Organisations)
    if (hashName(it.Name) == request.Organisation)
      return Owner.grant(it, request, Callbacks.Now());
  return {};
}

void EntryHost::onGrant(const QuotaGrant &grant) {
  Limits.apply(grant, Callbacks.Now());
}

void EntryHost::drain() {
  Draining = true;
  Callbacks.StepReached(Step::Drain);
  Control.announceLeaving();
  Callbacks.Schedule(DrainCheckInterval, [this] { checkExit(); });
}

void EntryHost::checkExit() {
  if (Exited)
    return;
  if (!Flows.empty() || PendingAdmissions > 0 || !PendingTickets.empty()) {
    Callbacks.Schedule(DrainCheckInterval, [this] { checkExit(); });
    return;
  }
  Exited = true;
  Checker.onExited(Name, Flows.size());
  Callbacks.Exit();
}

std::vector<EntryHost::OpenSubmission> EntryHost::openSubmissions() const {
  std::vector<OpenSubmission> out;
  for (const auto &[id, active] : Flows)
    out.push_back(
        {active.Request.Number, active.LastServer, active.SentChunks});
  for (const auto &[id, pending] : PendingTickets)
    out.push_back({pending.Number, "", 0});
  return out;
}

} // namespace daisytack::matrix
