#include "runtime/operator_http.h"

#include "base/digest.h"
#include "base/request_id.h"
#include "query/answer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace daisytack::runtime {

namespace {

constexpr Duration CallTimeout{10'000'000};
/// No instance of the test listens on this port.
constexpr uint16_t ClosedPort = 1;

std::string jsonText(std::string_view text) {
  return boost::json::serialize(boost::json::object{{"text", text}});
}

/// Two entries and two agents on one io_context. agent-2 is unreachable.
class OperatorRoutes : public testing::Test {
protected:
  struct Process {
    std::unique_ptr<Metrics> Counts = std::make_unique<Metrics>();
    std::unique_ptr<EventRing> Ring = std::make_unique<EventRing>(
        8, [] { return WallTime(Duration(1'000'000)); });
    std::unique_ptr<OperatorHttp> Http;
    std::vector<query::RequestRow> Rows;
    size_t Stopped = 0;
  };

  OperatorRoutes() : Client(Io, {}) {
    addOperator("vera", OperatorRole::Viewer);
    addOperator("otto", OperatorRole::Operator);
    addOperator("anna", OperatorRole::Administrator);
    Fleet.Organisations.push_back({"acme", std::string(64, 'a')});
    for (const char *name : {"entry-1", "entry-2", "agent-1"})
      start(name);
    addAgent("agent-2", ClosedPort);
    publish();
  }

  void addOperator(const std::string &name, OperatorRole role) {
    Fleet.Operators.push_back({name, hexDigest(sha256(name)), role});
  }

  void addAgent(const std::string &name, uint16_t peerPort) {
    Server server;
    server.Name = name;
    server.Serves = "m";
    server.Peer = {"127.0.0.1", peerPort};
    Fleet.Servers.push_back(server);
  }

  void start(const std::string &name) {
    Process &it = Processes[name];
    OperatorInit init;
    init.Instance = name;
    init.Settings.Listen = {"127.0.0.1", 0};
    init.Settings.BootstrapKeyHash = hexDigest(sha256("first"));
    init.Hooks.Requests = [&it] { return it.Rows; };
    init.Hooks.Stop = [&it](const query::StopTarget &) { return it.Stopped; };
    init.Control = control();
    init.Clock = [] { return WallTime(Duration(1)); };
    init.Random = [n = uint64_t{0}]() mutable { return ++n; };
    it.Http =
        std::make_unique<OperatorHttp>(Io, init, *it.Counts, *it.Ring, Client);
    Error reason;
    ASSERT_TRUE(it.Http->start(reason)) << reason.Detail;
    auto peerPort = static_cast<uint16_t>(it.Http->port() - 1);
    if (name.starts_with("agent")) {
      addAgent(name, peerPort);
      return;
    }
    Member entry;
    entry.Name = name;
    entry.Role = MemberRole::Entry;
    entry.Peer = {"127.0.0.1", peerPort};
    Fleet.Entries.push_back(entry);
  }

  OperatorControl control() {
    OperatorControl out;
    out.Snapshots = [this] { return Published; };
    out.Ready = [this] { return Ready; };
    out.Propose = [this](const control::Command &command, const auto &done) {
      Proposed.push_back(command);
      done(Result);
    };
    out.CheckRollout = [this](uint64_t revision, Duration, const auto &done) {
      ++InForceQueries;
      InForceRevision = revision;
      control::RolloutReport report{4, 4, InForceQueries < 3 ? 3U : 4U, {}};
      done(report);
    };
    return out;
  }

  void publish() {
    Snapshot next = Fleet;
    next.finish();
    Published = std::make_shared<const Snapshot>(std::move(next));
  }

  net::HttpResponse call(const std::string &to, const std::string &method,
                         const std::string &path, const std::string &body = "",
                         const std::string &key = "") {
    net::HttpRequest request{method, path, "", {}, body};
    if (auto mark = path.find('?'); mark != std::string::npos) {
      request.Path = path.substr(0, mark);
      request.Query = path.substr(mark + 1);
    }
    if (!key.empty())
      request.Headers.push_back({"Authorization", "Bearer " + key});
    std::optional<net::HttpResponse> out;
    Endpoint endpoint{"127.0.0.1", Processes[to].Http->port()};
    Client.fetch(endpoint, request, CallTimeout,
                 [&](const Error &error, net::HttpResponse response) {
                   EXPECT_FALSE(error) << error.Detail;
                   out = std::move(response);
                 });
    Io.restart();
    while (!out && Io.run_one() > 0) {
    }
    return out.value_or(net::HttpResponse{});
  }

