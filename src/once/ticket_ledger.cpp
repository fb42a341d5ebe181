#include "once/ticket_ledger.h"

#include <algorithm>
#include <cstring>

namespace daisytack {

namespace {

/// Appends the length and the text of a field. The length makes the
/// concatenation of different field lists unambiguous.
void appendField(std::string &out, std::string_view field) {
  out += std::to_string(field.size());
  out += ':';
  out += field;
}

TicketVerdict refuse(ErrorKind kind, Outcome ran, std::string detail,
                     Duration retryAfter = Duration(0)) {
  TicketVerdict out;
  out.Reason = {kind, std::move(detail), retryAfter};
  out.RunOutcome = ran;
  return out;
}

TicketVerdict ignore() {
  TicketVerdict out;
  out.Decision = TicketVerdict::Action::Ignore;
  return out;
}

size_t answerSize(const StoredAnswer &answer) {
  size_t out = sizeof(StoredAnswer) + answer.Body.size();
  for (const wire::HeaderField &it : answer.End.ServiceHeaders)
    out += sizeof(it) + it.Name.size() + it.Value.size();
  return out;
}

} // namespace

Id128 callHash(const wire::Offer &offer) {
  std::string text;
  appendField(text, offer.Call.Method);
  appendField(text, offer.Call.Target);
  appendField(text, offer.Body);
  Digest256 digest = sha256(text);
  Id128 out;
  std::memcpy(&out.Hi, digest.data(), sizeof(out.Hi));
  std::memcpy(&out.Lo, digest.data() + sizeof(out.Hi), sizeof(out.Lo));
  return out;
}

Presentation presentationOf(const wire::Offer &offer, uint32_t link) {
  return {offer.Id,     offer.AttemptNumber, offer.Organisation,
          offer.Ticket, callHash(offer),     offer.Process,
          link};
}

std::vector<wire::Message> replayAnswer(const StoredAnswer &answer,
                                        RequestId id, Attempt attempt) {
  wire::Finished end = answer.End;
  end.Id = id;
  end.AttemptNumber = attempt;
  end.Chunks = answer.Body.empty() ? 0 : 1;
  std::vector<wire::Message> out;
  if (!answer.Body.empty())
    out.emplace_back(
        wire::Chunk{id, attempt, 0, end.GeneratedTokens, answer.Body});
  out.emplace_back(std::move(end));
  return out;
}

TicketLedger::TicketLedger(TicketLedgerInit init, RandomSource random,
                           EventSink events)
    : Init(std::move(init)), Random(std::move(random)),
      Events(std::move(events)) {}

std::optional<std::string> TicketLedger::issue(const std::string &organisation,
                                               TimePoint now, Error &reason) {
  advance(now);
  if (Records.size() >= Init.MaxRecords) {
    reason = {ErrorKind::RecordFull, "the at-most-once record is full",
              Init.RetryDelay};
    return std::nullopt;
  }
  Ticket ticket{Init.Instance,    Init.Process, organisation,
                randomId(Random), LatestTime,   LatestTime + Init.TicketLife};
  auto out = signTicket(ticket, Init.Secret, reason);
  if (out)
    emitEvent(EventKind::TicketIssued, {ticket.Serial, 0, 0}, ErrorKind::None);
  return out;
}

TicketVerdict TicketLedger::present(const Presentation &presentation,
                                    TimePoint now) {
  advance(now);
  Submission submission{presentation.Id, presentation.AttemptNumber,
                        presentation.Link};
  if (Withdrawn.contains(submission))
    return ignore();
  TicketVerdict out;
  auto resolved = resolve(presentation, out);
  if (resolved) {
    auto it = Records.find(resolved->Key);
    out = it == Records.end() ? start(*resolved, presentation)
                              : answerRepeat(it->second, presentation);
    out.Key = resolved->Key;
  }
  if (out.Decision == TicketVerdict::Action::Refuse)
    emitEvent(EventKind::TicketRefused, submission, out.Reason.Kind);
  return out;
}

std::optional<TicketLedger::ResolvedCall>
TicketLedger::resolve(const Presentation &presentation,
                      TicketVerdict &refusal) const {
  if (!presentation.Ticket.empty())
    return resolveTicket(presentation, refusal);
  if (presentation.Process == Init.Process)
    return ResolvedCall{presentation.Id, LatestTime + Init.TicketLife};
  refusal = refuse(ErrorKind::TicketUnknown, Outcome::MayHaveRun,
                   "the call is for another process");
  return std::nullopt;
}

std::optional<TicketLedger::ResolvedCall>
TicketLedger::resolveTicket(const Presentation &presentation,
                            TicketVerdict &refusal) const {
  Error reason;
  auto ticket = parseTicket(presentation.Ticket, reason);
  if (!ticket)
    refusal = refuse(reason.Kind, Outcome::NotRun, reason.Detail);
  else if (ticket->Process != Init.Process)
    refusal = refuse(ErrorKind::TicketUnknown, Outcome::MayHaveRun,
                     "the process that issued the ticket is gone");
  else if (!verifyTicket(presentation.Ticket, Init.Secret))
    refusal = refuse(ErrorKind::BadRequest, Outcome::NotRun,
                     "the ticket's signature is wrong");
  else if (ticket->Organisation != presentation.Organisation)
    refusal = refuse(ErrorKind::Forbidden, Outcome::NotRun,
                     "the ticket belongs to another organisation");
  else if (LatestTime >= ticket->ExpiresAt && !Records.contains(ticket->Serial))
    refusal = refuse(ErrorKind::TicketExpired, Outcome::MayHaveRun,
                     "the ticket has expired");
  else
    return ResolvedCall{ticket->Serial, ticket->ExpiresAt};
  return std::nullopt;
}

TicketVerdict
TicketLedger::answerRepeat(const Record &record,
                           const Presentation &presentation) const {
  Submission submission{presentation.Id, presentation.AttemptNumber,
                        presentation.Link};
  if (record.Running && record.ExecutedBy == submission)
    return ignore();
  if (record.Call != presentation.Call)
    return refuse(ErrorKind::KeyReused, Outcome::NotRun,
                  "the ticket was presented with another call");
  if (record.Running)
    return refuse(ErrorKind::StillRunning, Outcome::MayHaveRun,
                  "the call is still running", Init.RetryDelay);
  if (record.RunOutcome != Outcome::Completed)
    return refuse(record.FailureKind, Outcome::MayHaveRun,
                  "the call failed and may have run");
  if (!record.Answer)
    return refuse(ErrorKind::AnswerLost, Outcome::Completed,
                  "the call completed; its answer is no longer held");
  TicketVerdict out;
  out.Decision = TicketVerdict::Action::Replay;
  out.Answer = record.Answer;
  out.RunOutcome = Outcome::Completed;
  return out;
}

TicketVerdict TicketLedger::start(const ResolvedCall &call,
                                  const Presentation &presentation) {
  Submission submission{presentation.Id, presentation.AttemptNumber,
                        presentation.Link};
  if (Records.size() >= Init.MaxRecords) {
    rememberWithdrawn(submission);
    return refuse(ErrorKind::RecordFull, Outcome::NotRun,
                  "the at-most-once record is full", Init.RetryDelay);
  }
  Record record;
  record.ExpiresAt = call.ExpiresAt;
  record.Call = presentation.Call;
  record.ExecutedBy = submission;
  emitEvent(EventKind::TicketRecorded, record.ExecutedBy, ErrorKind::None);
  Records.emplace(call.Key, std::move(record));
  Expiries.emplace(call.ExpiresAt, call.Key);
  TicketVerdict out;
  out.Decision = TicketVerdict::Action::Run;
  return out;
}

void TicketLedger::withdraw(const TicketKey &key, TimePoint now) {
  advance(now);
  auto it = Records.find(key);
  if (it == Records.end() || !it->second.Running)
    return;
  rememberWithdrawn(it->second.ExecutedBy);
  erase(it);
}

void TicketLedger::finish(const TicketKey &key, StoredAnswer answer,
                          TimePoint now) {
  if (answer.End.RunOutcome == Outcome::NotRun) {
    withdraw(key, now);
    return;
  }
  advance(now);
  auto it = Records.find(key);
  if (it == Records.end() || !it->second.Running)
    return;
  Record &record = it->second;
  record.Running = false;
  record.RunOutcome = answer.End.RunOutcome;
  record.FailureKind = answer.End.Kind;
  if (LatestTime >= record.ExpiresAt)
    erase(it);
  else if (record.RunOutcome == Outcome::Completed)
    storeAnswer(key, record, std::move(answer));
}

void TicketLedger::advance(TimePoint now) {
  LatestTime = std::max(LatestTime, now);
  auto it = Expiries.begin();
  while (it != Expiries.end() && it->first <= LatestTime) {
    auto record = Records.find(it->second);
    ++it;
    // The record of a running call is removed by finish().
    if (!record->second.Running)
      erase(record);
  }
}

void TicketLedger::storeAnswer(const TicketKey &key, Record &record,
                               StoredAnswer answer) {
  size_t n = answerSize(answer);
  if (n > Init.MaxAnswerBytes)
    return;
  record.Answer = std::make_shared<const StoredAnswer>(std::move(answer));
  record.AnswerNumber = NextAnswerNumber++;
  AnswerOrder.emplace(record.AnswerNumber, key);
  AnswerBytes += n;
  while (AnswerBytes > Init.MaxAnswerBytes)
    dropAnswer(Records.at(AnswerOrder.begin()->second));
}

void TicketLedger::dropAnswer(Record &record) {
  if (!record.Answer)
    return;
  AnswerBytes -= answerSize(*record.Answer);
  AnswerOrder.erase(record.AnswerNumber);
  record.Answer.reset();
}

void TicketLedger::erase(RecordTable::iterator it) {
  dropAnswer(it->second);
  Expiries.erase({it->second.ExpiresAt, it->first});
  Records.erase(it);
}

void TicketLedger::rememberWithdrawn(const Submission &submission) {
  if (!Withdrawn.insert(submission).second)
    return;
  WithdrawnOrder.push_back(submission);
  if (WithdrawnOrder.size() > Init.MaxWithdrawn) {
    Withdrawn.erase(WithdrawnOrder.front());
    WithdrawnOrder.pop_front();
  }
}

void TicketLedger::emitEvent(EventKind kind, const Submission &submission,
                             ErrorKind reason) const {
  if (!Events)
    return;
  Event event;
  event.Kind = kind;
  event.Request = submission.Id;
  event.AttemptNumber = submission.AttemptNumber;
  event.Reason = reason;
  Events(std::move(event));
}

} // namespace daisytack
