#include "agent_options.h"

#include <chrono>

namespace daisytack::agent {

using namespace std::chrono_literals;

namespace {

constexpr int64_t MaxRunningAtMost = MaxRunSlots;
constexpr int64_t MaxWaitingAtMost = 1'000'000;

void readServer(Settings &settings, AgentOptions &out) {
  out.Core.Serves = settings.text("agent.serves", std::nullopt);
  out.Core.IsService =
      settings.choice("agent.kind", "model", {"model", "service"}) == "service";
  out.Server = settings.endpoint("agent.server", std::nullopt);
  out.Core.Queue.Slots = static_cast<uint32_t>(
      settings.integer("agent.max_running", 32, 1, MaxRunningAtMost));
  out.Core.MaxWaiting = static_cast<uint32_t>(
      settings.integer("agent.max_waiting", 4096, 1, MaxWaitingAtMost));
}

void readAnswers(Settings &settings, AgentOptions &out) {
  out.Core.ResumeWindow =
      settings.duration("agent.resume_window", 10s, 0s, 10min);
  out.Core.MaxAnswerBytes =
      settings.bytes("agent.max_answer_bytes", 4U << 20, 1024, 1U << 30);
  out.Core.MaxHeldBytes =
      settings.bytes("agent.max_held_bytes", 64U << 20, 1024, 1ULL << 34);
}

void readEngine(Settings &settings, AgentOptions &out) {
  out.Core.StatusPeriod =
      settings.duration("engine.status_period", 500ms, 10ms, 1min);
  out.Core.CacheEventPeriod =
      settings.duration("engine.cache_event_period", 200ms, 10ms, 1min);
  out.Core.SilenceLimit =
      settings.duration("engine.silence_limit", 3s, 100ms, 10min);
}

} // namespace

AgentOptions readAgentOptions(Settings &settings) {
  AgentOptions out;
  out.Instance = runtime::readInstanceSettings(settings, MemberRole::Agent);
  readServer(settings, out);
  readAnswers(settings, out);
  readEngine(settings, out);
  out.Weights = settings.endpoint("platform.weights", Endpoint());
  out.Stores = settings.endpoints("platform.stores");
  Member &self = out.Instance.Control.Self;
  self.Serves = out.Core.Serves;
  self.IsService = out.Core.IsService;
  out.Core.Instance = self.Name;
  out.Core.Stores = static_cast<uint32_t>(out.Stores.size());
  return out;
}

} // namespace daisytack::agent
