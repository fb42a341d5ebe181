/// Checks the invariants that users rely on, from the events that the simulated
/// processes report. Keeps the first violation of each invariant.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::matrix {

enum class Invariant : uint8_t {
  FreedOrTornNeverRead,
  OrganisationsStayApart,
  VersionsStayApart,
  AnswersAreWholeAndOwn,
  NotRunIsTrue,
  AtMostOnce,
  LeavingGetsNothingNew,
  ShutdownCutsNothingOff,
  ConfigurationStands,
  Count,
};
constexpr size_t InvariantCount = static_cast<size_t>(Invariant::Count);
std::string_view invariantName(Invariant invariant);

/// A call of a caller, with what the checks need to know.
struct CallerCall {
  uint64_t Number = 0; ///< Part of the body, so that runs can be counted.
  std::string Organisation;
  std::string Expected; ///< Text of the whole answer.
  bool Idempotent = true;
  TimePoint Deadline;
  bool EntryDied = false;   ///< Its entry died: no final answer is due.
  bool EntryPaused = false; ///< Its entry was paused: answers may be late.
};

class InvariantChecker {
public:
  void recordViolation(Invariant invariant, std::string what);
  /// The violation of the first violated invariant in enum order, as
  /// "NAME: DETAIL"; empty if all hold.
  std::string firstViolation() const;
  bool isViolated(Invariant invariant) const {
    return !Violations[static_cast<size_t>(invariant)].empty();
  }

  // Events that callers see. A submission is one HTTP request of a call.
  void onSubmitted(uint64_t submission, const CallerCall &call);
  void onAnswerText(uint64_t submission, std::string_view text);
  void onAnswerEnd(uint64_t submission, TimePoint now);
  void onErrorAnswer(uint64_t submission, const Error &reason, Outcome ran,
                     TimePoint now);
  /// The submission's entry died; the caller may resume at another entry after
  /// the chunks that it has.
  void onEntryDied(uint64_t submission);
  void onEntryPaused(uint64_t submission);

  // Events at backend servers.
  void onRun(uint64_t call, uint64_t submission, TimePoint now);

  // Drain and shutdown.
  void onLeaving(const std::string &server, TimePoint now);
  /// The server starts a request that was first offered to it at that time.
  void onNewWorkAccepted(const std::string &server, TimePoint offered);
  void onReturned(const std::string &server) { LeavingSince.erase(server); }
  void onExited(const std::string &process, size_t unfinished);

  // Configuration.
  void onConfigApplied(const std::string &process, const std::string &key,
                       uint64_t revision);
  void onProcessStarted(const std::string &process) {
    AppliedRevisions.erase(process);
  }

  /// Records a violation for each submission that is past its deadline, with a
  /// tolerance, and has no final answer though its entry didn't die.
  void checkAllAnswered(TimePoint now);

  size_t completed() const { return Completed; }
  size_t submissions() const { return Calls.size(); }

private:
  struct SubmissionState {
    CallerCall Call;
    std::string Text;
    uint32_t FinalAnswers = 0;
    bool Completed = false;
    std::optional<Outcome> ErrorOutcome;
  };

  std::array<std::string, InvariantCount> Violations;
  std::map<uint64_t, SubmissionState> Calls; ///< Key: submission number.
  std::map<uint64_t, uint32_t> RunsOfCall;
  std::set<uint64_t> RanSubmissions;
  std::map<std::string, TimePoint> LeavingSince;
  std::map<std::string, std::map<std::string, uint64_t>> AppliedRevisions;
  size_t Completed = 0;
};

} // namespace daisytack::matrix
