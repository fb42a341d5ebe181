/// Cost of at-most-once execution: nanoseconds per ledger operation and bytes
/// per ticket, for several numbers of tickets.
#include "base/clock.h"
#include "base/digest.h"
#include "once/ticket_ledger.h"

#include <malloc.h>

#include <cstdio>

namespace daisytack {

namespace {

constexpr Duration TicketLifetime{600'000'000};
constexpr size_t AnswerBytes = 200;

size_t heapBytes() { return mallinfo2().uordblks; }

TicketLedgerInit makeInit(size_t records) {
  TicketLedgerInit out;
  out.Instance = "kengarags-portal-1";
  out.Process = {7, 7};
  out.Secret = std::string(32, 's');
  out.TicketLife = TicketLifetime;
  out.MaxRecords = records;
  out.MaxAnswerBytes = 1ULL << 30;
  return out;
}

double nanosecondsPerCall(TimePoint start, size_t n) {
  std::chrono::duration<double, std::nano> passed = monotonicNow() - start;
  return passed.count() / static_cast<double>(n);
}

struct Run {
  TicketLedger Ledger;
  std::vector<std::string> Tickets;
  std::vector<TicketKey> Keys;
  double IssueNanoseconds = 0;
  double PresentNanoseconds = 0;
  double FinishNanoseconds = 0;
};

void issueAll(Run &run, size_t n, TimePoint now) {
  Error reason;
  run.Tickets.reserve(n);
  TimePoint start = monotonicNow();
  for (size_t i = 0; i < n; ++i)
    run.Tickets.push_back(*run.Ledger.issue("rimi-growers", now, reason));
  run.IssueNanoseconds = nanosecondsPerCall(start, n);
}

void presentAll(Run &run, TimePoint now) {
  run.Keys.reserve(run.Tickets.size());
  Presentation presentation{{1, 0}, 1, "rimi-growers", "", {2, 2}, {}, 0};
  TimePoint start = monotonicNow();
  for (const std::string &it : run.Tickets) {
    presentation.Ticket = it;
    ++presentation.Id.Lo;
    run.Keys.push_back(run.Ledger.present(presentation, now).Key);
  }
  run.PresentNanoseconds = nanosecondsPerCall(start, run.Tickets.size());
}

void finishAll(Run &run, size_t answerBytes, TimePoint now) {
  StoredAnswer answer;
  answer.Body = std::string(answerBytes, 'x');
  TimePoint start = monotonicNow();
  for (const TicketKey &it : run.Keys)
    run.Ledger.finish(it, answer, now);
  run.FinishNanoseconds = nanosecondsPerCall(start, run.Keys.size());
}

void measure(size_t n) {
  TimePoint now = monotonicNow();
  Run run{{makeInit(n), secureRandom, nullptr}, {}, {}};
  issueAll(run, n, now);
  run.Keys.reserve(n);
  size_t before = heapBytes();
  presentAll(run, now);
  size_t recorded = heapBytes();
  finishAll(run, AnswerBytes, now);
  size_t answered = heapBytes();
  auto each = [&](size_t bytes) {
    return static_cast<double>(bytes) / static_cast<double>(n);
  };
  std::printf("%8zu tickets  issue %5.0f ns  present %5.0f ns  finish %5.0f ns"
              "  record %4.0f B  kept answer of %zu B %4.0f B\n",
              n, run.IssueNanoseconds, run.PresentNanoseconds,
              run.FinishNanoseconds, each(recorded - before), AnswerBytes,
              each(answered - recorded));
}

} // namespace

} // namespace daisytack

int main() {
  for (size_t n : {1'000, 10'000, 100'000})
    daisytack::measure(n);
  return 0;
}
