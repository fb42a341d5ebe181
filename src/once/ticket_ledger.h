/// An agent's records of the at-most-once calls that it has run. The ledger
/// decides whether the call of a presented ticket may run now, and answers
/// repeated submissions.
///
/// A record is kept until its ticket expires; the same clock decides from when
/// the ticket is refused. A full ledger refuses new calls and never removes a
/// record early. Records are not persistent, so a ticket of an earlier process
/// of the agent is answered with may_have_run.
#pragma once

#include "base/digest.h"
#include "daisytack/event.h"
#include "once/ticket.h"
#include "wire/messages.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisytack {

/// Hash of a call's method, target and body. All submissions under one ticket
/// must have the same hash.
Id128 callHash(const wire::Offer &offer);

/// How a call ended, and the body of its answer, if any.
struct StoredAnswer {
  wire::Finished End; ///< The end of the attempt that ran.
  std::string Body;   ///< The text of all chunks together.
  bool operator==(const StoredAnswer &) const = default;
};

/// The messages that answer a repeated submission from the stored answer: the
/// body as one chunk, if not empty, then the end. Both carry the id and attempt
/// of the repeated submission.
std::vector<wire::Message> replayAnswer(const StoredAnswer &answer,
                                        RequestId id, Attempt attempt);

/// One submission of a call that may run at most once.
struct Presentation {
  RequestId Id;
  Attempt AttemptNumber = 0;
  std::string Organisation; ///< As authenticated by the entry.
  std::string Ticket;       ///< If empty, Id identifies the call.
  Id128 Call;               ///< The callHash() of the offer.
  /// Without a ticket, the only process that may run the call.
  Incarnation Process;
  /// Connection on which the submission arrived. It is needed because entries
  /// that repeat a call may use the same request id and attempt.
  uint32_t Link = 0;
  bool operator==(const Presentation &) const = default;
};

/// Converts an offer received on the given connection to a presentation.
Presentation presentationOf(const wire::Offer &offer, uint32_t link);

/// Identifies a record in the ledger: the serial of the ticket, or the request
/// id if there is no ticket.
using TicketKey = Id128;

/// The ledger's decision on a submission.
struct TicketVerdict {
  enum class Action : uint8_t {
    Run, ///< Recorded as running; finish() or withdraw() must follow for Key.
    Replay, ///< The call has completed; send Answer again.
    Refuse, ///< Reason says why, and RunOutcome whether the call may have run.
    /// The message duplicates a submission that is running, was withdrawn, or
    /// was refused because the ledger was full.
    Ignore,
  };
  Action Decision = Action::Refuse;
  TicketKey Key;
  std::shared_ptr<const StoredAnswer> Answer;
  Error Reason;
  Outcome RunOutcome = Outcome::NotRun;
};

struct TicketLedgerInit {
  std::string Instance;
  Incarnation Process;
  std::string Secret; ///< Key of the signatures; random for each process.
  Duration TicketLife{10LL * 60 * 1'000'000};
  size_t MaxRecords = 100'000;
  size_t MaxAnswerBytes = 16U << 20; ///< Of all stored answers together.
  size_t MaxWithdrawn = 4096;        ///< Submissions remembered as withdrawn.
  /// Suggested to callers while their call runs or the ledger is full.
  Duration RetryDelay{1'000'000};
};

/// Not thread-safe; one per agent. A time earlier than the latest one passed in
/// counts as the latest one.
class TicketLedger {
public:
  TicketLedger(TicketLedgerInit init, RandomSource random, EventSink events);

  /// Issues a ticket. A ticket uses no memory here until it is presented. If
  /// the ledger is full, returns nullopt and sets the reason to RecordFull.
  std::optional<std::string> issue(const std::string &organisation,
                                   TimePoint now, Error &reason);

  /// Decides on a submission. Must be called before any other check of the
  /// offer, so that duplicates of refused submissions are recognised. For Run,
  /// the record is stored before this returns, that is, before the call can
  /// reach the server.
  TicketVerdict present(const Presentation &presentation, TimePoint now);

  /// Removes the record of a call that was refused or cancelled and certainly
  /// not sent to the server. The call may be presented again, but duplicates of
  /// this submission are ignored.
  void withdraw(const TicketKey &key, TimePoint now);

  /// Records that a call completed or failed. answer.End.RunOutcome states
  /// whether a failed call may have run; with NotRun, this is withdraw().
  void finish(const TicketKey &key, StoredAnswer answer, TimePoint now);

  size_t records() const { return Records.size(); }
  size_t answerBytes() const { return AnswerBytes; }
  const TicketLedgerInit &settings() const { return Init; }

private:
  /// Identifies one submission, to distinguish a duplicate message from a
  /// repeated submission.
  struct Submission {
    RequestId Id;
    Attempt AttemptNumber = 0;
    uint32_t Link = 0;
    auto operator<=>(const Submission &) const = default;
  };
  struct Record {
    TimePoint ExpiresAt;
    Id128 Call;
    Submission ExecutedBy; ///< The submission that is running or has run.
    bool Running = true;
    Outcome RunOutcome = Outcome::MayHaveRun;
    ErrorKind FailureKind = ErrorKind::None;
    std::shared_ptr<const StoredAnswer> Answer;
    uint64_t AnswerNumber = 0; ///< Key in AnswerOrder.
  };
  using RecordTable = std::unordered_map<TicketKey, Record>;
  /// The call that a presentation refers to, after the check of its ticket.
  struct ResolvedCall {
    TicketKey Key;
    TimePoint ExpiresAt;
  };

  void advance(TimePoint now);
  std::optional<ResolvedCall> resolve(const Presentation &presentation,
                                      TicketVerdict &refusal) const;
  std::optional<ResolvedCall> resolveTicket(const Presentation &presentation,
                                            TicketVerdict &refusal) const;
  TicketVerdict answerRepeat(const Record &record,
                             const Presentation &presentation) const;
  TicketVerdict start(const ResolvedCall &call,
                      const Presentation &presentation);
  void storeAnswer(const TicketKey &key, Record &record, StoredAnswer answer);
  void dropAnswer(Record &record);
  void erase(RecordTable::iterator it);
  void rememberWithdrawn(const Submission &submission);
  void emitEvent(EventKind kind, const Submission &submission,
                 ErrorKind reason) const;

  TicketLedgerInit Init;
  RandomSource Random;
  EventSink Events;
  TimePoint LatestTime;
  RecordTable Records;
  using Expiry = std::pair<TimePoint, TicketKey>;
  std::set<Expiry> Expiries;                 ///< One entry for each record.
  std::map<uint64_t, TicketKey> AnswerOrder; ///< Oldest stored answer first.
  uint64_t NextAnswerNumber = 1;
  size_t AnswerBytes = 0;
  std::set<Submission> Withdrawn;
  std::deque<Submission> WithdrawnOrder; ///< Oldest first.
};

} // namespace daisytack
