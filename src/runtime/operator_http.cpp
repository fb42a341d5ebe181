#include "runtime/operator_http.h"

#include "base/digest.h"
#include "base/standard_metrics.h"
#include "net/problem.h"
#include "query/command_parser.h"
#include "query/query_parser.h"
#include "runtime/operator_command.h"
#include "runtime/operator_query.h"
#include "runtime/operator_statement.h"
#include "runtime/operator_view.h"
#include "runtime/process_usage.h"

#include <boost/json.hpp>

namespace daisytack::runtime {

namespace {

namespace json = boost::json;
using Exchange = std::shared_ptr<net::HttpExchange>;

constexpr size_t MaxBodyBytes = 16U << 10;
/// Each holds a head, a body and input ahead of 16 KB each at most, before a
/// key is checked.
constexpr size_t MaxConnections = 512;
constexpr unsigned HttpOk = 200;
constexpr unsigned HttpNotReady = 503;
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view BootstrapName = "bootstrap";

net::HttpResponse plainResponse(unsigned status, std::string type,
                                std::string body) {
  return {status, {{"Content-Type", std::move(type)}}, std::move(body)};
}

net::HttpResponse jsonResponse(unsigned status, std::string body) {
  return plainResponse(status, "application/json", std::move(body));
}

void refuse(const Exchange &exchange, const Error &error) {
  exchange->respond(net::problemResponse(error, Outcome::NotRun, {}));
}

Readiness readinessOf(const OperatorInit &init) {
  Readiness control = init.Control.Ready();
  if (!control.Ready || !init.Hooks.Ready)
    return control;
  return init.Hooks.Ready();
}

} // namespace

OperatorSettings readOperatorSettings(Settings &settings,
                                      const Endpoint &peer) {
  OperatorSettings out;
  out.PortOffset = static_cast<uint16_t>(
      settings.integer("operators.port_offset", 1, 1, 1000));
  Endpoint fallback{peer.Address,
                    static_cast<uint16_t>(peer.Port + out.PortOffset)};
  out.Listen = settings.endpoint("operators.listen", fallback);
  out.BootstrapKeyHash =
      settings.has("operators.bootstrap_key_sha256")
          ? settings.secret("operators.bootstrap_key_sha256", std::nullopt)
          : "";
  if (!out.BootstrapKeyHash.empty() && !parsePieceKey(out.BootstrapKeyHash))
    settings.reject("operators.bootstrap_key_sha256",
                    "write the SHA-256 of the key as 64 lower-case hexadecimal "
                    "digits, as 'daisytack key-hash' prints it");
  out.QueryDeadline = settings.duration(
      "operators.query_deadline", out.QueryDeadline,
      std::chrono::milliseconds(100), std::chrono::minutes(1));
  out.MaxAtOnce = static_cast<uint32_t>(
      settings.integer("operators.max_at_once", out.MaxAtOnce, 1, 1024));
  return out;
}

OperatorControl controlHooks(ControlRuntime &control) {
  OperatorControl out;
  out.Snapshots = [&control] { return control.snapshots().load(); };
  out.Ready = [&control] { return control.readiness(); };
  out.Propose = [&control](const control::Command &command, auto done) {
    control.propose(command, std::move(done));
  };
  out.CheckRollout = [&control](uint64_t revision, Duration timeout,
                                auto done) {
    control.checkRollout(revision, timeout, std::move(done));
  };
  return out;
}

struct OperatorHttp::Impl {
  Impl(boost::asio::io_context &io, OperatorInit init, Metrics &metrics,
       EventRing &events, net::HttpClient &client)
      : Init(std::move(init)), Registry(metrics), Usage(metrics), Ring(events),
        View(Init, events), Queries(Init, View, client),
        Commands(io, Init, client),
        Server(io, serverInit(),
               [this](const net::HttpRequest &request,
                      const Exchange &exchange) { route(request, exchange); }) {
  }

  net::HttpServerInit serverInit() const {
    net::HttpServerInit out;
    out.Listen = Init.Settings.Listen;
    out.MaxBodyBytes = MaxBodyBytes;
    out.MaxConnections = MaxConnections;
    return out;
  }

  void route(const net::HttpRequest &request, const Exchange &exchange);
  void routePublic(const net::HttpRequest &request, const Exchange &exchange);
  void routeOperator(const net::HttpRequest &request, const Exchange &exchange,
                     OperatorCaller caller);
  std::optional<OperatorCaller> authenticate(const net::HttpRequest &request);
  void query(const Statement &statement, const OperatorCaller &caller,
             const Exchange &exchange);
  void command(const Statement &statement, const OperatorCaller &caller,
               const Exchange &exchange);
  std::string eventsJson(std::string_view query) const;

