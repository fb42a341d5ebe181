#include "runtime/operator_command.h"

#include "base/clock.h"
#include "base/request_id.h"
#include "net/timer.h"
#include "query/command_plan.h"

#include <boost/json.hpp>

#include <atomic>

namespace daisytack::runtime {

namespace {

namespace json = boost::json;
using control::CommandOutcome;

/// Delay between two polls of the fleet for the revision in force.
constexpr Duration InForcePollInterval{200'000};
/// Maximum duration of one such poll.
constexpr Duration InForcePollTimeout{1'000'000};
constexpr unsigned HttpOk = 200;

CommandAnswer refused(Error reason) {
  CommandAnswer out;
  out.Outcome = CommandOutcome::Refused;
  out.Reason = std::move(reason);
  return out;
}

CommandAnswer notOneObject() {
  return refused({ErrorKind::BadRequest,
                  "expected_revision needs a command that changes one object",
                  {}});
}

bool hasTakenEffect(CommandOutcome outcome) {
  return outcome == CommandOutcome::Applied ||
         outcome == CommandOutcome::Unchanged;
}

json::object rolloutToJson(const control::RolloutReport &report) {
  json::array missing;
  for (const std::string &name : report.Missing)
    missing.emplace_back(name);
  return {{"members", report.Members},
          {"asked", report.Sampled},
          {"in_force", report.Updated},
          {"missing", std::move(missing)}};
}

json::object otherToJson(const control::OtherChange &other) {
  return {{"operator", other.Stamp.Operator},
          {"command", toHex(other.Stamp.Command)},
          {"revision", other.Revision},
          {"value", other.Value}};
}

/// Entries that may hold the requests that the target names.
std::vector<Member> entriesFor(const query::StopTarget &target,
                               const Snapshot &snapshot) {
  std::vector<Member> out;
  for (const Member &it : snapshot.Entries)
    if (!target.Request || isMintedBy(*target.Request, it.Name))
      out.push_back(it);
  return out;
}

/// Number of stopped requests in the reply of another entry; nothing if the
/// reply has none.
std::optional<uint64_t> parseStoppedCount(const FleetReply &reply) {
  if (reply.Failure || reply.Response.Status != HttpOk)
    return std::nullopt;
  boost::system::error_code ec;
  json::value body = json::parse(reply.Response.Body, ec);
  if (ec || !body.is_object())
    return std::nullopt;
  const json::value *count = body.get_object().if_contains("stopped");
  uint64_t out = count ? count->to_number<uint64_t>(ec) : 0;
  if (!count || ec)
    return std::nullopt;
  return out;
}

/// Totals over the replies of the entries.
struct StopSum {
  uint64_t Stopped = 0; ///< Number of stopped requests.
  size_t NoReply = 0;   ///< Number of entries without a valid reply.
};

CommandAnswer answerOf(const StopSum &sum, size_t asked) {
  CommandAnswer out;
  out.Stopped = sum.Stopped;
  out.Planned = asked;
  out.Changes = asked - sum.NoReply;
  out.Outcome =
      sum.Stopped > 0 ? CommandOutcome::Applied : CommandOutcome::Unchanged;
  if (sum.NoReply > 0) {
    out.Outcome = CommandOutcome::Unknown;
    out.Reason = {ErrorKind::ServerLost,
                  std::to_string(sum.NoReply) + " of " + std::to_string(asked) +
                      " entries did not answer",
                  {}};
  }
  return out;
}

} // namespace

std::string toJson(const CommandAnswer &answer) {
  json::object out{{"outcome", control::commandOutcomeName(answer.Outcome)},
                   {"revision", answer.Revision},
                   {"changes", answer.Changes},
                   {"planned", answer.Planned}};
  if (answer.Reason) {
    out["kind"] = errorName(answer.Reason.Kind);
    out["detail"] = answer.Reason.Detail;
    out["remedy"] = errorRemedy(answer.Reason.Kind);
  }
  if (answer.Other)
    out["other"] = otherToJson(*answer.Other);
  if (answer.Stopped)
    out["stopped"] = *answer.Stopped;
  if (answer.Rollout)
    out["in_force"] = rolloutToJson(*answer.Rollout);
  return json::serialize(out);
}

unsigned commandStatus(const CommandAnswer &answer) {
  switch (answer.Outcome) {
  case CommandOutcome::Applied:
  case CommandOutcome::Unchanged:
    return HttpOk;
  case CommandOutcome::Refused:
    return errorStatus(answer.Reason ? answer.Reason.Kind
                                     : ErrorKind::BadValue);
  case CommandOutcome::Conflict:
    return errorStatus(ErrorKind::Conflict);
  case CommandOutcome::Unavailable:
    return errorStatus(ErrorKind::ServiceUnavailable);
  case CommandOutcome::Unknown:
    return errorStatus(ErrorKind::ServiceUnknown);
  }
  return errorStatus(ErrorKind::Internal);
}

void OperatorCommands::run(const query::OperatorCommand &command,
                           const Statement &statement,
                           const OperatorCaller &caller, const DoneHook &done) {
  if (const auto *it = std::get_if<query::StopRequests>(&command)) {
    if (statement.ExpectedRevision)
      done(notOneObject());
    else
      stop(it->Target, statement.Text, caller, done);
    return;
  }
  Error reason;
  query::CommandContext context{caller.Name, Init.Clock(), Init.Random};
  auto snapshot = Init.Control.Snapshots();
  auto changes = query::planCommand(command, *snapshot, context, reason);
  if (!changes) {
    done(refused(std::move(reason)));
    return;
  }
  if (statement.ExpectedRevision) {
    if (changes->size() != 1) {
      done(notOneObject());
      return;
    }
    changes->front().ExpectedRevision = statement.ExpectedRevision;
  }
  CommandAnswer answer;
  answer.Outcome = CommandOutcome::Unchanged;
  answer.Planned = changes->size();
  auto shared = std::make_shared<const std::vector<control::Command>>(
      std::move(*changes));
  proposeNext(shared, std::move(answer), statement.Wait, done);
}

void OperatorCommands::proposeNext(const Changes &changes, CommandAnswer soFar,
                                   Duration wait, const DoneHook &done) {
  if (soFar.Changes == changes->size()) {
    if (wait > Duration::zero())
      waitForRollout(soFar, monotonicNow() + wait, done);
    else
      done(std::move(soFar));
    return;
  }
  control::Command next = (*changes)[soFar.Changes];
  Init.Control.Propose(std::move(next), [this, changes, soFar, wait,
                                         done](control::CommandResult result) {
    CommandAnswer answer = soFar;
    answer.Reason = std::move(result.Reason);
    answer.Other = std::move(result.Other);
    if (!hasTakenEffect(result.Outcome)) {
      answer.Outcome = result.Outcome;
      done(std::move(answer));
      return;
    }
    ++answer.Changes;
    if (result.Outcome == CommandOutcome::Applied)
      answer.Outcome = CommandOutcome::Applied;
    answer.Revision = std::max(answer.Revision, result.Revision);
    proposeNext(changes, std::move(answer), wait, done);
  });
}

void OperatorCommands::waitForRollout(const CommandAnswer &answer,
                                      TimePoint until, const DoneHook &done) {
  Duration left = until - monotonicNow();
  auto timeout = std::clamp(left, Duration(1), InForcePollTimeout);
  // Without a revision there was nothing to change: the configuration in force
  // here already contains the requested state.
  uint64_t revision = answer.Revision != 0
                          ? answer.Revision
                          : Init.Control.Snapshots()->ConfigRevision;
  Init.Control.CheckRollout(
      revision, timeout,
      [this, answer, until, done](control::RolloutReport report) {
        CommandAnswer next = answer;
        bool isEverywhere = report.Updated == report.Sampled;
        next.Rollout = std::move(report);
        if (isEverywhere || monotonicNow() >= until) {
          done(std::move(next));
          return;
        }
        auto timer = std::make_shared<net::Timer>(Io);
        timer->expires_after(InForcePollInterval);
        timer->async_wait(
            [this, timer, next, until, done](boost::system::error_code) {
              waitForRollout(next, until, done);
            });
      });
}

void OperatorCommands::stop(const query::StopTarget &target,
                            std::string_view text, const OperatorCaller &caller,
                            const DoneHook &done) {
  if (caller.IsLocal) {
    StopSum own;
    own.Stopped = Init.Hooks.Stop ? Init.Hooks.Stop(target) : 0;
    done(answerOf(own, 1));
    return;
  }
  auto entries = entriesFor(target, *Init.Control.Snapshots());
  if (entries.empty()) {
    done(refused({ErrorKind::NotFound,
                  "the entry that took this request has gone",
                  {}}));
    return;
  }
  auto sum = std::make_shared<StopSum>();
  FleetHooks hooks;
  hooks.Replied = [sum](size_t, const FleetReply &reply) {
    auto stopped = parseStoppedCount(reply);
    sum->Stopped += stopped.value_or(0);
    sum->NoReply += stopped ? 0 : 1;
    return true;
  };
  hooks.Done = [sum, done](size_t asked) { done(answerOf(*sum, asked)); };
  sendToFleet(Client, std::move(entries),
              fleetRequest(Init, Self, caller, "/v1/command", text),
              std::move(hooks));
}

} // namespace daisytack::runtime
