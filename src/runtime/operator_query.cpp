#include "runtime/operator_query.h"

#include "query/query_executor.h"
#include "query/query_parser.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <memory>

namespace daisytack::runtime {

namespace {

constexpr unsigned HttpOk = 200;

void addFailure(query::Answer &out, std::string name, std::string reason) {
  if (out.Failures.size() < query::MaxListedFailures)
    out.Failures.push_back({std::move(name), std::move(reason)});
}

/// Parses the answer in a reply. Returns nothing and sets the reason if there
/// is none.
std::optional<query::Answer> answerIn(const FleetReply &reply, Error &reason) {
  reason = reply.Failure;
  if (reason)
    return std::nullopt;
  if (reply.Response.Status != HttpOk) {
    reason = {ErrorKind::ProtocolError,
              "answered " + std::to_string(reply.Response.Status),
              {}};
    return std::nullopt;
  }
  return query::parseAnswer(reply.Response.Body, reason);
}

std::string reasonText(const Error &error) {
  std::string out(errorName(error.Kind));
  return error.Detail.empty() ? out : out + ": " + error.Detail;
}

/// Collects the answers of the queried members and merges them in the order of
/// the plan.
class AnswerMerger {
public:
  AnswerMerger(query::Query query, const query::QueryPlan &plan)
      : Query(std::move(query)), Plan(plan), Parts(plan.Instances.size()) {}

  /// Returns false once the rows fill a page.
  bool addReply(size_t index, const FleetReply &reply) {
    Part &part = Parts[index];
    part.Answer = answerIn(reply, part.Reason);
    RowCount += part.Answer ? part.Answer->Rows.Rows.size() : 0;
    return Plan.NeedsAllInstances || RowCount < Query.Limit;
  }

  /// Returns the page. It ends after the instance whose rows fill it, so that
  /// no instance is shown in part; the next page begins after that instance.
  query::Answer finish(size_t asked) const {
    query::Answer out;
    std::vector<query::Table> tables;
    size_t rows = 0;
    size_t i = 0;
    for (; i < asked && (Plan.NeedsAllInstances || rows < Query.Limit); ++i) {
      addPart(out, tables, i);
      rows += Parts[i].Answer ? Parts[i].Answer->Rows.Rows.size() : 0;
    }
    if (i > 0 && i < Parts.size())
      out.Next = Plan.Instances[i - 1].Name;
    query::Query whole = Query;
    whole.Limit = Plan.NeedsAllInstances ? Query.Limit : rows;
    out.Rows = query::merge(whole, tables, &out.Truncated);
    return out;
  }

private:
  /// Answer of one member, or the reason why there is none.
  struct Part {
    std::optional<query::Answer> Answer;
    Error Reason;
  };

  void addPart(query::Answer &out, std::vector<query::Table> &tables,
               size_t index) const {
    const Part &part = Parts[index];
    ++out.Queried;
    if (!part.Answer) {
      addFailure(out, Plan.Instances[index].Name, reasonText(part.Reason));
      return;
    }
    ++out.Answered;
    out.Truncated = out.Truncated || part.Answer->Truncated;
    out.Gaps.insert(out.Gaps.end(), part.Answer->Gaps.begin(),
                    part.Answer->Gaps.end());
    tables.push_back(part.Answer->Rows);
  }

