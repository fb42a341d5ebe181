#include "query/query_plan.h"

#include "base/request_id.h"
#include "query/schema.h"

#include <algorithm>
#include <set>

namespace daisytack::query {

namespace {

/// The text that a column must equal; nothing when the query doesn't say.
std::optional<std::string> wanted(const Query &query, std::string_view column) {
  size_t index = columnIndex(query.From, column);
  for (const Condition &it : query.Where) {
    const auto *text = std::get_if<std::string>(&it.Value);
    if (it.Column == index && it.Compare == Comparison::Equal && text)
      return *text;
  }
  return std::nullopt;
}

Member memberOf(const Server &server) {
  Member out;
  out.Name = server.Name;
  out.Role = MemberRole::Agent;
  out.State = server.State;
  out.Region = server.Region;
  out.FailureDomain = server.FailureDomain;
  out.Serves = server.Serves;
  out.IsService = server.IsService;
  out.Work = server.Work;
  out.Peer = server.Peer;
  return out;
}

/// Entries first: there are fewer, and they know every request.
std::vector<Member> allMembers(const Snapshot &snapshot) {
  std::vector<Member> out = snapshot.Entries;
  for (const Server &server : snapshot.Servers)
    if (server.State != MemberState::Gone)
      out.push_back(memberOf(server));
  return out;
}

template <class Keep> void keepIf(std::vector<Member> &members, Keep keep) {
  std::erase_if(members, [&](const Member &it) { return !keep(it); });
}

void narrow(const Query &query, QueryPlan &plan) {
  auto &members = plan.Instances;
  keepIf(members,
         [&](const Member &it) { return hasRows(query.From, it.Role); });
  if (auto instance = wanted(query, "instance"))
    keepIf(members, [&](const Member &it) { return it.Name == *instance; });
  if (auto server = wanted(query, "server"))
    keepIf(members, [&](const Member &it) {
      return it.Role == MemberRole::Entry || it.Name == *server;
    });
  if (auto model = wanted(query, "model"))
    keepIf(members, [&](const Member &it) {
      return it.Role == MemberRole::Entry || it.Serves == *model;
    });
}

/// One request: its entry, and later the servers that the entry names.
void narrowToRequest(const Query &query, const Snapshot &snapshot,
                     QueryPlan &plan) {
  if (!wanted(query, "request") || wanted(query, "instance"))
    return;
  std::optional<RequestId> id = requestOf(query);
  for (const Member &entry : snapshot.Entries)
    if (id && isMintedBy(*id, entry.Name))
      plan.RequestEntry = entry;
  keepIf(plan.Instances, [&](const Member &it) {
    return plan.RequestEntry && it.Name == plan.RequestEntry->Name;
  });
}

void skipToPage(const Query &query, std::vector<Member> &members) {
  if (query.After.empty())
    return;
  auto it = std::find_if(members.begin(), members.end(), [&](const Member &m) {
    return m.Name == query.After;
  });
  // An instance that has gone since leaves the page to start anew.
  if (it != members.end())
    members.erase(members.begin(), it + 1);
}

} // namespace

bool hasRows(TableName table, MemberRole role) {
  switch (table) {
  case TableName::Requests:
    return role == MemberRole::Entry;
  case TableName::Waiting:
  case TableName::Running:
  case TableName::Kept:
    return role == MemberRole::Agent;
  default:
    return true;
  }
}

std::optional<RequestId> requestOf(const Query &query) {
  auto text = wanted(query, "request");
  return text ? parseId128(*text) : std::nullopt;
}

Query eventsOfRequest(const RequestId &id) {
  Query out;
  out.From = TableName::Events;
  out.Where.push_back({columnIndex(TableName::Events, "request"),
                       Comparison::Equal, toHex(id)});
  return out;
}

QueryPlan planQuery(const Query &query, const Snapshot &snapshot) {
  QueryPlan out;
  out.Local = !isGathered(query.From);
  if (out.Local)
    return out;
  out.All = query.Count || query.OrderBy.has_value();
  out.Instances = allMembers(snapshot);
  narrow(query, out);
  narrowToRequest(query, snapshot, out);
  skipToPage(query, out.Instances);
  return out;
}

std::vector<Member> serversNamedBy(const Table &events,
                                   const Snapshot &snapshot) {
  size_t subject = columnIndex(TableName::Events, "subject");
  std::set<std::string> names;
  for (const auto &row : events.Rows)
    if (const auto *text = std::get_if<std::string>(&row[subject]))
      names.insert(*text);
  std::vector<Member> out;
  for (const std::string &name : names)
    if (const Server *server = snapshot.server(name))
      out.push_back(memberOf(*server));
  return out;
}

} // namespace daisytack::query
