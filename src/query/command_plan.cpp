#include "query/command_plan.h"

#include "base/digest.h"

#include <algorithm>

namespace daisytack::query {

namespace {

using control::ObjectKey;
using control::ObjectKind;
using Changes = std::optional<std::vector<control::Command>>;

constexpr std::string_view EpochField = "epoch";
constexpr std::string_view AnyClass = "*";

bool refuse(Error &reason, ErrorKind kind, std::string detail) {
  reason = {kind, std::move(detail), {}};
  return false;
}

std::string quoted(std::string_view name) {
  return "'" + std::string(name) + "'";
}

/// Returns the highest epoch of an organisation's policies. A new policy must
/// not start below it, or purged context could be reused.
uint32_t highestEpoch(const Snapshot &snapshot, std::string_view organisation) {
  uint32_t out = 0;
  for (const ReusePolicy &it : snapshot.Policies)
    if (it.Organisation == organisation)
      out = std::max(out, it.Epoch);
  return out;
}

bool setFields(ConfigObject &object,
               const std::vector<control::FieldText> &fields, Error &reason) {
  for (const control::FieldText &it : fields) {
    control::FieldError fieldError;
    if (!control::setField(object, it.Field, it.Value, fieldError))
      return refuse(reason, ErrorKind::BadValue, control::toString(fieldError));
  }
  return true;
}

/// Plans each kind of command against a snapshot.
class Planner {
public:
  Planner(const Snapshot &snapshot, const CommandContext &context,
          Error &reason)
      : CurrentSnapshot(snapshot), Context(context), Reason(reason) {}

  Changes operator()(const DrainServer &it) {
    if (!CurrentSnapshot.server(it.Server))
      return notFound("server", it.Server, "show servers");
    ObjectKey key{ObjectKind::ServerOverride, it.Server};
    return singleChange(
        key, [it, key](std::optional<ConfigObject> &object, Error &) {
          if (!object)
            object = control::defaultObject(key);
          std::get<ServerOverride>(*object).Drained = it.Drained;
          return true;
        });
  }

  Changes operator()(const SwapModel &it) {
    if (!CurrentSnapshot.model(it.Model))
      return notFound("model", it.Model, "show versions");
    auto edit = [it](std::optional<ConfigObject> &object, Error &reason) {
      if (!object)
        return refuse(reason, ErrorKind::NotFound,
                      "model " + quoted(it.Model) + " was deleted");
      auto &model = std::get<Model>(*object);
      model.Version = it.Version;
      model.Adapter = it.Adapter.value_or(model.Adapter);
      return true;
    };
    return singleChange({ObjectKind::Model, it.Model}, edit);
  }

  Changes operator()(const StopRequests &) {
    return std::vector<control::Command>{};
  }

  Changes operator()(const SetObject &it) {
    if (!checkSettable(it))
      return std::nullopt;
    uint32_t epoch = 0;
    if (it.Key.Kind == ObjectKind::ReusePolicy)
      epoch = highestEpoch(CurrentSnapshot, organisationOf(it.Key));
    auto edit = [it, epoch](std::optional<ConfigObject> &object,
                            Error &reason) {
      if (object && it.MustBeNew)
        return refuse(reason, ErrorKind::Conflict,
                      quoted(it.Key.Name) + " exists; use set to change it");
      if (!object) {
        object = control::defaultObject(it.Key);
        if (auto *policy = std::get_if<ReusePolicy>(&*object))
          policy->Epoch = epoch;
      }
      return setFields(*object, it.Fields, reason);
    };
    return singleChange(it.Key, edit);
  }

  Changes operator()(const DeleteObject &it) {
    bool isPolicy = it.Key.Kind == ObjectKind::ReusePolicy;
    if (isPolicy && highestEpoch(CurrentSnapshot, organisationOf(it.Key)) > 0 &&
        it.Key.Name.ends_with(AnyClass)) {
      refuse(Reason, ErrorKind::Forbidden,
             "this policy keeps purged context from coming back; set its "
             "fields instead");
      return std::nullopt;
    }
    return singleChange(
        it.Key, [it](std::optional<ConfigObject> &object, Error &reason) {
          if (!object)
            return refuse(reason, ErrorKind::NotFound,
                          quoted(it.Key.Name) + " doesn't exist");
          object.reset();
          return true;
        });
  }

