#include "query/schema.h"

#include "control/object_codec.h"

#include <array>
#include <unordered_map>

namespace daisytack::query {

namespace {

constexpr std::string_view KeyHashField = "key_hash";
constexpr std::string_view HiddenText = "(hidden)";

/// Rows hold an empty string for an unknown text.
Cell textCell(std::string_view text) {
  if (text.empty())
    return {};
  return std::string(text);
}

Cell idCell(const RequestId &id) {
  return id.isValid() ? Cell(toHex(id)) : Cell();
}

Cell endpointCell(const Endpoint &endpoint) {
  return endpoint.isValid() ? Cell(toString(endpoint)) : Cell();
}

template <class T> Cell integerCell(T n) { return static_cast<int64_t>(n); }

template <class T> Cell optionalCell(const std::optional<T> &value) {
  if (!value)
    return {};
  if constexpr (std::is_integral_v<T>)
    return integerCell(*value);
  else
    return *value;
}

std::string_view roleName(MemberRole role) {
  return role == MemberRole::Entry ? "entry" : "agent";
}

std::string_view stateName(MemberState state) {
  constexpr std::array<std::string_view, 3> Names{"live", "leaving", "gone"};
  return Names[static_cast<size_t>(state)];
}

std::string_view keepName(KeepRule keep) {
  constexpr std::array<std::string_view, 3> Names{"never", "second_sight",
                                                  "always"};
  return Names[static_cast<size_t>(keep)];
}

using ServerRowsByName =
    std::unordered_map<std::string_view, const ServerRow *>;

ServerRowsByName indexByName(std::span<const ServerRow> rows) {
  ServerRowsByName out;
  for (const ServerRow &row : rows)
    out[row.Name] = &row;
  return out;
}

/// Returns the row of a server, or a row of unknown values when this process
/// has no report from it.
const ServerRow &findServerRow(const ServerRowsByName &byName,
                               std::string_view name) {
  static const ServerRow Unreported;
  auto it = byName.find(name);
  return it == byName.end() ? Unreported : *it->second;
}

bool isOfState(TableName which, const RequestRow &row) {
  if (which == TableName::Waiting)
    return row.State == RequestState::Waiting;
  if (which == TableName::Running)
    return row.State == RequestState::Running;
  return true;
}

std::vector<Cell> configRow(const control::ObjectKey &key,
                            const control::FieldText &field) {
  bool isHidden = field.Field == KeyHashField && !field.Value.empty();
  return {std::string(control::objectKindName(key.Kind)), key.Name, field.Field,
          isHidden ? std::string(HiddenText) : field.Value};
}

template <class T> void addConfig(Table &out, const std::vector<T> &objects) {
  for (const T &object : objects) {
    ConfigObject any = object;
    control::ObjectKey key = control::keyOf(any);
    for (const control::FieldText &field : control::fieldsOf(any))
      out.Rows.push_back(configRow(key, field));
  }
}

/// Adds server overrides, which the snapshot stores as fields of its servers.
void addServerConfig(Table &out, const Snapshot &snapshot) {
  for (const Server &it : snapshot.Servers)
    if (it.Drained || it.ChecksFencing)
      addConfig(out, std::vector<ServerOverride>{
                         {it.Name, it.Drained, it.ChecksFencing}});
}

std::vector<Cell> memberRow(const Server &it) {
  return {it.Name,
          std::string(roleName(MemberRole::Agent)),
          std::string(stateName(it.State)),
          textCell(it.Serves),
          textCell(it.Region),
          textCell(it.FailureDomain),
          endpointCell(it.Work),
          endpointCell(it.Peer)};
}

std::vector<Cell> memberRow(const Member &it) {
  return {it.Name,
          std::string(roleName(it.Role)),
          std::string(stateName(it.State)),
          textCell(it.Serves),
          textCell(it.Region),
          textCell(it.FailureDomain),
          endpointCell(it.Work),
          endpointCell(it.Peer)};
}

} // namespace

Table requestTable(TableName which, std::string_view instance,
                   std::span<const RequestRow> rows) {
  Table out{columnsOf(TableName::Requests), {}};
  for (const RequestRow &it : rows)
    if (isOfState(which, it))
      out.Rows.push_back(
          {std::string(instance), idCell(it.Request),
           std::string(requestStateName(it.State)), textCell(it.Organisation),
           textCell(it.Class), textCell(it.Model), textCell(it.Version),
           textCell(it.Server), integerCell(it.AttemptNumber),
           integerCell(it.Priority), it.Age, it.Remaining,
           integerCell(it.PromptTokens), integerCell(it.GeneratedTokens)});
  return out;
}

Table refusedTable(std::string_view instance,
                   std::span<const RefusalRow> rows) {
  Table out{columnsOf(TableName::Refused), {}};
  for (const RefusalRow &it : rows)
    out.Rows.push_back({std::string(instance), idCell(it.Request),
                        std::string(errorName(it.Kind)),
                        std::string(outcomeName(it.RunOutcome)),
                        textCell(it.Organisation), textCell(it.Class),
                        textCell(it.Model), it.Age});
  return out;
}

Table keptTable(std::string_view instance, std::span<const KeptRow> rows) {
  Table out{columnsOf(TableName::Kept), {}};
  for (const KeptRow &it : rows)
    out.Rows.push_back(
        {std::string(instance), textCell(it.Organisation), textCell(it.Class),
         textCell(it.Model), textCell(it.Version), integerCell(it.Pieces),
         integerCell(it.Bytes), integerCell(it.Hits), optionalCell(it.Age)});
  return out;
}

Table eventTable(std::string_view instance, uint64_t sequence,
                 std::span<const Event> events) {
  Table out{columnsOf(TableName::Events), {}};
  for (const Event &it : events) {
    Cell reason = it.Reason == ErrorKind::None
                      ? Cell()
                      : Cell(std::string(errorName(it.Reason)));
    std::vector<Cell> row{std::string(instance),
                          integerCell(sequence++),
                          WallTime(Duration(it.At.Wall)),
                          integerCell(it.At.Logical),
                          std::string(eventName(it.Kind)),
                          idCell(it.Request),
                          integerCell(it.AttemptNumber),
                          reason,
                          textCell(it.Subject)};
    for (int64_t score : it.Scores)
      row.emplace_back(score);
    out.Rows.push_back(std::move(row));
  }
  return out;
}

Table serverTable(const Snapshot &snapshot, std::span<const ServerRow> rows) {
  Table out{columnsOf(TableName::Servers), {}};
  ServerRowsByName byName = indexByName(rows);
  for (const Server &it : snapshot.Servers) {
    const ServerRow &row = findServerRow(byName, it.Name);
    out.Rows.push_back({it.Name, textCell(it.Serves), it.IsService,
                        std::string(stateName(it.State)), it.Drained,
                        row.Ejected, textCell(row.Version), textCell(it.Region),
                        textCell(it.FailureDomain),
                        optionalCell(row.PredictedWait),
                        optionalCell(row.Running), optionalCell(row.Waiting),
                        optionalCell(row.ReportAge), endpointCell(it.Work)});
  }
  return out;
}

Table organisationTable(const Snapshot &snapshot) {
  Table out{columnsOf(TableName::Organisations), {}};
  for (const Organisation &it : snapshot.Organisations) {
    ReusePolicy policy = snapshot.policy(it.Name, "*");
    out.Rows.push_back({it.Name, integerCell(it.Weight), it.RequestsPerSecond,
                        integerCell(it.Burst), integerCell(it.MaxConcurrent),
                        integerCell(it.KeptBytes), policy.Reuse, policy.KeepFor,
                        integerCell(policy.Epoch)});
  }
  return out;
}

Table classTable(const Snapshot &snapshot) {
  Table out{columnsOf(TableName::Classes), {}};
  for (const RequestClass &it : snapshot.Classes)
    out.Rows.push_back({it.Name, integerCell(it.Priority), it.Deadline,
                        it.Idempotent, std::string(keepName(it.Keep)),
                        optionalCell(it.ReleaseAt)});
  return out;
}

Table versionTable(const Snapshot &snapshot, std::span<const ServerRow> rows) {
  ServerRowsByName byName = indexByName(rows);
  Table out{columnsOf(TableName::Versions), {}};
  for (const Model &model : snapshot.Models) {
    int64_t all = 0;
    int64_t same = 0;
    int64_t other = 0;
    for (const Server &server : snapshot.Servers) {
      if (server.IsService || server.Serves != model.Name)
        continue;
      ++all;
      const std::string &version = findServerRow(byName, server.Name).Version;
      if (version.empty())
        continue;
      same += version == model.Version ? 1 : 0;
      other += version == model.Version ? 0 : 1;
    }
    out.Rows.push_back({model.Name, textCell(model.Version),
                        textCell(model.Adapter), integerCell(model.MinServers),
                        all, same, other});
  }
  return out;
}

Table memberTable(const Snapshot &snapshot) {
  Table out{columnsOf(TableName::Members), {}};
  for (const Member &it : snapshot.Entries)
    out.Rows.push_back(memberRow(it));
  for (const Server &it : snapshot.Servers)
    out.Rows.push_back(memberRow(it));
  return out;
}

Table configTable(const Snapshot &snapshot, OperatorRole role) {
  Table out{columnsOf(TableName::Config), {}};
  addConfig(out, snapshot.Organisations);
  addConfig(out, snapshot.Models);
  addConfig(out, snapshot.Classes);
  addConfig(out, snapshot.Policies);
  addConfig(out, snapshot.Services);
  addServerConfig(out, snapshot);
  if (role == OperatorRole::Administrator)
    addConfig(out, snapshot.Operators);
  return out;
}

} // namespace daisytack::query
