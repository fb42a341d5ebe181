#include "entry_daemon.h"

#include "base/clock.h"
#include "base/digest.h"
#include "daisytack/limits.h"
#include "edge/instance_list_http.h"
#include "edge/kv_etcd.h"
#include "operator_rows.h"

#include <utility>

namespace daisytack::entry {

namespace {

constexpr Duration DrainCheck{20'000};

Event processEvent(EventKind kind, const std::string &name) {
  Event out;
  out.Kind = kind;
  out.Subject = name;
  return out;
}

EntryPeers peersOf(runtime::ControlRuntime &control) {
  EntryPeers out;
  out.Ask = [&control](const Endpoint &peer, const QuotaRequest &request) {
    control.requestQuota(peer, request);
  };
  out.ReportDraining = [&control](const std::string &server) {
    control.reportDraining(server);
  };
  return out;
}

} // namespace

EntryShell::EntryShell(boost::asio::io_context &io, EntryOptions options)
    : Options(std::move(options)), Ring(EventRingSize, wallNow), Client(io, {}),
      Control(
          io, Options.Instance.Control,
          edge::makeEtcdStore(Client, Options.Instance.KeyValue),
          edge::makeHttpInstanceList(Client, Options.Instance.InstanceList),
          Counters, [this](Event event) { Ring.record(std::move(event)); },
          secureRandom),
      State(io, Options, Counters,
            [this](Event event) { Ring.record(std::move(event)); },
            peersOf(Control),
            {[this] { return Ring.stamp(); },
             [this](const HybridTime &at) { Ring.observe(at); }}),
      Desk(State, edge::makeEtcdStore(Client, Options.Instance.KeyValue)),
      Callers(State, Desk, [this] { return Control.readiness(); }),

      Operators(io, operatorInit(), Counters, Ring, Client), DrainTimer(io) {}

runtime::OperatorInit EntryShell::operatorInit() {
  return {Options.self().Name,
          Options.Operators,
          operatorHooks(State),
          runtime::controlHooks(Control),
          wallNow,
          secureRandom};
}

EntryShell::~EntryShell() = default;

bool EntryShell::start(Error &reason) {
  Ring.record(processEvent(EventKind::ProcessStarted, Options.self().Name));
  Control.onPublished([this](std::shared_ptr<const Snapshot> snapshot) {
    State.publish(std::move(snapshot));
  });
  Control.onQuotaRequest([this](const QuotaRequest &request) {
    return State.Limits.grant(request, State.table()->snapshot());
  });
  Control.onGrant(
      [this](const QuotaGrant &grant) { State.Limits.apply(grant); });
  return Control.start(reason) && Operators.start(reason) &&
         Callers.start(reason);
}

void EntryShell::drain(std::function<void()> done) {
  Ring.record(processEvent(EventKind::ProcessDraining, Options.self().Name));
  Drained = std::move(done);
  DrainSince = monotonicNow();
  State.Draining.store(true, std::memory_order_relaxed);
  Control.leave();
  watchDrain();
}

/// Callers that still come are refused politely for a while; what runs is
/// finished however long it takes.
void EntryShell::watchDrain() {
  bool noticed = monotonicNow() - DrainSince >= Options.DrainNotice;
  bool idle = State.Running.load(std::memory_order_acquire) == 0 &&
              Callers.unsentAnswers() == 0;
  if (noticed && idle) {
    Callers.stopAccepting();
    Operators.stopAccepting();
    State.Links.stop();
    Control.stop();
    return Drained();
  }
  DrainTimer.expires_after(DrainCheck);
  DrainTimer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      watchDrain();
  });
}

} // namespace daisytack::entry
