#include "direct/eligibility.h"

#include <algorithm>

namespace daisytack::direct {

namespace {

double coldRateOf(const Catalog &catalog, const BackendServer &server) {
  const Service *service =
      catalog.Config ? catalog.Config->findService(server.Service) : nullptr;
  return service ? service->ColdRequestsPerSecond : 0;
}

} // namespace

Eligibility::Eligibility(PlacementSettings settings, const Locality &where,
                         ServerBeliefs beliefs, const PlacementCost &cost)
    : Settings(settings), Where(where), Beliefs(beliefs), Cost(cost) {}

Candidate Eligibility::look(const ForwardRequest &request,
                            const Catalog &catalog, const BackendServer &server,
                            TimePoint now) const {
  Candidate out{&server, Beliefs.Loads.view(server.ref(), now), {}, false};
  const std::string &model = request.Head.Model;
  if (!model.empty())
    if (auto since = catalog.behindSince(model, server.versionOf(model)))
      out.OutdatedFor = now - *since;
  // One that becomes cold while nobody can say so is not to be flooded.
  out.IsCold = (now < server.ColdUntil || catalog.AreRecordsStale) &&
               coldRateOf(catalog, server) > 0;
  return out;
}

std::optional<TimePoint> Eligibility::availableAt(const Candidate &candidate,
                                                  const Catalog &catalog,
                                                  TimePoint now) const {
  if (candidate.Load.IsLeaving)
    return std::nullopt;
  const BackendServer &server = *candidate.Server;
  std::optional<TimePoint> limited =
      Beliefs.Limits.availableAt(server, catalog, now);
  if (!limited)
    return std::nullopt;
  TimePoint out = std::max({now, candidate.Load.RetryAt, *limited});
  if (!candidate.IsCold)
    return out;
  std::optional<TimePoint> share = Beliefs.ColdServers.availableAt(
      server, coldRateOf(catalog, server), catalog);
  // It takes as much as before once it is known to be warm.
  if (catalog.AreRecordsStale)
    return share ? std::optional(std::max(out, *share)) : std::nullopt;
  return std::max(out,
                  std::min(share.value_or(server.ColdUntil), server.ColdUntil));
}

Eligibility::Care Eligibility::careFor(const ForwardRequest &request,
                                       const Candidate &candidate,
                                       TimePoint now) const {
  const ServerLoadView &load = candidate.Load;
  uint64_t key = candidate.Server->ref().key();
  if (load.IsAvoided || Beliefs.Ejected.isEjected(key, now))
    return Care::Any;
  if (candidate.OutdatedFor == Duration::zero())
    return Care::Full;
  // What counts is when it begins to run.
  double waitMs =
      Cost.firstTokenMs(request, load, 0) * Settings.OldWeightsWaitFactor;
  auto wait = Duration(static_cast<int64_t>(waitMs * 1000));
  bool isInTime =
      candidate.OutdatedFor + std::min(wait, Settings.OldWeightsWait) <
      Settings.OldWeightsLimit;
  return isInTime ? Care::Full : Care::AnyVersion;
}

Candidates Eligibility::servers(const ForwardRequest &request,
                                const Catalog &catalog,
                                const std::vector<std::string> &tried,
                                TimePoint now, Error &reason) const {
  Candidates out;
  Care least = Care::Any;
  std::optional<TimePoint> soonest;
  for (const BackendServer &server : catalog.serversOf(request.Service)) {
    if (!Where.allows(request.Regions, server.FailureDomain))
      continue;
    Candidate candidate = look(request, catalog, server, now);
    std::optional<TimePoint> opens = availableAt(candidate, catalog, now);
    if (!opens)
      continue;
    if (now < *opens) {
      soonest = std::min(soonest.value_or(*opens), *opens);
      continue;
    }
    if (std::find(tried.begin(), tried.end(), server.Id) != tried.end())
      continue;
    Care care = careFor(request, candidate, now);
    if (care > least)
      continue;
    if (care < least)
      out.clear();
    least = care;
    out.push_back(candidate);
  }
  if (!out.empty())
    return out;
  reason = {ErrorKind::NoServer,
            "no backend server of " + request.Service + " is left to ask"};
  if (soonest)
    reason.RetryAfter = *soonest - now;
  return out;
}

bool Eligibility::tryAcquire(const Candidate &candidate, const Catalog &catalog,
                             TimePoint now) const {
  const BackendServer &server = *candidate.Server;
  bool isTaken = !candidate.IsCold ||
                 Beliefs.ColdServers.tryAcquire(
                     server, coldRateOf(catalog, server), catalog, now);
  return isTaken && Beliefs.Limits.tryAcquire(server, catalog, now);
}

} // namespace daisytack::direct
