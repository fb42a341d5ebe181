#include "query/query_executor.h"
#include "query/query_parser.h"
#include "query/query_plan.h"
#include "query/schema.h"

#include "base/request_id.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisytack::query {

namespace {

Query parsed(const std::string &text) {
  ParseError error;
  auto out = parseQuery(text, error);
  EXPECT_TRUE(out) << text << ": " << toString(error);
  return out.value_or(Query{});
}

struct SyntaxErrorCase {
  const char *Text;
  size_t Column;
  const char *Expected;
};

const RequestId Id{uint64_t{7} << 32U, 9};

Table sample() {
  std::vector<RequestRow> rows(4);
  const char *organisations[] = {"b", "a", "b", "c"};
  for (int i = 0; i < 4; ++i) {
    rows[i].Request = {1, static_cast<uint64_t>(i) + 1};
    rows[i].Organisation = organisations[i];
    rows[i].State = i < 2 ? RequestState::Waiting : RequestState::Running;
    rows[i].Age = Duration(i * 1000);
  }
  rows[3].Model = "m";
  return requestTable(TableName::Requests, "entry-1", rows);
}

/// Two entries, and three agents for each of two models.
Snapshot fleet() {
  Snapshot out;
  for (const char *name : {"entry-1", "entry-2"}) {
    Member entry;
    entry.Name = name;
    entry.Role = MemberRole::Entry;
    out.Entries.push_back(entry);
  }
  for (int i = 0; i < 6; ++i) {
    Server server;
    server.Name = "agent-" + std::to_string(i);
    server.Serves = i < 3 ? "m" : "n";
    out.Servers.push_back(server);
  }
  out.finish();
  return out;
}

std::vector<std::string> plannedInstances(const std::string &text) {
  std::vector<std::string> out;
  for (const Member &it : planQuery(parsed(text), fleet()).Instances)
    out.push_back(it.Name);
  return out;
}

} // namespace

TEST(QueryParser, ReportsColumnAndExpectedTokenOfEachError) {
  const SyntaxErrorCase cases[] = {
      {"", 1, "'show'"},
      {"list requests", 1, "'show'"},
      {"show", 5, "a table"},
      {"show foo", 6, "a table"},
      {"show running where", 19, "a field of running"},
      {"show running where speed = 1", 20, "a field of running"},
      {"show running where age", 23, "a comparison"},
      {"show running where age = ", 26, "a duration such as 10ms, 3s or 2h"},
      {"show running where age > 3", 26, "a duration such as 10ms, 3s or 2h"},
      {"show running where age >> 3s", 25, "a duration such as"},
      {"show running where age ! 3s", 24, "an operator"},
      {"show running limit 0", 20, "a whole number from 1 to 10000"},
      {"show running order age", 20, "'by'"},
      {"show running order by age sideways", 27, ""},
      {"show running where model = \"m", 28, "a closing double quote"},
      {"show running; drop", 13, "a word"},
  };
  for (const SyntaxErrorCase &it : cases) {
    ParseError error;
    EXPECT_FALSE(parseQuery(it.Text, error)) << it.Text;
    EXPECT_EQ(error.Column, it.Column) << it.Text << ": " << toString(error);
    EXPECT_EQ(error.Expected.rfind(it.Expected, 0), 0U) << toString(error);
    EXPECT_FALSE(error.Remedy.empty()) << it.Text;
  }
}

TEST(QueryParser, PrintsParsedQueryUnchanged) {
  for (const char *text :
       {"show requests",
        "show waiting where organisation = \"a b\\\"c\" and age >= 3s",
        "show kept where bytes > 16M order by bytes desc limit 5",
        "show refused where kind ~ over count by organisation",
        "show members where state != live limit 7 after entry-1",
        "show events where at > 2026-12-02T16:00:00.000000Z count"})
    EXPECT_EQ(toString(parsed(text)), text);
}

RC_GTEST_PROP(QueryParser, AnyBytesYieldQueryOrErrorWithinText,
              (const std::vector<unsigned char> &bytes)) {
  std::string text(bytes.begin(), bytes.end());
  ParseError error;
  auto query = parseQuery(text, error);
  if (query) {
    RC_ASSERT(parseQuery(toString(*query), error) == query);
    return;
  }
  RC_ASSERT(error.Column >= 1U && error.Column <= text.size() + 1);
  RC_ASSERT(!error.Expected.empty() && !error.Remedy.empty());
}

