#include "control/command_run.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace daisytack::control {
namespace {

const ObjectKey Key{ObjectKind::Model, "m"};
constexpr TimePoint Start{};
constexpr Duration CommandTimeout{10'000'000};

/// Fake key-value service with one key; writes can be delayed.
struct FakeService {
  edge::KvEntry Entry;
  uint64_t Revision = 1;
  std::deque<edge::KvTransaction> Delayed;
  std::map<Id128, int> Applied; ///< Times each command was applied.

  edge::KvTransactionResult commit(const edge::KvTransaction &transaction) {
    edge::KvTransactionResult out;
    out.Header = {edge::KvStatus::CompareFailed, {}, 1, Revision};
    if (transaction.If.front().Number != Entry.ModRevision) {
      if (Entry.ModRevision != 0)
        out.Current.push_back(Entry);
      return out;
    }
    write(transaction.Then.front().Value);
    out.Header = {edge::KvStatus::Ok, {}, 1, Revision};
    return out;
  }

  void write(const std::string &value) {
    ++Revision;
    Entry = {toText(Key),
             value,
             Entry.ModRevision == 0 ? Revision : Entry.CreateRevision,
             Revision,
             Entry.Version + 1,
             0};
    Error reason;
    std::optional<StoredObject> stored = decodeStored(Key, value, reason);
    if (stored && !stored->Trail.empty())
      ++Applied[stored->Trail.front().Command];
  }

  edge::KvRangeResult read() const {
    edge::KvRangeResult out;
    out.Header = {edge::KvStatus::Ok, {}, 1, Revision};
    if (Entry.ModRevision != 0)
      out.Entries.push_back(Entry);
    return out;
  }

  void deliverDelayed() {
    if (Delayed.empty())
      return;
    commit(Delayed.front());
    Delayed.pop_front();
  }

