#include "control/command_run.h"

#include <algorithm>
#include <utility>

namespace daisytack::control {

namespace {

constexpr Duration InitialDelay{50'000};
constexpr uint32_t MaxDoublings = 5;

CommandStep done(CommandResult result) {
  CommandStep out;
  out.Action = CommandStep::Kind::Done;
  out.Result = std::move(result);
  return out;
}

CommandStep done(CommandOutcome outcome, ErrorKind kind, std::string detail) {
  CommandResult result;
  result.Outcome = outcome;
  result.Reason = {kind, std::move(detail)};
  return done(std::move(result));
}

CommandStep applied(uint64_t revision,
                    std::optional<OtherChange> laterChange = std::nullopt) {
  CommandResult result;
  result.Outcome = CommandOutcome::Applied;
  result.Revision = revision;
  result.Other = std::move(laterChange);
  return done(std::move(result));
}

std::string joined(const std::vector<FieldError> &errors) {
  std::string out;
  for (const FieldError &error : errors)
    out += (out.empty() ? "" : "; ") + toString(error);
  return out;
}

OtherChange otherChange(const StoredObject &stored,
                        const edge::KvEntry &current) {
  OtherChange out;
  if (!stored.Trail.empty())
    out.Stamp = stored.Trail.front();
  out.Revision = current.ModRevision;
  if (stored.Object)
    out.Value = current.Value;
  return out;
}

} // namespace

CommandRun::CommandRun(Command command, std::optional<ReplicaEntry> base,
                       TimePoint deadline)
    : Requested(std::move(command)), Base(std::move(base)), Deadline(deadline) {
}

CommandStep CommandRun::begin() {
  uint64_t knownRevision = Base ? Base->Revision : 0;
  bool exists = Base && !Base->Deleted;
  bool isBaseCurrent = !Requested.ExpectedRevision ||
                       *Requested.ExpectedRevision == knownRevision ||
                       (*Requested.ExpectedRevision == 0 && !exists);
  // The operator's revision differs from this replica's: read the current one
  // from the service.
  return isBaseCurrent ? prepare() : read();
}

CommandStep CommandRun::prepare() {
  Error reason;
  if (Base) {
    std::optional<StoredObject> stored = decode(Base->Value, reason);
    if (!stored)
      return done(CommandOutcome::Refused, reason.Kind, reason.Detail);
    BaseObject = std::move(*stored);
  }
  StoredObject after = BaseObject;
  if (!Requested.Edit(after.Object, reason))
    return done(CommandOutcome::Refused, reason.Kind, reason.Detail);
  if (after.Object == BaseObject.Object)
    return done({CommandOutcome::Unchanged, Base ? Base->Revision : 0, {}, {}});
  if (after.Object) {
    std::vector<FieldError> errors = validate(*after.Object);
    if (keyOf(*after.Object) != Requested.Key)
      errors.push_back({"name", keyOf(*after.Object).Name, "keep the name"});
    if (!errors.empty())
      return done(CommandOutcome::Refused, ErrorKind::BadValue, joined(errors));
  }
  after.Trail.insert(after.Trail.begin(), {Requested.Id, Requested.Operator});
  after.Trail.resize(std::min(after.Trail.size(), MaxCommandTrail));
  after.Schema = std::max(after.Schema, SchemaVersion);
  EncodedValue = encodeStored(after);
  if (EncodedValue.size() > MaxValueBytes)
    return done(CommandOutcome::Refused, ErrorKind::BadValue,
                "object too large: shorten it");
  return commit();
}

CommandStep CommandRun::commit() {
  std::string key = toText(Requested.Key);
  CommandStep out;
  out.Action = CommandStep::Kind::Commit;
  out.Transaction.If.push_back(
      {key, edge::KvCompare::Target::ModRevision, Base ? Base->Revision : 0});
  out.Transaction.Then.push_back({key, EncodedValue, 0, false});
  out.Transaction.ReadOnFailure.push_back(key);
  return out;
}

CommandStep CommandRun::read() const {
  CommandStep out;
  out.Action = CommandStep::Kind::Read;
  out.Range.Begin = toText(Requested.Key);
  return out;
}

CommandStep CommandRun::onCommitted(const edge::KvTransactionResult &result,
                                    TimePoint now) {
  switch (result.Header.Status) {
  case edge::KvStatus::Ok:
    return applied(result.Header.Revision);
  case edge::KvStatus::CompareFailed:
    if (result.Current.empty())
      return done(CommandOutcome::Conflict, ErrorKind::Conflict,
                  "the object's key was deleted by hand in the key-value "
                  "service: create the object anew");
    return resolveOutcome(result.Current.front(), now);
  case edge::KvStatus::Unavailable:
    if (!MayBeApplied)
      return done(CommandOutcome::Unavailable, ErrorKind::ServiceUnavailable,
                  result.Header.Reason.Detail);
    return waitOrGiveUp(result.Header.Reason, now);
  case edge::KvStatus::Unknown:
    MayBeApplied = true;
    return now < Deadline ? read() : waitOrGiveUp(result.Header.Reason, now);
  }
  return {};
}

CommandStep CommandRun::onRead(const edge::KvRangeResult &result,
                               TimePoint now) {
  if (!MayBeApplied)
    return checkBase(result, now);
  if (result.Header.Status != edge::KvStatus::Ok)
    return waitOrGiveUp(result.Header.Reason, now);
  edge::KvEntry current;
  if (!result.Entries.empty())
    current = result.Entries.front();
  return resolveOutcome(current, now);
}

CommandStep CommandRun::onWaited() { return read(); }

CommandStep CommandRun::checkBase(const edge::KvRangeResult &result,
                                  TimePoint now) {
  if (result.Header.Status != edge::KvStatus::Ok || now >= Deadline)
    return done(CommandOutcome::Unavailable, ErrorKind::ServiceUnavailable,
                result.Header.Reason.Detail);
  edge::KvEntry current;
  if (!result.Entries.empty())
    current = result.Entries.front();
  Error reason;
  std::optional<StoredObject> stored;
  if (current.ModRevision != 0)
    stored = decode(current.Value, reason);
  bool exists = stored && stored->Object;
  if (*Requested.ExpectedRevision != (exists ? current.ModRevision : 0))
    return conflict(current);
  Base.reset();
  if (current.ModRevision != 0)
    Base =
        ReplicaEntry{current.Key, current.Value, current.ModRevision, !exists};
  return prepare();
}

CommandStep CommandRun::resolveOutcome(const edge::KvEntry &current,
                                       TimePoint now) {
  if (current.ModRevision == (Base ? Base->Revision : 0)) {
    // Not applied yet, but a lost write may still arrive. Resending the same
    // compare makes the result definite.
    Error noAnswer{ErrorKind::ServiceUnknown, "no answer to the write in time"};
    return now < Deadline ? commit() : waitOrGiveUp(noAnswer, now);
  }
  Error reason;
  std::optional<StoredObject> stored = decode(current.Value, reason);
  if (!stored && !MayBeApplied)
    return conflict(current);
  if (!stored)
    return done(CommandOutcome::Unknown, ErrorKind::ServiceUnknown,
                reason.Detail);
  auto ours = std::find_if(
      stored->Trail.begin(), stored->Trail.end(),
      [&](const CommandStamp &stamp) { return stamp.Command == Requested.Id; });
  if (ours != stored->Trail.end() && ours == stored->Trail.begin())
    return applied(current.ModRevision);
  if (ours != stored->Trail.end())
    return applied(0, otherChange(*stored, current));
  if (!MayBeApplied || trailCoversBase(*stored, current))
    return conflict(current);
  return done(CommandOutcome::Unknown, ErrorKind::ServiceUnknown,
              "the answer was lost, and the object has changed too often "
              "since to tell: look at the object");
}

bool CommandRun::trailCoversBase(const StoredObject &stored,
                                 const edge::KvEntry &current) const {
  if (current.Version <= stored.Trail.size())
    return true;
  if (BaseObject.Trail.empty())
    return false;
  return std::find(stored.Trail.begin(), stored.Trail.end(),
                   BaseObject.Trail.front()) != stored.Trail.end();
}

CommandStep CommandRun::conflict(const edge::KvEntry &current) const {
  CommandResult result;
  result.Outcome = CommandOutcome::Conflict;
  Error reason;
  StoredObject stored;
  if (std::optional<StoredObject> parsed = decode(current.Value, reason))
    stored = std::move(*parsed);
  result.Other = otherChange(stored, current);
  const std::string &by = result.Other->Stamp.Operator;
  result.Reason = {ErrorKind::Conflict,
                   (by.empty() ? "another writer" : "operator " + by) +
                       " changed " + toText(Requested.Key) + " at revision " +
                       std::to_string(current.ModRevision) +
                       ": look at it and issue the command again"};
  return done(std::move(result));
}

std::optional<StoredObject> CommandRun::decode(std::string_view value,
                                               Error &reason) const {
  return decodeStored(Requested.Key, value, reason);
}

CommandStep CommandRun::waitOrGiveUp(const Error &why, TimePoint now) {
  if (now >= Deadline)
    return done(CommandOutcome::Unknown, ErrorKind::ServiceUnknown,
                why.Detail + ": look at the object before issuing the command "
                             "again");
  CommandStep out;
  out.Action = CommandStep::Kind::Wait;
  out.Delay = InitialDelay * (1U << std::min(WaitCount++, MaxDoublings));
  return out;
}

} // namespace daisytack::control
