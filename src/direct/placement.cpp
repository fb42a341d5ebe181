#include "direct/placement.h"

#include "direct/rendezvous.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace daisytack::direct {

namespace {

constexpr std::string_view SharedScope = "shared";
constexpr char VersionMark = '@';
constexpr uint32_t LeastUrgent = 9;

/// The part that prompts of one session or subject have in common: all but the
/// last belong to more than one request.
std::string_view homeKey(const CallerHead &head) {
  if (head.Parts.size() >= 2)
    return head.Parts[head.Parts.size() - 2].Id;
  return head.Parts.empty() ? std::string_view(head.RequestId)
                            : std::string_view(head.Parts.front().Id);
}

uint32_t sharedTokens(const CallerHead &head) {
  uint32_t out = 0;
  for (size_t i = 0; i + 1 < head.Parts.size(); ++i)
    out += head.Parts[i].Tokens;
  return out;
}

} // namespace

std::string cacheScope(std::string_view organisation, bool isIsolated,
                       uint64_t version) {
  std::string out(isIsolated ? organisation : SharedScope);
  out += VersionMark;
  return out + std::to_string(version);
}

std::optional<uint64_t> versionOfScope(std::string_view scope) {
  size_t at = scope.rfind(VersionMark);
  if (at == std::string_view::npos)
    return std::nullopt;
  uint64_t out = 0;
  const char *end = scope.data() + scope.size();
  auto result = std::from_chars(scope.data() + at + 1, end, out);
  if (result.ec != std::errc() || result.ptr != end)
    return std::nullopt;
  return out;
}

Placement::Placement(PlacementSettings settings, std::string failureDomain,
                     const ServerLoads &loads, const Ejector &ejector,
                     KeptContext &kept)
    : Settings(settings), FailureDomain(std::move(failureDomain)), Loads(loads),
      Ejected(ejector), Kept(kept) {}

bool Placement::isUsable(const BackendServer &server,
                         const std::vector<std::string> &tried, bool careful,
                         TimePoint now) const {
  if (std::find(tried.begin(), tried.end(), server.Id) != tried.end())
    return false;
  return !careful || (!Loads.view(server.Id, now).IsAvoided &&
                      !Ejected.isEjected(stableHash(server.Id), now));
}

const BackendServer *
Placement::homeOf(const ForwardRequest &request,
                  const std::vector<BackendServer> &servers) const {
  const BackendServer *out = nullptr;
  double best = 0;
  bool isNear = false;
  std::string_view key = homeKey(request.Head);
  for (const BackendServer &server : servers) {
    bool near = server.FailureDomain == FailureDomain;
    double score = rendezvousScore(key, server.Id);
    if (out && (isNear != near ? isNear : score <= best))
      continue;
    out = &server;
    best = score;
    isNear = near;
  }
  return out;
}

double Placement::cost(const ForwardRequest &request, const Catalog &catalog,
                       const BackendServer &server, const BackendServer *home,
                       TimePoint now) const {
  ServerLoadView load = Loads.view(server.Id, now);
  bool isFar = server.FailureDomain != FailureDomain;
  if (request.Head.Model.empty())
    return load.Running * Settings.CallRunningMs +
           (isFar ? Settings.CallOtherDomainMs : 0);
  double out =
      static_cast<double>(load.PrefillTokens) / Settings.PrefillTokensPerMs +
      load.Running * Settings.RunningMs;
  if (isFar)
    out += Settings.OtherDomainMs;
  if (&server != home)
    out += sharedTokens(request.Head) / Settings.PrefillTokensPerMs;
  auto wanted = catalog.Wanted.find(request.Head.Model);
  if (wanted != catalog.Wanted.end() &&
      server.versionOf(request.Head.Model) < wanted->second.Version &&
      now >= wanted->second.Since + Settings.OldWeightsGrace)
    out += Settings.OldWeightsMs;
  return out;
}

std::optional<AttemptChoice>
Placement::choose(const ForwardRequest &request, const Catalog &catalog,
                  const std::vector<std::string> &tried,
                  std::optional<int64_t> serversClockMs, TimePoint now,
                  Error &reason) {
  const std::vector<BackendServer> &all = catalog.serversOf(request.Service);
  std::vector<BackendServer> usable;
  for (bool careful : {true, false}) {
    for (const BackendServer &server : all)
      if (isUsable(server, tried, careful, now))
        usable.push_back(server);
    if (!usable.empty())
      break;
  }
  if (usable.empty()) {
    reason = {ErrorKind::NoServer,
              "no backend server of " + request.Service + " is left to ask"};
    return std::nullopt;
  }
  const BackendServer *home =
      request.Head.Parts.empty() ? nullptr : homeOf(request, usable);
  const BackendServer *best = nullptr;
  double least = 0;
  for (const BackendServer &server : usable) {
    double cost = this->cost(request, catalog, server, home, now);
    if (best && cost >= least)
      continue;
    best = &server;
    least = cost;
  }
  return AttemptChoice{orderFor(request, catalog, *best, serversClockMs, now)};
}

AttemptOrder Placement::orderFor(const ForwardRequest &request,
                                 const Catalog &catalog,
                                 const BackendServer &server,
                                 std::optional<int64_t> serversClockMs,
                                 TimePoint now) {
  AttemptOrder out;
  out.ServerId = server.Id;
  out.Address = server.Address;
  out.Organisation = request.Organisation;
  const Service *service = catalog.Config->findService(request.Service);
  const CallerHead &head = request.Head;
  if (!service || !service->Engine || head.Model.empty())
    return out;
  out.Priority = std::min(request.Priority, LeastUrgent);
  out.WeightVersion = server.versionOf(head.Model);
  out.CacheScope =
      cacheScope(request.Organisation, request.IsIsolated, out.WeightVersion);
  if (!service->Engine->HasManagedContext || head.Parts.size() < 2)
    return out;
  out.Sources.resize(head.Parts.size());
  out.Destinations.resize(head.Parts.size());
  bool anySource = false;
  for (size_t i = 0; i + 1 < head.Parts.size(); ++i) {
    const PromptPart &part = head.Parts[i];
    if (auto store = Kept.find(out.CacheScope, part, server.FailureDomain)) {
      out.Sources[i] = store->Address;
      anySource = true;
    } else if (part.Tokens < Settings.LeastPartTokens) {
      continue;
    } else if (auto place = Kept.planSave(out.CacheScope, part, now)) {
      out.Destinations[i] = place->Address;
    }
  }
  if (anySource && serversClockMs)
    out.FetchUntilMs = *serversClockMs + Settings.FetchLimit.count() / 1000;
  return out;
}

} // namespace daisytack::direct
