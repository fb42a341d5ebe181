#include "runtime/control_runtime.h"

#include "base/clock.h"
#include "control/control_state.h"
#include "edge/kv_budget.h"
#include "runtime/command_runner.h"
#include "runtime/service_reader.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::runtime {

namespace {

constexpr Duration LeastPublishPause{5'000};
constexpr Duration MostPublishPause{1'000'000};
/// Building snapshots takes at most one part in this many of the time.
constexpr int PublishShare = 10;
constexpr Duration TickInterval{50'000};
constexpr Duration CommandTimeout{10'000'000};

} // namespace

struct ControlRuntime::Impl : std::enable_shared_from_this<Impl> {
  Impl(boost::asio::io_context &io, ControlInit init, const edge::KvStore &kv,
       const edge::InstanceList &list, Metrics &metrics,
       const EventSink &events, RandomSource random)
      : Init(std::move(init)), On(boost::asio::make_strand(io)),
        Budget(std::make_shared<edge::CallBudget>(Init.ServiceCallsPerSecond,
                                                  &monotonicNow, metrics)),
        Kv(edge::withBudget(kv, Budget)), List(edge::withBudget(list, Budget)),
        Events(events), Random(std::move(random)), State({}, events),
        Current(std::make_shared<const Snapshot>()), TickTimer(On),
        PublishTimer(On) {}

  void start();
  void stop();
  ServiceReaderHooks readerHooks();
  void tick();
  void onServiceAttempt(const Error &reason);
  bool accept(const edge::KvHeader &header, uint64_t atLeast);
  void changed();
  void publish();
  void refreshReadiness();
  void sayState(MemberState state);
  void propose(control::Command command, CommandDone done);

  ControlInit Init;
  Strand On;
  std::shared_ptr<edge::CallBudget> Budget;
  edge::KvStore Kv;
  edge::InstanceList List;
  EventSink Events;
  RandomSource Random;
  control::ControlState State;
  Rcu<Snapshot> Current;
  std::function<void(std::shared_ptr<const Snapshot>)> Published;
  std::shared_ptr<ServiceReader> Reader;
  boost::asio::steady_timer TickTimer;
  boost::asio::steady_timer PublishTimer;
  bool PublishPending = false;
  Duration LastBuild{0};
  TimePoint LastPublish;
  control::SignalContent Own;
  bool Stopped = false;
  bool ServiceReached = true;
  std::string ServiceProblem;

  mutable std::mutex ViewLock; ///< Over View and Ready only.
  ControlStats View;
  Readiness Ready{false, "not started"};
};

void ControlRuntime::Impl::start() {
  Own.Generation = static_cast<uint64_t>(wallNow().time_since_epoch().count());
  Own.Process = Init.Process;
  Reader = std::make_shared<ServiceReader>(
      On,
      ServiceReaderInit{.Timeout = Init.ServiceTimeout,
                        .ListInterval = Init.ListInterval},
      Kv, List, readerHooks(), Random);
  boost::asio::post(On, [self = shared_from_this()] {
    self->sayState(MemberState::Live);
    self->refreshReadiness();
    self->Reader->setActive(true);
    self->tick();
  });
}

void ControlRuntime::Impl::stop() {
  boost::asio::post(On, [self = shared_from_this()] {
    self->Stopped = true;
    self->Reader->setActive(false);
    self->TickTimer.cancel();
    self->PublishTimer.cancel();
  });
}

ServiceReaderHooks ControlRuntime::Impl::readerHooks() {
  // The reader belongs to this object and is silenced before it goes.
  ServiceReaderHooks hooks;
  hooks.ConfigWatermark = [this] { return State.config().watermark(); };
  hooks.MemberWatermark = [this] { return State.members().watermark(); };
  hooks.Accept = [this](const edge::KvHeader &header, uint64_t atLeast) {
    return accept(header, atLeast);
  };
  hooks.Config = [this](const control::ReplicaDelta &delta) {
    State.mergeConfig(delta);
    changed();
  };
  hooks.Members = [this](const control::ReplicaDelta &delta) {
    State.mergeMembers(delta);
    changed();
  };
  hooks.Attempted = [this](const Error &reason) { onServiceAttempt(reason); };
  return hooks;
}

void ControlRuntime::Impl::tick() {
  TickTimer.expires_after(TickInterval);
  TickTimer.async_wait(
      [self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec && !self->Stopped)
          self->tick();
      });
  State.expire(monotonicNow());
  changed();
}

void ControlRuntime::Impl::onServiceAttempt(const Error &reason) {
  bool reached = !reason;
  ServiceProblem = reason.Detail;
  if (reached != std::exchange(ServiceReached, reached)) {
    Event event;
    event.Kind = reached ? EventKind::ServiceBack : EventKind::ServiceLost;
    event.Reason = reason.Kind;
    event.Subject = Init.Self.Name;
    Events(event);
  }
  refreshReadiness();
}

bool ControlRuntime::Impl::accept(const edge::KvHeader &header,
                                  uint64_t atLeast) {
  Error reason;
  if (State.acceptService(header, atLeast, reason))
    return true;
  onServiceAttempt(reason);
  return false;
}

void ControlRuntime::Impl::changed() {
  if (PublishPending)
    return;
  PublishPending = true;
  Duration pause =
      std::clamp(LastBuild * PublishShare, LeastPublishPause, MostPublishPause);
  TimePoint at = std::max(LastPublish + pause, monotonicNow());
  PublishTimer.expires_after(at - monotonicNow());
  PublishTimer.async_wait(
      [self = shared_from_this()](const boost::system::error_code &ec) {
        self->PublishPending = false;
        if (!ec)
          self->publish();
      });
}

void ControlRuntime::Impl::publish() {
  TimePoint begin = monotonicNow();
  std::shared_ptr<const Snapshot> next = State.takeSnapshot();
  if (!next)
    return;
  LastPublish = monotonicNow();
  LastBuild = LastPublish - begin;
  Current.publish(next);
  refreshReadiness();
  if (Published)
    Published(next);
}

void ControlRuntime::Impl::refreshReadiness() {
  Readiness ready;
  std::string why = ServiceProblem.empty() ? "still reading" : ServiceProblem;
  if (State.config().watermark() == 0)
    ready.Reason = "no configuration yet: " + why;
  else if (State.members().watermark() == 0)
    ready.Reason = "no instances yet: " + why;
  ready.Ready = ready.Reason.empty();
  std::lock_guard guard(ViewLock);
  Ready = std::move(ready);
  View.ConfigRevision = Current.load()->ConfigRevision;
  View.MemberVersion = Current.load()->MemberVersion;
  View.Objects = State.config().size();
  View.Members = State.memberTable().size();
  View.Reader = Reader && Reader->isActive();
  View.ServiceReached = ServiceReached;
}

void ControlRuntime::Impl::sayState(MemberState state) {
  Own.State = std::max(Own.State, state);
  State.hear({{Init.Self.Name, Own}, 0}, monotonicNow());
  changed();
}

void ControlRuntime::Impl::propose(control::Command command, CommandDone done) {
  std::string key = toText(command.Key);
  std::optional<control::ReplicaEntry> base;
  if (const control::ReplicaEntry *entry = State.config().find(key))
    base = *entry;
  runCommand(On, Kv, std::move(command), std::move(base), Init.ServiceTimeout,
             CommandTimeout, std::move(done));
}

ControlRuntime::ControlRuntime(boost::asio::io_context &io, ControlInit init,
                               edge::KvStore kv, edge::InstanceList list,
                               Metrics &metrics, EventSink events,
                               RandomSource random)
    : Self(std::make_shared<Impl>(io, std::move(init), kv, list, metrics,
                                  events, std::move(random))) {}

ControlRuntime::~ControlRuntime() { stop(); }

bool ControlRuntime::start(Error & /*reason*/) {
  Self->start();
  return true;
}

void ControlRuntime::stop() { Self->stop(); }

const Rcu<Snapshot> &ControlRuntime::snapshots() const { return Self->Current; }

Readiness ControlRuntime::readiness() const {
  std::lock_guard guard(Self->ViewLock);
  return Self->Ready;
}

ControlStats ControlRuntime::stats() const {
  std::lock_guard guard(Self->ViewLock);
  ControlStats out = Self->View;
  out.ServiceCalls = Self->Budget->calls();
  return out;
}

void ControlRuntime::onPublished(
    std::function<void(std::shared_ptr<const Snapshot>)> hook) {
  Self->Published = std::move(hook);
}

void ControlRuntime::leave() {
  boost::asio::post(Self->On,
                    [self = Self] { self->sayState(MemberState::Leaving); });
}

void ControlRuntime::reportDraining(const std::string &instance) {
  boost::asio::post(Self->On, [self = Self, instance] {
    self->State.observeLeaving(instance, monotonicNow());
    self->changed();
  });
}

void ControlRuntime::propose(control::Command command,
                             std::function<void(control::CommandResult)> done) {
  boost::asio::post(Self->On, [self = Self, command = std::move(command),
                               done = std::move(done)]() mutable {
    self->propose(std::move(command), std::move(done));
  });
}

void ControlRuntime::gatherInForce(uint64_t revision, Duration /*timeout*/,
                                   std::function<void(ForceReport)> done) {
  ForceReport report;
  report.Members = 1;
  report.Asked = 1;
  report.InForce = Self->Current.load()->ConfigRevision >= revision ? 1 : 0;
  boost::asio::post(Self->On,
                    [done = std::move(done), report] { done(report); });
}

} // namespace daisytack::runtime
