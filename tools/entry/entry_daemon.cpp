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

constexpr Duration DrainCheckInterval{20'000};

Event processEvent(EventKind kind, const std::string &name) {
  Event out;
  out.Kind = kind;
  out.Subject = name;
  return out;
}

EntryPeers makePeers(runtime::ControlRuntime &control) {
  EntryPeers out;
  out.RequestQuota = [&control](const Endpoint &peer,
                                const QuotaRequest &request) {
    control.requestQuota(peer, request);
  };
  out.ReportDraining = [&control](const std::string &server) {
    control.reportDraining(server);
  };
  return out;
}

} // namespace

EntryDaemon::EntryDaemon(boost::asio::io_context &io, EntryOptions options)
    : Options(std::move(options)), Ring(EventRingSize, wallNow), Client(io, {}),
      Control(
          io, Options.Instance.Control,
          edge::makeEtcdStore(Client, Options.Instance.KeyValue),
          edge::makeHttpInstanceList(Client, Options.Instance.InstanceList),
          Registry, [this](Event event) { Ring.record(std::move(event)); },
          secureRandom),
      State(io, Options, Registry,
            [this](Event event) { Ring.record(std::move(event)); },
            makePeers(Control),
            {[this] { return Ring.stamp(); },
             [this](const HybridTime &at) { Ring.observe(at); }}),
      Tickets(State, edge::makeEtcdStore(Client, Options.Instance.KeyValue)),
      Callers(State, Tickets, [this] { return Control.readiness(); }),

      Operators(io, operatorInit(), Registry, Ring, Client), DrainTimer(io) {}

runtime::OperatorInit EntryDaemon::operatorInit() {
  return {Options.self().Name,
          Options.Operators,
          operatorHooks(State),
          runtime::controlHooks(Control),
          wallNow,
          secureRandom};
}

EntryDaemon::~EntryDaemon() = default;

bool EntryDaemon::start(Error &reason) {
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

void EntryDaemon::drain(std::function<void()> done) {
  Ring.record(processEvent(EventKind::ProcessDraining, Options.self().Name));
  OnDrained = std::move(done);
  DrainStart = monotonicNow();
  State.Draining.store(true, std::memory_order_relaxed);
  Control.leave();
  checkDrained();
}

/// New requests are refused with an answer during the drain notice, before the
/// listening socket is closed. Running requests are finished without a timeout.
void EntryDaemon::checkDrained() {
  bool isNoticeOver = monotonicNow() - DrainStart >= Options.DrainNotice;
  bool isIdle = State.Running.load(std::memory_order_acquire) == 0 &&
                Callers.unsentAnswers() == 0;
  if (isNoticeOver && isIdle) {
    Callers.stopAccepting();
    Operators.stopAccepting();
    State.Links.stop();
    Control.stop();
    return OnDrained();
  }
  DrainTimer.expires_after(DrainCheckInterval);
  DrainTimer.async_wait([this](const boost::system::error_code &ec) {
    if (!ec)
      checkDrained();
  });
}

} // namespace daisytack::entry
