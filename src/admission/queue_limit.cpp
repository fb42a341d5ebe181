#include "admission/queue_limit.h"

#include "base/duration.h"

#include <algorithm>

namespace daisytack::admission {

uint64_t tokensAhead(const QueueLimitSettings &settings,
                     const balancing::ServerLoadView &load, uint32_t priority) {
  if (!settings.IsByTarget || priority > 0)
    return load.WaitingTokens;
  uint64_t others =
      load.WaitingTokens - std::min(load.WaitingTokens, load.UrgentTokens);
  return load.WaitingTokens - others + std::min(others, settings.StartedTokens);
}

std::optional<double> queueLimitMs(const QueueLimitSettings &settings,
                                   const QueueTargets &targets,
                                   uint32_t priority) {
  Duration target = targets.ServiceMinimum;
  if (settings.IsByTarget)
    target = std::max(target, targets.Own);
  if (settings.QueueShare <= 0 || target <= Duration::zero())
    return std::nullopt;
  double out = millisecondsOf(target) * settings.QueueShare;
  return priority == 0 ? out * settings.UrgentFactor : out;
}

} // namespace daisytack::admission
