#include "invariants.h"

namespace daisytack::matrix {

namespace {

/// Time in which entries must learn of a drain, from the platform's list or the
/// process's announcement. Later offers must not be accepted.
constexpr Duration LeavingGrace{3'000'000};
/// Tolerance of the answer deadline: a timer and a message in transit.
constexpr Duration AnswerSlack{500'000};

} // namespace

std::string_view invariantName(Invariant invariant) {
  static constexpr std::array<std::string_view, InvariantCount> Names{
      "freed_or_torn_never_read", "organisations_stay_apart",
      "versions_stay_apart",      "answers_are_whole_and_own",
      "not_run_is_true",          "at_most_once",
      "leaving_gets_nothing_new", "shutdown_cuts_nothing_off",
      "configuration_stands"};
  return Names[static_cast<size_t>(invariant)];
}

void InvariantChecker::recordViolation(Invariant invariant, std::string what) {
  std::string &first = Violations[static_cast<size_t>(invariant)];
  if (first.empty())
    first = std::move(what);
}

std::string InvariantChecker::firstViolation() const {
  for (size_t i = 0; i < InvariantCount; ++i)
    if (!Violations[i].empty())
      return std::string(invariantName(static_cast<Invariant>(i))) + ": " +
             Violations[i];
  return {};
}

void InvariantChecker::onSubmitted(uint64_t submission,
                                   const CallerCall &call) {
  Calls[submission].Call = call;
}

void InvariantChecker::onAnswerText(uint64_t submission,
                                    std::string_view text) {
  SubmissionState &state = Calls.at(submission);
  state.Text += text;
  std::string number = std::to_string(state.Call.Number);
  if (state.FinalAnswers > 0)
    recordViolation(Invariant::AnswersAreWholeAndOwn,
                    "text after the final answer, call " + number);
  if (state.Call.Expected.compare(0, state.Text.size(), state.Text) != 0) {
    recordViolation(Invariant::AnswersAreWholeAndOwn,
                    "wrong text, call " + number);
    if (state.Text.find("answer to " + state.Call.Organisation) ==
        std::string::npos)
      recordViolation(Invariant::OrganisationsStayApart,
                      "text of another organisation, call " + number);
  }
}

void InvariantChecker::onAnswerEnd(uint64_t submission, TimePoint now) {
  SubmissionState &state = Calls.at(submission);
  std::string number = std::to_string(state.Call.Number);
  if (++state.FinalAnswers > 1)
    recordViolation(Invariant::AnswersAreWholeAndOwn,
                    "two final answers, call " + number);
  if (state.Text != state.Call.Expected)
    recordViolation(Invariant::AnswersAreWholeAndOwn,
                    "incomplete answer, call " + number);
  if (now > state.Call.Deadline + AnswerSlack && !state.Call.EntryPaused)
    recordViolation(Invariant::AnswersAreWholeAndOwn,
                    "too late, call " + number);
  if (!state.Completed)
    ++Completed;
  state.Completed = true;
}

void InvariantChecker::onErrorAnswer(uint64_t submission, const Error &reason,
                                     Outcome ran, TimePoint /*now*/) {
  SubmissionState &state = Calls.at(submission);
  if (++state.FinalAnswers > 1)
    recordViolation(Invariant::AnswersAreWholeAndOwn,
                    "two final answers, call " +
                        std::to_string(state.Call.Number));
  state.ErrorOutcome = ran;
  if (ran == Outcome::NotRun && RanSubmissions.contains(submission))
    recordViolation(Invariant::NotRunIsTrue,
                    std::string(errorName(reason.Kind)) +
                        " reported not_run, call " +
                        std::to_string(state.Call.Number));
}

void InvariantChecker::onEntryDied(uint64_t submission) {
  auto it = Calls.find(submission);
  if (it != Calls.end())
    it->second.Call.EntryDied = true;
}

void InvariantChecker::onEntryPaused(uint64_t submission) {
  auto it = Calls.find(submission);
  if (it != Calls.end())
    it->second.Call.EntryPaused = true;
}

void InvariantChecker::onRun(uint64_t call, uint64_t submission,
                             TimePoint /*now*/) {
  RanSubmissions.insert(submission);
  auto it = Calls.find(submission);
  if (it == Calls.end())
    return;
  if (it->second.ErrorOutcome == Outcome::NotRun)
    recordViolation(Invariant::NotRunIsTrue,
                    "ran after not_run, call " + std::to_string(call));
  if (++RunsOfCall[call] > 1 && !it->second.Call.Idempotent)
    recordViolation(Invariant::AtMostOnce,
                    "ran twice, call " + std::to_string(call));
}

void InvariantChecker::onLeaving(const std::string &server, TimePoint now) {
  LeavingSince.emplace(server, now);
}

void InvariantChecker::onNewWorkAccepted(const std::string &server,
                                         TimePoint offered) {
  auto it = LeavingSince.find(server);
  if (it != LeavingSince.end() && offered > it->second + LeavingGrace)
    recordViolation(Invariant::LeavingGetsNothingNew,
                    server + " accepted new work");
}

void InvariantChecker::onExited(const std::string &process, size_t unfinished) {
  if (unfinished > 0)
    recordViolation(Invariant::ShutdownCutsNothingOff,
                    process + " ended with " + std::to_string(unfinished) +
                        " requests unfinished");
}

void InvariantChecker::onConfigApplied(const std::string &process,
                                       const std::string &key,
                                       uint64_t revision) {
  uint64_t &last = AppliedRevisions[process][key];
  if (revision < last)
    recordViolation(Invariant::ConfigurationStands,
                    process + " went back from " + std::to_string(last) +
                        " to " + std::to_string(revision) + " of " + key);
  last = revision;
}

void InvariantChecker::checkAllAnswered(TimePoint now) {
  for (const auto &[submission, state] : Calls)
    if (state.FinalAnswers == 0 && !state.Call.EntryDied &&
        now > state.Call.Deadline + AnswerSlack)
      recordViolation(Invariant::AnswersAreWholeAndOwn,
                      "no final answer, call " +
                          std::to_string(state.Call.Number));
}

} // namespace daisytack::matrix
