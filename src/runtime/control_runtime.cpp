#include "runtime/control_runtime.h"

#include "runtime/control_process.h"

#include <utility>

namespace daisytack::runtime {

ControlRuntime::ControlRuntime(boost::asio::io_context &io, ControlInit init,
                               edge::KvStore kv, edge::InstanceList list,
                               Metrics &metrics, EventSink events,
                               RandomSource random)
    : Self(std::make_shared<ControlProcess>(io, std::move(init), kv, list,
                                            metrics, std::move(events),
                                            std::move(random))) {}

ControlRuntime::~ControlRuntime() { stop(); }

bool ControlRuntime::start(Error &reason) { return Self->start(reason); }

void ControlRuntime::stop() {
  Self->post([](ControlProcess &self) { self.stop(); });
}

const Rcu<Snapshot> &ControlRuntime::snapshots() const {
  return Self->snapshots();
}

Readiness ControlRuntime::readiness() const { return Self->readiness(); }

ControlStats ControlRuntime::stats() const { return Self->stats(); }

uint16_t ControlRuntime::peerPort() const { return Self->peerPort(); }

void ControlRuntime::onPublished(
    std::function<void(std::shared_ptr<const Snapshot>)> hook) {
  Self->Published = std::move(hook);
}

void ControlRuntime::onQuotaRequest(
    std::function<std::optional<QuotaGrant>(const QuotaRequest &)> hook) {
  Self->QuotaRequested = std::move(hook);
}

void ControlRuntime::onGrant(std::function<void(const QuotaGrant &)> hook) {
  Self->Granted = std::move(hook);
}

void ControlRuntime::requestQuota(const Endpoint &peer,
                                  const QuotaRequest &request) {
  Self->post([peer, request](ControlProcess &self) {
    self.requestQuota(peer, request);
  });
}

void ControlRuntime::setKeys(net::PeerKeys keys) {
  Self->post(
      [keys = std::move(keys)](ControlProcess &self) { self.setKeys(keys); });
}

void ControlRuntime::leave() {
  Self->post(
      [](ControlProcess &self) { self.announceState(MemberState::Leaving); });
}

void ControlRuntime::addSignal(const control::Signal &signal) {
  Self->post([signal](ControlProcess &self) { self.addSignal(signal); });
}

void ControlRuntime::reportDraining(const std::string &instance) {
  Self->post(
      [instance](ControlProcess &self) { self.reportDraining(instance); });
}

void ControlRuntime::propose(control::Command command,
                             std::function<void(control::CommandResult)> done) {
  Self->post([command = std::move(command), done = std::move(done)](
                 ControlProcess &self) { self.propose(command, done); });
}

void ControlRuntime::checkRollout(
    uint64_t revision, Duration timeout,
    std::function<void(control::RolloutReport)> done) {
  Self->post([revision, timeout, done = std::move(done)](ControlProcess &self) {
    self.checkRollout(revision, timeout, done);
  });
}

} // namespace daisytack::runtime
