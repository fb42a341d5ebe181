#include "control/snapshot_builder.h"

#include "base/digest.h"

#include <algorithm>

namespace daisytack::control {

namespace {

/// The snapshot's table for objects of one type.
std::vector<Organisation> &tableOf(Snapshot &to, const Organisation &) {
  return to.Organisations;
}
std::vector<Model> &tableOf(Snapshot &to, const Model &) { return to.Models; }
std::vector<RequestClass> &tableOf(Snapshot &to, const RequestClass &) {
  return to.Classes;
}
std::vector<ReusePolicy> &tableOf(Snapshot &to, const ReusePolicy &) {
  return to.Policies;
}
std::vector<PlainService> &tableOf(Snapshot &to, const PlainService &) {
  return to.Services;
}
std::vector<OperatorAccount> &tableOf(Snapshot &to, const OperatorAccount &) {
  return to.Operators;
}

Server serverOf(const Member &member) {
  Server out;
  out.Name = member.Name;
  out.Serves = member.Serves;
  out.Region = member.Region;
  out.FailureDomain = member.FailureDomain;
  out.Work = member.Work;
  out.Peer = member.Peer;
  out.NameHash = hashName(member.Name);
  out.State = member.State;
  out.IsService = member.IsService;
  return out;
}

} // namespace

bool SnapshotBuilder::applyConfig(std::string_view key, std::string_view json,
                                  Error &reason) {
  std::optional<ObjectKey> parsed = parseObjectKey(key, reason);
  if (!parsed)
    return false;
  if (json.empty()) {
    Objects.erase(*parsed);
    return true;
  }
  std::optional<StoredObject> stored = decodeStored(*parsed, json, reason);
  if (!stored)
    return false;
  if (stored->Object)
    Objects[*parsed] = std::move(*stored->Object);
  else
    Objects.erase(*parsed);
  return true;
}

bool SnapshotBuilder::applyMember(const Member &member) {
  if (member.State == MemberState::Gone)
    return removeMember(member.Name);
  auto [it, added] = Members.try_emplace(member.Name, member);
  if (!added && it->second == member)
    return false;
  it->second = member;
  return true;
}

bool SnapshotBuilder::removeMember(const std::string &name) {
  return Members.erase(name) != 0;
}

std::shared_ptr<const Snapshot>
SnapshotBuilder::build(uint64_t configRevision, uint64_t memberVersion) const {
  auto out = std::make_shared<Snapshot>();
  out->ConfigRevision = configRevision;
  out->MemberVersion = memberVersion;
  for (const auto &[name, member] : Members) {
    if (member.Role == MemberRole::Agent)
      out->Servers.push_back(serverOf(member));
    else if (member.State == MemberState::Live)
      out->Entries.push_back(member);
  }
  // Members are sorted by name and thus also the servers, as the binary search
  // in applyOverride requires.
  for (const auto &[key, object] : Objects)
    std::visit(
        [&](const auto &o) {
          if constexpr (requires { o.ChecksFencing; })
            applyOverride(o, *out);
          else
            tableOf(*out, o).push_back(o);
        },
        object);
  out->finish();
  return out;
}

void SnapshotBuilder::applyOverride(const ServerOverride &setting,
                                    Snapshot &to) {
  auto it = std::lower_bound(
      to.Servers.begin(), to.Servers.end(), setting.Name,
      [](const Server &row, const std::string &n) { return row.Name < n; });
  if (it == to.Servers.end() || it->Name != setting.Name)
    return;
  it->Drained = setting.Drained;
  it->ChecksFencing = setting.ChecksFencing;
}

} // namespace daisytack::control
