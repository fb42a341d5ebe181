#include "direct/placement.h"

#include "base/duration.h"
#include "direct/rendezvous.h"

#include <algorithm>
#include <functional>
#include <span>
#include <utility>

namespace daisytack::direct {

namespace {

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

Placement::Placement(PlacementSettings settings, std::string failureDomain,
                     PlacementView view)
    : Settings(settings), FailureDomain(std::move(failureDomain)), View(view) {}

Duration Placement::behindFor(const ForwardRequest &request,
                              const Catalog &catalog,
                              const BackendServer &server,
                              TimePoint now) const {
  const std::string &model = request.Head.Model;
  if (model.empty())
    return Duration::zero();
  auto since = catalog.behindSince(model, server.versionOf(model));
  return since ? now - *since : Duration::zero();
}

bool Placement::isUsable(const ForwardRequest &request, const Catalog &catalog,
                         const BackendServer &server, Care care,
                         TimePoint now) const {
  ServerLoadView load = View.Loads.view(server.ref(), now);
  if (load.IsLeaving || now < load.ClosedUntil)
    return false;
  if (care == Care::Any)
    return true;
  if (load.IsAvoided || View.Ejected.isEjected(server.ref().key(), now))
    return false;
  if (care == Care::AnyVersion)
    return true;
  Duration behind = behindFor(request, catalog, server, now);
  if (behind == Duration::zero())
    return true;
  // What counts is when it begins to run.
  double waitMs =
      firstTokenMs(request, load, 0) * Settings.OldWeightsWaitFactor;
  auto wait = Duration(static_cast<int64_t>(waitMs * 1000));
  return behind + std::min(wait, Settings.OldWeightsWait) <
         Settings.OldWeightsLimit;
}

Placement::ServerRefs Placement::usable(const ForwardRequest &request,
                                        const Catalog &catalog,
                                        const std::vector<std::string> &tried,
                                        TimePoint now) const {
  ServerRefs out;
  for (Care care : {Care::Full, Care::AnyVersion, Care::Any}) {
    for (const BackendServer &server : catalog.serversOf(request.Service)) {
      bool wasTried =
          std::find(tried.begin(), tried.end(), server.Id) != tried.end();
      if (!wasTried && isUsable(request, catalog, server, care, now))
        out.push_back(&server);
    }
    if (!out.empty())
      break;
  }
  return out;
}

Error Placement::noneLeft(const ForwardRequest &request, const Catalog &catalog,
                          TimePoint now) const {
  std::optional<TimePoint> soonest;
  for (const BackendServer &server : catalog.serversOf(request.Service)) {
    ServerLoadView load = View.Loads.view(server.ref(), now);
    if (!load.IsLeaving && now < load.ClosedUntil)
      soonest = std::min(soonest.value_or(load.ClosedUntil), load.ClosedUntil);
  }
  Error out{ErrorKind::NoServer,
            "no backend server of " + request.Service + " is left to ask"};
  if (soonest)
    out.RetryAfter = *soonest - now;
  return out;
}

Placement::RankedServers Placement::ranked(std::string_view key,
                                           const ServerRefs &servers) const {
  RankedServers out;
  out.reserve(servers.size());
  for (const BackendServer *server : servers)
    out.emplace_back(rendezvousScore(key, server->Id), server);
  std::sort(out.begin(), out.end(), std::greater<>());
  return out;
}

Placement::ServerRefs Placement::candidates(const ForwardRequest &request,
                                            const Catalog &catalog,
                                            const ServerRefs &servers,
                                            TimePoint now) const {
  if (request.Head.Parts.empty())
    return servers;
  ServerRefs out;
  size_t current = 0;
  for (const auto &[score, server] : ranked(homeKey(request.Head), servers)) {
    bool isCurrent =
        behindFor(request, catalog, *server, now) == Duration::zero();
    bool isWanted = out.size() < Settings.SessionCandidates ||
                    (isCurrent && current < Settings.CurrentCandidates);
    if (!isWanted)
      continue;
    current += isCurrent ? 1 : 0;
    out.push_back(server);
  }
  return out;
}

Placement::ServerRefs Placement::spares(const ForwardRequest &request,
                                        const ServerRefs &servers) const {
  ServerRefs out;
  for (const auto &[score, server] : ranked(request.Head.RequestId, servers))
    if (out.size() < Settings.SpareCandidates)
      out.push_back(server);
  return out;
}

double Placement::readMs(const ForwardRequest &request, double tokens) const {
  return tokens / View.Rates.of(request.Service);
}

double Placement::firstTokenMs(const ForwardRequest &request,
                               const ServerLoadView &load,
                               uint64_t readTokens) const {
  auto queued = static_cast<double>(load.Tokens + readTokens);
  bool hasPrompt = !request.Head.Model.empty();
  return (hasPrompt ? Settings.LeastFirstTokenMs : 0) +
         readMs(request, queued) + load.Running * Settings.RunningMs;
}

bool Placement::hasMemory(const ForwardRequest &request, const Catalog &catalog,
                          const ServerLoadView &load) const {
  const Service *service = catalog.Config->findService(request.Service);
  if (!service || !service->Engine || service->Engine->ContextTokens == 0)
    return true;
  double room = static_cast<double>(service->Engine->ContextTokens) *
                Settings.MemoryShare;
  uint64_t wanted = load.HeldTokens + request.Head.PromptTokens;
  // The longest prompts fit only where nothing else runs.
  return load.HeldTokens == 0 || static_cast<double>(wanted) <= room;
}

uint64_t Placement::tokensToRead(const ForwardRequest &request,
                                 const BackendServer &server) const {
  const CallerHead &head = request.Head;
  std::string scope = cacheScope(request.Organisation, request.IsIsolated,
                                 server.versionOf(head.Model));
  uint64_t out = head.PromptTokens;
  for (size_t i = 0; i + 1 < head.Parts.size(); ++i)
    if (View.Kept.find(scope, head.Parts[i], server.FailureDomain))
      out -= std::min<uint64_t>(out, head.Parts[i].Tokens);
  return out;
}

double Placement::cost(const ForwardRequest &request, const Catalog &catalog,
                       const BackendServer &server, const BackendServer *home,
                       UnkeptTokens &unkept, TimePoint now) const {
  bool isFar = server.FailureDomain != FailureDomain;
  ServerLoadView load = View.Loads.view(server.ref(), now);
  if (request.Head.Model.empty())
    return load.Running * Settings.CallRunningMs +
           (isFar ? Settings.CallOtherDomainMs : 0);
  auto [toRead, isNew] =
      unkept.try_emplace(server.versionOf(request.Head.Model));
  if (isNew)
    toRead->second = tokensToRead(request, server);
  double out = firstTokenMs(request, load, toRead->second);
  if (isFar)
    out += Settings.OtherDomainMs;
  if (&server != home) // What the home may still have is read or fetched.
    out += readMs(request, sharedTokens(request.Head));
  if (behindFor(request, catalog, server, now) > Settings.OldWeightsGrace)
    out += Settings.OldWeightsMs;
  return out;
}

std::optional<double> Placement::mostQueueMs(const ForwardRequest &request,
                                             const Catalog &catalog) const {
  Duration target = catalog.Config->tightestTarget(request.Service);
  if (Settings.QueueShare <= 0 || target <= Duration::zero())
    return std::nullopt;
  double out = millisecondsOf(target) * Settings.QueueShare;
  return request.Priority == 0 ? out * Settings.UrgentQueueFactor : out;
}

bool Placement::isTooBusy(const ForwardRequest &request, const Catalog &catalog,
                          const BackendServer &server, TimePoint now) const {
  if (request.Head.Model.empty())
    return false;
  ServerLoadView load = View.Loads.view(server.ref(), now);
  if (!hasMemory(request, catalog, load))
    return true;
  std::optional<double> most = mostQueueMs(request, catalog);
  if (most && readMs(request, static_cast<double>(load.Tokens)) > *most)
    return true;
  Duration patience = request.Deadline - now;
  if (request.Via.FirstEventPatience > Duration::zero())
    patience = std::min(patience, request.Via.FirstEventPatience);
  if (patience <= Duration::zero())
    return false;
  double least = firstTokenMs(request, load, 0);
  return least * 1000 >
         static_cast<double>(patience.count()) * Settings.PatienceShare;
}

Duration Placement::retryAfter(const ForwardRequest &request,
                               const Catalog &catalog,
                               const BackendServer &server,
                               TimePoint now) const {
  Duration soon =
      scaled(request.Via.TargetLatency, Settings.OverloadRetryShare);
  std::optional<double> most = mostQueueMs(request, catalog);
  if (!most)
    return soon;
  ServerLoadView load = View.Loads.view(server.ref(), now);
  double excessMs = readMs(request, static_cast<double>(load.Tokens)) - *most;
  return std::max(soon, Duration(static_cast<int64_t>(excessMs * 1000)));
}

const BackendServer *Placement::cheapest(const ForwardRequest &request,
                                         const Catalog &catalog,
                                         const ServerRefs &servers,
                                         const BackendServer *home,
                                         TimePoint now) const {
  UnkeptTokens unkept;
  const BackendServer *best = nullptr;
  double least = 0;
  for (const BackendServer *server : servers) {
    double cost = this->cost(request, catalog, *server, home, unkept, now);
    if (best && cost >= least)
      continue;
    best = server;
    least = cost;
  }
  return best;
}

std::optional<AttemptChoice>
Placement::choose(const ForwardRequest &request, const Catalog &catalog,
                  const std::vector<std::string> &tried,
                  std::optional<int64_t> serversClockMs, TimePoint now,
                  Error &reason) {
  ServerRefs servers = usable(request, catalog, tried, now);
  if (servers.empty()) {
    reason = noneLeft(request, catalog, now);
    return std::nullopt;
  }
  ServerRefs few = candidates(request, catalog, servers, now);
  const BackendServer *home =
      request.Head.Parts.empty() ? nullptr : few.front();
  const BackendServer *best = cheapest(request, catalog, few, home, now);
  if (isTooBusy(request, catalog, *best, now))
    best = cheapest(request, catalog, spares(request, servers), home, now);
  if (isTooBusy(request, catalog, *best, now)) {
    reason = {ErrorKind::Overloaded,
              "every backend server that may be asked is too busy",
              retryAfter(request, catalog, *best, now)};
    return std::nullopt;
  }
  return AttemptChoice{
      orderFor(request, catalog, *best, home, serversClockMs, now)};
}

AttemptOrder
Placement::orderFor(const ForwardRequest &request, const Catalog &catalog,
                    const BackendServer &server, const BackendServer *home,
                    std::optional<int64_t> serversClockMs, TimePoint now) {
  AttemptOrder out;
  out.ServerId = server.Id;
  out.StartedMs = server.StartedMs;
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
  out.QueuedTokens = head.PromptTokens;
  ServerLoadView load = View.Loads.view(server.ref(), now);
  out.TokensBefore = load.Tokens;
  out.HeldBefore = load.HeldTokens;
  out.TokensPerMs = View.Rates.of(request.Service);
  if (service->Engine->HasManagedContext && head.Parts.size() >= 2)
    planContext(request, catalog, server, *home, serversClockMs, now, out);
  out.FirstTokenMs = firstTokenMs(request, load, out.QueuedTokens);
  return out;
}

bool Placement::shedsFetch(const ForwardRequest &request, double excessMs,
                           double budgetMs) const {
  // From half of the budget on, in proportion: enough go elsewhere to let the
  // queue shrink, and not all of them at once.
  double share =
      std::clamp(2 * excessMs / budgetMs - 1, 0.0, 1 - Settings.ProbeShare);
  return unitHash(request.Head.RequestId) < share;
}

double Placement::fetchBudgetMs(const ForwardRequest &request) const {
  double target = millisecondsOf(request.Via.TargetLatency);
  // The queue's wait is left out: reading what could be fetched would only
  // lengthen it.
  double left = target * Settings.FetchShare - Settings.LeastFirstTokenMs -
                readMs(request, request.Head.PromptTokens);
  return std::max(left, readMs(request, sharedTokens(request.Head)));
}

void Placement::planContext(const ForwardRequest &request,
                            const Catalog &catalog, const BackendServer &server,
                            const BackendServer &home,
                            std::optional<int64_t> serversClockMs,
                            TimePoint now, AttemptOrder &order) {
  const CallerHead &head = request.Head;
  order.Sources.resize(head.Parts.size());
  order.Destinations.resize(head.Parts.size());
  double budget = fetchBudgetMs(request);
  double longest = -1;
  uint64_t sourced = 0;
  uint64_t unread = 0;
  bool isOld = behindFor(request, catalog, server, now) > Duration::zero();
  // The home will fetch what is the session's own; the rest all servers will.
  size_t ofSession = head.Parts.size() - 2;
  for (size_t i = 0; i + 1 < head.Parts.size(); ++i) {
    const PromptPart &part = head.Parts[i];
    // A fetch without an end may outlast the wait before its part is freed.
    std::optional<ContextStoreTraits> store;
    if (serversClockMs)
      store = View.Kept.find(order.CacheScope, part, server.FailureDomain);
    if (store) {
      double excess = View.Links.excessMs(store->Address, now);
      if (shedsFetch(request, excess, budget))
        break; // What follows a part that is missing can't be used.
      order.Sources[i] = store->Address;
      order.FetchExcessMs = std::max(order.FetchExcessMs, excess);
      sourced += part.Tokens;
      double transfer = part.Tokens / std::max(store->LinkMbps, 1.0);
      if (transfer > longest) {
        longest = transfer;
        order.SlowestSource = store->Address;
      }
    } else if (part.Tokens < Settings.LeastPartTokens || isOld) {
      continue; // Context of weights that are about to go is not worth room.
    } else if (auto place = View.Kept.planSave(
                   order.CacheScope, part,
                   i == ofSession ? home.FailureDomain : std::string(), now)) {
      order.Destinations[i] = place->Address;
      unread += part.Tokens;
    }
  }
  if (unread > 0)
    order.UnreadTokens = unread + head.Parts.back().Tokens;
  order.QueuedTokens -= static_cast<uint64_t>(static_cast<double>(sourced) *
                                              (1 - Settings.FetchedWeight));
  if (order.SlowestSource && serversClockMs)
    order.FetchUntilMs =
        *serversClockMs +
        std::min(static_cast<int64_t>(std::max(budget, Settings.LeastFetchMs)),
                 LongestFetch.count() / 1000);
}

} // namespace daisytack::direct
