#include "base/standard_metrics.h"

#include <mutex>

namespace daisytack {

namespace {

constexpr const char *OtherName = "other";
constexpr const char *ControlBytesHelp = "Bytes of messages between peers.";

} // namespace

ServingSeries ServingMetrics::of(const std::string &model,
                                 const std::string &requestClass) {
  Pair pair{model, requestClass};
  {
    std::shared_lock guard(Lock);
    auto it = Known.find(pair);
    if (it != Known.end())
      return it->second;
  }
  std::unique_lock guard(Lock);
  if (Known.size() >= MaxPairs && !Known.contains(pair))
    pair = {OtherName, OtherName};
  auto it = Known.find(pair);
  if (it == Known.end())
    it = Known.emplace(pair, make(pair)).first;
  return it->second;
}

ServingSeries ServingMetrics::make(const Pair &pair) {
  std::vector<Label> labels{{"model", pair.first}, {"class", pair.second}};
  return {Owner.distribution(metric::FirstToken,
                             "From a request's arrival to its first token.",
                             Distribution::Unit::Seconds, labels),
          Owner.counter(metric::PromptTokens, "Prompt tokens of whole answers.",
                        labels),
          Owner.counter(metric::RecomputedTokens,
                        "Prompt tokens prefilled rather than reused.", labels)};
}

Counter &LinkMetrics::bytes(Metrics &metrics, const std::string &tier,
                            const std::string &direction) {
  return metrics.counter(metric::LinkBytes,
                         "Bytes of kept context over links to stores.",
                         {{"direction", direction}, {"tier", tier}});
}

ControlMetrics::ControlMetrics(Metrics &metrics, int64_t bytesPerSecondBudget)
    : BytesSent(metrics.counter(metric::ControlBytes, ControlBytesHelp,
                                {{"direction", "sent"}})),
      BytesReceived(metrics.counter(metric::ControlBytes, ControlBytesHelp,
                                    {{"direction", "received"}})),
      CpuMicros(
          metrics.counter(metric::ControlCpu, "Processor time of control.")) {
  metrics
      .gauge(metric::ControlBytesBudget,
             "Bytes of messages between peers that are allowed.")
      .set(bytesPerSecondBudget);
  metrics
      .gauge(metric::ControlCpuBudget,
             "Processor time of control that is allowed.")
      .set(ControlCpuMicrosPerSecond);
}

} // namespace daisytack