  query::Answer runQuery(const std::string &text,
                         const std::string &key = "vera") {
    auto response = call("entry-1", "POST", "/v1/query", jsonText(text), key);
    EXPECT_EQ(response.Status, 200U) << response.Body;
    Error reason;
    auto answer = query::parseAnswer(response.Body, reason);
    EXPECT_TRUE(answer) << reason.Detail;
    return answer.value_or(query::Answer{});
  }

  net::HttpResponse sendCommand(const std::string &text,
                                const std::string &key = "anna") {
    return call("entry-1", "POST", "/v1/command", jsonText(text), key);
  }

  static query::RequestRow row(query::RequestState state, RequestId id = {}) {
    query::RequestRow out;
    out.Request = id;
    out.State = state;
    return out;
  }

  boost::asio::io_context Io;
  net::HttpClient Client;
  Snapshot Fleet;
  std::shared_ptr<const Snapshot> Published =
      std::make_shared<const Snapshot>();
  Readiness Ready{true, ""};
  std::map<std::string, Process> Processes;
  std::vector<control::Command> Proposed;
  control::CommandResult Result{
      control::CommandOutcome::Applied, 7, {}, std::nullopt};
  size_t InForceQueries = 0;
  uint64_t InForceRevision = 0;
};

} // namespace

TEST_F(OperatorRoutes, HealthAndMetricsAreOpen) {
  Processes["entry-1"].Counts->counter("a_total", "All a.").add();
  EXPECT_EQ(call("entry-1", "GET", "/healthz").Status, 200U);
  EXPECT_NE(call("entry-1", "GET", "/metrics").Body.find("a_total 1"),
            std::string::npos);
  EXPECT_EQ(call("entry-1", "GET", "/readyz").Status, 200U);
  Ready = {false, "no configuration yet"};
  auto response = call("entry-1", "GET", "/readyz");
  EXPECT_EQ(response.Status, 503U);
  EXPECT_NE(response.Body.find("no configuration yet"), std::string::npos);
}

TEST_F(OperatorRoutes, ErrorResponsesHaveTheRightStatus) {
  EXPECT_EQ(call("entry-1", "GET", "/nowhere").Status, 404U);
  EXPECT_EQ(call("entry-1", "GET", "/v1/query", "", "vera").Status, 405U);
  EXPECT_EQ(call("entry-1", "GET", "/v1/events").Status, 401U);
  EXPECT_EQ(call("entry-1", "GET", "/v1/events", "", "wrong").Status, 401U);
  EXPECT_EQ(call("entry-1", "POST", "/v1/query", "{}", "vera").Status, 400U);
  auto wrong =
      call("entry-1", "POST", "/v1/query", jsonText("show nothing"), "vera");
  EXPECT_EQ(wrong.Status, 400U);
  EXPECT_NE(wrong.Body.find("column 6"), std::string::npos) << wrong.Body;
}

TEST_F(OperatorRoutes, CommandsRequireTheRightRole) {
  EXPECT_EQ(sendCommand("drain agent-1", "vera").Status, 403U);
  EXPECT_EQ(sendCommand("drain agent-1", "otto").Status, 200U);
  EXPECT_EQ(sendCommand("purge acme", "otto").Status, 403U);
  EXPECT_EQ(sendCommand("purge acme", "anna").Status, 200U);
  EXPECT_EQ(sendCommand("purge acme", "first").Status, 200U);
  EXPECT_EQ(Proposed.back().Operator, "bootstrap");
}

TEST_F(OperatorRoutes, EventsArePagedBySequenceNumber) {
  for (int i = 0; i < 10; ++i)
    Processes["agent-1"].Ring->record({});
  auto body = call("agent-1", "GET", "/v1/events?from=0&limit=3", "", "vera");
  auto page = boost::json::parse(body.Body);
  EXPECT_EQ(page.at("first").to_number<int>(), 2);
  EXPECT_EQ(page.at("next").to_number<int>(), 5);
  EXPECT_EQ(page.at("events").as_array().size(), 3U);
}

