// daisytack-entry: accepts callers' HTTP requests and forwards them to agents,
// or directly to backend servers.
#include "entry_daemon.h"
#include "gateway/gateway.h"
#include "platform/kv_store.h"
#include "platform/protocol.h"
#include "runtime/process.h"

#include <optional>

using namespace daisytack;

int main(int argc, char **argv) {
  runtime::mapLargeBlocks();
  entry::EntryOptions options;
  std::optional<gateway::GatewayOptions> gatewayOptions;
  std::unique_ptr<entry::EntryDaemon> daemon;
  std::unique_ptr<gateway::Gateway> gateway;
  runtime::ProcessInit init;
  init.Name = "daisytack-entry";
  init.Summary = "Takes callers' requests and has them run by backend servers.";
  init.ReadSettings = [&](Settings &settings) {
    if (gateway::isGatewaySettings(settings))
      gatewayOptions = gateway::readGatewayOptions(settings);
    else
      options = entry::readEntryOptions(settings);
  };
  init.Start = [&](boost::asio::io_context &io, Error &reason) {
    if (gatewayOptions) {
      gateway = std::make_unique<gateway::Gateway>(
          io, *gatewayOptions, platform::makeProtocol(), platform::makeKvStore);
      return gateway->start(reason);
    }
    daemon = std::make_unique<entry::EntryDaemon>(io, options);
    return daemon->start(reason);
  };
  init.Drain = [&](TimePoint end, std::function<void(bool)> done) {
    if (gateway)
      gateway->drain(end, std::move(done));
    else
      daemon->drain([done = std::move(done)] { done(true); });
  };
  init.Reload = [&] {
    if (gateway && gatewayOptions)
      gateway->reload(*gatewayOptions);
  };
  init.MemoryLimit = [&]() -> uint64_t {
    return gatewayOptions ? gatewayOptions->MemoryBytes : 0;
  };
  init.Stop = [&] {
    gateway.reset();
    daemon.reset();
  };
  runtime::endProcess(runtime::runProcess(argc, argv, init));
}
