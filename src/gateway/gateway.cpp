#include "gateway/gateway.h"

#include "base/clock.h"
#include "base/digest.h"

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

namespace {

constexpr Duration TickInterval{100'000};
constexpr Duration DrainCheck{20'000};
/// Loads of servers that were not used for so long are forgotten.
constexpr Duration LoadMemory{60'000'000};
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;

net::HttpServerInit listenOn(const Endpoint &endpoint) {
  net::HttpServerInit out;
  out.Listen = endpoint;
  return out;
}

} // namespace

Gateway::Gateway(boost::asio::io_context &io, GatewayOptions options,
                 direct::Protocol protocol, const MakeStore &makeStore)
    : Options(std::move(options)),
      Log(Options.Log, Options.Name, standardOutputSink(), Counters),
      State(io, Options, std::move(protocol), Counters, Log),
      Control(boost::asio::make_strand(io)),
      Store(makeStore(State.Control, Options.Store)),
      Follower(std::make_shared<StoreFollower>(
          State, Control, Store, StoreFollowerSettings{}, secureRandom,
          [this] { onCatalog(); })),
      Announced(std::make_shared<EntryLease>(
          Control, Store, State.Speak.EntryKey(Options.Name),
          State.Speak.EncodeEntry({Options.Name, Options.Peers}),
          Options.LeaseTerm, Log)),
      Callers(State),
      ReadinessServer(io, listenOn(Options.Readiness),
                      [this](const net::HttpRequest &request,
                             const std::shared_ptr<net::HttpExchange> &to) {
                        if (request.Path == Options.ReadinessPath)
                          answerReadiness(*to);
                        else
                          to->respond({StatusNotFound, {}, {}});
                      }),
      MetricsServer(io, listenOn(Options.Metrics),
                    [this](const net::HttpRequest &,
                           const std::shared_ptr<net::HttpExchange> &to) {
                      answerMetrics(*to);
                    }),
      Ticker(Control), DrainTimer(Control) {}

Gateway::~Gateway() = default;

bool Gateway::start(Error &reason) {
  Log.write(LogWeight::Notable, "started",
            {{"failure_domain", Options.FailureDomain},
             {"callers", toString(Options.Callers)},
             {"service", toString(Options.Store)}},
            monotonicNow());
  bool isUp = Callers.start(reason) && ReadinessServer.start(reason) &&
              MetricsServer.start(reason);
  if (!isUp)
    return false;
  Follower->start();
  Announced->start();
  tick();
  return true;
}

void Gateway::answerReadiness(net::HttpExchange &exchange) const {
  bool isReady = State.catalog()->Config != nullptr && !State.Draining;
  exchange.respond({isReady ? StatusOk : StatusUnavailable, {}, {}});
}

void Gateway::answerMetrics(net::HttpExchange &exchange) {
  State.Counts.PartsKnown.set(static_cast<int64_t>(State.Kept.partsKnown()));
  State.Counts.ServersKnown.set(
      static_cast<int64_t>(State.catalog()->AllServers.size()));
  exchange.respond({StatusOk,
                    {{"Content-Type", "text/plain; version=0.0.4"}},
                    Counters.prometheusText()});
}

void Gateway::onCatalog() {
  auto catalog = State.catalog();
  if (!catalog->Config || catalog->ConfigRevision == AppliedConfig)
    return;
  AppliedConfig = catalog->ConfigRevision;
  const direct::ServingConfig &config = catalog->Config->config();
  Callers.setLimits(config.Limits);
  State.Kept.setStores(config.Services);
  Log.write(LogWeight::Notable, "configuration_applied",
            {{"version", config.Version},
             {"revision", AppliedConfig},
             {"routes", config.Routes.size()},
             {"organisations", config.Organisations.size()}},
            monotonicNow());
}

void Gateway::tick() {
  TimePoint now = monotonicNow();
  State.Catalog.onTimer(now);
  State.Loads.forgetIdle(now - LoadMemory);
  Log.flush(now);
  Ticker.expires_after(TickInterval);
  Ticker.async_wait([this](auto ec) {
    if (!ec)
      tick();
  });
}

void Gateway::drain(std::function<void()> done) {
  Drained = std::move(done);
  DrainSince = monotonicNow();
  State.Draining = true;
  Callers.endConnections();
  Log.write(LogWeight::Notable, "draining", {{"running", State.Running.load()}},
            DrainSince);
  watchDrain();
}

void Gateway::watchDrain() {
  bool isNoticed = monotonicNow() - DrainSince >= Options.DrainNotice;
  if (isNoticed)
    Callers.stopAccepting();
  if (isNoticed && State.Running == 0 && Callers.unsentAnswers() == 0)
    return finish();
  DrainTimer.expires_after(DrainCheck);
  DrainTimer.async_wait([this](auto ec) {
    if (!ec)
      watchDrain();
  });
}

void Gateway::finish() {
  Announced->stop();
  Follower->stop();
  TimePoint now = monotonicNow();
  Log.write(LogWeight::Notable, "stopped",
            {{"drained_ms", (now - DrainSince).count() / 1000}}, now);
  Log.flush(now);
  std::exchange(Drained, nullptr)();
}

} // namespace daisytack::gateway
