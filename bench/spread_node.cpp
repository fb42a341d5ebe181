/// A process that runs only the control plane, for scripts/bench-spread.
///
/// Appends a line of JSON to the report at the start and on every SIGUSR1 and
/// SIGTERM: time, processor time, memory, counters, and the snapshots published
/// since the last line.
#include "base/clock.h"
#include "base/digest.h"
#include "edge/instance_list_http.h"
#include "edge/kv_etcd.h"
#include "runtime/control_runtime.h"

#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <sys/resource.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <mutex>

DEFINE_string(name, "", "instance name");
DEFINE_string(domain, "d", "failure domain");
DEFINE_string(region, "r", "region");
DEFINE_string(peer, "", "peers' address");
DEFINE_string(kv, "", "key-value service");
DEFINE_string(list, "", "instance list");
DEFINE_string(seed, "", "a peer to start from");
DEFINE_string(report, "", "file to append to");

namespace {

using namespace daisytack;
namespace json = boost::json;

int64_t toMicroseconds(const timeval &time) {
  return int64_t{time.tv_sec} * 1'000'000 + time.tv_usec;
}

int64_t monotonicMicroseconds() {
  return monotonicNow().time_since_epoch().count();
}

/// Collects published snapshots and writes the report.
class Reporter {
public:
  void recordPublished(const Snapshot &snapshot) {
    std::lock_guard guard(Lock);
    Published.push_back(
        json::array{snapshot.ConfigRevision, monotonicMicroseconds()});
  }

  void write(const runtime::ControlRuntime &control) {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    runtime::ControlStats stats = control.stats();
    json::object line{{"at", monotonicMicroseconds()},
                      {"ready", control.readiness().Ready},
                      {"cpu", toMicroseconds(usage.ru_utime) +
                                  toMicroseconds(usage.ru_stime)},
                      {"memory_kb", usage.ru_maxrss},
                      {"revision", stats.ConfigRevision},
                      {"members", stats.Members},
                      {"reader", stats.Reader},
                      {"calls", stats.ServiceCalls},
                      {"sent", stats.BytesSent},
                      {"received", stats.BytesReceived},
                      {"held", stats.Gossip.RateLimited}};
    std::lock_guard guard(Lock);
    line["published"] = std::exchange(Published, {});
    std::ofstream(FLAGS_report, std::ios::app) << json::serialize(line) << "\n";
  }

private:
  std::mutex Lock;
  json::array Published;
};

std::optional<runtime::ControlInit> readInit() {
  runtime::ControlInit init;
  std::optional<Endpoint> peer = parseEndpoint(FLAGS_peer);
  if (!peer)
    return std::nullopt;
  init.Self.Name = FLAGS_name;
  init.Self.Region = FLAGS_region;
  init.Self.FailureDomain = FLAGS_domain;
  init.Self.Peer = *peer;
  init.Process = randomId(&secureRandom);
  init.Keys = {{"bench", "a secret for loopback only"}};
  if (std::optional<Endpoint> seed = parseEndpoint(FLAGS_seed))
    init.Seeds.push_back(*seed);
  return init;
}

void reportOnSignal(boost::asio::signal_set &signals, Reporter &reporter,
                    runtime::ControlRuntime &control,
                    boost::asio::io_context &io) {
  signals.async_wait([&](const boost::system::error_code &ec, int number) {
    if (ec)
      return;
    reporter.write(control);
    if (number == SIGTERM)
      return io.stop();
    reportOnSignal(signals, reporter, control, io);
  });
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::optional<Endpoint> kv = parseEndpoint(FLAGS_kv);
  std::optional<Endpoint> list = parseEndpoint(FLAGS_list);
  std::optional<runtime::ControlInit> init = readInit();
  if (!kv || !list || !init) {
    // A run without arguments, as by a check of all benchmarks, succeeds
    // without doing anything.
    std::cerr << "run by scripts/bench-spread\n";
    return argc == 1 && FLAGS_name.empty() ? 0 : 2;
  }
  boost::asio::io_context io(1);
  net::HttpClient client(io, {});
  Metrics metrics;
  Reporter reporter;
  runtime::ControlRuntime control(
      io, *init, edge::makeEtcdStore(client, {*kv}),
      edge::makeHttpInstanceList(client, *list), metrics, [](const Event &) {},
      &secureRandom);
  control.onPublished([&](const std::shared_ptr<const Snapshot> &snapshot) {
    reporter.recordPublished(*snapshot);
  });
  Error reason;
  if (!control.start(reason)) {
    std::cerr << reason.Detail << "\n";
    return 1;
  }
  boost::asio::signal_set signals(io, SIGUSR1, SIGTERM);
  reportOnSignal(signals, reporter, control, io);
  // The first line of the report shows that signals are handled from now on.
  reporter.write(control);
  io.run();
  return 0;
}
