/// daisytack-standin: small stand-ins for the platform's services, for
/// demonstrations and tests.
#include "standin_server.h"

#include <gflags/gflags.h>

#include <iostream>
#include <map>

DEFINE_string(listen, "127.0.0.1:0", "address and port to listen on");
DEFINE_string(name, "", "name in logs and answers; the mode when empty");
DEFINE_string(file, "", "initial content as JSON (kv and list)");
DEFINE_uint64(seed, 1, "seed of all random choices");

namespace {

using daisytack::standin::StandinServer;

const std::map<std::string, int (*)(StandinServer &)> Modes{
    {"engine", daisytack::standin::runEngine},
    {"kv", daisytack::standin::runKv},
    {"list", daisytack::standin::runList},
    {"service", daisytack::standin::runService},
    {"store", daisytack::standin::runStore},
    {"weights", daisytack::standin::runWeights}};

/// Accepts port 0, which parseEndpoint() refuses.
std::optional<daisytack::Endpoint> listenAddress(const std::string &text) {
  if (text.ends_with(":0"))
    return daisytack::Endpoint{text.substr(0, text.size() - 2), 0};
  return daisytack::parseEndpoint(text);
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage(
      "daisytack-standin kv|list|engine|store|weights|service [flags]");
  gflags::SetVersionString(DAISYTACK_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  auto mode = argc == 2 ? Modes.find(argv[1]) : Modes.end();
  if (mode == Modes.end()) {
    std::cerr << "usage: " << gflags::ProgramUsage() << "\n";
    return 2;
  }
  auto listen = listenAddress(FLAGS_listen);
  if (!listen) {
    std::cerr << "--listen=" << FLAGS_listen << ": give ADDRESS:PORT\n";
    return 2;
  }
  StandinServer server({*listen, FLAGS_name.empty() ? mode->first : FLAGS_name,
                        FLAGS_file, FLAGS_seed});
  return mode->second(server);
}
