#include "runtime/operator_view.h"

#include "query/query_executor.h"
#include "query/schema.h"

namespace daisytack::runtime {

namespace {

using query::TableName;

template <class Row>
std::vector<Row> rowsOf(const std::function<std::vector<Row>()> &hook) {
  return hook ? hook() : std::vector<Row>{};
}

} // namespace

query::Answer OperatorView::answer(const query::Query &query,
                                   OperatorRole role) const {
  query::Answer out;
  out.Rows = query::execute(query, rows(query, role), &out.Truncated);
  out.Queried = 1;
  out.Answered = 1;
  if (query.From == TableName::Events)
    out.Gaps = gaps();
  return out;
}

query::Table OperatorView::rows(const query::Query &query,
                                OperatorRole role) const {
  auto snapshot = Init.Control.Snapshots();
  const OperatorHooks &hooks = Init.Hooks;
  switch (query.From) {
  case TableName::Requests:
  case TableName::Waiting:
  case TableName::Running:
    return query::requestTable(query.From, Init.Instance,
                               rowsOf(hooks.Requests));
  case TableName::Kept:
    return query::keptTable(Init.Instance, rowsOf(hooks.Kept));
  case TableName::Refused:
    return query::refusedTable(Init.Instance, rowsOf(hooks.Refusals));
  case TableName::Servers:
    return query::serverTable(*snapshot, rowsOf(hooks.Servers));
  case TableName::Organisations:
    return query::organisationTable(*snapshot);
  case TableName::Classes:
    return query::classTable(*snapshot);
  case TableName::Versions:
    return query::versionTable(*snapshot, rowsOf(hooks.Servers));
  case TableName::Members:
    return query::memberTable(*snapshot);
  case TableName::Config:
    return query::configTable(*snapshot, role);
  case TableName::Events:
    return eventRows();
  }
  return {};
}

query::Table OperatorView::eventRows() const {
  EventRing::Page page = Events.read(0, EventRingSize);
  return query::eventTable(Init.Instance, page.FirstSequence, page.Events);
}

std::vector<query::EventGap> OperatorView::gaps() const {
  EventRing::Page oldest = Events.read(0, 1);
  if (oldest.FirstSequence == 0 || oldest.Events.empty())
    return {};
  Duration until(oldest.Events.front().At.Wall);
  return {{Init.Instance, oldest.FirstSequence, WallTime(until)}};
}

} // namespace daisytack::runtime