TEST_F(OperatorRoutes, QueriesAllInstancesAndListsFailures) {
  Processes["agent-1"].Rows = {row(query::RequestState::Waiting),
                               row(query::RequestState::Running)};
  query::Answer it = runQuery("show waiting");
  EXPECT_EQ(it.Queried, 2U);
  EXPECT_EQ(it.Answered, 1U);
  ASSERT_EQ(it.Failures.size(), 1U);
  EXPECT_EQ(it.Failures[0].Name, "agent-2");
  EXPECT_EQ(it.Rows.Rows.size(), 1U);
  EXPECT_EQ(runQuery("show running count").Rows.Rows[0][0],
            query::Cell(int64_t{1}));
}

TEST_F(OperatorRoutes, CountsOfOneProcessObeyTheLimit) {
  EXPECT_EQ(runQuery("show servers count by server").Rows.Rows.size(), 2U);
  query::Answer first = runQuery("show servers count by server limit 1");
  EXPECT_EQ(first.Rows.Rows.size(), 1U);
  EXPECT_EQ(first.Answered, 1U);
}

TEST_F(OperatorRoutes, PagesEndAtInstanceBoundaries) {
  for (const char *name : {"entry-1", "entry-2"})
    Processes[name].Rows.assign(2, row(query::RequestState::Offered));
  query::Answer first = runQuery("show requests limit 1");
  EXPECT_EQ(first.Next, "entry-1");
  EXPECT_TRUE(first.Truncated);
  query::Answer all = runQuery("show requests limit 2");
  EXPECT_EQ(all.Rows.Rows.size(), 2U);
  EXPECT_EQ(all.Next, "entry-1");
  EXPECT_FALSE(all.Truncated);
  query::Answer last = runQuery("show requests limit 2 after entry-1");
  EXPECT_EQ(last.Rows.Rows.size(), 2U);
  EXPECT_EQ(last.Next, "");
}

TEST_F(OperatorRoutes, AnswerIsTruncatedOnlyIfRowsAreLeftOut) {
  for (const char *name : {"entry-1", "entry-2"})
    Processes[name].Rows.assign(2, row(query::RequestState::Offered));
  EXPECT_TRUE(runQuery("show servers limit 1").Truncated);
  EXPECT_FALSE(runQuery("show servers limit 2").Truncated);
  EXPECT_TRUE(runQuery("show requests order by age limit 1").Truncated);
  EXPECT_FALSE(runQuery("show requests order by age limit 4").Truncated);
}

TEST_F(OperatorRoutes, RowsLeftOutOfAMergedAnswerAreReported) {
  for (const char *name : {"entry-1", "entry-2"})
    Processes[name].Rows.assign(2, row(query::RequestState::Offered));
  EXPECT_TRUE(runQuery("show requests order by age limit 3").Truncated);
  EXPECT_TRUE(runQuery("show requests count by instance limit 1").Truncated);
  EXPECT_FALSE(runQuery("show requests count by instance limit 2").Truncated);
  EXPECT_TRUE(runQuery("show servers count by server limit 1").Truncated);
}

TEST_F(OperatorRoutes, RequestQueryContactsOnlyItsEntryAndServers) {
  RequestId id = makeRequestId("entry-2", [] { return uint64_t{9}; });
  Event offered;
  offered.Kind = EventKind::RequestOffered;
  offered.Request = id;
  offered.Subject = "agent-1";
  Processes["entry-2"].Ring->record(offered);
  Processes["agent-1"].Rows = {row(query::RequestState::Running, id),
                               row(query::RequestState::Running)};
  query::Answer it = runQuery("show running where request = " + toHex(id));
  EXPECT_EQ(it.Queried, 1U);
  EXPECT_EQ(it.Rows.Rows.size(), 1U);
  query::Answer events = runQuery("show events where request = " + toHex(id));
  EXPECT_EQ(events.Queried, 2U);
  EXPECT_EQ(events.Rows.Rows.size(), 1U);
}

