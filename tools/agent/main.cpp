/// daisytack-agent: runs beside one backend server, which is reached only
/// through it.
#include "agent_daemon.h"

#include "runtime/process.h"

#include <memory>

int main(int argc, char **argv) {
  using namespace daisytack;
  agent::AgentOptions options;
  std::unique_ptr<agent::AgentDaemon> daemon;

  runtime::ProcessInit init;
  init.Name = "daisytack-agent";
  init.Summary = "Accepts, queues and runs requests on one backend server.";
  init.ReadSettings = [&](Settings &settings) {
    options = agent::readAgentOptions(settings);
  };
  init.Start = [&](boost::asio::io_context &io, Error &reason) {
    daemon = std::make_unique<agent::AgentDaemon>(io, options);
    return daemon->start(reason);
  };
  init.Drain = [&](TimePoint, std::function<void(bool)> done) {
    daemon->drain([done = std::move(done)] { done(true); });
  };
  init.Stop = [&] { daemon.reset(); };
  runtime::endProcess(runtime::runProcess(argc, argv, init));
}
