/// Stand-in of the weight store: any bytes, at a limited rate in all.
#include "host.h"

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
  explicit WeightStore(Host &host) : Shared(host) {
    Shared.OnRequest = [this](const auto &request, const auto &exchange) {
      onRequest(request, exchange);
    };
    Shared.OnStats = [this](json::object &out) { out["loads"] = Loads.size(); };
    Shared.every(Tick, [this] { send(); });
  }

private:
  struct Load {
    Exchange To;
    uint64_t Left = 0;
  };

  static bool isKnown(const std::string &version) {
    std::string all = "," + FLAGS_versions + ",";
    return all.find("," + version + ",") != std::string::npos;
  }

  void onRequest(const HttpRequest &request, const Exchange &exchange) {
    auto parts = partsOf(request.Path);
    if (parts.size() != 3 || parts[0] != "weights" || !isKnown(parts[2]))
      return respondError(exchange, 404, "unknown version");
    exchange->beginStream(200,
                          {{"X-Length", std::to_string(FLAGS_weights_bytes)}});
    exchange->onClosed([this, raw = exchange.get()] {
      Loads.remove_if([raw](const Load &l) { return l.To.get() == raw; });
    });
    Loads.push_back({exchange, FLAGS_weights_bytes});
    Shared.count("started");
  }

  void send() {
    if (Loads.empty())
      return;
    double perTick =
        FLAGS_weights_rate * static_cast<double>(Tick.count()) / 1e6;
    auto share =
        static_cast<uint64_t>(perTick / static_cast<double>(Loads.size()));
    for (Load &load : Loads) {
      uint64_t n = std::min<uint64_t>(load.Left, std::max<uint64_t>(share, 1));
      load.To->write(std::string(n, 'w'));
      load.Left -= n;
      if (load.Left == 0)
        load.To->endStream();
    }
    Loads.remove_if([](const Load &load) { return load.Left == 0; });
  }

  Host &Shared;
  std::list<Load> Loads;
};

} // namespace

int runWeights(Host &host) {
  WeightStore store(host);
  return host.run();
}

} // namespace daisytack::standin
