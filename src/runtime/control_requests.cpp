/// The parts of ControlProcess that other components wait for: commands, and
/// requests to peers.
#include "runtime/control_process.h"

#include "base/clock.h"
#include "wire/codec.h"

#include <utility>

namespace daisytack::runtime {

namespace {

constexpr Duration CommandTimeout{10'000'000};

EventKind eventOf(control::CommandOutcome outcome) {
  switch (outcome) {
  case control::CommandOutcome::Applied:
  case control::CommandOutcome::Unchanged:
    return EventKind::CommandApplied;
  case control::CommandOutcome::Conflict:
    return EventKind::CommandConflict;
  case control::CommandOutcome::Unknown:
    return EventKind::CommandUnknown;
  case control::CommandOutcome::Refused:
  case control::CommandOutcome::Unavailable:
    break;
  }
  return EventKind::CommandRefused;
}

} // namespace

Event makeControlEvent(EventKind kind, ErrorKind why, std::string subject) {
  Event out;
  out.Kind = kind;
  out.Reason = why;
  out.Subject = std::move(subject);
  return out;
}

void ControlProcess::propose(control::Command command, CommandDone done) {
  std::optional<control::ReplicaEntry> base;
  if (const control::ReplicaEntry *entry =
          State.config().find(toText(command.Key)))
    base = *entry;
  Events(makeControlEvent(EventKind::CommandProposed, ErrorKind::None,
                          toText(command.Key)));
  auto finish = [self = shared_from_this(), key = toText(command.Key),
                 done = std::move(done)](control::CommandResult result) {
    self->Events(
        makeControlEvent(eventOf(result.Outcome), result.Reason.Kind, key));
    self->Series.countCommand(result.Outcome);
    done(std::move(result));
  };
  runCommand(Executor, Kv, std::move(command), std::move(base),
             Init.ServiceTimeout, CommandTimeout, std::move(finish));
}

void ControlProcess::checkRollout(
    uint64_t revision, Duration timeout,
    std::function<void(control::RolloutReport)> done) {
  control::RolloutCheck check(State.memberTable(), Init.Self.Name, revision,
                              monotonicNow() + timeout, Random);
  RolloutChecks.emplace(++NextRolloutCheck,
                        PendingRolloutCheck{std::move(check), std::move(done)});
}

void ControlProcess::advanceRolloutChecks(TimePoint now) {
  for (auto it = RolloutChecks.begin(); it != RolloutChecks.end();) {
    PendingRolloutCheck &pending = it->second;
    if (pending.State.isOver(now)) {
      pending.Done(pending.State.report(Current.load()->ConfigRevision));
      it = RolloutChecks.erase(it);
      continue;
    }
    for (const control::RolloutCheck::Probe &probe : pending.State.onTick(now))
      Peers->send(probe.To, wire::encode(control::PeerMessage(probe.Message)));
    ++it;
  }
}

void ControlProcess::requestQuota(const Endpoint &peer,
                                  const QuotaRequest &request) {
  Peers->send(peer, wire::encode(control::PeerMessage(request)));
}

} // namespace daisytack::runtime
