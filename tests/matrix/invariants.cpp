#include "invariants.h"

namespace daisytack::matrix {

namespace {

/// "A few seconds", from the platform's word or the process's own.
constexpr Duration LeavingGrace{3'000'000};
/// Late final answers: a timer and a message on the way.
constexpr Duration AnswerSlack{500'000};

} // namespace

std::string_view promiseName(Promise promise) {
  static constexpr std::array<std::string_view, Promises> Names{
      "freed_or_torn_never_read", "organisations_stay_apart",
      "versions_stay_apart",      "answers_are_whole_and_own",
      "not_run_is_true",          "at_most_once",
      "leaving_gets_nothing_new", "shutdown_cuts_nothing_off",
      "configuration_stands"};
  return Names[static_cast<size_t>(promise)];
}

void PromiseCheck::broken(Promise promise, std::string what) {
  std::string &kept = What[static_cast<size_t>(promise)];
  if (kept.empty())
    kept = std::move(what);
}

std::string PromiseCheck::verdict() const {
  for (size_t i = 0; i < Promises; ++i)
    if (!What[i].empty())
      return std::string(promiseName(static_cast<Promise>(i))) + ": " + What[i];
  return {};
}

void PromiseCheck::submitted(uint64_t submission, const CallerCall &call) {
  Calls[submission].Call = call;
}

void PromiseCheck::toldPart(uint64_t submission, std::string_view text) {
  Told &told = Calls.at(submission);
  told.Text += text;
  std::string number = std::to_string(told.Call.Number);
  if (told.Finals > 0)
    broken(Promise::AnswersAreWholeAndOwn,
           "text after the end, call " + number);
  if (told.Call.Expected.compare(0, told.Text.size(), told.Text) != 0) {
    broken(Promise::AnswersAreWholeAndOwn, "wrong text, call " + number);
    if (told.Text.find("answer to " + told.Call.Organisation) ==
        std::string::npos)
      broken(Promise::OrganisationsStayApart,
             "text of another organisation, call " + number);
  }
}

void PromiseCheck::toldEnd(uint64_t submission, TimePoint now) {
  Told &told = Calls.at(submission);
  std::string number = std::to_string(told.Call.Number);
  if (++told.Finals > 1)
    broken(Promise::AnswersAreWholeAndOwn, "two final answers, call " + number);
  if (told.Text != told.Call.Expected)
    broken(Promise::AnswersAreWholeAndOwn, "not whole, call " + number);
  if (now > told.Call.Deadline + AnswerSlack && !told.Call.EntryPaused)
    broken(Promise::AnswersAreWholeAndOwn, "too late, call " + number);
  if (!told.Completed)
    ++Completed;
  told.Completed = true;
}

void PromiseCheck::toldError(uint64_t submission, const Error &reason,
                             Outcome ran, TimePoint /*now*/) {
  Told &told = Calls.at(submission);
  if (++told.Finals > 1)
    broken(Promise::AnswersAreWholeAndOwn,
           "two final answers, call " + std::to_string(told.Call.Number));
  told.Refused = ran;
  if (ran == Outcome::NotRun && RanSubmissions.contains(submission))
    broken(Promise::NotRunIsTrue, std::string(errorName(reason.Kind)) +
                                      " told not_run, call " +
                                      std::to_string(told.Call.Number));
}

void PromiseCheck::entryLost(uint64_t submission) {
  auto it = Calls.find(submission);
  if (it != Calls.end())
    it->second.Call.EntryLost = true;
}

void PromiseCheck::entryPaused(uint64_t submission) {
  auto it = Calls.find(submission);
  if (it != Calls.end())
    it->second.Call.EntryPaused = true;
}

void PromiseCheck::ran(uint64_t call, uint64_t submission, TimePoint /*now*/) {
  RanSubmissions.insert(submission);
  auto it = Calls.find(submission);
  if (it == Calls.end())
    return;
  if (it->second.Refused == Outcome::NotRun)
    broken(Promise::NotRunIsTrue,
           "ran after not_run, call " + std::to_string(call));
  if (++RunsOfCall[call] > 1 && !it->second.Call.Idempotent)
    broken(Promise::AtMostOnce, "ran twice, call " + std::to_string(call));
}

void PromiseCheck::leaving(const std::string &server, TimePoint now) {
  LeavingSince.emplace(server, now);
}

void PromiseCheck::acceptedNew(const std::string &server, TimePoint offered) {
  auto it = LeavingSince.find(server);
  if (it != LeavingSince.end() && offered > it->second + LeavingGrace)
    broken(Promise::LeavingGetsNothingNew, server + " accepted new work");
}

void PromiseCheck::exited(const std::string &process, size_t unfinished) {
  if (unfinished > 0)
    broken(Promise::ShutdownCutsNothingOff, process + " ended with " +
                                                std::to_string(unfinished) +
                                                " requests unfinished");
}

void PromiseCheck::inForce(const std::string &process, const std::string &key,
                           uint64_t revision) {
  uint64_t &last = InForce[process][key];
  if (revision < last)
    broken(Promise::ConfigurationStands,
           process + " went back from " + std::to_string(last) + " to " +
               std::to_string(revision) + " of " + key);
  last = revision;
}

void PromiseCheck::checkAnswered(TimePoint now) {
  for (const auto &[submission, told] : Calls)
    if (told.Finals == 0 && !told.Call.EntryLost &&
        now > told.Call.Deadline + AnswerSlack)
      broken(Promise::AnswersAreWholeAndOwn,
             "no final answer, call " + std::to_string(told.Call.Number));
}

} // namespace daisytack::matrix
