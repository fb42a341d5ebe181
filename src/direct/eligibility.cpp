#include "direct/eligibility.h"

#include <algorithm>

namespace daisytack::direct {

namespace {

/// Retry delay when no server of a software version is left: a server that has
/// crashed may be back by then.
constexpr Duration VersionReturnDelay{1'000'000};

} // namespace

double coldRateOf(const Catalog &catalog, const BackendServer &server) {
  const Service *service =
      catalog.Config ? catalog.Config->findService(server.Service) : nullptr;
  return service ? service->ColdRequestsPerSecond : 0;
}

Eligibility::Eligibility(PlacementSettings settings, const Locality &locality,
                         ServerTrackers trackers, const PlacementCost &cost)
    : Settings(settings), EntryLocality(locality), Trackers(trackers),
      Cost(cost) {}

Candidate Eligibility::makeCandidate(const ForwardRequest &request,
                                     const Catalog &catalog,
                                     const BackendServer &server,
                                     TimePoint now) const {
  Candidate out{&server, Trackers.Loads.view(server.ref(), now), {}, false};
  const std::string &model = request.Head.Model;
  uint64_t version = server.versionOf(model);
  // A server without weights of the model can't have outdated ones.
  if (version > 0)
    if (auto since = catalog.outdatedSince(model, version))
      out.OutdatedFor = now - *since;
  // While no source reports what servers write, any server may have become
  // cold, and must not be flooded.
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
  std::optional<TimePoint> limitAt =
      Trackers.Limits.availableAt(server, catalog, now);
  if (!limitAt)
    return std::nullopt;
  TimePoint out = std::max({now, candidate.Load.RetryAt, *limitAt});
  if (!candidate.IsCold)
    return out;
  std::optional<TimePoint> slowStartAt = Trackers.ColdServers.availableAt(
      server, coldRateOf(catalog, server), catalog, now);
  // Slow start ends at ColdUntil. While no source reports what servers write,
  // the server may have become cold again, so that its slow start has no known
  // end.
  if (catalog.AreRecordsStale)
    return slowStartAt ? std::optional(std::max(out, *slowStartAt))
                       : std::nullopt;
  return std::max(
      out, std::min(slowStartAt.value_or(server.ColdUntil), server.ColdUntil));
}

bool Eligibility::beginsInTime(const ForwardRequest &request,
                               const Candidate &candidate) const {
  std::optional<Duration> slack = Cost.outdatedSlack(request, candidate);
  return !slack || *slack > Duration::zero();
}

TimePoint Eligibility::newerWeightsAt(const Candidate &candidate,
                                      TimePoint now) const {
  TimePoint loadingSince = candidate.Load.LoadingSince.value_or(now);
  return std::max(loadingSince + Settings.UsualLoadTime,
                  now + Settings.OverdueLoadRetry);
}

Eligibility::Tier Eligibility::tierOf(const Candidate &candidate,
                                      TimePoint now) const {
  uint64_t key = candidate.Server->ref().key();
  bool isUnhealthy =
      candidate.Load.IsAvoided || Trackers.Ejected.isEjected(key, now);
  return isUnhealthy ? Tier::Unhealthy : Tier::Preferred;
}

Candidates Eligibility::servers(const ForwardRequest &request,
                                const Catalog &catalog,
                                const ServerCriteria &criteria, TimePoint now,
                                Error &reason) const {
  Candidates out;
  Tier best = Tier::Unhealthy;
  std::optional<TimePoint> earliest;
  size_t outdated = 0; // Servers with weights past the rollout limit.
  size_t matching = 0; // Servers of the required software version.
  for (const BackendServer &server : catalog.serversOf(request.Service)) {
    if (!EntryLocality.allows(request.Regions, server.FailureDomain))
      continue;
    bool isOtherVersion = criteria.SoftwareVersion &&
                          *criteria.SoftwareVersion != server.SoftwareVersion;
    if (isOtherVersion)
      continue;
    ++matching;
    Candidate candidate = makeCandidate(request, catalog, server, now);
    std::optional<TimePoint> availableFrom =
        availableAt(candidate, catalog, now);
    if (!availableFrom)
      continue;
    if (!beginsInTime(request, candidate)) {
      ++outdated;
      availableFrom = std::max(*availableFrom, newerWeightsAt(candidate, now));
    }
    if (now < *availableFrom) {
      earliest = std::min(earliest.value_or(*availableFrom), *availableFrom);
      continue;
    }
    if (std::find(criteria.Tried.begin(), criteria.Tried.end(), server.Id) !=
        criteria.Tried.end())
      continue;
    Tier tier = tierOf(candidate, now);
    if (tier > best)
      continue;
    if (tier < best)
      out.clear();
    best = tier;
    out.push_back(candidate);
  }
  if (!out.empty())
    return out;
  reason = {ErrorKind::NoServer,
            "no backend server of " + request.Service + " is left to ask"};
  if (outdated > 0)
    reason = {ErrorKind::WeightsOutdated,
              reason.Detail + "; " + std::to_string(outdated) + " of " +
                  std::to_string(catalog.serversOf(request.Service).size()) +
                  " have weights past the rollout limit"};
  if (criteria.SoftwareVersion && matching == 0)
    reason = {ErrorKind::StreamVersionGone,
              "no backend server of " + request.Service +
                  " has software version " + *criteria.SoftwareVersion +
                  ", which began the stream",
              VersionReturnDelay};
  if (earliest)
    reason.RetryAfter = *earliest - now;
  return out;
}

bool Eligibility::tryAcquire(const Candidate &candidate, const Catalog &catalog,
                             TimePoint now) const {
  const BackendServer &server = *candidate.Server;
  bool isAcquired = !candidate.IsCold ||
                    Trackers.ColdServers.tryAcquire(
                        server, coldRateOf(catalog, server), catalog, now);
  return isAcquired && Trackers.Limits.tryAcquire(server, catalog, now);
}

} // namespace daisytack::direct