  Changes operator()(const ReleaseClass &it) {
    if (!hasClass(it.Class))
      return notFound("class", it.Class, "show classes");
    std::optional<WallTime> at = releaseTime(it);
    return singleChange(
        {ObjectKind::RequestClass, it.Class},
        [it, at](std::optional<ConfigObject> &object, Error &reason) {
          if (!object)
            return refuse(reason, ErrorKind::NotFound,
                          "class " + quoted(it.Class) + " was deleted");
          std::get<RequestClass>(*object).ReleaseAt = at;
          return true;
        });
  }

  /// Raises all policies of the organisation to the highest epoch plus one.
  /// Creates the policy for all classes when it doesn't exist: it can't be
  /// deleted afterwards, so it keeps the epoch when other policies are deleted.
  Changes operator()(const PurgeContext &it) {
    if (!CurrentSnapshot.organisation(it.Organisation))
      return notFound("organisation", it.Organisation, "show organisations");
    uint32_t epoch = highestEpoch(CurrentSnapshot, it.Organisation) + 1;
    std::vector<std::string> classes{std::string(AnyClass)};
    for (const ReusePolicy &policy : CurrentSnapshot.Policies)
      if (policy.Organisation == it.Organisation && policy.Class != AnyClass)
        classes.push_back(policy.Class);
    std::vector<control::Command> out;
    out.reserve(classes.size());
    for (const std::string &name : classes)
      out.push_back(raiseEpoch(it.Organisation + ":" + name, epoch));
    return out;
  }

private:
  Changes singleChange(ObjectKey key, control::ObjectEdit edit) const {
    return std::vector<control::Command>{
        command(std::move(key), std::move(edit))};
  }

  control::Command command(ObjectKey key, control::ObjectEdit edit) const {
    control::Command out;
    out.Id = randomId(Context.Random);
    out.Operator = Context.Operator;
    out.Key = std::move(key);
    out.Edit = std::move(edit);
    return out;
  }

  control::Command raiseEpoch(const std::string &policyName,
                              uint32_t epoch) const {
    ObjectKey key{ObjectKind::ReusePolicy, policyName};
    return command(key,
                   [key, epoch](std::optional<ConfigObject> &object, Error &) {
                     if (!object)
                       object = control::defaultObject(key);
                     auto &policy = std::get<ReusePolicy>(*object);
                     policy.Epoch = std::max(policy.Epoch + 1, epoch);
                     return true;
                   });
  }

  Changes notFound(std::string_view kind, std::string_view name,
                   std::string_view query) {
    refuse(Reason, ErrorKind::NotFound,
           "no " + std::string(kind) + " " + quoted(name) + "; see '" +
               std::string(query) + "'");
    return std::nullopt;
  }

  /// Rejects changes of the epoch, which must only increase and is changed by
  /// "purge" alone.
  bool checkSettable(const SetObject &it) {
    bool setsEpoch =
        it.Key.Kind == ObjectKind::ReusePolicy &&
        std::any_of(it.Fields.begin(), it.Fields.end(),
                    [](const auto &f) { return f.Field == EpochField; });
    return !setsEpoch || refuse(Reason, ErrorKind::Forbidden,
                                "the epoch is raised by 'purge' alone");
  }

  bool hasClass(std::string_view name) const {
    return std::any_of(CurrentSnapshot.Classes.begin(),
                       CurrentSnapshot.Classes.end(),
                       [&](const auto &it) { return it.Name == name; });
  }

  std::optional<WallTime> releaseTime(const ReleaseClass &it) const {
    switch (it.Kind) {
    case ReleaseClass::When::At:
      return it.At;
    case ReleaseClass::When::In:
      return Context.Now + it.In;
    case ReleaseClass::When::Now:
      return Context.Now;
    case ReleaseClass::When::Never:
      return std::nullopt;
    }
    return std::nullopt;
  }

  static std::string_view organisationOf(const ObjectKey &policy) {
    return std::string_view(policy.Name).substr(0, policy.Name.find(':'));
  }

  const Snapshot &CurrentSnapshot;
  const CommandContext &Context;
  Error &Reason;
};

} // namespace

std::optional<std::vector<control::Command>>
planCommand(const OperatorCommand &command, const Snapshot &snapshot,
            const CommandContext &context, Error &reason) {
  return std::visit(Planner(snapshot, context, reason), command);
}

} // namespace daisytack::query
