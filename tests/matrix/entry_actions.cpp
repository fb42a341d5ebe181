/// EntryHost: links, and what a flow asks for.
#include "entry_host.h"

#include "base/digest.h"

namespace daisytack::matrix {

using namespace entry;

void EntryHost::push(const RequestId &id, const FlowInput &input) {
  auto it = Flows.find(id);
  if (it == Flows.end())
    return;
  FlowActions actions =
      it->second.Flow->apply(input, {Routes->snapshot(), On.Now(), On.Wall()});
  for (FlowAction &action : actions) {
    it = Flows.find(id);
    if (it == Flows.end())
      return;
    std::visit([&](auto &act) { on(it->second, act); }, action);
  }
}

void EntryHost::post(const std::string &server, wire::Message message) {
  Link &link = Links[server];
  if (link.Open && link.Process.isValid()) {
    if (auto *offer = std::get_if<wire::Offer>(&message))
      offer->Process = link.Process;
    return On.Send(server, std::move(message));
  }
  link.Waiting.push_back(std::move(message));
  if (link.Open)
    return;
  link.Open = true;
  On.Connect(server);
}

void EntryHost::onHello(const std::string &server, const Incarnation &process) {
  Link &link = Links[server];
  link.Process = process;
  std::vector<wire::Message> waiting = std::move(link.Waiting);
  link.Waiting.clear();
  for (wire::Message &it : waiting)
    post(server, std::move(it));
}

void EntryHost::onLinkClosed(const std::string &server) {
  Link link = std::move(Links[server]);
  Links.erase(server);
  auto isWaiting = [&](const RequestId &id, Attempt attempt) {
    for (const wire::Message &it : link.Waiting)
      if (const auto *offer = std::get_if<wire::Offer>(&it))
        if (offer->Id == id && offer->AttemptNumber == attempt)
          return true;
    return false;
  };
  std::vector<std::pair<RequestId, Attempt>> lost;
  for (const auto &[id, going] : Flows)
    for (const auto &[to, attempt] : going.Attempts)
      if (to == server)
        lost.emplace_back(id, attempt);
  for (const auto &[id, attempt] : lost)
    push(id, LinkLost{attempt, !isWaiting(id, attempt)});
}

void EntryHost::onMessage(const std::string &server, wire::Message message) {
  auto deliver = [&](auto &body) {
    push(body.Id, ServerMessage{server, std::move(body)});
  };
  auto learn = [&](const wire::LoadReport &load) {
    Loads.observe(hashName(server), load, On.Now());
  };
  if (auto *hello = std::get_if<wire::Hello>(&message)) {
    onHello(server, hello->Process);
  } else if (auto *accepted = std::get_if<wire::Accepted>(&message)) {
    learn(accepted->Load);
    deliver(*accepted);
  } else if (auto *refused = std::get_if<wire::Refused>(&message)) {
    learn(refused->Load);
    if (refused->Kind == ErrorKind::Draining)
      Control.observeLeaving(server);
    deliver(*refused);
  } else if (auto *chunk = std::get_if<wire::Chunk>(&message)) {
    deliver(*chunk);
  } else if (auto *finished = std::get_if<wire::Finished>(&message)) {
    learn(finished->Load);
    deliver(*finished);
  } else if (auto *reply = std::get_if<wire::TicketReply>(&message)) {
    auto it = TicketAsks.find(reply->Id);
    if (it == TicketAsks.end())
      return;
    Submission submission = it->second;
    TicketAsks.erase(it);
    if (reply->Kind != ErrorKind::None)
      return refuse(submission, {reply->Kind, "no ticket"});
    if (submission.Named == Naming::OpaqueKey)
      return bind(submission, reply->Ticket);
    launch(submission, reply->Ticket);
  }
}

void EntryHost::on(Going &going, SendOffer &action) {
  On.Reached(Step::Offer);
  going.Attempts.emplace(action.Server, action.Offer.AttemptNumber);
  const daisytack::Server *to = Routes->snapshot().server(action.Server);
  if (to == nullptr || to->State == MemberState::Gone) {
    On.After(Duration(0),
             [this, id = action.Offer.Id, n = action.Offer.AttemptNumber] {
               push(id, LinkLost{n, false});
             });
    return;
  }
  if (KeysByOldVersion && !action.Offer.Pieces.empty())
    action.Offer.Pieces =
        FirstKeys.emplace(action.Offer.Organisation, action.Offer.Pieces)
            .first->second;
  if (RepeatsCalls && !going.What.Call.Idempotent)
    action.Offer.Idempotent = true;
  post(action.Server, std::move(action.Offer));
}

void EntryHost::on(Going &going, SendResume &action) {
  going.Attempts.emplace(action.Server, action.Resume.AttemptNumber);
  const daisytack::Server *to = Routes->snapshot().server(action.Server);
  if (to != nullptr && to->State != MemberState::Gone)
    return post(action.Server, std::move(action.Resume));
  On.After(Duration(0),
           [this, id = action.Resume.Id, n = action.Resume.AttemptNumber] {
             push(id, LinkLost{n, false});
           });
}

void EntryHost::on(Going & /*going*/, SendCancel &action) {
  auto it = Links.find(action.Server);
  if (it != Links.end() && it->second.Open && it->second.Process.isValid())
    On.Send(action.Server, action.Cancel);
}

uint64_t EntryHost::toldTo(const Going &going) const {
  if (!MixesCallers)
    return going.What.Number;
  for (const auto &[id, other] : Flows)
    if (other.What.Number != going.What.Number)
      return other.What.Number;
  return going.What.Number;
}

void EntryHost::on(Going &going, AnswerPart &action) {
  going.LastServer = action.Server;
  going.ShownChunks = action.Index + 1;
  if (DropsChunks && action.Index == 1)
    return;
  Check.toldPart(toldTo(going), action.Text);
}

void EntryHost::on(Going &going, AnswerEnd & /*action*/) {
  On.Reached(Step::Answer);
  Check.toldEnd(going.What.Number, On.Now());
}

void EntryHost::on(Going &going, WholeAnswer &action) {
  On.Reached(Step::Answer);
  uint64_t caller = toldTo(going);
  Check.toldPart(caller, action.Text);
  Check.toldEnd(caller, On.Now());
}

void EntryHost::on(Going &going, AnswerError &action) {
  Check.toldError(going.What.Number, action.Reason,
                  TellsNotRunAlways ? Outcome::NotRun : action.RunOutcome,
                  On.Now());
}

void EntryHost::on(Going &going, ArmTimer &action) {
  going.Armed = action.At;
  RequestId id = going.What.Id;
  Duration delay = std::max(
      Duration(0), std::chrono::duration_cast<Duration>(action.At - On.Now()));
  On.After(delay, [this, id, at = action.At] {
    auto it = Flows.find(id);
    if (it != Flows.end() && it->second.Armed == at)
      push(id, TimerFired{});
  });
}

void EntryHost::on(Going & /*going*/, ReportServer & /*action*/) {}

void EntryHost::on(Going & /*going*/, RecordEvent &action) {
  if (action.Recorded.Kind == EventKind::AnswerHeld)
    On.Reached(Step::Release);
}

void EntryHost::on(Going &going, FlowEnded & /*action*/) {
  Limits.releaseSlot(hashName(going.What.Call.Organisation));
  Flows.erase(going.What.Id);
}

} // namespace daisytack::matrix
