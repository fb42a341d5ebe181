/// Stand-in for the weight store: serves filler bytes at a rate that all loads
/// share.
#include "standin_server.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <list>

DEFINE_uint64(weights_bytes, 1U << 20, "size of one version's weights");
DEFINE_double(weights_rate, 1 << 21, "bytes a second over all loads");
DEFINE_string(versions, "v1,v2,v3", "known versions, comma-separated");

namespace daisytack::standin {

namespace {

constexpr Duration Tick{20'000};

class WeightStore {
public:
  explicit WeightStore(StandinServer &server) : Server(server) {
    Server.OnRequest = [this](const auto &request, const auto &exchange) {
      onRequest(request, exchange);
    };
    Server.OnStats = [this](json::object &out) { out["loads"] = Loads.size(); };
    Server.every(Tick, [this] { sendChunks(); });
  }

private:
  struct Load {
    Exchange ClientExchange;
    uint64_t BytesLeft = 0;
  };

  static bool isKnown(const std::string &version) {
    std::string all = "," + FLAGS_versions + ",";
    return all.find("," + version + ",") != std::string::npos;
  }

  void onRequest(const HttpRequest &request, const Exchange &exchange) {
    auto segments = pathSegments(request.Path);
    if (segments.size() != 3 || segments[0] != "weights" ||
        !isKnown(segments[2]))
      return respondError(exchange, 404, "unknown version");
    exchange->beginStream(200,
                          {{"X-Length", std::to_string(FLAGS_weights_bytes)}});
    exchange->onClosed([this, raw = exchange.get()] {
      Loads.remove_if(
          [raw](const Load &l) { return l.ClientExchange.get() == raw; });
    });
    Loads.push_back({exchange, FLAGS_weights_bytes});
    Server.count("started");
  }

  void sendChunks() {
    if (Loads.empty())
      return;
    double perTick =
        FLAGS_weights_rate * static_cast<double>(Tick.count()) / 1e6;
    auto bytesPerLoad =
        static_cast<uint64_t>(perTick / static_cast<double>(Loads.size()));
    for (Load &load : Loads) {
      uint64_t n = std::min<uint64_t>(load.BytesLeft,
                                      std::max<uint64_t>(bytesPerLoad, 1));
      load.ClientExchange->write(std::string(n, 'w'));
      load.BytesLeft -= n;
      if (load.BytesLeft == 0)
        load.ClientExchange->endStream();
    }
    Loads.remove_if([](const Load &load) { return load.BytesLeft == 0; });
  }

  StandinServer &Server;
  std::list<Load> Loads;
};

} // namespace

int runWeights(StandinServer &server) {
  WeightStore store(server);
  return server.run();
}

} // namespace daisytack::standin
