/// An agent's record of the at-most-once calls that it has run. It decides
/// whether a presented ticket may run now, and answers repeats.
///
/// A record stays as long as its ticket can be presented, by the same clock
/// that refuses the ticket afterwards. When there is no room the ledger refuses
/// new calls; it never forgets one early. It holds one process's lifetime and
/// nothing of its predecessor: a ticket of another incarnation is answered
/// may_have_run.
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

/// Hash of what a call does: method, target and body. Two submissions under one
/// ticket must agree in it.
Id128 callHash(const wire::Offer &offer);

/// How a call ended, and its answer when it has one.
struct StoredAnswer {
  wire::Finished End; ///< Of the attempt that ran.
  std::string Body;   ///< Text of all chunks.
  bool operator==(const StoredAnswer &) const = default;
};

/// The messages that answer a repeat: the body as one chunk, then the end, both
/// under the repeat's own id.
std::vector<wire::Message> replayAnswer(const StoredAnswer &answer,
                                        RequestId id, Attempt attempt);

/// One submission of a call that may run at most once.
struct Presentation {
  RequestId Id;
  Attempt Try = 0;
  std::string Organisation; ///< As the entry authenticated it.
  std::string Ticket; ///< Empty: the submission is its own ticket, named by Id.
  Id128 Call;         ///< callHash of the offer.
  Incarnation Process; ///< Without a ticket: the process that may run it.
  uint32_t Link = 0; ///< Connection that it came by. Entries that repeat a call
                     ///< may use one request id and attempt.
  bool operator==(const Presentation &) const = default;
};

/// The presentation that an offer makes.
Presentation presentationOf(const wire::Offer &offer, uint32_t link);

/// Names a record in the ledger: a ticket's serial, or the request id.
using TicketKey = Id128;

/// What to do with a submission.
struct TicketVerdict {
  enum class Action : uint8_t {
    Run,    ///< Recorded as running: call finish or withdraw for Key later.
    Replay, ///< It has completed; Answer is what it answered.
    Refuse, ///< Reason and Ran say why, and whether it may have run.
    Ignore, ///< This very submission runs, or was refused before: a duplicate
            ///< message.
  };
  Action Decision = Action::Refuse;
  TicketKey Key;
  std::shared_ptr<const StoredAnswer> Answer;
  Error Reason;
  Outcome Ran = Outcome::NotRun;
};

struct TicketLedgerInit {
  std::string Instance;
  Incarnation Process;
  std::string Secret; ///< Random, drawn when the process starts.
  Duration TicketLife{10LL * 60 * 1'000'000};
  size_t MaxRecords = 100'000;
  size_t MaxAnswerBytes = 16U << 20; ///< Of all kept answers together.
  size_t MaxWithdrawn = 4096; ///< Withdrawn submissions known as duplicates.
  Duration RetryDelay{1'000'000}; ///< Hint to repeats of a running call.
};

/// Not thread-safe; one per agent. The present time never goes back: an earlier
/// one counts as the latest seen.
class TicketLedger {
public:
  TicketLedger(TicketLedgerInit init, RandomSource random, EventSink events);

  /// A new ticket. Keeps nothing: a ticket that is never presented costs no
  /// memory. RecordFull when a presentation would be refused now.
  std::optional<std::string> issue(const std::string &organisation,
                                   TimePoint now, Error &reason);

  /// Decides on a submission; to be asked before any other check of the offer,
  /// so that a duplicate of a refused one is known. For Run the record stands
  /// when this returns, so before anything reaches the server.
  TicketVerdict present(const Presentation &presentation, TimePoint now);

  /// The call was refused or cancelled and surely not handed to the server: it
  /// may be presented again, but this very submission won't run.
  void withdraw(const TicketKey &key, TimePoint now);

  /// The call ended; also with a failure, for which End tells whether it may
  /// have run. NotRun means withdraw.
  void finish(const TicketKey &key, StoredAnswer answer, TimePoint now);

  size_t records() const { return Records.size(); }
  size_t answerBytes() const { return AnswerBytes; }
  const TicketLedgerInit &settings() const { return Init; }

private:
  /// One submission, so that its duplicate is told from a repeat.
  struct Submission {
    RequestId Id;
    Attempt Try = 0;
    uint32_t Link = 0;
    auto operator<=>(const Submission &) const = default;
  };
  struct Record {
    TimePoint ExpiresAt;
    Id128 Call;
    Submission ExecutedBy; ///< The one that runs or ran.
    bool Running = true;
    Outcome Ran = Outcome::MayHaveRun;
    ErrorKind FailureKind = ErrorKind::None;
    std::shared_ptr<const StoredAnswer> Answer;
    uint64_t AnswerNumber = 0; ///< Its place in AnswerOrder.
  };
  using RecordTable = std::unordered_map<TicketKey, Record>;
  /// What a presentation refers to, once its ticket has been checked.
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
  std::set<Expiry> Expiries;                 ///< One for each record.
  std::map<uint64_t, TicketKey> AnswerOrder; ///< Oldest kept answer first.
  uint64_t NextAnswerNumber = 1;
  size_t AnswerBytes = 0;
  std::set<Submission> Withdrawn;
  std::deque<Submission> WithdrawnOrder; ///< Oldest first.
};

} // namespace daisytack
