#include "query/schema.h"

#include "control/object_codec.h"

#include <algorithm>
#include <array>
#include <unordered_map>

namespace daisytack::query {

namespace {

constexpr std::string_view KeyHashField = "key_hash";
constexpr std::string_view HiddenText = "(hidden)";

const std::vector<Column> RequestColumns{
    {"instance", CellType::Text},
    {"request", CellType::Text},
    {"state", CellType::Text},
    {"organisation", CellType::Text},
    {"class", CellType::Text},
    {"model", CellType::Text},
    {"version", CellType::Text},
    {"server", CellType::Text},
    {"attempt", CellType::Integer},
    {"priority", CellType::Integer},
    {"age", CellType::Span},
    {"remaining", CellType::Span},
    {"prompt_tokens", CellType::Integer},
    {"generated_tokens", CellType::Integer}};

const std::vector<Column> KeptColumns{
    {"instance", CellType::Text}, {"organisation", CellType::Text},
    {"class", CellType::Text},    {"model", CellType::Text},
    {"version", CellType::Text},  {"pieces", CellType::Integer},
    {"bytes", CellType::Bytes},   {"hits", CellType::Integer},
    {"age", CellType::Span}};

const std::vector<Column> RefusedColumns{
    {"instance", CellType::Text},     {"request", CellType::Text},
    {"kind", CellType::Text},         {"outcome", CellType::Text},
    {"organisation", CellType::Text}, {"class", CellType::Text},
    {"model", CellType::Text},        {"age", CellType::Span}};

const std::vector<Column> ServerColumns{
    {"server", CellType::Text},         {"serves", CellType::Text},
    {"service", CellType::Flag},        {"state", CellType::Text},
    {"drained", CellType::Flag},        {"ejected", CellType::Flag},
    {"version", CellType::Text},        {"region", CellType::Text},
    {"failure_domain", CellType::Text}, {"wait", CellType::Span},
    {"running", CellType::Integer},     {"waiting", CellType::Integer},
    {"heard", CellType::Span},          {"work", CellType::Text}};

const std::vector<Column> OrganisationColumns{
    {"organisation", CellType::Text},
    {"weight", CellType::Integer},
    {"requests_per_second", CellType::Number},
    {"burst", CellType::Integer},
    {"max_concurrent", CellType::Integer},
    {"kept_bytes", CellType::Bytes},
    {"reuse", CellType::Flag},
    {"keep_for", CellType::Span},
    {"epoch", CellType::Integer}};

const std::vector<Column> ClassColumns{
    {"class", CellType::Text},    {"priority", CellType::Integer},
    {"deadline", CellType::Span}, {"idempotent", CellType::Flag},
    {"keep", CellType::Text},     {"release_at", CellType::Time}};

const std::vector<Column> VersionColumns{
    {"model", CellType::Text},      {"version", CellType::Text},
    {"adapter", CellType::Text},    {"min_servers", CellType::Integer},
    {"servers", CellType::Integer}, {"on_version", CellType::Integer},
    {"on_other", CellType::Integer}};

const std::vector<Column> MemberColumns{
    {"instance", CellType::Text}, {"role", CellType::Text},
    {"state", CellType::Text},    {"serves", CellType::Text},
    {"region", CellType::Text},   {"failure_domain", CellType::Text},
    {"work", CellType::Text},     {"peer", CellType::Text}};

const std::vector<Column> ConfigColumns{{"kind", CellType::Text},
                                        {"name", CellType::Text},
                                        {"field", CellType::Text},
                                        {"value", CellType::Text}};

const std::vector<Column> EventColumns{
    {"instance", CellType::Text},   {"sequence", CellType::Integer},
    {"at", CellType::Time},         {"logical", CellType::Integer},
    {"event", CellType::Text},      {"request", CellType::Text},
    {"attempt", CellType::Integer}, {"reason", CellType::Text},
    {"subject", CellType::Text},    {"score0", CellType::Integer},
    {"score1", CellType::Integer},  {"score2", CellType::Integer},
    {"score3", CellType::Integer}};

/// Unknown texts are empty in rows.
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
  constexpr std::array<std::string_view, 3> names{"live", "leaving", "gone"};
  return names[static_cast<size_t>(state)];
}

std::string_view keepName(KeepRule keep) {
  constexpr std::array<std::string_view, 3> names{"never", "second_sight",
                                                  "always"};
  return names[static_cast<size_t>(keep)];
}

using HeardRows = std::unordered_map<std::string_view, const ServerRow *>;

/// What was heard of each server, by its name.
HeardRows heardRows(std::span<const ServerRow> known) {
  HeardRows out;
  for (const ServerRow &row : known)
    out[row.Name] = &row;
  return out;
}

/// Defaults for a server that never answered here.
const ServerRow &heardOf(const HeardRows &heard, std::string_view name) {
  static const ServerRow silent;
  auto it = heard.find(name);
  return it == heard.end() ? silent : *it->second;
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

/// Overrides are no table of the snapshot: they show in its servers.
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

const std::vector<Column> &columnsOf(TableName table) {
  switch (table) {
  case TableName::Requests:
  case TableName::Waiting:
  case TableName::Running:
    return RequestColumns;
  case TableName::Kept:
    return KeptColumns;
  case TableName::Refused:
    return RefusedColumns;
  case TableName::Servers:
    return ServerColumns;
  case TableName::Organisations:
    return OrganisationColumns;
  case TableName::Classes:
    return ClassColumns;
  case TableName::Versions:
    return VersionColumns;
  case TableName::Members:
    return MemberColumns;
  case TableName::Config:
    return ConfigColumns;
  case TableName::Events:
    return EventColumns;
  }
  return RequestColumns;
}

size_t columnIndex(TableName table, std::string_view name) {
  const auto &columns = columnsOf(table);
  auto it = std::find_if(columns.begin(), columns.end(),
                         [&](const Column &c) { return c.Name == name; });
  return static_cast<size_t>(it - columns.begin());
}

bool isGathered(TableName table) {
  switch (table) {
  case TableName::Requests:
  case TableName::Waiting:
  case TableName::Running:
  case TableName::Kept:
  case TableName::Refused:
  case TableName::Events:
    return true;
  default:
    return false;
  }
}

Table requestTable(TableName which, std::string_view instance,
                   std::span<const RequestRow> rows) {
  Table out{RequestColumns, {}};
  for (const RequestRow &it : rows)
    if (isOfState(which, it))
      out.Rows.push_back(
          {std::string(instance), idCell(it.Request),
           std::string(requestStateName(it.State)), textCell(it.Organisation),
           textCell(it.Class), textCell(it.Model), textCell(it.Version),
           textCell(it.Server), integerCell(it.Try), integerCell(it.Priority),
           it.Age, it.Remaining, integerCell(it.PromptTokens),
           integerCell(it.GeneratedTokens)});
  return out;
}

Table refusedTable(std::string_view instance,
                   std::span<const RefusalRow> rows) {
  Table out{RefusedColumns, {}};
  for (const RefusalRow &it : rows)
    out.Rows.push_back({std::string(instance), idCell(it.Request),
                        std::string(errorName(it.Kind)),
                        std::string(outcomeName(it.Ran)),
                        textCell(it.Organisation), textCell(it.Class),
                        textCell(it.Model), it.Age});
  return out;
}

Table keptTable(std::string_view instance, std::span<const KeptRow> rows) {
  Table out{KeptColumns, {}};
  for (const KeptRow &it : rows)
    out.Rows.push_back(
        {std::string(instance), textCell(it.Organisation), textCell(it.Class),
         textCell(it.Model), textCell(it.Version), integerCell(it.Pieces),
         integerCell(it.Bytes), integerCell(it.Hits), optionalCell(it.Age)});
  return out;
}

Table eventTable(std::string_view instance, uint64_t sequence,
                 std::span<const Event> events) {
  Table out{EventColumns, {}};
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
                          integerCell(it.Try),
                          reason,
                          textCell(it.Subject)};
    for (int64_t score : it.Scores)
      row.emplace_back(score);
    out.Rows.push_back(std::move(row));
  }
  return out;
}

