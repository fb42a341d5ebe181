#include "direct/placement_cost.h"

#include <algorithm>
#include <utility>

namespace daisytack::direct {

uint32_t sharedTokens(const CallerHead &head) {
  uint32_t out = 0;
  for (size_t i = 0; i + 1 < head.Parts.size(); ++i)
    out += head.Parts[i].Tokens;
  return out;
}

PlacementCost::PlacementCost(PlacementSettings settings,
                             std::string failureDomain,
                             const balancing::PrefillRate &rates,
                             const KeptContext &kept)
    : Settings(settings), FailureDomain(std::move(failureDomain)), Rates(rates),
      Kept(kept) {}

double PlacementCost::prefillMs(const ForwardRequest &request,
                                double tokens) const {
  return tokens / Rates.tokensPerMs(request.Service);
}

double PlacementCost::firstTokenMs(const ForwardRequest &request,
                                   const balancing::ServerLoadView &load,
                                   uint64_t prefillTokens) const {
  auto waitingTokens = static_cast<double>(
      admission::tokensAhead(Settings.Queue, load, request.Priority) +
      prefillTokens);
  bool hasPrompt = !request.Head.Model.empty();
  return (hasPrompt ? Settings.MinFirstTokenMs : 0) +
         prefillMs(request, waitingTokens) + load.Running * Settings.RunningMs;
}

std::optional<Duration>
PlacementCost::outdatedSlack(const ForwardRequest &request,
                             const Candidate &candidate) const {
  if (candidate.OutdatedFor == Duration::zero())
    return std::nullopt;
  double waitMs =
      firstTokenMs(request, candidate.Load, request.Head.PromptTokens) *
      Settings.OldWeightsWaitFactor;
  auto wait = Duration(static_cast<int64_t>(waitMs * 1000));
  // After that the caller gives up, and the request never begins to run.
  Duration maxWait = request.MatchedRoute.MaxFirstEventWait;
  if (maxWait > Duration::zero())
    wait = std::min(wait, maxWait);
  return Settings.OldWeightsLimit - candidate.OutdatedFor - wait;
}

uint64_t PlacementCost::tokensToPrefill(const ForwardRequest &request,
                                        const BackendServer &server,
                                        const std::string &group) const {
  const CallerHead &head = request.Head;
  std::string scope = cacheScope(group, server.versionOf(head.Model));
  uint64_t out = head.PromptTokens;
  for (size_t i = 0; i + 1 < head.Parts.size(); ++i)
    if (Kept.find(scope, head.Parts[i], server.FailureDomain))
      out -= std::min<uint64_t>(out, head.Parts[i].Tokens);
  return out;
}

double PlacementCost::costMs(const ForwardRequest &request,
                             const Candidate &candidate,
                             const BackendServer *home,
                             ReusableContext &context) const {
  const BackendServer &server = *candidate.Server;
  const balancing::ServerLoadView &load = candidate.Load;
  bool isOtherDomain = server.FailureDomain != FailureDomain;
  if (request.Head.Model.empty())
    return load.Running * Settings.CallRunningMs +
           (isOtherDomain ? Settings.CallOtherDomainMs : 0);
  auto [toPrefill, isNew] =
      context.UnsavedTokens.try_emplace(server.versionOf(request.Head.Model));
  if (isNew)
    toPrefill->second = tokensToPrefill(request, server, context.Group);
  double out = firstTokenMs(request, load, toPrefill->second);
  if (isOtherDomain)
    out += Settings.OtherDomainMs;
  // Any other server fetches or prefills what the home server may still have in
  // its memory.
  if (&server != home)
    out += prefillMs(request, sharedTokens(request.Head));
  if (candidate.OutdatedFor > Settings.OldWeightsGrace)
    out += Settings.OldWeightsMs;
  return out;
}

} // namespace daisytack::direct