  query::Query Query;
  query::QueryPlan Plan;
  std::vector<Part> Parts; ///< One for each instance of the plan.
  size_t RowCount = 0;
};

query::Answer emptyAnswer(const query::Query &query) {
  query::Answer out;
  out.Rows = query::merge(query, {});
  return out;
}

/// Completes the answer of a process that alone has all rows of the query.
query::Answer wholeAnswer(const query::Query &query, query::Answer answer) {
  answer.Rows =
      query::merge(query, {std::move(answer.Rows)}, &answer.Truncated);
  return answer;
}

/// Answer for the case that the entry that issued the request identifier does
/// not reply.
query::Answer unresponsiveEntryAnswer(const query::Query &query,
                                      const Member &entry,
                                      const Error &reason) {
  query::Answer out = emptyAnswer(query);
  out.Queried = 1;
  addFailure(out, entry.Name, reasonText(reason));
  return out;
}

} // namespace

std::string localBody(std::string_view text) {
  return boost::json::serialize(
      boost::json::object{{"text", text}, {"scope", "local"}});
}

FleetRequest fleetRequest(const OperatorInit &init, const Endpoint &self,
                          const OperatorCaller &caller, std::string path,
                          std::string_view text) {
  FleetRequest out;
  out.Http.Method = "POST";
  out.Http.Path = std::move(path);
  out.Http.Headers = {{"Authorization", "Bearer " + caller.BearerKey},
                      {"Content-Type", "application/json"}};
  out.Http.Body = localBody(text);
  out.AddressOf = [self, name = init.Instance,
                   offset = init.Settings.PortOffset](const Member &it) {
    if (it.Name == name)
      return self;
    return Endpoint{it.Peer.Address,
                    static_cast<uint16_t>(it.Peer.Port + offset)};
  };
  out.MaxAtOnce = init.Settings.MaxAtOnce;
  out.Deadline = init.Settings.QueryDeadline;
  return out;
}

void OperatorQueries::run(const query::Query &query,
                          const OperatorCaller &caller, DoneHook done) const {
  auto snapshot = Init.Control.Snapshots();
  query::QueryPlan plan = query::planQuery(query, *snapshot);
  if (plan.AnsweredLocally)
    done(wholeAnswer(query, View.answer(query, caller.Role)));
  else if (caller.IsLocal)
    done(View.answer(query, caller.Role));
  else if (plan.RequestEntry)
    gatherForRequest(query, caller, std::move(plan), std::move(done));
  else
    gather(query, caller, plan, done);
}

void OperatorQueries::gatherForRequest(const query::Query &query,
                                       const OperatorCaller &caller,
                                       query::QueryPlan plan,
                                       DoneHook done) const {
  Member entry = *plan.RequestEntry;
  query::Query lookup =
      query::eventsOfRequest(query::requestOf(query).value_or(RequestId{}));
  FleetHooks hooks;
  hooks.Replied = [this, query, caller, entry, plan = std::move(plan),
                   done = std::move(done)](size_t, const FleetReply &reply) {
    Error reason;
    auto events = answerIn(reply, reason);
    if (events)
      gather(query, caller, withServers(plan, query, events->Rows), done);
    else
      done(unresponsiveEntryAnswer(query, entry, reason));
    return false;
  };
  hooks.Done = [](size_t) {};
  sendToFleet(
      Client, {entry},
      fleetRequest(Init, Self, caller, "/v1/query", query::toString(lookup)),
      std::move(hooks));
}

query::QueryPlan
OperatorQueries::withServers(query::QueryPlan plan, const query::Query &query,
                             const query::Table &events) const {
  if (!query::hasRows(query.From, MemberRole::Agent))
    return plan;
  auto snapshot = Init.Control.Snapshots();
  for (Member &it : query::serversInEvents(events, *snapshot))
    plan.Instances.push_back(std::move(it));
  query::selectPage(query, plan.Instances);
  return plan;
}

void OperatorQueries::gather(const query::Query &query,
                             const OperatorCaller &caller,
                             const query::QueryPlan &plan,
                             const DoneHook &done) const {
  if (plan.Instances.empty()) {
    done(emptyAnswer(query));
    return;
  }
  query::Query part = query;
  part.After.clear();
  auto merger = std::make_shared<AnswerMerger>(query, plan);
  FleetHooks hooks;
  hooks.Replied = [merger](size_t index, const FleetReply &reply) {
    return merger->addReply(index, reply);
  };
  hooks.Done = [merger, done](size_t asked) { done(merger->finish(asked)); };
  sendToFleet(
      Client, plan.Instances,
      fleetRequest(Init, Self, caller, "/v1/query", query::toString(part)),
      std::move(hooks));
}

} // namespace daisytack::runtime
