/// EntryHost: links to servers, and the actions of request flows.
#include "entry_host.h"

#include "base/digest.h"

namespace daisytack::matrix {

using namespace entry;

void EntryHost::applyInput(const RequestId &id, const FlowInput &input) {
  auto it = Flows.find(id);
  if (it == Flows.end())
    return;
  FlowActions actions = it->second.Flow->apply(
      input, {Routes->snapshot(), Callbacks.Now(), Callbacks.Wall()});
  for (FlowAction &action : actions) {
    it = Flows.find(id);
    if (it == Flows.end())
      return;
    std::visit([&](auto &act) { on(it->second, act); }, action);
  }
}

void EntryHost::sendOrQueue(const std::string &server, wire::Message message) {
  Link &link = Links[server];
  if (link.Open && link.Process.isValid()) {
    if (auto *offer = std::get_if<wire::Offer>(&message))
      offer->Process = link.Process;
    return Callbacks.Send(server, std::move(message));
  }
  link.Queued.push_back(std::move(message));
  if (link.Open)
    return;
  link.Open = true;
  Callbacks.Connect(server);
}

void EntryHost::onHello(const std::string &server, const Incarnation &process) {
  Link &link = Links[server];
  link.Process = process;
  std::vector<wire::Message> waiting = std::move(link.Queued);
  link.Queued.clear();
  for (wire::Message &it : waiting)
    sendOrQueue(server, std::move(it));
}

void EntryHost::onLinkClosed(const std::string &server) {
  Link link = std::move(Links[server]);
  Links.erase(server);
  auto isWaiting = [&](const RequestId &id, Attempt attempt) {
    for (const wire::Message &it : link.Queued)
      if (const auto *offer = std::get_if<wire::Offer>(&it))
        if (offer->Id == id && offer->AttemptNumber == attempt)
          return true;
    return false;
  };
  std::vector<std::pair<RequestId, Attempt>> lost;
  for (const auto &[id, active] : Flows)
    for (const auto &[to, attempt] : active.Attempts)
      if (to == server)
        lost.emplace_back(id, attempt);
  for (const auto &[id, attempt] : lost)
    applyInput(id, LinkLost{attempt, !isWaiting(id, attempt)});
}

void EntryHost::onMessage(const std::string &server, wire::Message message) {
  auto deliver = [&](auto &body) {
    applyInput(body.Id, ServerMessage{server, std::move(body)});
  };
  auto recordLoad = [&](const wire::LoadReport &load) {
    Loads.observe(hashName(server), load, Callbacks.Now());
  };
  if (auto *hello = std::get_if<wire::Hello>(&message)) {
    onHello(server, hello->Process);
  } else if (auto *accepted = std::get_if<wire::Accepted>(&message)) {
    recordLoad(accepted->Load);
    deliver(*accepted);
  } else if (auto *refused = std::get_if<wire::Refused>(&message)) {
    recordLoad(refused->Load);
    if (refused->Kind == ErrorKind::Draining)
      Control.observeLeaving(server);
    deliver(*refused);
  } else if (auto *chunk = std::get_if<wire::Chunk>(&message)) {
    deliver(*chunk);
  } else if (auto *finished = std::get_if<wire::Finished>(&message)) {
    recordLoad(finished->Load);
    deliver(*finished);
  } else if (auto *reply = std::get_if<wire::TicketReply>(&message)) {
    auto it = PendingTickets.find(reply->Id);
    if (it == PendingTickets.end())
      return;
    Submission submission = it->second;
    PendingTickets.erase(it);
    if (reply->Kind != ErrorKind::None)
      return refuse(submission, {reply->Kind, "no ticket"});
    if (submission.KeyKind == CallKeyKind::OpaqueKey)
      return bind(submission, reply->Ticket);
    startFlow(submission, reply->Ticket);
  }
}

void EntryHost::on(ActiveRequest &active, SendOffer &action) {
  Callbacks.StepReached(Step::Offer);
  active.Attempts.emplace(action.Server, action.Offer.AttemptNumber);
  const daisytack::Server *to = Routes->snapshot().server(action.Server);
  if (to == nullptr || to->State == MemberState::Gone) {
    Callbacks.Schedule(Duration(0), [this, id = action.Offer.Id,
                                     n = action.Offer.AttemptNumber] {
      applyInput(id, LinkLost{n, false});
    });
    return;
  }
  if (KeepsOldPieceKeys && !action.Offer.Pieces.empty())
    action.Offer.Pieces =
        FirstKeys.emplace(action.Offer.Organisation, action.Offer.Pieces)
            .first->second;
  if (RetriesAnyCall && !active.Request.Call.Idempotent)
    action.Offer.Idempotent = true;
  sendOrQueue(action.Server, std::move(action.Offer));
}

void EntryHost::on(ActiveRequest &active, SendResume &action) {
  active.Attempts.emplace(action.Server, action.Resume.AttemptNumber);
  const daisytack::Server *to = Routes->snapshot().server(action.Server);
  if (to != nullptr && to->State != MemberState::Gone)
    return sendOrQueue(action.Server, std::move(action.Resume));
  Callbacks.Schedule(Duration(0), [this, id = action.Resume.Id,
                                   n = action.Resume.AttemptNumber] {
    applyInput(id, LinkLost{n, false});
  });
}

void EntryHost::on(ActiveRequest & /*active*/, SendCancel &action) {
  auto it = Links.find(action.Server);
  if (it != Links.end() && it->second.Open && it->second.Process.isValid())
    Callbacks.Send(action.Server, action.Cancel);
}

uint64_t EntryHost::recipientOf(const ActiveRequest &active) const {
  if (!AnswersWrongCaller)
    return active.Request.Number;
  for (const auto &[id, other] : Flows)
    if (other.Request.Number != active.Request.Number)
      return other.Request.Number;
  return active.Request.Number;
}

void EntryHost::on(ActiveRequest &active, AnswerPart &action) {
  active.LastServer = action.Server;
  active.SentChunks = action.Index + 1;
  if (DropsChunks && action.Index == 1)
    return;
  Checker.onAnswerText(recipientOf(active), action.Text);
}

void EntryHost::on(ActiveRequest &active, AnswerEnd & /*action*/) {
  Callbacks.StepReached(Step::Answer);
  Checker.onAnswerEnd(active.Request.Number, Callbacks.Now());
}

void EntryHost::on(ActiveRequest &active, WholeAnswer &action) {
  Callbacks.StepReached(Step::Answer);
  uint64_t caller = recipientOf(active);
  Checker.onAnswerText(caller, action.Text);
  Checker.onAnswerEnd(caller, Callbacks.Now());
}

void EntryHost::on(ActiveRequest &active, AnswerError &action) {
  Checker.onErrorAnswer(active.Request.Number, action.Reason,
                        AlwaysReportsNotRun ? Outcome::NotRun
                                            : action.RunOutcome,
                        Callbacks.Now());
}

void EntryHost::on(ActiveRequest &active, ArmTimer &action) {
  active.ArmedTimer = action.At;
  RequestId id = active.Request.Id;
  Duration delay = std::max(Duration(0), std::chrono::duration_cast<Duration>(
                                             action.At - Callbacks.Now()));
  Callbacks.Schedule(delay, [this, id, at = action.At] {
    auto it = Flows.find(id);
    if (it != Flows.end() && it->second.ArmedTimer == at)
      applyInput(id, TimerFired{});
  });
}

void EntryHost::on(ActiveRequest & /*active*/, ReportServer & /*action*/) {}

void EntryHost::on(ActiveRequest & /*active*/, RecordEvent &action) {
  if (action.Recorded.Kind == EventKind::AnswerHeld)
    Callbacks.StepReached(Step::Release);
}

void EntryHost::on(ActiveRequest &active, FlowEnded & /*action*/) {
  Limits.releaseSlot(hashName(active.Request.Call.Organisation));
  Flows.erase(active.Request.Id);
}

} // namespace daisytack::matrix
