#include "gateway/gateway.h"

#include "base/clock.h"
#include "base/digest.h"
#include "daisytack/limits.h"
#include "direct/revision.h"
#include "gateway/gateway_request.h"
#include "gateway/save_grant_exchange.h"
#include "net/http_status.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

namespace {

constexpr Duration TickInterval{100'000};
constexpr Duration HolderWriteTimeout{1'200'000};
/// A shortage of memory ends this time after the last refusal for it.
constexpr Duration MemoryShortageTime{1'000'000};
/// How long the load of an unused server is remembered.
constexpr Duration LoadRetention{60'000'000};
/// How long a server's request limit is remembered unless it is reported again.
constexpr Duration LimitRetention{600'000'000};
/// Longest time that a server is avoided because it loads new weights: its
/// running requests end first, and the load itself takes a second or two.
constexpr Duration MaxLoadAvoidance{3'000'000};
constexpr size_t BytesPerMb = 1'000'000;

/// Limits of the servers for readiness checks and for metrics. Their requests
/// come from a few senders and have no body. A connection holds a head and
/// input ahead of its answer, 32 KB, and one for metrics an unread answer, too.
constexpr size_t MaxReadinessConnections = 256;
constexpr size_t MaxMetricsConnections = 64;
constexpr size_t MaxCheckBodyBytes = 1U << 10;
constexpr Duration CheckIdleTimeout{15'000'000};

net::HttpServerInit listenForChecks(const Endpoint &endpoint,
                                    size_t maxConnections) {
  net::HttpServerInit out;
  out.Listen = endpoint;
  out.MaxConnections = maxConnections;
  out.MaxBodyBytes = MaxCheckBodyBytes;
  out.IdleTimeout = CheckIdleTimeout;
  return out;
}

/// Makes an entry that relies on readers start its own watch before its
/// configuration is too old to refuse unknown keys permanently.
direct::FollowSettings followSettings(const GatewayOptions &options) {
  constexpr Duration TimeToWatch{200'000};
  direct::FollowSettings out = options.Follow;
  out.StaleAfter =
      std::min<Duration>(out.StaleAfter, options.ConfirmedFor - TimeToWatch);
  return out;
}

/// The time this number of microseconds earlier. An entry that was never
/// confirmed tells an age of half the range.
TimePoint timeBefore(TimePoint at, int64_t micros) {
  return at - Duration(std::min(micros, INT64_MAX / 2));
}

/// What the response to a call that was sent at this time tells of the
/// service's answers.
direct::PeerAnswers peerAnswers(const direct::RecordsResponse &response,
                                TimePoint sentAt, TimePoint now) {
  Duration told(std::min(response.AnswerDelay, INT64_MAX / 4));
  return {{timeBefore(sentAt, response.AnswerAge), told + (now - sentAt)},
          std::max(response.CompleteTo, response.UpTo),
          {timeBefore(now, response.AnsweringAge), response.AnsweringRevision}};
}

/// Share of the instance's memory that a range of the key-value service may
/// take. It exists up to three times: as it is read, as records and in the
/// catalog.
constexpr size_t RangeShareDivisor = 8;
constexpr size_t MinRangeBytes = 4U << 20;
constexpr size_t MaxRangeBytes = 64 * MaxValueBytes;

size_t maxRangeBytes(const GatewayOptions &options) {
  return std::clamp(options.MemoryBytes / RangeShareDivisor, MinRangeBytes,
                    MaxRangeBytes);
}

direct::EntryPeer ownPeer(const GatewayOptions &options) {
  return {options.Name, options.Peers, options.FailureDomain, options.LinkMbps};
}

} // namespace

Gateway::Gateway(boost::asio::io_context &io, GatewayOptions options,
                 direct::Protocol protocol, const KvStoreFactory &makeStore,
                 UsageReader readUsage)
    : Options(std::move(options)),
      Log(Options.Log, Options.Name, standardOutputSink(), Counters),
      State(io, Options, std::move(protocol), Counters, Log),
      ControlStrand(boost::asio::make_strand(io)),
      Store(makeStore(State.ControlClient, Options.Store,
                      maxRangeBytes(Options))),
      Follower(std::make_shared<KvServiceFollower>(
          State, ControlStrand, Store, KvServiceFollowerSettings{},
          secureRandom, [this] { onCatalog(); })),
      Announcement(std::make_shared<EntryLease>(
          ControlStrand, Store,
          EntryRecord{State.WireProtocol.EntryKey(Options.Name),
                      State.WireProtocol.EncodeEntry(ownPeer(Options))},
          EntryRecord{State.WireProtocol.RegistrationKey(Options.Peers),
                      State.WireProtocol.EncodeRegistration({Options.Peers})},
          Options.LeaseTerm, Log)),
      WatchPlan(followSettings(Options), ownPeer(Options)),
      Peers(std::make_shared<PeerExchange>(State, ControlStrand, peerHooks(),
                                           secureRandom)),
      Fetcher(std::make_shared<RecordFetcher>(
          State, direct::RecordFetchSettings{}, fetcherHooks())),
      PeerLoads(std::make_shared<LoadExchange>(
          State, ControlStrand, Options.LoadExchange,
          [this](const Endpoint &sender, const direct::PeerMessage &message) {
            State.OriginExchange->onMessage(sender, message);
            State.SaveExchange->onMessage(sender, message);
          })),
      Probes(std::make_shared<ServerProbes>(State, ControlStrand)),
      Contexts(std::make_shared<ContextFollower>(
          State, ControlStrand, contextSettings(), secureRandom,
          retirementHooks(),
          std::make_shared<HolderRecord>(State.WireProtocol.SettledEpochsKey,
                                         HolderRecordSettings{},
                                         holderRecordHooks()))),
      Orders(std::make_shared<OrderDriver>(
          State, ControlStrand, Store, orderSettings(), secureRandom,
          [this](const direct::PeerMessage &message) {
            onWeightMessage(message);
            Peers->broadcast(message);
          })),
      Quarantines(std::make_shared<QuarantineRecords>(
          State, ControlStrand, Store, QuarantineRecordSettings{})),
      Rollouts(State, std::make_shared<HolderRecord>(
                          State.WireProtocol.RolloutTimesKey,
                          HolderRecordSettings{}, holderRecordHooks())),
      Versions(std::make_shared<VersionHistory>(
          State, ControlStrand, Store,
          std::make_shared<HolderRecord>(
              State.WireProtocol.SoftwareVersionsKey,
              HolderRecordSettings{Options.VersionsWriteInterval},
              holderRecordHooks()),
          VersionHistorySettings{})),
      Origins(std::make_shared<StreamOriginLog>(State, ControlStrand, Store,
                                                randomId(secureRandom),
                                                StreamOriginLogSettings{})),
      CallerServer(State),
      ReadinessServer(
          io, listenForChecks(Options.Readiness, MaxReadinessConnections),
          [this](const net::HttpRequest &request,
                 const std::shared_ptr<net::HttpExchange> &to) {
            if (request.Path == Options.ReadinessPath)
              answerReadiness(*to);
            else
              to->respond({net::StatusNotFound, {}, {}});
          }),
      MetricsServer(io, listenForChecks(Options.Metrics, MaxMetricsConnections),
                    [this](const net::HttpRequest &,
                           const std::shared_ptr<net::HttpExchange> &to) {
                      answerMetrics(*to);
                    }),
      Memory(
          Options.MemoryBytes, [this] { return countMemoryHolders(); },
          Counters, Log),
      ReadUsage(std::move(readUsage)), Ticker(ControlStrand),
      DrainTimer(ControlStrand) {
  State.OriginExchange = std::make_shared<StreamOriginExchange>(
      State, ControlStrand,
      [this](const Endpoint &to, const direct::PeerMessage &message) {
        PeerLoads->sendTo(to, message);
      },
      [this](std::function<void()> done) {
        Follower->confirm(std::move(done));
      },
      StreamOriginExchangeSettings{});
  State.OriginExchange->OnBegan = [this](const direct::StreamsBegan &began) {
    Origins->onBegan(began);
  };
  State.SaveExchange = std::make_shared<SaveGrantExchange>(
      State, ControlStrand,
      [this](const Endpoint &to, const direct::PeerMessage &message) {
        PeerLoads->sendTo(to, message);
      },
      SaveGrantExchangeSettings{});
  Follower->OnSnapshotRead = [this](const edge::KvRangeResult &snapshot) {
    Versions->onSnapshot(snapshot);
    Origins->onSnapshot(snapshot);
  };
}

Gateway::~Gateway() = default;

PeerHooks Gateway::peerHooks() {
  PeerHooks out;
  out.OnRecords = [this](const direct::RecordsResponse &response,
                         const RecordsCall &call) {
    onRecords(response, call);
  };
  out.OnWeightMessage = [this](const direct::PeerMessage &message) {
    onWeightMessage(message);
  };
  return out;
}

RecordFetcherHooks Gateway::fetcherHooks() {
  RecordFetcherHooks out;
  out.RequestPart = [this](const direct::RecordPartCall &call,
                           const auto &done) {
    Peers->requestPart(call, done);
  };
  out.OnRecord = [this](const direct::StoreRecord &record,
                        const Endpoint &source) {
    Follower->merge({record});
    // Only the answer to a poll shows what this entry's state now includes.
    Peers->requestRecords(source);
  };
  return out;
}

bool Gateway::fetchOffered(const direct::RecordsResponse &response,
                           const Endpoint &peer, TimePoint now) {
  bool out = false;
  for (const direct::RecordOffer &offer : response.Offers)
    out |= Fetcher->onOffer(offer, peer, now);
  return out;
}

void Gateway::onRecords(const direct::RecordsResponse &response,
                        const RecordsCall &call) {
  TimePoint now = monotonicNow();
  TimePoint confirmedAt = timeBefore(call.SentAt, response.ConfirmationAge);
  int64_t confirmed = confirmedAt.time_since_epoch().count();
  State.Catalog.onRestored(response.RestoredTo, now);
  if (response.AnsweringRevision > 0)
    State.Catalog.onPeerAnswers(peerAnswers(response, call.SentAt, now), now);
  if (!response.Records.empty())
    Follower->merge(response.Records);
  if (direct::eraOf(response.CompleteTo) > direct::eraOf(State.SyncedRevision))
    Follower->resync();
  bool isComplete = direct::isCompleteFor(response, call.SyncedRevision);
  if (fetchOffered(response, call.Peer, now)) {
    // Reading the service as well would only compete for the same link.
    if (isComplete && Fetcher->isProgressing(now))
      WatchPlan.onAnswer(confirmedAt, now);
    return;
  }
  Peers->noteReceived(response.UpTo);
  if (response.HasMore)
    return Peers->requestMore(call, response.UpTo);
  if (confirmed > State.ConfirmedAt.load())
    State.ConfirmedAt = confirmed;
  if (!isComplete)
    return;
  State.advanceSyncedRevision(response.CompleteTo);
  State.advanceSyncTime(timeBefore(call.SentAt, response.CompleteStateAge));
  WatchPlan.onAnswer(confirmedAt, now);
}

RetirementHooks Gateway::retirementHooks() {
  RetirementHooks out;
  out.Notify = [this](const direct::NotifyEntry &notification,
                      const std::function<void(bool)> &done) {
    Peers->sendTo(notification.Peer,
                  direct::ContextRetired{notification.Retirements}, done);
  };
  out.Write = [this](const direct::WriteRetired &write,
                     const std::function<void()> &done) {
    const std::string &key = State.WireProtocol.RetiredKey;
    commitAsHolder(
        {key, State.WireProtocol.EncodeRetired({write.Retirements}), 0, false},
        write.ExpectedRevision, [this, done](const edge::KvHeader &header) {
          Log.write(LogPriority::Notable, "context_retired",
                    {{"status", edge::kvStatusName(header.Status)},
                     {"revision", header.Revision}},
                    monotonicNow());
          done();
        });
  };
  out.Remove = [this](const direct::RemoveRegistration &remove,
                      const std::function<void()> &done) {
    std::string key = State.WireProtocol.RegistrationKey(remove.Peer);
    commitAsHolder({key, {}, 0, true}, remove.Revision,
                   [this, done, remove](const edge::KvHeader &header) {
                     Log.write(LogPriority::Notable, "registration_removed",
                               {{"peer", toString(remove.Peer)},
                                {"status", edge::kvStatusName(header.Status)},
                                {"revision", header.Revision}},
                               monotonicNow());
                     done();
                   });
  };
  return out;
}

HolderRecordHooks Gateway::holderRecordHooks() {
  HolderRecordHooks out;
  out.IsHolder = [this](TimePoint now) {
    return Orders->token(now).has_value();
  };
  out.Write = [this](edge::KvWrite write, uint64_t replacedRevision,
                     const std::function<void(const edge::KvHeader &)> &done) {
    commitAsHolder(std::move(write), replacedRevision, done);
  };
  return out;
}

void Gateway::commitAsHolder(
    edge::KvWrite write, uint64_t replacedRevision,
    const std::function<void(const edge::KvHeader &)> &done) {
  std::optional<uint64_t> token = Orders->token(monotonicNow());
  if (!token)
    return done({});
  constexpr auto Revision = edge::KvCompare::Target::ModRevision;
  edge::KvTransaction change;
  change.If.push_back({State.WireProtocol.HolderKey, Revision, *token});
  change.If.push_back({write.Key, Revision, replacedRevision});
  change.Then.push_back(std::move(write));
  Store.Commit(std::move(change), HolderWriteTimeout,
               [this, done](const edge::KvTransactionResult &result) {
                 boost::asio::dispatch(
                     ControlStrand,
                     [done, header = result.Header] { done(header); });
               });
}

ContextFollowerSettings Gateway::contextSettings() const {
  ContextFollowerSettings out;
  out.Retirement.MaxStaleness = Options.MaxSourceStaleness;
  return out;
}

OrderDriverSettings Gateway::orderSettings() const {
  OrderDriverSettings out;
  out.Weights.ConcurrentLoads = Options.ConcurrentLoads;
  out.Weights.ConcurrentShare = Options.ConcurrentLoadShare;
  out.Weights.RolloutLimit = Options.Placement.OldWeightsLimit;
  out.Weights.UsualLoadTime = Options.Placement.UsualLoadTime;
  out.Holder.OrderLease.Term = Options.LeaseTerm;
  out.Holder.OrderLease.ServersCheckFence = Options.ServersCheckFence;
  out.WakeDelay = Options.WakeDelay;
  return out;
}

bool Gateway::start(Error &reason) {
  Log.write(LogPriority::Notable, "started",
            {{"version", DAISYTACK_VERSION},
             {"memory_mb", Options.MemoryBytes / BytesPerMb},
             {"max_connections", Options.connectionLimit()},
             {"failure_domain", Options.FailureDomain},
             {"callers", toString(Options.Callers)},
             {"service", toString(Options.Store)}},
            monotonicNow());
  State.Suspects.onStart(monotonicNow());
  // A signal may come before the first tick.
  LastTickAt = monotonicNow();
  bool isUp = CallerServer.start(reason) && ReadinessServer.start(reason) &&
              MetricsServer.start(reason) && Peers->start(reason) &&
              PeerLoads->start(reason);
  if (!isUp)
    return false;
  Follower->start();
  Announcement->start();
  tick();
  return true;
}

void Gateway::reload(const GatewayOptions &options) {
  bool needsRestart =
      options.Callers != Options.Callers ||
      options.Readiness != Options.Readiness ||
      options.Peers != Options.Peers || options.Store != Options.Store ||
      options.Name != Options.Name || options.LinkMbps != Options.LinkMbps ||
      options.Regions != Options.Regions ||
      !(options.SlowStart == Options.SlowStart) ||
      !(options.Limits == Options.Limits) ||
      !(options.Shares == Options.Shares) ||
      !(options.Returns == Options.Returns) ||
      !(options.Silence == Options.Silence) ||
      !(options.Placement == Options.Placement);
  Peers->setSeeds(options.Seeds);
  Log.write(LogPriority::Notable, "settings_reloaded",
            {{"seeds", options.Seeds.size()}, {"needs_restart", needsRestart}},
            monotonicNow());
}

void Gateway::onWeightMessage(const direct::PeerMessage &message) {
  if (const auto *loading = std::get_if<direct::ServersLoading>(&message))
    onLoading(loading->Servers);
  const auto *loaded = std::get_if<direct::ServerLoaded>(&message);
  if (!loaded)
    return;
  State.Catalog.noteLoaded(loaded->Server, loaded->LoadedVersion,
                           monotonicNow());
  onCatalog();
}

void Gateway::onLoading(const std::vector<direct::ServerStart> &servers) {
  TimePoint now = monotonicNow();
  // Loads that are not named any more have ended or were postponed.
  std::erase_if(VersionBeforeLoad, [&](const auto &it) {
    bool isNamed =
        std::find(servers.begin(), servers.end(), it.first) != servers.end();
    if (!isNamed)
      State.Loads.onLoadEnded(it.first);
    return !isNamed;
  });
  auto catalog = State.catalog();
  for (const direct::BackendServer &server : catalog->AllServers) {
    direct::ServerStart start = server.ref().start();
    bool isLoading =
        std::find(servers.begin(), servers.end(), start) != servers.end();
    if (!isLoading || server.Weights.empty())
      continue;
    State.Loads.onLoading(start, now + MaxLoadAvoidance, now);
    bool isNewlyKnown =
        VersionBeforeLoad
            .insert_or_assign(start, server.Weights.front().Version)
            .second;
    if (isNewlyKnown)
      Log.write(LogPriority::Notable, "server_avoided",
                {{"server", server.Id}, {"reason", "it takes new weights"}},
                now);
  }
}

void Gateway::forgetReplacedServers(const direct::Catalog &before,
                                    const direct::Catalog &after) {
  std::erase_if(VersionBeforeLoad, [&](const auto &it) {
    return std::none_of(after.AllServers.begin(), after.AllServers.end(),
                        [&](const direct::BackendServer &server) {
                          return server.Id == it.first.Id &&
                                 server.StartedMs == it.first.StartedMs;
                        });
  });
  // A server that lost power, or crashed while partitioned from this entry, has
  // not reset its connections; a request sent on one would be lost.
  for (const Endpoint &address : direct::addressesOfNewStarts(before, after)) {
    State.BackendClient.dropIdle(address);
    State.ControlClient.dropIdle(address);
  }
}

void Gateway::reannounceAfterRestore(const direct::Catalog &catalog) {
  // By the end of the grace period, a renewal has shown whether the lease was
  // lost as well.
  bool isSettled =
      catalog.RestoredAt &&
      monotonicNow() >= *catalog.RestoredAt + Options.Catalog.RestoreGrace;
  if (isSettled && !catalog.isAnnounced(Options.Name, Options.Peers))
    Announcement->announceAgain();
}

void Gateway::onCatalog() {
  Rollouts.onCatalog(monotonicNow());
  auto catalog = State.catalog();
  auto before = LastCatalog;
  for (const direct::BackendServer &server : catalog->AllServers) {
    auto it = VersionBeforeLoad.find(server.ref().start());
    if (it == VersionBeforeLoad.end() || server.Weights.empty() ||
        server.Weights.front().Version == it->second)
      continue;
    State.Loads.onLoadEnded(server.ref());
    VersionBeforeLoad.erase(it);
  }
  if (std::exchange(LastCatalog, catalog) != catalog)
    forgetReplacedServers(*before, *catalog);
  reannounceAfterRestore(*catalog);
  State.OriginExchange->onCatalog();
  Contexts->onCatalog();
  State.SaveExchange->onCatalog();
  Quarantines->onCatalog(monotonicNow());
  Orders->onTimer(monotonicNow());
  if (!catalog->Config || catalog->ConfigRevision == AppliedConfigRevision)
    return;
  AppliedConfigRevision = catalog->ConfigRevision;
  State.Stats.ConfigVersion.set(
      static_cast<int64_t>(catalog->Config->config().Version));
  const direct::ServingConfig &config = catalog->Config->config();
  CallerServer.setLimits(config.Limits);
  State.StoredParts.setStores(config.Services);
  Log.write(LogPriority::Notable, "configuration_applied",
            {{"version", config.Version},
             {"revision", AppliedConfigRevision},
             {"routes", config.Routes.size()},
             {"organisations", config.Organisations.size()}},
            monotonicNow());
}

void Gateway::applyWatchPlan(TimePoint now) {
  direct::FollowStep step = WatchPlan.next(*State.catalog(), now);
  Follower->setWatching(step.WatchesService);
  // While the service is unreachable, PeerExchange polls several entries
  // itself.
  if (step.PollTarget && Follower->isReachable())
    Peers->requestRecords(*step.PollTarget);
}

void Gateway::reviewBeginLimits() {
  const direct::DesiredVersionMap &versions = State.catalog()->DesiredVersions;
  if (versions == ReviewedVersions)
    return;
  ReviewedVersions = versions;
  for (const auto &request : State.Running.all())
    request->onVersionsChanged();
}

void Gateway::logShortages(TimePoint now) {
  std::vector<std::string> services = State.Shares.servicesInShortage(now);
  if (services == LoggedShortages)
    return;
  auto has = [](const std::vector<std::string> &in, const std::string &name) {
    return std::binary_search(in.begin(), in.end(), name);
  };
  for (const std::string &it : services)
    if (!has(LoggedShortages, it))
      State.Log.write(LogPriority::Notable, "shortage_began", {{"service", it}},
                      now);
  for (const std::string &it : LoggedShortages)
    if (!has(services, it))
      State.Log.write(LogPriority::Notable, "shortage_ended", {{"service", it}},
                      now);
  LoggedShortages = std::move(services);
}

DecisionLog::Fields Gateway::countMemoryHolders() const {
  size_t connections = CallerServer.openConnections();
  size_t unanswered = std::min(CallerServer.unsentAnswers(), connections);
  return {{"connections", connections},
          {"idle_or_sending", connections - unanswered},
          {"running", State.Running.size()},
          {"parts", State.StoredParts.partsKnown()}};
}

void Gateway::updateMemory(TimePoint now) {
  ProcessUsage usage = ReadUsage();
  Memory.onUsage(usage, now);
  State.Memory->onResident(usage.ResidentBytes);
  admission::RequestMemoryView view = State.Memory->view();
  State.Stats.MemoryLimit.set(static_cast<int64_t>(view.Limit));
  for (size_t i = 0; i < view.Held.size(); ++i)
    State.Stats.MemoryHeld[i]->set(static_cast<int64_t>(view.Held[i]));
  bool hasRefused =
      std::exchange(MemoryRefusals, view.Refusals) != view.Refusals;
  bool hasBegun = hasRefused && !MemoryShortAt;
  if (hasRefused)
    MemoryShortAt = now;
  bool hasEnded = MemoryShortAt && now >= *MemoryShortAt + MemoryShortageTime;
  if (hasEnded)
    MemoryShortAt.reset();
  if (!hasBegun && !hasEnded)
    return;
  DecisionLog::Fields fields{{"resident_bytes", usage.ResidentBytes},
                             {"limit_bytes", view.Limit},
                             {"reserved_bytes", view.Reserved},
                             {"refusals", view.Refusals}};
  for (size_t i = 0; i < view.Held.size(); ++i) {
    auto cause = static_cast<admission::MemoryCause>(i);
    fields[std::string(admission::memoryCauseName(cause)) + "_bytes"] =
        view.Held[i];
  }
  Log.write(LogPriority::Notable,
            hasBegun ? "memory_shortage_began" : "memory_shortage_ended",
            std::move(fields), now);
}

void Gateway::tick() {
  TimePoint now = monotonicNow();
  LastTickAt = now;
  State.Catalog.onTimer(now);
  State.Loads.forgetIdle(now - LoadRetention);
  State.ColdServers.forgetIdle(now - LoadRetention);
  State.Limits.forgetIdle(now - LimitRetention);
  State.Shares.forgetIdle(now - LoadRetention);
  State.Returns.onTimer(now);
  logShortages(now);
  updateMemory(now);
  enforceQuarantine(State, State.Suspects.onTimer(now), now);
  PeerLoads->onTimer(now);
  Probes->onTimer(now);
  State.OriginExchange->onTimer(now);
  State.SaveExchange->onTimer(now);
  Quarantines->onTimer(now);
  // Other entries may know that there was no outage in which the records of
  // kept servers can have expired.
  Peers->onTimer(!Follower->isReachable() || State.Catalog.keepsServers(), now);
  Fetcher->onTimer(now);
  if (State.HasReadAll)
    State.Catalog.setStale(!State.isConfirmed(now));
  Follower->onTimer(now);
  applyWatchPlan(now);
  Orders->onTimer(now);
  Rollouts.onTimer(now);
  Versions->onTimer(now);
  Origins->onTimer(now);
  reviewBeginLimits();
  if (Orders->token(now)) {
    Contexts->retireUnused(now);
    Contexts->freeUnused(now);
    Contexts->recordSettledEpochs(now);
  }
  Log.flush(now);
  Ticker.expires_after(TickInterval);
  Ticker.async_wait([this](auto ec) {
    if (!ec)
      tick();
  });
}

} // namespace daisytack::gateway