  std::optional<ReplicaEntry> base() const {
    if (Entry.ModRevision == 0)
      return std::nullopt;
    return ReplicaEntry{Entry.Key, Entry.Value, Entry.ModRevision, false};
  }
};

edge::KvTransactionResult lostAnswer() {
  edge::KvTransactionResult out;
  out.Header.Status = edge::KvStatus::Unknown;
  return out;
}

Command setVersion(uint64_t id, const std::string &version) {
  Command out;
  out.Id = {id, id};
  out.Operator = "operator" + std::to_string(id);
  out.Key = Key;
  out.Edit = [version](std::optional<ConfigObject> &object, Error &) {
    if (!object)
      object = defaultObject(Key);
    std::get<Model>(*object).Version = version;
    return true;
  };
  return out;
}

/// Executes a command on the service without faults.
CommandResult runPlain(FakeService &service, Command command) {
  CommandRun run(std::move(command), service.base(), Start + CommandTimeout);
  CommandStep step = run.begin();
  while (step.Action != CommandStep::Kind::Done)
    step = step.Action == CommandStep::Kind::Commit
               ? run.onCommitted(service.commit(step.Transaction), Start)
               : run.onRead(service.read(), Start);
  return step.Result;
}

TEST(CommandRun, AppliesAndReportsRevision) {
  FakeService service;
  CommandResult result = runPlain(service, setVersion(1, "v1"));
  EXPECT_EQ(result.Outcome, CommandOutcome::Applied);
  EXPECT_EQ(result.Revision, service.Revision);
  EXPECT_EQ(runPlain(service, setVersion(2, "v1")).Outcome,
            CommandOutcome::Unchanged);
}

TEST(CommandRun, RefusesBadObjectWithRemedy) {
  FakeService service;
  CommandResult result = runPlain(service, setVersion(1, "no/slash"));
  EXPECT_EQ(result.Outcome, CommandOutcome::Refused);
  EXPECT_NE(result.Reason.Detail.find("version = no/slash"), std::string::npos);
  EXPECT_EQ(service.Entry.ModRevision, 0U);
}

TEST(CommandRun, ConflictReportsTheOtherOperator) {
  FakeService service;
  runPlain(service, setVersion(1, "v1"));
  CommandRun slow(setVersion(2, "v2"), service.base(), Start + CommandTimeout);
  CommandStep step = slow.begin();
  runPlain(service, setVersion(3, "v3"));
  step = slow.onCommitted(service.commit(step.Transaction), Start);
  ASSERT_EQ(step.Action, CommandStep::Kind::Done);
  EXPECT_EQ(step.Result.Outcome, CommandOutcome::Conflict);
  ASSERT_TRUE(step.Result.Other);
  EXPECT_EQ(step.Result.Other->Stamp.Operator, "operator3");
  EXPECT_NE(step.Result.Reason.Detail.find("operator3"), std::string::npos);
}

TEST(CommandRun, LostAnswerOfAppliedWriteIsApplied) {
  FakeService service;
  CommandRun run(setVersion(1, "v1"), service.base(), Start + CommandTimeout);
  CommandStep step = run.begin();
  service.commit(step.Transaction);
  step = run.onCommitted(lostAnswer(), Start);
  ASSERT_EQ(step.Action, CommandStep::Kind::Read);
  step = run.onRead(service.read(), Start);
  EXPECT_EQ(step.Result.Outcome, CommandOutcome::Applied);
  EXPECT_EQ(step.Result.Revision, service.Revision);
}

TEST(CommandRun, AppliedThenOverwrittenReportsTheLaterChange) {
  FakeService service;
  CommandRun run(setVersion(1, "v1"), service.base(), Start + CommandTimeout);
  CommandStep step = run.begin();
  service.commit(step.Transaction);
  runPlain(service, setVersion(2, "v2"));
  run.onCommitted(lostAnswer(), Start);
  step = run.onRead(service.read(), Start);
  EXPECT_EQ(step.Result.Outcome, CommandOutcome::Applied);
  ASSERT_TRUE(step.Result.Other);
  EXPECT_EQ(step.Result.Other->Stamp.Operator, "operator2");
}

TEST(CommandRun, NoAnswerIsUnknownAndNotRetriedBlindly) {
  FakeService service;
  CommandRun run(setVersion(1, "v1"), service.base(), Start + CommandTimeout);
  run.begin();
  CommandStep step = run.onCommitted(lostAnswer(), Start);
  edge::KvRangeResult down;
  step = run.onRead(down, Start);
  EXPECT_EQ(step.Action, CommandStep::Kind::Wait);
  run.onWaited();
  step = run.onRead(down, Start + CommandTimeout);
  EXPECT_EQ(step.Result.Outcome, CommandOutcome::Unknown);
}

TEST(CommandRun, ServiceDownIsUnavailable) {
  FakeService service;
  CommandRun run(setVersion(1, "v1"), service.base(), Start + CommandTimeout);
  run.begin();
  CommandStep step = run.onCommitted({}, Start);
  EXPECT_EQ(step.Result.Outcome, CommandOutcome::Unavailable);
}

TEST(CommandRun, UnexpectedRevisionConflicts) {
  FakeService service;
  runPlain(service, setVersion(1, "v1"));
  Command command = setVersion(2, "v2");
  command.ExpectedRevision = 0;
  EXPECT_EQ(runPlain(service, command).Outcome, CommandOutcome::Conflict);
  command.ExpectedRevision = service.Entry.ModRevision;
  EXPECT_EQ(runPlain(service, command).Outcome, CommandOutcome::Applied);
}

/// Guards against commands that are applied twice or reported with a wrong
/// outcome, with random lost answers, delayed writes, other operators and
/// outages.
RC_GTEST_PROP(CommandRun, NeverDoubleAppliesOrMisreports, ()) {
  enum Fault { None, LostBefore, LostAfter, Late, Down };
  FakeService service;
  const Id128 ours{1000, 1000};
  if (*rc::gen::arbitrary<bool>())
    runPlain(service, setVersion(1, "v0"));
  CommandRun run(setVersion(1000, "v1"), service.base(),
                 Start + CommandTimeout);
  CommandStep step = run.begin();
  TimePoint now = Start;
  uint64_t other = 1;
  while (step.Action != CommandStep::Kind::Done) {
    now += Duration(*rc::gen::inRange<int64_t>(0, 1'000'000));
    for (int i = *rc::gen::inRange(0, 3); i > 0; --i, ++other)
      runPlain(service, setVersion(other + 1, "o" + std::to_string(other)));
    if (*rc::gen::arbitrary<bool>())
      service.deliverDelayed();
    int fault = *rc::gen::inRange<int>(None, Down + 1);
    if (step.Action == CommandStep::Kind::Wait) {
      step = run.onWaited();
    } else if (step.Action == CommandStep::Kind::Read) {
      step = run.onRead(fault == Down ? edge::KvRangeResult{} : service.read(),
                        now);
    } else if (fault == None) {
      step = run.onCommitted(service.commit(step.Transaction), now);
    } else if (fault == Down) {
      step = run.onCommitted({}, now);
    } else {
      if (fault == LostAfter)
        service.commit(step.Transaction);
      if (fault == Late)
        service.Delayed.push_back(step.Transaction);
      step = run.onCommitted(lostAnswer(), now);
    }
  }
  CommandOutcome outcome = step.Result.Outcome;
  if (outcome == CommandOutcome::Applied)
    RC_ASSERT(service.Applied[ours] == 1);
  while (!service.Delayed.empty())
    service.deliverDelayed();
  RC_ASSERT(service.Applied[ours] <= 1);
  if (outcome == CommandOutcome::Conflict ||
      outcome == CommandOutcome::Unavailable)
    RC_ASSERT(service.Applied[ours] == 0);
  RC_TAG(std::string(commandOutcomeName(outcome)));
}

} // namespace
} // namespace daisytack::control
