#include "query/query_plan.h"

#include "base/request_id.h"
#include "query/schema.h"

#include <algorithm>
#include <set>

namespace daisytack::query {

namespace {

/// Returns the text that a column must equal, or nothing when the query has no
/// such condition.
std::optional<std::string> requiredValue(const Query &query,
                                         std::string_view column) {
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

/// Selects the processes that can have rows matching a query's conditions.
class Filter {
public:
  explicit Filter(const Query &query)
      : From(query.From), Instance(requiredValue(query, "instance")),
        Agent(requiredValue(query, "server")),
        Serves(requiredValue(query, "model")),
        SelectsRequest(!Instance && requiredValue(query, "request")),
        Request(requestOf(query)) {}

  bool selectsRequest() const { return SelectsRequest; }

  bool includes(const Member &entry) const {
    return hasRows(From, MemberRole::Entry) && isInstance(entry.Name) &&
           (!SelectsRequest || issuedRequestId(entry));
  }

  bool includes(const Server &agent) const {
    return agent.State != MemberState::Gone && !SelectsRequest &&
           hasRows(From, MemberRole::Agent) && isInstance(agent.Name) &&
           (!Agent || agent.Name == *Agent) &&
           (!Serves || agent.Serves == *Serves);
  }

  /// Returns true if the entry issued the identifier of the selected request.
  bool issuedRequestId(const Member &entry) const {
    return Request && isMintedBy(*Request, entry.Name);
  }

private:
  bool isInstance(std::string_view name) const {
    return !Instance || name == *Instance;
  }

  TableName From;
  std::optional<std::string> Instance;
  std::optional<std::string> Agent;
  std::optional<std::string> Serves;
  bool SelectsRequest;
  std::optional<RequestId> Request;
};

std::vector<Member> includedMembers(const Snapshot &snapshot,
                                    const Filter &filter) {
  std::vector<Member> out;
  for (const Member &entry : snapshot.Entries)
    if (filter.includes(entry))
      out.push_back(entry);
  for (const Server &server : snapshot.Servers)
    if (filter.includes(server))
      out.push_back(memberOf(server));
  return out;
}

} // namespace

void selectPage(const Query &query, std::vector<Member> &instances) {
  std::sort(instances.begin(), instances.end(),
            [](const Member &a, const Member &b) { return a.Name < b.Name; });
  std::erase_if(instances,
                [&](const Member &it) { return it.Name <= query.After; });
}

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
  auto text = requiredValue(query, "request");
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
  out.AnsweredLocally = !isGathered(query.From);
  if (out.AnsweredLocally)
    return out;
  out.NeedsAllInstances = query.Count || query.OrderBy.has_value();
  Filter filter(query);
  out.Instances = includedMembers(snapshot, filter);
  for (const Member &entry : snapshot.Entries)
    if (filter.selectsRequest() && filter.issuedRequestId(entry))
      out.RequestEntry = entry;
  selectPage(query, out.Instances);
  return out;
}

std::vector<Member> serversInEvents(const Table &events,
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