RC_GTEST_PROP(QueryParser, AnyWordsYieldQueryOrErrorWithinText, ()) {
  auto words = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>(
          "show", "waiting", "kept", "events", "where", "age", "bytes", "=",
          "~", "<", "3s", "\"x\"", "and", "order", "by", "limit", "5", "count",
          "desc", "after", "instance"));
  std::string text = "show";
  for (const std::string &word : words)
    text += " " + word;
  ParseError error;
  auto query = parseQuery(text, error);
  if (query)
    RC_ASSERT(parseQuery(toString(*query), error) == query);
  else
    RC_ASSERT(error.Column >= 1U && error.Column <= text.size() + 1);
}

TEST(QueryExecutor, FiltersOrdersAndLimits) {
  Table rows = sample();
  EXPECT_EQ(
      execute(parsed("show requests where organisation = b"), rows).Rows.size(),
      2U);
  EXPECT_EQ(execute(parsed("show requests where age > 1ms"), rows).Rows.size(),
            2U);
  EXPECT_EQ(execute(parsed("show requests where model ~ m"), rows).Rows.size(),
            1U);
  Table top = execute(parsed("show requests order by age desc limit 2"), rows);
  ASSERT_EQ(top.Rows.size(), 2U);
  EXPECT_EQ(top.Rows[0][columnIndex(TableName::Requests, "age")],
            Cell(Duration(3000)));
}

TEST(QueryExecutor, UnknownCellsMatchOnlyNotEqual) {
  Table rows = sample();
  auto size = [&](const char *text) {
    return execute(parsed(text), rows).Rows.size();
  };
  EXPECT_EQ(size("show requests where model = m"), 1U);
  EXPECT_EQ(size("show requests where model != m"), 3U);
  EXPECT_EQ(size("show requests where model < z"), 1U);
}

TEST(QueryExecutor, WaitingAndRunningShowTheirState) {
  std::vector<RequestRow> rows(3);
  rows[1].State = RequestState::Waiting;
  rows[2].State = RequestState::Running;
  EXPECT_EQ(requestTable(TableName::Waiting, "a", rows).Rows.size(), 1U);
  EXPECT_EQ(requestTable(TableName::Running, "a", rows).Rows.size(), 1U);
}

TEST(QueryExecutor, CountsAreMergedOverProcesses) {
  Query by = parsed("show requests count by organisation");
  Table part = execute(by, sample());
  Table all = merge(by, {part, part});
  ASSERT_EQ(all.Rows.size(), 3U);
  EXPECT_EQ(all.Rows[0], (std::vector<Cell>{std::string("b"), int64_t{4}}));
  Query count = parsed("show requests count");
  EXPECT_EQ(merge(count, {}).Rows.at(0).at(0), Cell(int64_t{0}));
}

// Limits applied per process must not change the merged result, for any
// distribution of the rows over processes.
RC_GTEST_PROP(QueryExecutor, MergingPartsEqualsExecutingTheWhole, ()) {
  auto text = *rc::gen::element<std::string>(
      "show requests count by organisation limit 2",
      "show requests order by age desc limit 3",
      "show requests where organisation != b", "show requests count");
  Query query = parsed(text);
  Table whole = sample();
  size_t split = *rc::gen::inRange<size_t>(0, whole.Rows.size() + 1);
  auto middle = whole.Rows.begin() + static_cast<long>(split);
  Table first{whole.Columns, {whole.Rows.begin(), middle}};
  Table second{whole.Columns, {middle, whole.Rows.end()}};
  RC_ASSERT(merge(query, {execute(query, first), execute(query, second)}) ==
            merge(query, {execute(query, whole)}));
}

