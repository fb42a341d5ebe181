#include "entry_host.h"

#include "base/digest.h"
#include "once/ticket.h"

#include <algorithm>

namespace daisytack::matrix {

using namespace entry;

namespace {

constexpr Duration DrainNotice{500'000};
const std::string Secret = "a secret that all entries share: 32 bytes";
const std::string Region = "riga";
constexpr std::string_view ServiceName = "portal";
/// Two whole pieces that every prompt of an organisation starts with.
constexpr size_t GuideBytes = 2 * PieceBytes;

std::string promptBody(const Submission &submission) {
  std::string guide = "style guide of " + submission.Call.Organisation + ". ";
  guide.resize(GuideBytes, '.');
  std::string call =
      callText({submission.Call.Number, submission.Call.Organisation,
                submission.Chunks});
  return R"({"model":")" + submission.Model + R"(","stream":)" +
         (submission.Stream ? "true" : "false") +
         R"(,"max_tokens":64,"prompt":")" + guide + call + R"("})";
}

} // namespace

EntryHost::EntryHost(std::string name, Platform &platform, PromiseCheck &check,
                     ControlHost &control, Hooks hooks)
    : Name(std::move(name)), Outside(platform), Check(check), Control(control),
      On(std::move(hooks)),
      Routes(std::make_shared<const RoutingTable>(control.snapshot())),
      Loads({}), Limits(hashName(Name), {}), Owner({}), Retries({}),
      Keyer(Secret), Bindings({}) {}

void EntryHost::submit(const Submission &submission) {
  On.Reached(Step::Receive);
  if (Draining)
    return refuse(submission, {ErrorKind::Draining, "leaving"});
  if (!Control.isReady())
    return refuse(submission, {ErrorKind::NotReady, "no configuration"});
  On.Reached(Step::Authenticate);
  const Organisation *caller = Routes->snapshot().organisationByKey(
      "key of " + submission.Call.Organisation);
  if (caller == nullptr || caller->Name != submission.Call.Organisation)
    return refuse(submission, {ErrorKind::Unauthenticated, "no such key"});
  admit(submission, true);
}

void EntryHost::admit(const Submission &submission, bool mayAsk) {
  On.Reached(Step::Limit);
  const Snapshot &config = Routes->snapshot();
  const Organisation *caller =
      config.organisation(submission.Call.Organisation);
  if (caller == nullptr)
    return refuse(submission, {ErrorKind::Unauthenticated, "deleted"});
  LimitDecision decision =
      Limits.admit(*caller, config.Entries.size(), On.Now());
  const Member *owner = quotaOwner(hashName(caller->Name), config.Entries);
  if (decision.OwnerRequest && owner != nullptr)
    On.RequestQuota(owner->Name, *decision.OwnerRequest);
  if (decision.Verdict == LimitVerdict::Admitted)
    return begin(submission);
  if (decision.Verdict == LimitVerdict::Refused || !mayAsk)
    return refuse(submission, decision.Reason);
  ++BeingAdmitted;
  On.After(LimitSettings().MaxGrantWait, [this, submission] {
    --BeingAdmitted;
    admit(submission, false);
  });
}

void EntryHost::begin(const Submission &submission) {
  switch (submission.Named) {
  case Naming::None:
    return launch(submission, "");
  case Naming::Ticket:
    if (!submission.Key.empty())
      return launch(submission, submission.Key);
    return fetchTicket(submission);
  case Naming::OpaqueKey:
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
  TicketAsks[submission.Id] = submission;
  post(candidates.front().Server,
       wire::TicketRequest{submission.Id, submission.Call.Organisation,
                           std::string(ServiceName)});
  constexpr Duration TicketTimeout{1'000'000};
  On.After(TicketTimeout, [this, submission] {
    if (TicketAsks.erase(submission.Id) > 0)
      refuse(submission, {ErrorKind::NoServer, "no ticket"});
  });
}

void EntryHost::bind(const Submission &submission, const std::string &ticket) {
  Error reason;
  if (!Bindings.take(On.Now(), reason))
    return refuse(submission, reason);
  auto binding =
      std::make_shared<KeyBinding>(BindRequest{submission.Call.Organisation,
                                               submission.Key,
                                               ticket,
                                               {On.Random(), On.Random()},
                                               0});
  ++BeingAdmitted;
  onBindStep(submission, binding, binding->start());
}

void EntryHost::onBindStep(const Submission &submission,
                           const std::shared_ptr<KeyBinding> &binding,
                           BindStep step) {
  if (const auto *write = std::get_if<edge::KvTransaction>(&step))
    return Outside.call<edge::KvTransactionResult>(
        [write = *write](test::FakeKv &kv, TimePoint now) {
          return kv.commit(write, now);
        },
        [this, submission, binding](const edge::KvTransactionResult &result) {
          On.After(Duration(0), [this, submission, binding, result] {
            onBindStep(submission, binding, binding->onCommit(result));
          });
        });
  if (const auto *range = std::get_if<edge::KvRange>(&step))
    return Outside.call<edge::KvRangeResult>(
        [range = *range](test::FakeKv &kv, TimePoint now) {
          return kv.range(range, now);
        },
        [this, submission, binding](const edge::KvRangeResult &result) {
          On.After(Duration(0), [this, submission, binding, result] {
            onBindStep(submission, binding, binding->onRange(result));
          });
        });
  --BeingAdmitted;
  if (const auto *bound = std::get_if<KeyBound>(&step))
    return launch(submission, bound->Ticket);
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
  CallerContext context{config, *caller, limits, On.Now(), On.Wall()};
  CallerInput input;
  input.Method = "POST";
  input.Class = submission.Class;
  std::string body = promptBody(submission);
  input.Body = body;
  auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      submission.Call.Deadline - On.Now());
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

void EntryHost::launch(const Submission &submission,
                       const std::string &ticket) {
  Error reason;
  auto spec = readSpec(submission, reason);
  if (!spec)
    return refuse(submission, reason);
  spec->Offer.Ticket = ticket;
  spec->FirstAttempt = NextTry;
  NextTry += 2 * MaxAttempts;
  if (RepeatsCalls)
    spec->Offer.Idempotent = true;
  RequestId id = spec->Offer.Id;
  Going going;
  going.What = submission;
  going.Flow = std::make_unique<RequestFlow>(std::move(*spec), FlowSettings(),
                                             flowHooks(ticket));
  Flows.insert_or_assign(id, std::move(going));
  push(id, FlowStarted{});
}

void EntryHost::resume(const Submission &submission, const std::string &server,
                       uint32_t fromIndex) {
  Error reason;
  auto spec = readSpec(submission, reason);
  if (!spec || Draining || !Control.isReady())
    return refuse(submission, {ErrorKind::NotReady, "can't resume"});
  spec->Resume = ResumePoint{server, fromIndex};
  spec->FirstAttempt = NextTry;
  NextTry += 2 * MaxAttempts;
  RequestId id = spec->Offer.Id;
  Going going;
  going.What = submission;
  going.Flow = std::make_unique<RequestFlow>(std::move(*spec), FlowSettings(),
                                             flowHooks(""));
  Flows.insert_or_assign(id, std::move(going));
  push(id, FlowStarted{});
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
  On.Reached(Step::Rank);
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
                     spec.Offer.PromptTokens, key, Region, On.Now());
  std::vector<Candidate> out;
  for (const RankedCandidate &it : decision)
    out.push_back(
        {Routes->snapshot().Servers[it.Server.Index].Name, it.FirstToken});
  return out;
}

void EntryHost::refuse(const Submission &submission, Error reason) {
  Check.toldError(submission.Number, reason, Outcome::NotRun, On.Now());
}

void EntryHost::onSnapshot(std::shared_ptr<const Snapshot> snapshot) {
  auto isOut = [](const daisytack::Server &it) {
    return it.State != MemberState::Live;
  };
  if (IgnoresLeaving &&
      std::any_of(snapshot->Servers.begin(), snapshot->Servers.end(), isOut))
    return;
  Routes = std::make_shared<const RoutingTable>(std::move(snapshot));
  std::vector<RequestId> ids;
  for (const auto &[id, going] : Flows)
    ids.push_back(id);
  for (const RequestId &id : ids)
    push(id, ConfigChanged{});
}

QuotaGrant EntryHost::grant(const QuotaRequest &ask) {
  for (const Organisation &it : Routes->snapshot().Organisations)
    if (hashName(it.Name) == ask.Organisation)
      return Owner.grant(it, ask, On.Now());
  return {};
}

void EntryHost::onGrant(const QuotaGrant &grant) {
  Limits.apply(grant, On.Now());
}

void EntryHost::drain() {
  Draining = true;
  On.Reached(Step::Drain);
  Control.sayLeaving();
  On.After(DrainNotice, [this] { checkExit(); });
}

void EntryHost::checkExit() {
  if (Exited)
    return;
  if (!Flows.empty() || BeingAdmitted > 0 || !TicketAsks.empty()) {
    On.After(DrainNotice, [this] { checkExit(); });
    return;
  }
  Exited = true;
  Check.exited(Name, Flows.size());
  On.Exit();
}

std::vector<EntryHost::Open> EntryHost::open() const {
  std::vector<Open> out;
  for (const auto &[id, going] : Flows)
    out.push_back({going.What.Number, going.LastServer, going.ShownChunks});
  for (const auto &[id, asked] : TicketAsks)
    out.push_back({asked.Number, "", 0});
  return out;
}

} // namespace daisytack::matrix
