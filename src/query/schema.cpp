#include "query/schema.h"

#include <algorithm>

namespace daisytack::query {

namespace {

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
    {"age", CellType::Duration},
    {"remaining", CellType::Duration},
    {"prompt_tokens", CellType::Integer},
    {"generated_tokens", CellType::Integer}};

const std::vector<Column> KeptColumns{
    {"instance", CellType::Text}, {"organisation", CellType::Text},
    {"class", CellType::Text},    {"model", CellType::Text},
    {"version", CellType::Text},  {"pieces", CellType::Integer},
    {"bytes", CellType::Bytes},   {"hits", CellType::Integer},
    {"age", CellType::Duration}};

const std::vector<Column> RefusedColumns{
    {"instance", CellType::Text},     {"request", CellType::Text},
    {"kind", CellType::Text},         {"outcome", CellType::Text},
    {"organisation", CellType::Text}, {"class", CellType::Text},
    {"model", CellType::Text},        {"age", CellType::Duration}};

const std::vector<Column> ServerColumns{
    {"server", CellType::Text},         {"serves", CellType::Text},
    {"service", CellType::Flag},        {"state", CellType::Text},
    {"drained", CellType::Flag},        {"ejected", CellType::Flag},
    {"version", CellType::Text},        {"region", CellType::Text},
    {"failure_domain", CellType::Text}, {"wait", CellType::Duration},
    {"running", CellType::Integer},     {"waiting", CellType::Integer},
    {"heard", CellType::Duration},      {"work", CellType::Text}};

const std::vector<Column> OrganisationColumns{
    {"organisation", CellType::Text},
    {"weight", CellType::Integer},
    {"requests_per_second", CellType::Number},
    {"burst", CellType::Integer},
    {"max_concurrent", CellType::Integer},
    {"kept_bytes", CellType::Bytes},
    {"reuse", CellType::Flag},
    {"keep_for", CellType::Duration},
    {"epoch", CellType::Integer}};

const std::vector<Column> ClassColumns{
    {"class", CellType::Text},        {"priority", CellType::Integer},
    {"deadline", CellType::Duration}, {"idempotent", CellType::Flag},
    {"keep", CellType::Text},         {"release_at", CellType::Time}};

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

} // namespace daisytack::query