TEST_F(OperatorRoutes, PagesOfARequestShowEachInstanceOnce) {
  RequestId id = makeRequestId("entry-2", [] { return uint64_t{9}; });
  Event offered;
  offered.Kind = EventKind::RequestOffered;
  offered.Request = id;
  for (const char *server : {"agent-1", "agent-2"}) {
    offered.Subject = server;
    Processes["entry-2"].Ring->record(offered);
  }
  Processes["agent-1"].Ring->record(offered);
  std::string text = "show events where request = " + toHex(id) + " limit 1";
  constexpr size_t MaxPages = 4;
  std::vector<query::Cell> instances;
  std::string next;
  size_t pages = 0;
  do {
    query::Answer page =
        runQuery(next.empty() ? text : text + " after " + next);
    for (const auto &row : page.Rows.Rows)
      instances.push_back(row.front());
    next = page.Next;
  } while (!next.empty() && ++pages < MaxPages);
  EXPECT_EQ(next, "");
  EXPECT_EQ(instances, (std::vector<query::Cell>{std::string("agent-1"),
                                                 std::string("entry-2")}));
}

TEST_F(OperatorRoutes, OverwrittenEventsAreReportedAsGaps) {
  for (int i = 0; i < 10; ++i)
    Processes["entry-2"].Ring->record({});
  query::Answer it = runQuery("show events where instance = entry-2");
  ASSERT_EQ(it.Gaps.size(), 1U);
  EXPECT_EQ(it.Gaps[0].Instance, "entry-2");
  EXPECT_EQ(it.Gaps[0].Lost, 2U);
}

TEST_F(OperatorRoutes, CommandResponseReportsTheOutcome) {
  struct {
    control::CommandOutcome Outcome;
    ErrorKind Kind;
    unsigned Status;
  } const rows[] = {
      {control::CommandOutcome::Applied, ErrorKind::None, 200},
      {control::CommandOutcome::Unchanged, ErrorKind::None, 200},
      {control::CommandOutcome::Refused, ErrorKind::BadValue, 422},
      {control::CommandOutcome::Conflict, ErrorKind::Conflict, 409},
      {control::CommandOutcome::Unavailable, ErrorKind::ServiceUnavailable,
       503},
      {control::CommandOutcome::Unknown, ErrorKind::ServiceUnknown, 504},
  };
  for (const auto &it : rows) {
    Result = {it.Outcome, 7, {it.Kind, "why", {}}, std::nullopt};
    auto response = sendCommand("drain agent-1");
    EXPECT_EQ(response.Status, it.Status);
    EXPECT_NE(response.Body.find(control::commandOutcomeName(it.Outcome)),
              std::string::npos);
  }
  EXPECT_EQ(sendCommand("drain agent-9").Status, 404U);
}

TEST_F(OperatorRoutes, ConflictReportsTheOtherChange) {
  control::OtherChange other{{Id128{1, 2}, "otto"}, 9, "{}"};
  Result = {control::CommandOutcome::Conflict,
            0,
            {ErrorKind::Conflict, "changed", {}},
            other};
  auto body = boost::json::parse(sendCommand("drain agent-1").Body);
  EXPECT_EQ(body.at("other").at("operator").as_string(), "otto");
  EXPECT_EQ(body.at("other").at("revision").to_number<int>(), 9);
}

TEST_F(OperatorRoutes, CommandCarriesItsExpectedRevision) {
  Fleet.Policies.push_back({"acme", "bulletin"});
  publish();
  auto send = [&](const std::string &text, const std::string &revision) {
    std::string body =
        R"({"text": ")" + text + R"(", "expected_revision": )" + revision + "}";
    return call("entry-1", "POST", "/v1/command", body, "anna").Status;
  };
  EXPECT_EQ(send("drain agent-1", "7"), 200U);
  ASSERT_EQ(Proposed.size(), 1U);
  EXPECT_EQ(Proposed.back().ExpectedRevision, 7U);
  EXPECT_EQ(send("drain agent-1", "0"), 200U);
  EXPECT_EQ(Proposed.back().ExpectedRevision, 0U);
  EXPECT_EQ(sendCommand("drain agent-1").Status, 200U);
  EXPECT_EQ(Proposed.back().ExpectedRevision, std::nullopt);
  for (const char *revision : {"-1", "1.5", "\"7\"", "null"})
    EXPECT_EQ(send("drain agent-1", revision), 400U) << revision;
  EXPECT_EQ(send("purge acme", "7"), 400U);
  EXPECT_EQ(send("stop class bulletin", "7"), 400U);
  EXPECT_EQ(Proposed.size(), 3U);
}

