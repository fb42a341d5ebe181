/// A simulation of a few entries and agents with a key-value service and a
/// server that counts the calls it runs. A list of steps determines the order
/// of deliveries, losses, restarts and clock advances, so that property tests
/// can search the orders.
#pragma once

#include "once/key_binding.h"
#include "once/ticket_ledger.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace daisytack::test {

enum class StepKind : uint8_t {
  IssueTicket,
  SubmitTicket,
  SubmitOpaqueKey,
  SubmitWithoutKey,
  ServeKv,      ///< Applies and answers the oldest waiting call.
  LoseKvAnswer, ///< Applies the call but loses the answer.
  DelayKvWrite, ///< Answers Unknown; the next step of the service applies the
                ///< write.
  RefuseKv,     ///< Answers Unavailable; the call is not applied.
  Deliver,      ///< Delivers a message to its agent.
  DeliverTwice, ///< Also keeps it in flight, as a duplicate or late message.
  DeliverToOtherAgent, ///< Delivers a message with a ticket to another agent.
  DeliverToDrained, ///< The agent refuses the call after the ledger allowed it.
  DeliverToDrainedTwice,
  FinishRun,
  FailRun,
  RestartAgent, ///< Loses the ledger; messages in flight still arrive.
  AdvanceTime,
  AdvanceTimeToExpiry, ///< To the expiry of a ticket or just before it.
  Count,
};

struct Step {
  StepKind Kind = StepKind::Count;
  uint8_t Choice = 0;
};

/// A defect that is injected on purpose, to show that the checks detect it.
enum class Defect : uint8_t {
  None,
  RestartKeepsIncarnation,
  RecordLostWhileRunning,
  ServiceIgnoresCompare,
  DuplicateRunsAgain,
  RefusalForgotten,
};

class OnceWorld {
public:
  explicit OnceWorld(Defect defect);
  void apply(const Step &step);
  /// Describes the first violated guarantee; empty if there is none.
  const std::string &violation() const { return Violation; }
  size_t runs() const { return TotalRuns; }

private:
  /// Identifies what must run at most once: a ticket, a key or a submission.
  using CallName = std::string;
  struct Agent {
    std::string Name;
    std::unique_ptr<TicketLedger> Ledger;
    Duration ClockOffset{0};
  };
  struct Message {
    size_t Agent = 0;
    Presentation Submission;
    CallName Call;
    TimePoint SentAt;
  };
  struct Run {
    size_t Agent = 0;
    TicketKey Key;
    Message Origin;
  };
  struct Binding {
    KeyBinding Machine;
    Presentation Submission; ///< Its ticket is not set yet.
    CallName Call;
    BindStep Next;
  };
  struct IssuedTicket {
    std::string Text;
    TimePoint ExpiresAt;
    size_t Agent = 0;
    bool BoundToKey = false; ///< Only entries know the ticket, callers don't.
  };

  static constexpr size_t Agents = 2;
  void restart(size_t agent);
  TimePoint clockOf(size_t agent) const;
  std::optional<IssuedTicket> issue(size_t agent);
  Presentation submission(uint8_t choice);
  void submitTicket(uint8_t choice);
  void submitOpaqueKey(uint8_t choice);
  void send(const std::string &ticket, Presentation what, CallName call);
  void serveKv(StepKind how);
  void advance(Binding binding, BindStep next);
  edge::KvTransactionResult commit(const edge::KvTransaction &transaction);
  edge::KvRangeResult read(const edge::KvRange &range) const;
  void deliver(const Step &step);
  void present(size_t agent, const Message &message, bool drained);
  void startRun(size_t agent, const TicketKey &key, const Message &message);
  void recordOutcome(const Message &message, Outcome outcome);
  void endRun(uint8_t choice, bool completed);
  void advanceToExpiry(uint8_t choice);
  void fail(std::string what);

  Defect Seeded;
  std::string Violation;
  uint64_t DrawnNumbers = 0;
  uint64_t Requests = 0;
  TimePoint Now{Duration(1'000'000)};
  std::vector<Agent> Fleet;
  std::vector<IssuedTicket> Tickets;
  std::deque<Message> InFlight;
  std::deque<Binding> WaitingKv;
  std::vector<edge::KvTransaction> DelayedWrites;
  std::map<std::string, std::string> Kv;
  std::vector<Run> Running;
  size_t TotalRuns = 0;
  std::map<CallName, size_t> RunsOfCall;
  std::set<std::pair<RequestId, Attempt>> RanSubmissions;
  std::set<std::pair<RequestId, Attempt>> ReportedNotRun;
};

} // namespace daisytack::test
