#include "agent_options.h"

#include "base/digest.h"

#include <chrono>

namespace daisytack::agent {

using namespace std::chrono_literals;

namespace {

constexpr int64_t MaxRunningLimit = MaxRunSlots;
/// The engine prefills sequentially, and the agent can't reorder requests that
/// wait inside the engine.
constexpr int64_t DefaultPrefills = 1;
constexpr int64_t MaxWaitingLimit = 1'000'000;

void readServer(Settings &settings, AgentOptions &out) {
  out.Core.Serves = settings.text("agent.serves", std::nullopt);
  out.Core.IsService =
      settings.choice("agent.kind", "model", {"model", "service"}) == "service";
  out.Server = settings.endpoint("agent.server", std::nullopt);
  out.Core.Queue.Slots = static_cast<uint32_t>(
      settings.integer("agent.max_running", 32, 1, MaxRunningLimit));
  out.Core.MaxWaiting = static_cast<uint32_t>(
      settings.integer("agent.max_waiting", 4096, 1, MaxWaitingLimit));
  // A plain service has no prefill.
  int64_t prefills = out.Core.IsService ? 0 : DefaultPrefills;
  out.Core.Queue.MaxPrefills = static_cast<uint32_t>(
      settings.integer("agent.max_prefills", prefills, 0, MaxRunningLimit));
}

void readAnswers(Settings &settings, AgentOptions &out) {
  out.Core.ResumeWindow =
      settings.duration("agent.resume_window", 10s, 0s, 10min);
  out.Core.MaxAnswerBytes =
      settings.bytes("agent.max_answer_bytes", 4U << 20, 1024, 1U << 30);
  out.Core.MaxTotalAnswerBytes =
      settings.bytes("agent.max_held_bytes", 64U << 20, 1024, 1ULL << 34);
}

void readEngine(Settings &settings, AgentOptions &out) {
  out.Core.StatusPeriod =
      settings.duration("engine.status_period", 500ms, 10ms, 1min);
  out.Core.CacheEventPeriod =
      settings.duration("engine.cache_event_period", 200ms, 10ms, 1min);
  out.Core.EngineTimeout =
      settings.duration("engine.silence_limit", 3s, 100ms, 10min);
}

/// Parses "FAILURE_DOMAIN IP:PORT".
StoreInstance readStore(Settings &settings, const std::string &name) {
  std::string key = "stores." + name;
  std::string text = settings.text(key, std::nullopt);
  StoreInstance out;
  out.Name = name;
  out.NameHash = hashName(name);
  size_t space = text.find(' ');
  out.FailureDomain = text.substr(0, space);
  auto address = space == std::string::npos
                     ? std::nullopt
                     : parseEndpoint(text.substr(space + 1));
  if (address)
    out.Address = *address;
  else
    settings.reject(key, "write FAILURE_DOMAIN IP:PORT");
  return out;
}

void readStores(Settings &settings, AgentOptions &out) {
  serve::StoreSettings &stores = out.Core.Stores;
  for (const std::string &name : settings.keysOf("stores"))
    stores.Instances.push_back(readStore(settings, name));
  stores.Link.BytesPerSecond = static_cast<double>(settings.bytes(
      "context.link_bytes_per_second", 100U << 20, 1024, 1ULL << 40));
  stores.DiskBytesPerSecond = static_cast<double>(settings.bytes(
      "context.disk_bytes_per_second", 50U << 20, 1024, 1ULL << 40));
  stores.LookupTimeout =
      settings.duration("context.lookup_timeout", 100ms, 1ms, 10s);
  stores.ReadTimeout = settings.duration("context.read_timeout", 5s, 1ms, 1min);
  stores.WriteTimeout =
      settings.duration("context.write_timeout", 5s, 1ms, 1min);
  std::string goal = settings.choice("context.goal", "first_token",
                                     {"first_token", "recompute"});
  out.Core.Fetch.Weights =
      goal == "recompute" ? recomputeWeights() : firstTokenWeights();
}

} // namespace

AgentOptions readAgentOptions(Settings &settings) {
  AgentOptions out;
  out.Instance = runtime::readInstanceSettings(settings, MemberRole::Agent);
  out.Operators =
      runtime::readOperatorSettings(settings, out.Instance.Control.Self.Peer);
  readServer(settings, out);
  readAnswers(settings, out);
  readEngine(settings, out);
  out.Weights = settings.endpoint("platform.weights", Endpoint());
  readStores(settings, out);
  Member &self = out.Instance.Control.Self;
  self.Serves = out.Core.Serves;
  self.IsService = out.Core.IsService;
  out.Core.Instance = self.Name;
  return out;
}

} // namespace daisytack::agent