TEST(QueryPlan, QueriesOnlyMatchingProcesses) {
  EXPECT_TRUE(planQuery(parsed("show servers"), fleet()).AnsweredLocally);
  EXPECT_EQ(plannedInstances("show events").size(), 8U);
  EXPECT_EQ(plannedInstances("show requests").size(), 2U);
  EXPECT_EQ(plannedInstances("show waiting").size(), 6U);
  EXPECT_EQ(plannedInstances("show kept where model = n").size(), 3U);
  EXPECT_EQ(plannedInstances("show waiting where instance = agent-2"),
            (std::vector<std::string>{"agent-2"}));
  EXPECT_EQ(plannedInstances("show running where server = agent-4"),
            (std::vector<std::string>{"agent-4"}));
  EXPECT_EQ(plannedInstances("show waiting after agent-3"),
            (std::vector<std::string>{"agent-4", "agent-5"}));
  EXPECT_TRUE(planQuery(parsed("show waiting order by age"), fleet())
                  .NeedsAllInstances);
}

TEST(QueryPlan, PageGoesOnAfterAVanishedInstance) {
  EXPECT_EQ(plannedInstances("show waiting after agent-3x"),
            (std::vector<std::string>{"agent-4", "agent-5"}));
  EXPECT_EQ(plannedInstances("show requests after entry-1x"),
            (std::vector<std::string>{"entry-2"}));
  EXPECT_EQ(plannedInstances("show events after agent-4x"),
            (std::vector<std::string>{"agent-5", "entry-1", "entry-2"}));
  EXPECT_EQ(plannedInstances("show events after entry-1x"),
            (std::vector<std::string>{"entry-2"}));
  EXPECT_TRUE(plannedInstances("show events after entry-3").empty());
}

TEST(QueryPlan, LooksUpRequestAtIssuingEntry) {
  RequestId id = makeRequestId("entry-2", [] { return uint64_t{5}; });
  std::string text = "where request = " + toHex(id);
  EXPECT_EQ(plannedInstances("show events " + text),
            (std::vector<std::string>{"entry-2"}));
  auto plan = planQuery(parsed("show running " + text), fleet());
  ASSERT_TRUE(plan.RequestEntry);
  EXPECT_EQ(plan.RequestEntry->Name, "entry-2");
  EXPECT_TRUE(plan.Instances.empty());

  Event offered;
  offered.Request = id;
  offered.Subject = "agent-1";
  auto servers =
      serversInEvents(eventTable("entry-2", 0, {&offered, 1}), fleet());
  ASSERT_EQ(servers.size(), 1U);
  EXPECT_EQ(servers[0].Name, "agent-1");
  EXPECT_EQ(execute(eventsOfRequest(id), eventTable("e", 0, {&offered, 1}))
                .Rows.size(),
            1U);
  EXPECT_TRUE(
      plannedInstances("show events where request = " + toHex(Id)).empty());
}

// Guards against a column that is added to a table without its cell in the
// rows, which would shift the values of later columns.
TEST(Schema, RowsAreAsWideAsTheirColumns) {
  Snapshot snapshot = fleet();
  snapshot.Models.push_back({});
  snapshot.Organisations.push_back({});
  snapshot.Classes.push_back({});
  snapshot.Operators.push_back({"root", "aa", OperatorRole::Administrator});
  Event event;
  RefusalRow refusal;
  KeptRow kept;
  for (const Table &it :
       {sample(), refusedTable("a", {&refusal, 1}), keptTable("a", {&kept, 1}),
        eventTable("a", 0, {&event, 1}), serverTable(snapshot, {}),
        organisationTable(snapshot), classTable(snapshot),
        versionTable(snapshot, {}), memberTable(snapshot),
        configTable(snapshot, OperatorRole::Administrator)}) {
    EXPECT_FALSE(it.Rows.empty());
    for (const auto &row : it.Rows)
      EXPECT_EQ(row.size(), it.Columns.size());
  }
}

// Guards against disclosing key hashes to anyone and operator accounts to
// roles below Administrator.
TEST(Schema, KeyHashesAndOperatorsAreHidden) {
  Snapshot snapshot;
  snapshot.Organisations.push_back({"acme", "feedface"});
  snapshot.Operators.push_back({"root", "feedface", OperatorRole::Viewer});
  for (auto role : {OperatorRole::Viewer, OperatorRole::Administrator}) {
    bool sawOperator = false;
    for (const auto &row : configTable(snapshot, role).Rows) {
      EXPECT_NE(row.back(), Cell(std::string("feedface")));
      sawOperator |= row.front() == Cell(std::string("operator"));
    }
    EXPECT_EQ(sawOperator, role == OperatorRole::Administrator);
  }
}

} // namespace daisytack::query
