/// Cost of operator statements in a deployment with 1,300 entries and 10,000
/// agents: parsing, query planning, executing and encoding rows as JSON, and
/// recording and searching events.
#include "base/clock.h"
#include "base/event_ring.h"
#include "base/request_id.h"
#include "query/answer.h"
#include "query/command_parser.h"
#include "query/query_executor.h"
#include "query/query_parser.h"
#include "query/query_plan.h"
#include "query/schema.h"

#include <cstdio>

namespace daisytack {

namespace {

constexpr size_t Entries = 1'300;
constexpr size_t Agents = 10'000;
constexpr size_t Models = 8;
constexpr size_t Organisations = 7'900;

template <class F> double microsecondsPerCall(size_t rounds, const F &call) {
  TimePoint start = monotonicNow();
  size_t sum = 0;
  for (size_t i = 0; i < rounds; ++i)
    sum += call();
  auto passed =
      std::chrono::duration<double, std::micro>(monotonicNow() - start);
  return sum > 0 ? passed.count() / static_cast<double>(rounds) : 0;
}

Snapshot makeSnapshot() {
  Snapshot out;
  for (size_t i = 0; i < Entries; ++i) {
    Member entry;
    entry.Name = "entry-" + std::to_string(i);
    entry.Role = MemberRole::Entry;
    out.Entries.push_back(std::move(entry));
  }
  for (size_t i = 0; i < Agents; ++i) {
    Server server;
    server.Name = "agent-" + std::to_string(i);
    server.Serves = "model-" + std::to_string(i % Models);
    out.Servers.push_back(std::move(server));
  }
  for (size_t i = 0; i < Organisations; ++i) {
    Organisation organisation;
    organisation.Name = "organisation-" + std::to_string(i);
    out.Organisations.push_back(std::move(organisation));
  }
  out.finish();
  return out;
}

query::Query parseOrEmpty(const std::string &text) {
  query::ParseError error;
  return query::parseQuery(text, error).value_or(query::Query{});
}

void measurePlan(const Snapshot &snapshot, const std::string &text) {
  query::Query query = parseOrEmpty(text);
  size_t instanceCount = query::planQuery(query, snapshot).Instances.size();
  double micros = microsecondsPerCall(50, [&] {
    return query::planQuery(query, snapshot).Instances.size() + 1;
  });
  std::printf("plan   %8.0f us  asks %5zu of %zu processes: %s\n", micros,
              instanceCount, Entries + Agents, text.c_str());
}

void measureRows(size_t count) {
  std::vector<query::RequestRow> rows(count);
  for (size_t i = 0; i < count; ++i) {
    rows[i].Request = {i, i + 1};
    rows[i].Organisation = "organisation-" + std::to_string(i % 10);
    rows[i].Class = "quotes";
    rows[i].Model = "market-commentary";
    rows[i].Server = "agent-7";
  }
  query::Query query = parseOrEmpty("show running order by age limit 10000");
  query::Answer answer;
  double execute = microsecondsPerCall(20, [&] {
    answer.Rows =
        query::execute(query, query::requestTable(query::TableName::Requests,
                                                  "agent-7", rows));
    return answer.Rows.Rows.size();
  });
  std::string json = query::toJson(answer);
  double write =
      microsecondsPerCall(20, [&] { return query::toJson(answer).size(); });
  Error reason;
  double read = microsecondsPerCall(
      20, [&] { return query::parseAnswer(json, reason) ? 1U : 0U; });
  auto n = static_cast<double>(count);
  std::printf("rows   %zu: execute %.2f us, write %.2f us, read %.2f us, %.0f "
              "bytes each\n",
              count, execute / n, write / n, read / n,
              static_cast<double>(json.size()) / n);
}

void measureParsing() {
  query::ParseError error;
  std::string queryText =
      "show waiting where organisation = agora and age > 3s order by age desc";
  std::string commandText =
      "set organisation agora weight=2 requests_per_second=50";
  double queryMicros = microsecondsPerCall(
      20'000, [&] { return query::parseQuery(queryText, error) ? 1U : 0U; });
  double commandMicros = microsecondsPerCall(20'000, [&] {
    return query::parseCommand(commandText, error) ? 1U : 0U;
  });
  std::printf("parse  query %.2f us, command %.2f us\n", queryMicros,
              commandMicros);
}

void measureEvents() {
  EventRing ring(EventRingSize, wallNow);
  Event event;
  event.Subject = "agent-7";
  event.Request = {1, 2};
  double record = microsecondsPerCall(1'000'000, [&] {
    ring.record(event);
    return 1U;
  });
  query::Query query = parseOrEmpty(
      "show events where request = 00000000000000010000000000000003");
  double search = microsecondsPerCall(5, [&] {
    auto page = ring.read(0, EventRingSize);
    return query::execute(query, query::eventTable("agent-7", 0, page.Events))
               .Rows.size() +
           1;
  });
  std::printf("events record %.3f us; one request among %zu: %.0f us; ring %zu "
              "bytes\n",
              record, EventRingSize, search, EventRingSize * sizeof(Event));
}

} // namespace

} // namespace daisytack

int main() {
  using namespace daisytack;
  Snapshot snapshot = makeSnapshot();
  RequestId id = makeRequestId("entry-7", [] { return uint64_t{9}; });
  measureParsing();
  measurePlan(snapshot, "show waiting");
  measurePlan(snapshot, "show waiting where model = model-3");
  measurePlan(snapshot, "show running where server = agent-7");
  measurePlan(snapshot, "show events where request = " + toHex(id));
  measureRows(100);
  measureRows(5'000);
  measureEvents();
  return 0;
}
