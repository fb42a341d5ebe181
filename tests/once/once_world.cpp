#include "once_world.h"

#include <algorithm>

namespace daisytack::test {

namespace {

constexpr Duration TicketLife{1000};
constexpr Duration ShortWait{100};
constexpr size_t MaxRecords = 6;
const std::vector<std::string> Organisations{"growers", "wholesalers"};

template <class T>
std::optional<T> takeAt(std::deque<T> &from, uint8_t choice) {
  if (from.empty())
    return std::nullopt;
  auto it = from.begin() + static_cast<long>(choice % from.size());
  T out = std::move(*it);
  from.erase(it);
  return out;
}

} // namespace

OnceWorld::OnceWorld(Defect defect) : Seeded(defect), Fleet(Agents) {
  for (size_t i = 0; i < Agents; ++i) {
    Fleet[i].Name = "agent-" + std::to_string(i);
    Fleet[i].ClockOffset = Duration(1'000'000 * static_cast<int64_t>(i));
    restart(i);
  }
}

void OnceWorld::restart(size_t agent) {
  TicketLedgerInit init;
  init.Instance = Fleet[agent].Name;
  init.Process = {agent + 1, 1};
  if (Seeded != Defect::RestartKeepsIncarnation)
    init.Process.Lo = ++DrawnNumbers;
  init.Secret = toHex(init.Process);
  init.TicketLife = TicketLife;
  init.MaxRecords = MaxRecords;
  init.MaxAnswerBytes = 4 * sizeof(StoredAnswer);
  if (Seeded == Defect::RefusalForgotten)
    init.MaxWithdrawn = 0;
  Fleet[agent].Ledger = std::make_unique<TicketLedger>(
      init, [this] { return ++DrawnNumbers; }, nullptr);
  std::erase_if(Running, [&](const Run &it) { return it.Agent == agent; });
}

TimePoint OnceWorld::clockOf(size_t agent) const {
  return Now + Fleet[agent].ClockOffset;
}

std::optional<OnceWorld::IssuedTicket> OnceWorld::issue(size_t agent) {
  Error reason;
  TimePoint now = clockOf(agent);
  auto text = Fleet[agent].Ledger->issue(Organisations[0], now, reason);
  if (!text)
    return std::nullopt;
  return IssuedTicket{*text, now + TicketLife, agent};
}

Presentation OnceWorld::submission(uint8_t choice) {
  Presentation out;
  out.Id = {0xF00D, ++Requests};
  out.AttemptNumber = 1;
  // Mostly the same organisation and body, so that submissions repeat calls.
  out.Organisation = Organisations[choice % 16 == 7 ? 1 : 0];
  uint64_t body = choice % 16 == 11 ? 2 : 1;
  out.Call = {body, body};
  return out;
}

void OnceWorld::send(const std::string &ticket, Presentation what,
                     CallName call) {
  Error reason;
  auto parsed = parseTicket(ticket, reason);
  auto it = std::find_if(Fleet.begin(), Fleet.end(), [&](const Agent &agent) {
    return parsed && agent.Name == parsed->Instance;
  });
  if (it == Fleet.end())
    return;
  what.Ticket = ticket;
  InFlight.push_back({static_cast<size_t>(it - Fleet.begin()), std::move(what),
                      std::move(call), Now});
}

void OnceWorld::submitTicket(uint8_t choice) {
  if (Tickets.empty())
    return;
  const IssuedTicket &ticket = Tickets[(choice / 16) % Tickets.size()];
  if (ticket.BoundToKey)
    return;
  send(ticket.Text, submission(choice), ticket.Text);
}

void OnceWorld::submitOpaqueKey(uint8_t choice) {
  size_t agent = choice % Agents;
  auto ticket = issue(agent);
  if (!ticket)
    return;
  ticket->BoundToKey = true;
  Tickets.push_back(*ticket);
  std::string key = "key-" + std::to_string((choice / 4) % 3);
  Presentation what = submission(choice);
  BindRequest request{
      what.Organisation, key, ticket->Text, {1, ++DrawnNumbers}, 5};
  KeyBinding machine(request);
  BindStep next = machine.start();
  advance({std::move(machine), what, what.Organisation + "/" + key, {}},
          std::move(next));
}

void OnceWorld::advance(Binding binding, BindStep next) {
  if (auto *bound = std::get_if<KeyBound>(&next)) {
    send(bound->Ticket, binding.Submission, binding.Call);
    return;
  }
  if (std::holds_alternative<KeyRefused>(next)) {
    recordOutcome({0, binding.Submission, binding.Call, Now}, Outcome::NotRun);
    return;
  }
  binding.Next = std::move(next);
  WaitingKv.push_back(std::move(binding));
}

edge::KvTransactionResult
OnceWorld::commit(const edge::KvTransaction &transaction) {
  edge::KvTransactionResult out;
  const std::string &key = transaction.Then.front().Key;
  auto it = Kv.find(key);
  if (it != Kv.end() && Seeded != Defect::ServiceIgnoresCompare) {
    out.Header.Status = edge::KvStatus::CompareFailed;
    out.Current.push_back({key, it->second});
    return out;
  }
  Kv[key] = transaction.Then.front().Value;
  out.Header.Status = edge::KvStatus::Ok;
  return out;
}

edge::KvRangeResult OnceWorld::read(const edge::KvRange &range) const {
  edge::KvRangeResult out;
  out.Header.Status = edge::KvStatus::Ok;
  auto it = Kv.find(range.Begin);
  if (it != Kv.end())
    out.Entries.push_back({it->first, it->second});
  return out;
}

void OnceWorld::serveKv(StepKind how) {
  for (const auto &it : DelayedWrites)
    commit(it);
  DelayedWrites.clear();
  auto waiting = takeAt(WaitingKv, 0);
  if (!waiting)
    return;
  auto *write = std::get_if<edge::KvTransaction>(&waiting->Next);
  edge::KvStatus lost = how == StepKind::RefuseKv ? edge::KvStatus::Unavailable
                                                  : edge::KvStatus::Unknown;
  if (!write) {
    edge::KvRangeResult result = read(std::get<edge::KvRange>(waiting->Next));
    if (how != StepKind::ServeKv)
      result = {{lost, {}, 0, 0}, {}, false};
    BindStep next = waiting->Machine.onRange(result);
    advance(std::move(*waiting), std::move(next));
    return;
  }
  edge::KvTransactionResult result;
  result.Header.Status = lost;
  if (how == StepKind::ServeKv)
    result = commit(*write);
  if (how == StepKind::LoseKvAnswer)
    commit(*write);
  if (how == StepKind::DelayKvWrite)
    DelayedWrites.push_back(*write);
  BindStep next = waiting->Machine.onCommit(result);
  advance(std::move(*waiting), std::move(next));
}

void OnceWorld::deliver(const Step &step) {
  auto message = takeAt(InFlight, step.Choice);
  if (!message)
    return;
  // Without a ticket, the guarantee assumes that no message is delayed by
  // TicketLife or longer.
  if (message->Submission.Ticket.empty() && Now - message->SentAt >= TicketLife)
    return;
  bool drained = step.Kind == StepKind::DeliverToDrained ||
                 step.Kind == StepKind::DeliverToDrainedTwice;
  if (step.Kind == StepKind::DeliverTwice ||
      step.Kind == StepKind::DeliverToDrainedTwice)
    InFlight.push_back(*message);
  size_t agent = message->Agent;
  if (step.Kind == StepKind::DeliverToOtherAgent &&
      !message->Submission.Ticket.empty())
    agent = (agent + 1) % Agents;
  present(agent, *message, drained);
}

void OnceWorld::present(size_t agent, const Message &message, bool drained) {
  TicketLedger &ledger = *Fleet[agent].Ledger;
  TicketVerdict verdict = ledger.present(message.Submission, clockOf(agent));
  using Action = TicketVerdict::Action;
  if (verdict.Decision == Action::Ignore &&
      Seeded == Defect::DuplicateRunsAgain)
    startRun(agent, verdict.Key, message);
  if (verdict.Decision == Action::Refuse)
    recordOutcome(message, verdict.RunOutcome);
  if (verdict.Decision == Action::Replay) {
    recordOutcome(message, Outcome::Completed);
    if (verdict.Answer->Body != message.Submission.Organisation)
      fail("an answer reached another organisation");
  }
  if (verdict.Decision != Action::Run)
    return;
  if (drained) {
    ledger.withdraw(verdict.Key, clockOf(agent));
    recordOutcome(message, Outcome::NotRun);
    return;
  }
  startRun(agent, verdict.Key, message);
}

void OnceWorld::startRun(size_t agent, const TicketKey &key,
                         const Message &message) {
  ++TotalRuns;
  std::pair submission{message.Submission.Id, message.Submission.AttemptNumber};
  if (++RunsOfCall[message.Call] > 1)
    fail("a call ran twice: " + message.Call);
  if (ReportedNotRun.contains(submission))
    fail("a submission ran that was told not_run");
  RanSubmissions.insert(submission);
  Running.push_back({agent, key, message});
  if (Seeded == Defect::RecordLostWhileRunning)
    Fleet[agent].Ledger->withdraw(key, clockOf(agent));
}

void OnceWorld::recordOutcome(const Message &message, Outcome outcome) {
  std::pair submission{message.Submission.Id, message.Submission.AttemptNumber};
  if (outcome == Outcome::NotRun) {
    ReportedNotRun.insert(submission);
    if (RanSubmissions.contains(submission))
      fail("not_run was told of a submission that ran");
  }
  if (outcome == Outcome::Completed && RunsOfCall[message.Call] == 0)
    fail("completed was told of a call that never ran");
}

void OnceWorld::endRun(uint8_t choice, bool completed) {
  if (Running.empty())
    return;
  auto it = Running.begin() + static_cast<long>(choice % Running.size());
  StoredAnswer answer;
  answer.Body = it->Origin.Submission.Organisation;
  if (!completed) {
    answer.End.RunOutcome = Outcome::MayHaveRun;
    answer.End.Kind = ErrorKind::ServerLost;
  }
  Fleet[it->Agent].Ledger->finish(it->Key, answer, clockOf(it->Agent));
  Running.erase(it);
}

void OnceWorld::advanceToExpiry(uint8_t choice) {
  if (Tickets.empty())
    return;
  const IssuedTicket &ticket = Tickets[choice % Tickets.size()];
  TimePoint expiry = ticket.ExpiresAt - Fleet[ticket.Agent].ClockOffset;
  if (expiry > Now)
    Now = expiry - Duration(choice % 2);
}

void OnceWorld::fail(std::string what) {
  if (Violation.empty())
    Violation = std::move(what);
}

void OnceWorld::apply(const Step &step) {
  switch (step.Kind) {
  case StepKind::IssueTicket:
    if (auto ticket = issue(step.Choice % Agents))
      Tickets.push_back(*ticket);
    return;
  case StepKind::SubmitTicket:
    return submitTicket(step.Choice);
  case StepKind::SubmitOpaqueKey:
    return submitOpaqueKey(step.Choice);
  case StepKind::SubmitWithoutKey: {
    size_t agent = step.Choice % Agents;
    Presentation what = submission(step.Choice);
    what.Process = Fleet[agent].Ledger->settings().Process;
    InFlight.push_back({agent, what, toHex(what.Id), Now});
    return;
  }
  case StepKind::ServeKv:
  case StepKind::LoseKvAnswer:
  case StepKind::DelayKvWrite:
  case StepKind::RefuseKv:
    return serveKv(step.Kind);
  case StepKind::Deliver:
  case StepKind::DeliverTwice:
  case StepKind::DeliverToOtherAgent:
  case StepKind::DeliverToDrained:
  case StepKind::DeliverToDrainedTwice:
    return deliver(step);
  case StepKind::FinishRun:
  case StepKind::FailRun:
    return endRun(step.Choice, step.Kind == StepKind::FinishRun);
  case StepKind::RestartAgent:
    return restart(step.Choice % Agents);
  case StepKind::AdvanceTime:
    Now += ShortWait;
    return;
  case StepKind::AdvanceTimeToExpiry:
    return advanceToExpiry(step.Choice);
  case StepKind::Count:
    return;
  }
}

} // namespace daisytack::test