  OperatorInit Init;
  Metrics &Registry;
  ProcessMetrics Usage;
  EventRing &Ring;
  OperatorView View;
  OperatorQueries Queries;
  OperatorCommands Commands;
  net::HttpServer Server;
};

void OperatorHttp::Impl::route(const net::HttpRequest &request,
                               const Exchange &exchange) {
  const std::string &path = request.Path;
  bool isPublic = path == "/metrics" || path == "/healthz" || path == "/readyz";
  bool isRead = isPublic || path == "/v1/events";
  bool isStatement = path == "/v1/query" || path == "/v1/command";
  if (!isRead && !isStatement)
    return refuse(exchange, {ErrorKind::NotFound, "no such path", {}});
  std::string method = isRead ? "GET" : "POST";
  if (request.Method != method)
    return refuse(exchange, {ErrorKind::MethodNotAllowed, "use " + method, {}});
  if (isPublic)
    return routePublic(request, exchange);
  auto caller = authenticate(request);
  if (!caller)
    return refuse(
        exchange,
        {ErrorKind::Unauthenticated, "no operator has this bearer key", {}});
  routeOperator(request, exchange, std::move(*caller));
}

void OperatorHttp::Impl::routePublic(const net::HttpRequest &request,
                                     const Exchange &exchange) {
  if (request.Path == "/metrics") {
    Usage.update(processUsage());
    exchange->respond(plainResponse(HttpOk, "text/plain; version=0.0.4",
                                    Registry.prometheusText()));
    return;
  }
  if (request.Path == "/healthz") {
    exchange->respond(plainResponse(HttpOk, "text/plain", "ok\n"));
    return;
  }
  Readiness readiness = readinessOf(Init);
  json::object body{{"ready", readiness.Ready}, {"reason", readiness.Reason}};
  exchange->respond(jsonResponse(readiness.Ready ? HttpOk : HttpNotReady,
                                 json::serialize(body)));
}

std::optional<OperatorCaller>
OperatorHttp::Impl::authenticate(const net::HttpRequest &request) {
  std::string_view header = request.header("Authorization");
  if (!header.starts_with(BearerPrefix))
    return std::nullopt;
  std::string key(header.substr(BearerPrefix.size()));
  auto snapshot = Init.Control.Snapshots();
  if (const OperatorAccount *account = snapshot->operatorByKey(key))
    return OperatorCaller{account->Name, account->Role, key};
  const std::string &bootstrap = Init.Settings.BootstrapKeyHash;
  bool isBootstrap = !bootstrap.empty() &&
                     equalConstantTime(hexDigest(sha256(key)), bootstrap);
  if (!isBootstrap)
    return std::nullopt;
  return OperatorCaller{std::string(BootstrapName), OperatorRole::Administrator,
                        key};
}

void OperatorHttp::Impl::routeOperator(const net::HttpRequest &request,
                                       const Exchange &exchange,
                                       OperatorCaller caller) {
  if (request.Path == "/v1/events") {
    exchange->respond(jsonResponse(HttpOk, eventsJson(request.Query)));
    return;
  }
  Error reason;
  auto statement = parseStatement(request.Body, reason);
  if (!statement)
    return refuse(exchange, reason);
  caller.IsLocal = statement->IsLocal;
  if (request.Path == "/v1/query")
    query(*statement, caller, exchange);
  else
    command(*statement, caller, exchange);
}

void OperatorHttp::Impl::query(const Statement &statement,
                               const OperatorCaller &caller,
                               const Exchange &exchange) {
  query::ParseError parseError;
  auto parsed = query::parseQuery(statement.Text, parseError);
  if (!parsed)
    return refuse(exchange, query::toError(parseError));
  Queries.run(*parsed, caller, [exchange](const query::Answer &answer) {
    exchange->respond(jsonResponse(HttpOk, query::toJson(answer)));
  });
}

void OperatorHttp::Impl::command(const Statement &statement,
                                 const OperatorCaller &caller,
                                 const Exchange &exchange) {
  query::ParseError parseError;
  auto parsed = query::parseCommand(statement.Text, parseError);
  if (!parsed)
    return refuse(exchange, query::toError(parseError));
  if (caller.Role < query::roleFor(*parsed))
    return refuse(exchange, {ErrorKind::Forbidden,
                             "the role of operator '" + caller.Name +
                                 "' does not permit this command",
                             {}});
  Commands.run(
      *parsed, statement, caller, [exchange](const CommandAnswer &answer) {
        exchange->respond(jsonResponse(commandStatus(answer), toJson(answer)));
      });
}

std::string OperatorHttp::Impl::eventsJson(std::string_view query) const {
  EventRange range = parseEventRange(query);
  return toJson(Init.Instance, Ring.read(range.From, range.Limit));
}

OperatorHttp::OperatorHttp(boost::asio::io_context &io, OperatorInit init,
                           Metrics &metrics, EventRing &events,
                           net::HttpClient &client)
    : Self(std::make_shared<Impl>(io, std::move(init), metrics, events,
                                  client)) {}

OperatorHttp::~OperatorHttp() = default;

bool OperatorHttp::start(Error &reason) {
  if (!Self->Server.start(reason))
    return false;
  Endpoint self{Self->Init.Settings.Listen.Address, Self->Server.port()};
  Self->Queries.setSelf(self);
  Self->Commands.setSelf(self);
  return true;
}

uint16_t OperatorHttp::port() const { return Self->Server.port(); }

void OperatorHttp::stopAccepting() { Self->Server.stopAccepting(); }

} // namespace daisytack::runtime
