#include "runtime/control_process.h"

#include "base/clock.h"
#include "wire/codec.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::runtime {

namespace {

constexpr Duration MinPublishInterval{5'000};
constexpr Duration MaxPublishInterval{1'000'000};
/// Ratio of the interval between two snapshots to the time that building one
/// takes: building takes at most one part in this many of the time, unless
/// MaxPublishInterval limits the interval.
constexpr int PublishIntervalFactor = 10;
constexpr Duration TickInterval{20'000};
/// Time that the seed peers have to answer before the platform is read instead.
constexpr Duration SeedTimeout{1'500'000};
/// Interval between updates of the statistics.
constexpr Duration ViewInterval{1'000'000};
/// Interval at which the Leaving signal is renewed. It is shorter than the
/// lifetime of a signal, so that the signal does not expire during a long
/// drain.
constexpr Duration RenewalInterval{60'000'000};

} // namespace

ControlProcess::ControlProcess(boost::asio::io_context &io, ControlInit init,
                               const edge::KvStore &kv,
                               const edge::InstanceList &list, Metrics &metrics,
                               EventSink events, RandomSource random)
    : Init(std::move(init)), Executor(boost::asio::make_strand(io)),
      Series(metrics), Budget(std::make_shared<edge::CallBudget>(
                           Init.ServiceCallsPerSecond, &monotonicNow, metrics)),
      Kv(edge::withBudget(kv, Budget)), List(edge::withBudget(list, Budget)),
      Events(std::move(events)), Random(std::move(random)), State({}, Events),
      Gossip(gossipInit(), State, Random),
      Current(std::make_shared<const Snapshot>()), TickTimer(Executor),
      PublishTimer(Executor) {
  PeerLinkInit link{Init.Self.Peer, Init.Keys, Init.Process};
  Peers =
      std::make_shared<PeerLink>(io, Executor, std::move(link), peerHooks());
}

control::GossipInit ControlProcess::gossipInit() const {
  control::GossipInit out;
  out.Self = Init.Self;
  out.Seeds = Init.Seeds;
  out.Lineage = Init.Lineage;
  out.AntiEntropyInterval = Init.AntiEntropyInterval;
  out.BytesPerSecond = Init.BytesPerSecond;
  return out;
}

bool ControlProcess::start(Error &reason) {
  if (!Peers->start(reason))
    return false;
  Started = monotonicNow();
  OwnSignal.Generation =
      static_cast<uint64_t>(wallNow().time_since_epoch().count());
  OwnSignal.Process = Init.Process;
  ServiceReaderInit reader;
  reader.Timeout = Init.ServiceTimeout;
  reader.ListInterval = Init.ListInterval;
  Reader = std::make_shared<ServiceReader>(Executor, reader, Kv, List,
                                           readerHooks(), Random);
  post([](ControlProcess &self) {
    if (!self.Init.Seeds.empty())
      self.fetchFrom(self.Init.Seeds[self.Random() % self.Init.Seeds.size()]);
    self.tick();
  });
  return true;
}

void ControlProcess::post(std::function<void(ControlProcess &)> step) {
  boost::asio::post(Executor, [self = shared_from_this(),
                               step = std::move(step)] { step(*self); });
}

void ControlProcess::stop() {
  Stopped = true;
  if (Reader)
    Reader->setActive(false);
  Peers->stop();
  TickTimer.cancel();
  PublishTimer.cancel();
}

ServiceReaderHooks ControlProcess::readerHooks() {
  // The hooks may capture `this`: the process owns the reader and deactivates
  // it before its own destruction.
  ServiceReaderHooks hooks;
  hooks.ConfigWatermark = [this] { return State.config().watermark(); };
  hooks.MemberWatermark = [this] { return State.members().watermark(); };
  hooks.Accept = [this](const edge::KvHeader &header, uint64_t atLeast) {
    return acceptHeader(header, atLeast);
  };
  hooks.Config = [this](const control::ReplicaDelta &delta) {
    State.mergeConfig(delta);
    applyActions(Gossip.onTick(monotonicNow()));
    schedulePublish();
  };
  hooks.Members = [this](const control::ReplicaDelta &delta) {
    State.mergeMembers(delta);
    applyActions(Gossip.onTick(monotonicNow()));
    schedulePublish();
  };
  hooks.CallFinished = [this](const Error &reason) { onServiceCall(reason); };
  return hooks;
}

PeerLinkHooks ControlProcess::peerHooks() {
  // The hooks may capture `this`: only the link calls them, and stop() closes
  // its sockets for good.
  PeerLinkHooks hooks;
  hooks.Message = [this](const Endpoint &from,
                         const control::PeerMessage &message) {
    onMessage(from, message);
  };
  hooks.Rejected = [this](ErrorKind kind) { onRejected(kind); };
  hooks.Serve = [this](const control::Pull &pull) {
    return Gossip.pagesFor(pull, monotonicNow());
  };
  return hooks;
}

void ControlProcess::tick() {
  TickTimer.expires_after(TickInterval);
  TickTimer.async_wait(
      [self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec && !self->Stopped)
          self->tick();
      });
  TimePoint now = monotonicNow();
  if (State.expire(now))
    schedulePublish();
  updateReader(now);
  refreshOwnSignal(now);
  advanceRolloutChecks(now);
  applyActions(Gossip.onTick(now));
  if (now < NextView)
    return;
  NextView = now + ViewInterval;
  refreshView();
}

void ControlProcess::updateReader(TimePoint now) {
  if (!computeReadiness().Ready) {
    // Without seeds, or if they have not answered in time, read the platform.
    bool waitForSeeds = !Init.Seeds.empty() && now - Started < SeedTimeout;
    Reader->setActive(!waitForSeeds);
    return;
  }
  TimePoint lastAttempt = std::max(Gossip.lastPlatformCall(), Started);
  Reader->setActive(Election.shouldRead(lastAttempt, now));
}

void ControlProcess::refreshOwnSignal(TimePoint now) {
  std::optional<control::SignalContent> known =
      State.signals().find(Init.Self.Name);
  bool isSuperseded = known && known->Process != OwnSignal.Process &&
                      known->State > MemberState::Live &&
                      OwnSignal.State == MemberState::Live;
  if (isSuperseded) {
    // The previous process of this name has left. Its generation may be higher
    // because its clock was ahead.
    OwnSignal.Generation =
        std::max(OwnSignal.Generation, known->Generation + 1);
    Gossip.publishSignal({Init.Self.Name, OwnSignal}, now);
    schedulePublish();
  }
  if (OwnSignal.State == MemberState::Leaving && now >= NextRenewal) {
    NextRenewal = now + RenewalInterval;
    ++OwnSignal.Renewal;
    Gossip.publishSignal({Init.Self.Name, OwnSignal}, now);
  }
}

void ControlProcess::onServiceCall(const Error &reason) {
  bool reached = !reason;
  Gossip.recordPlatformCall(reached, monotonicNow());
  LastServiceError = reason.Detail;
  if (reached != std::exchange(ServiceReached, reached))
    Events(makeControlEvent(reached ? EventKind::ServiceBack
                                    : EventKind::ServiceLost,
                            reason.Kind, Init.Self.Name));
  refreshView();
}

bool ControlProcess::acceptHeader(const edge::KvHeader &header,
                                  uint64_t atLeast) {
  Error reason;
  if (State.acceptService(header, atLeast, reason))
    return true;
  onServiceCall(reason);
  return false;
}

void ControlProcess::applyActions(control::GossipActions actions) {
  for (control::PeerSend &send : actions.Sends)
    Peers->send(send.To, std::move(send.Payload));
  if (actions.Fetch)
    fetchFrom(*actions.Fetch);
}

void ControlProcess::fetchFrom(const Endpoint &peer) {
  if (std::exchange(Fetching, true))
    return;
  Peers->fetch(peer, Gossip.pullMessage(monotonicNow()),
               [self = shared_from_this()](
                   const std::optional<control::StateUpdate> &whole,
                   const Error &error) {
                 self->Fetching = false;
                 self->LastPeerError = error.Detail;
                 if (self->Stopped)
                   return;
                 if (whole)
                   self->Gossip.onFetched(*whole, monotonicNow());
                 self->schedulePublish();
               });
}

void ControlProcess::onMessage(const Endpoint &from,
                               const control::PeerMessage &message) {
  if (Stopped)
    return;
  if (const auto *probe = std::get_if<control::RevisionProbe>(&message)) {
    control::RevisionAnswer answer{probe->Nonce,
                                   Current.load()->ConfigRevision};
    Peers->send(from, wire::encode(control::PeerMessage(answer)));
  } else if (const auto *revision =
                 std::get_if<control::RevisionAnswer>(&message)) {
    for (auto &[number, pending] : RolloutChecks)
      pending.State.onAnswer(*revision);
  } else if (const auto *request = std::get_if<QuotaRequest>(&message)) {
    std::optional<QuotaGrant> grant;
    if (QuotaRequested)
      grant = QuotaRequested(*request);
    if (grant)
      Peers->send(from, wire::encode(control::PeerMessage(*grant)));
  } else if (const auto *grant = std::get_if<QuotaGrant>(&message)) {
    if (Granted)
      Granted(*grant);
  } else {
    applyActions(Gossip.onMessage(from, message, monotonicNow()));
    schedulePublish();
  }
}

void ControlProcess::onRejected(ErrorKind kind) {
  Series.countRejected(kind);
  Events(makeControlEvent(EventKind::PeerRejected, kind, Init.Self.Name));
}

void ControlProcess::schedulePublish() {
  if (PublishPending || Stopped)
    return;
  PublishPending = true;
  Duration interval = std::clamp(LastBuild * PublishIntervalFactor,
                                 MinPublishInterval, MaxPublishInterval);
  TimePoint now = monotonicNow();
  PublishTimer.expires_after(std::max(LastPublish + interval, now) - now);
  PublishTimer.async_wait(
      [self = shared_from_this()](const boost::system::error_code &ec) {
        self->PublishPending = false;
        if (!ec && !self->Stopped)
          self->publish();
      });
}

void ControlProcess::publish() {
  TimePoint begin = monotonicNow();
  std::shared_ptr<const Snapshot> next = State.takeSnapshot();
  if (next) {
    bool membersChanged = next->MemberVersion != Current.load()->MemberVersion;
    if (membersChanged || Gossip.peers() + 1 != State.memberTable().size())
      Gossip.refreshPeers();
    Election.setRank(control::readerRank(State.memberTable(), Init.Self));
    Current.publish(next);
    LastPublish = monotonicNow();
    LastBuild = LastPublish - begin;
  }
  refreshView();
  if (next && Published)
    Published(next);
}

Readiness ControlProcess::computeReadiness() const {
  Readiness out;
  if (State.config().watermark() == 0)
    out.Reason = "no configuration yet";
  else if (State.members().watermark() == 0)
    out.Reason = "no list of instances yet";
  out.Ready = out.Reason.empty();
  if (out.Ready)
    return out;
  out.Reason += ": ";
  out.Reason +=
      LastServiceError.empty() ? "platform not answered yet" : LastServiceError;
  if (!LastPeerError.empty())
    out.Reason += "; seed peers: " + LastPeerError;
  return out;
}

void ControlProcess::refreshView() {
  std::lock_guard guard(ViewLock);
  Ready = computeReadiness();
  View.ConfigRevision = Current.load()->ConfigRevision;
  View.MemberVersion = Current.load()->MemberVersion;
  View.Objects = State.config().size();
  View.Members = State.memberTable().size();
  View.Reader = Reader && Reader->isActive();
  View.ServiceReached = ServiceReached;
  View.SinceReached.reset();
  if (Gossip.lastPlatformAnswer() != control::NeverTime)
    View.SinceReached = monotonicNow() - Gossip.lastPlatformAnswer();
  View.UnreadableObjects = State.rejectedConfig().size();
  View.Gossip = Gossip.stats();
  View.BytesSent = Peers->bytesSent();
  View.BytesReceived = Peers->bytesReceived();
  Series.update(View);
}

void ControlProcess::announceState(MemberState state) {
  OwnSignal.State = std::max(OwnSignal.State, state);
  TimePoint now = monotonicNow();
  NextRenewal = now + RenewalInterval;
  Gossip.publishSignal({Init.Self.Name, OwnSignal}, now);
  applyActions(Gossip.onTick(now));
  schedulePublish();
}

void ControlProcess::addSignal(const control::Signal &signal) {
  Gossip.publishSignal(signal, monotonicNow());
  schedulePublish();
}

void ControlProcess::reportDraining(const std::string &instance) {
  State.observeLeaving(instance, monotonicNow());
  schedulePublish();
}

void ControlProcess::setKeys(net::PeerKeys keys) {
  Peers->setKeys(std::move(keys));
}

Readiness ControlProcess::readiness() const {
  std::lock_guard guard(ViewLock);
  return Ready;
}

ControlStats ControlProcess::stats() const {
  std::lock_guard guard(ViewLock);
  ControlStats out = View;
  out.ServiceCalls = Budget->calls();
  out.BytesSent = Peers->bytesSent();
  out.BytesReceived = Peers->bytesReceived();
  return out;
}

} // namespace daisytack::runtime