TEST_F(OperatorRoutes, FailedPurgeReportsItsProgress) {
  ReusePolicy policy;
  policy.Organisation = "acme";
  policy.Class = "bulletin";
  Fleet.Policies.push_back(policy);
  publish();
  Result.Outcome = control::CommandOutcome::Unknown;
  Result.Reason = {ErrorKind::ServiceUnknown, "silent", {}};
  auto body = boost::json::parse(sendCommand("purge acme").Body);
  EXPECT_EQ(body.at("planned").to_number<int>(), 2);
  EXPECT_EQ(body.at("changes").to_number<int>(), 0);
  EXPECT_EQ(Proposed.size(), 1U);
}

TEST_F(OperatorRoutes, WaitsUntilAChangeIsInForce) {
  std::string body = R"({"text": "drain agent-1", "wait_ms": 5000})";
  auto response = call("entry-1", "POST", "/v1/command", body, "otto");
  auto inForce = boost::json::parse(response.Body).at("in_force");
  EXPECT_EQ(inForce.at("in_force").to_number<int>(), 4);
  EXPECT_EQ(InForceQueries, 3U);
}

TEST_F(OperatorRoutes, UnchangedCommandWaitsForTheCurrentRevision) {
  Fleet.ConfigRevision = 42;
  publish();
  Result = {control::CommandOutcome::Unchanged, 0, {}, std::nullopt};
  std::string body = R"({"text": "drain agent-1", "wait_ms": 5000})";
  call("entry-1", "POST", "/v1/command", body, "otto");
  EXPECT_EQ(InForceRevision, 42U);
}

TEST_F(OperatorRoutes, StopIsSentToTheResponsibleEntries) {
  Processes["entry-1"].Stopped = 2;
  Processes["entry-2"].Stopped = 3;
  auto all =
      boost::json::parse(sendCommand("stop class bulletin", "otto").Body);
  EXPECT_EQ(all.at("stopped").to_number<int>(), 5);
  RequestId id = makeRequestId("entry-2", [] { return uint64_t{9}; });
  auto one = boost::json::parse(sendCommand("stop " + toHex(id), "otto").Body);
  EXPECT_EQ(one.at("stopped").to_number<int>(), 3);
  RequestId gone = makeRequestId("entry-9", [] { return uint64_t{9}; });
  EXPECT_EQ(sendCommand("stop " + toHex(gone), "otto").Status, 404U);
}

/// Guards against a port that holds heads and bodies of any number of
/// connections before a key is checked.
TEST_F(OperatorRoutes, ConnectionsAreBounded) {
  constexpr size_t Connections = 600;
  constexpr size_t MaxOpen = 512;
  boost::asio::io_context other;
  boost::asio::ip::tcp::endpoint address{
      boost::asio::ip::make_address("127.0.0.1"),
      Processes["agent-1"].Http->port()};
  std::vector<boost::asio::ip::tcp::socket> sockets;
  Io.restart();
  for (size_t i = 0; i < Connections; ++i) {
    sockets.emplace_back(other).connect(address);
    sockets.back().non_blocking(true);
    Io.poll();
  }
  Io.run_for(std::chrono::milliseconds(200));
  size_t open = 0;
  for (auto &it : sockets) {
    char c = 0;
    boost::system::error_code ec;
    it.read_some(boost::asio::buffer(&c, 1), ec);
    open += ec == boost::asio::error::would_block ? 1 : 0;
  }
  EXPECT_LE(open, MaxOpen);
  EXPECT_GT(open, MaxOpen / 2);
}

TEST(Answers, RoundTripThroughJson) {
  query::Answer it;
  it.Rows.Columns = {
      {"a", query::CellType::Text}, {"b", query::CellType::Duration},
      {"c", query::CellType::Time}, {"d", query::CellType::Number},
      {"e", query::CellType::Flag}, {"f", query::CellType::Bytes}};
  it.Rows.Rows = {{std::string("x\"y"), Duration(5), WallTime(Duration(6)), 0.5,
                   true, int64_t{7}},
                  {{}, {}, {}, {}, {}, {}}};
  it.Failures = {{"agent-1", "timeout"}};
  it.Gaps = {{"agent-2", 3, WallTime(Duration(9))}};
  it.Next = "agent-1";
  Error reason;
  EXPECT_EQ(query::parseAnswer(query::toJson(it), reason), it);
  for (const char *bad : {"", "{}", "[]", R"({"columns": [{}], "rows": []})"})
    EXPECT_FALSE(query::parseAnswer(bad, reason)) << bad;
}

} // namespace daisytack::runtime
