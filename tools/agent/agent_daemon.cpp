#include "agent_daemon.h"

#include "base/clock.h"
#include "base/digest.h"
#include "edge/instance_list_http.h"
#include "edge/kv_etcd.h"

#include <utility>

namespace daisytack::agent {

namespace {

AgentOptions withProcessId(AgentOptions options) {
  Incarnation process = randomId(secureRandom);
  options.Core.Process = process;
  options.Instance.Control.Process = process;
  return options;
}

uint32_t countServersOfModel(const Snapshot &snapshot,
                             const std::string &model) {
  uint32_t out = 0;
  for (const daisytack::Server &it : snapshot.Servers)
    if (!it.IsService && it.Serves == model && it.State != MemberState::Gone)
      ++out;
  return out;
}

} // namespace

AgentDaemon::AgentDaemon(boost::asio::io_context &io, AgentOptions options)
    : Options(withProcessId(std::move(options))), Counters(Registry),
      Events(EventRingSize, wallNow), PlatformClient(io, net::HttpClientInit()),
      KeyValue(edge::makeEtcdStore(PlatformClient, Options.Instance.KeyValue)),
      Driver(io, Options, KeyValue,
             [this](Event event) { record(std::move(event)); },
             {[this] { return Events.stamp(); },
              [this](const HybridTime &at) { Events.observe(at); }}),
      Control(
          io, Options.Instance.Control, KeyValue,
          edge::makeHttpInstanceList(PlatformClient,
                                     Options.Instance.InstanceList),
          Registry, [this](Event event) { record(std::move(event)); },
          secureRandom),
      Operators(io,
                {Options.Core.Instance, Options.Operators,
                 operatorHooks(Driver, Options), runtime::controlHooks(Control),
                 wallNow, secureRandom},
                Registry, Events, PlatformClient) {}

AgentDaemon::~AgentDaemon() = default;

bool AgentDaemon::start(Error &reason) {
  Control.onPublished([this](const std::shared_ptr<const Snapshot> &snapshot) {
    onSnapshot(*snapshot);
  });
  Driver.onPublished([this](const serve::AgentSnapshot &snapshot) {
    Counters.updateGauges(snapshot);
  });
  return Driver.start(reason) && Control.start(reason) &&
         Operators.start(reason);
}

void AgentDaemon::drain(std::function<void()> done) {
  Control.leave();
  Driver.drain(std::move(done));
}

void AgentDaemon::record(Event event) {
  Counters.count(event);
  Events.record(std::move(event));
}

void AgentDaemon::onSnapshot(const Snapshot &snapshot) {
  serve::AgentConfig out;
  out.Revision = snapshot.ConfigRevision;
  if (const Model *model = snapshot.model(Options.Core.Serves)) {
    out.Version = model->Version;
    out.Adapter = model->Adapter;
    out.MinServers = model->MinServers;
  }
  if (const daisytack::Server *self = snapshot.server(Options.Core.Instance)) {
    out.Drained = self->Drained;
  }
  if (const Pool *pool = snapshot.pool(Options.Core.Serves, false))
    out.ServersInService = static_cast<uint32_t>(pool->Servers.size());
  out.ServersOfModel = countServersOfModel(snapshot, Options.Core.Serves);
  Driver.push(out);
}

} // namespace daisytack::agent