Table serverTable(const Snapshot &snapshot, std::span<const ServerRow> known) {
  Table out{ServerColumns, {}};
  HeardRows heard = heardRows(known);
  for (const Server &it : snapshot.Servers) {
    const ServerRow &row = heardOf(heard, it.Name);
    out.Rows.push_back({it.Name, textCell(it.Serves), it.IsService,
                        std::string(stateName(it.State)), it.Drained,
                        row.Ejected, textCell(row.Version), textCell(it.Region),
                        textCell(it.FailureDomain), optionalCell(row.Wait),
                        optionalCell(row.Running), optionalCell(row.Waiting),
                        optionalCell(row.Heard), endpointCell(it.Work)});
  }
  return out;
}

Table organisationTable(const Snapshot &snapshot) {
  Table out{OrganisationColumns, {}};
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
  Table out{ClassColumns, {}};
  for (const RequestClass &it : snapshot.Classes)
    out.Rows.push_back({it.Name, integerCell(it.Priority), it.Deadline,
                        it.Idempotent, std::string(keepName(it.Keep)),
                        optionalCell(it.ReleaseAt)});
  return out;
}

Table versionTable(const Snapshot &snapshot, std::span<const ServerRow> known) {
  HeardRows heard = heardRows(known);
  Table out{VersionColumns, {}};
  for (const Model &model : snapshot.Models) {
    int64_t all = 0;
    int64_t same = 0;
    int64_t other = 0;
    for (const Server &server : snapshot.Servers) {
      if (server.IsService || server.Serves != model.Name)
        continue;
      ++all;
      const std::string &version = heardOf(heard, server.Name).Version;
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
  Table out{MemberColumns, {}};
  for (const Member &it : snapshot.Entries)
    out.Rows.push_back(memberRow(it));
  for (const Server &it : snapshot.Servers)
    out.Rows.push_back(memberRow(it));
  return out;
}

Table configTable(const Snapshot &snapshot, OperatorRole role) {
  Table out{ConfigColumns, {}};
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
