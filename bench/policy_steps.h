/// Members of PolicyRun that route, accept, queue and run requests. Included by
/// policy_run.h.
#pragma once

namespace daisytack::bench {

inline PolicyRun::PolicyRun(const Deployment &deployment, const Policy &policy,
                            const Scenario &scenario,
                            const std::vector<Request> &stream,
                            const RunOptions &options)
    : Setup(deployment), TestedPolicy(policy), Faults(scenario), Stream(stream),
      Options(options), Rng(options.Seed), Stores(deployment.Stores),
      Jobs(stream.size()), KeptBytes(OrganisationCount) {
  QueueSettings.Slots = EngineSlots;
  QueueSettings.MaxPrefills = 1;
  QueueSettings.MaxWait = std::chrono::seconds(60);
  for (uint32_t i = 0; i < Setup.Servers; ++i)
    Agents.push_back(std::make_unique<AgentModel>(options.Seed + i,
                                                  Setup.Stores, QueueSettings));
  for (uint32_t i = 0; i < Setup.Stores; ++i) {
    std::string name = "store" + std::to_string(i);
    const std::string &domain = Setup.Domains[i % Setup.Domains.size()];
    StoreInstances.push_back({name, domain, {}, hashName(name)});
  }
  for (uint32_t i = 0; i < OrganisationCount; ++i) {
    Organisation it;
    it.Name = std::to_string(i);
    it.RequestsPerSecond = Setup.RequestsPerSecond * loadShare(i) * LimitFactor;
    it.Burst = static_cast<uint32_t>(10 + it.RequestsPerSecond * 10);
    it.KeptBytes = Setup.Stores * StorePieces * KeptPieceBytes / 2;
    Organisations.push_back(it);
  }
  for (uint32_t i = 0; i < Setup.Entries; ++i) {
    LoadViews.push_back(std::make_unique<LoadView>(LoadViewSettings{}));
    Popularity.push_back(
        std::make_unique<PrefixPopularity>(PopularitySettings{}));
    ReuseEstimates.push_back(std::make_unique<ReuseEstimate>(
        RouteSettings.HomeReuse, RouteSettings.NextReuse));
    Limits.push_back(
        std::make_unique<OrganisationLimits>(i + 1, LimitSettings{}));
    QuotaOwners.push_back(std::make_unique<QuotaOwner>(LimitSettings{}));
  }
  Result.Outcomes.resize(stream.size());
  buildSnapshot();
}

inline void PolicyRun::buildSnapshot() {
  Members = std::make_shared<Snapshot>();
  for (uint32_t i = 0; i < Setup.Servers; ++i) {
    if (!Agents[i]->Up)
      continue;
    Server it;
    it.Name = std::string("server") + static_cast<char>('a' + i);
    it.Serves = "m";
    it.Region = "r";
    it.FailureDomain = Setup.Domains[i % Setup.Domains.size()];
    it.NameHash = hashName(it.Name);
    Members->Servers.push_back(it);
  }
  Members->finish();
  Table = std::make_unique<RoutingTable>(Members);
}

inline RunResult PolicyRun::run() {
  for (uint32_t i = 0; i < Stream.size(); ++i)
    schedule(Stream[i].ArrivedAt, EventKind::Arrival, i);
  for (uint32_t i = 0; i < Setup.Servers; ++i) {
    schedule(TimePoint(CacheEventInterval), EventKind::Poll, i);
    schedule(TimePoint(LateCheckInterval), EventKind::Tick, i);
  }
  Duration measuredTime = Options.Length - Options.WarmUp;
  schedule(TimePoint(Options.WarmUp + measuredTime / 3), EventKind::FaultOn);
  schedule(TimePoint(Options.WarmUp + measuredTime * 2 / 3),
           EventKind::FaultOff);
  while (!Events.empty()) {
    SimulationEvent next = Events.top();
    Events.pop();
    Now = next.At;
    handle(next);
  }
  Duration busy{0};
  for (const StoreModel &it : Stores) {
    Result.FetchedBytes += it.FetchedBytes;
    Result.ExportedBytes += it.ExportedBytes;
    busy += it.LinkBusy;
  }
  Result.LinkUtilisation =
      seconds(busy) / seconds(Options.Length) / Setup.Stores;
  return std::move(Result);
}

inline void PolicyRun::handle(const SimulationEvent &event) {
  bool isOver = Now > TimePoint(Options.Length + std::chrono::minutes(10));
  switch (event.Type) {
  case EventKind::Arrival:
    return onArrival(event.Target);
  case EventKind::FirstToken:
    return onFirstToken(event.Target, event.Arg1);
  case EventKind::Finished:
    return onFinished(event.Target, event.Arg1);
  case EventKind::Transfer:
    return onTransfer(event.Target, static_cast<uint32_t>(event.Arg1),
                      event.Arg2);
  case EventKind::ContextDue:
    return onContextDue(event.Target, event.Arg1);
  case EventKind::LinkWake:
    return startTransfers(event.Target, static_cast<uint32_t>(event.Arg1));
  case EventKind::Poll:
    Agents[event.Target]->Engine.deliverEvents(Agents[event.Target]->View);
    if (!isOver)
      schedule(Now + CacheEventInterval, EventKind::Poll, event.Target);
    return;
  case EventKind::Tick:
    onTick(event.Target);
    if (!isOver)
      schedule(Now + LateCheckInterval, EventKind::Tick, event.Target);
    return;
  case EventKind::FaultOn:
    return onFault(true);
  case EventKind::FaultOff:
    return onFault(false);
  case EventKind::Detected:
    return buildSnapshot();
  }
}

inline bool PolicyRun::isWithinLimit(const Request &request, uint32_t entry) {
  const Organisation &organisation = Organisations[request.Organisation];
  LimitDecision decision =
      Limits[entry]->admit(organisation, Setup.Entries, Now);
  if (decision.OwnerRequest) {
    auto &owner = *QuotaOwners[request.Organisation % QuotaOwners.size()];
    Limits[entry]->apply(owner.grant(organisation, *decision.OwnerRequest, Now),
                         Now);
  }
  if (decision.Verdict == LimitVerdict::AwaitGrant)
    decision = Limits[entry]->admit(organisation, Setup.Entries, Now);
  return decision.Verdict == LimitVerdict::Admitted;
}

inline void PolicyRun::onArrival(uint32_t index) {
  const Request &request = Stream[index];
  RequestOutcome &outcome = Result.Outcomes[index];
  outcome.Counted = request.ArrivedAt >= TimePoint(Options.WarmUp);
  uint32_t entry = index % Setup.Entries;
  if (!isWithinLimit(request, entry)) {
    outcome.Refused = outcome.Limited = true;
    return;
  }
  Job &job = Jobs[index];
  job.Incoming = &request;
  job.Index = index;
  job.Entry = entry;
  job.Run.Id = {1, index + 1};
  if (place(job, entry, std::nullopt))
    return;
  outcome.Refused = true;
  Limits[entry]->releaseSlot(
      hashName(Organisations[request.Organisation].Name));
}

inline std::vector<uint32_t> PolicyRun::route(const Request &request,
                                              uint32_t index, uint32_t entry) {
  std::vector<uint32_t> out;
  if (TestedPolicy.Route == Routing::RoundRobin) {
    for (uint32_t i = 0; i < Setup.Servers; ++i)
      out.push_back((NextRoundRobinServer + i) % Setup.Servers);
    ++NextRoundRobinServer;
    return out;
  }
  if (TestedPolicy.Route == Routing::LeastLoaded) {
    auto load = [&](uint32_t i) {
      const RunQueue &queue = Agents[i]->Queue;
      return std::pair(queue.waitingWork(), queue.running());
    };
    for (uint32_t i = 0; i < Setup.Servers; ++i)
      out.push_back(i);
    std::stable_sort(out.begin(), out.end(),
                     [&](uint32_t a, uint32_t b) { return load(a) < load(b); });
    return out;
  }
  auto depth = Popularity[entry]->chooseDepth(request.Pieces, hashName("m"),
                                              Members->Servers.size(), Now);
  RouteKey key =
      makeRouteKey(hashName(Organisations[request.Organisation].Name), "m",
                   request.Pieces, mix64(index), depth);
  CandidateList candidates = Table->candidates("m", false, key, "r");
  RouteDecision decision =
      rankCandidates(candidates, *Members, *LoadViews[entry], RouteSettings,
                     request.PromptTokens, key, "r", Now, nullptr,
                     ReuseEstimates[entry].get());
  Jobs[index].CandidateIndexes = {};
  for (const RankedCandidate &it : decision) {
    auto server = static_cast<uint32_t>(
        Members->Servers[it.Server.Index].Name.back() - 'a');
    out.push_back(server);
    Jobs[index].CandidateIndexes[server] = it.Position;
    Jobs[index].WaitLimits[server] = it.WaitLimit;
  }
  return out;
}

inline bool PolicyRun::place(Job &job, uint32_t entry,
                             std::optional<uint32_t> excluded) {
  // The first pass limits the queue wait at each server. Every offer reports
  // the server's wait, so the second pass, which accepts any wait, knows all of
  // them.
  bool hasWaitLimit = TestedPolicy.Route == Routing::Daisytack;
  for (bool limited : {true, false}) {
    if (limited && !hasWaitLimit)
      continue;
    for (uint32_t server : route(*job.Incoming, job.Index, entry)) {
      if (server == excluded || !Agents[server]->Up)
        continue;
      job.Run.WaitLimit = limited ? job.WaitLimits[server] : Duration{0};
      bool accepted = offer(job, server);
      report(server, entry);
      if (accepted)
        return true;
    }
  }
  return false;
}

inline void PolicyRun::report(uint32_t server, uint32_t entry) {
  const AgentModel &agent = *Agents[server];
  wire::LoadReport out;
  out.WaitMicros = static_cast<uint64_t>(agent.Queue.backlog(Now).count());
  out.PrefillTokensPerSecond = agent.Predictor.prefillRate();
  std::string name = std::string("server") + static_cast<char>('a' + server);
  LoadViews[entry]->observe(hashName(name), out, Now);
}

inline RunRequest PolicyRun::runRequest(const Job &job,
                                        const AgentModel &agent) const {
  const Request &request = *job.Incoming;
  const RequestClass &requestClass = Setup.Classes[request.Class];
  RunRequest out = job.Run;
  out.Prefill = agent.Predictor.prefill(job.Plan.RecomputedTokens);
  out.Decode = agent.Predictor.decode(requestClass.AnswerTokens);
  out.ContextReady = Now + job.Plan.FetchTime;
  if (!TestedPolicy.ChecksAcceptance) {
    out.Deadline = request.ArrivedAt; // Orders the queue by arrival time.
    return out;
  }
  out.Organisation = hashName(Organisations[request.Organisation].Name);
  out.Priority = static_cast<uint8_t>(requestClass.Priority);
  TimePoint deadline =
      request.ArrivedAt + requestClass.Deadline - CallerNetworkTime;
  Duration uncontended =
      fromSeconds(request.PromptTokens / EnginePrefillTokensPerSecond) +
      DecodeTimePerToken * requestClass.AnswerTokens;
  Duration reserve{0};
  if (job.Moves == 0)
    reserve = rerunReserve(true, deadline - Now, uncontended);
  out.Deadline = deadline - reserve;
  return out;
}

inline bool PolicyRun::offer(Job &job, uint32_t server) {
  AgentModel &agent = *Agents[server];
  job.Server = server;
  job.Plan = planFetches(job, agent);
  RunRequest run = runRequest(job, agent);
  if (TestedPolicy.ChecksAcceptance &&
      !decideAcceptance(agent.Queue, QueueSettings, {}, run, Now).accepted())
    return false;
  job.Run = run;
  enqueue(job, server);
  return true;
}

inline void PolicyRun::enqueue(Job &job, uint32_t server) {
  AgentModel &agent = *Agents[server];
  ++job.Epoch;
  job.Accepted = true;
  job.InSlot = false;
  job.EarlierSightings.clear();
  for (const PieceKey &it : job.Incoming->Pieces) {
    job.EarlierSightings.push_back(agent.Sightings.record(it, Now));
    agent.Returns.observe(job.EarlierSightings.back());
    if (TestedPolicy.Reuse == ContextReuse::Oracle)
      SeenPieces[it] = true;
  }
  agent.Jobs.insert(job.Index);
  startFetches(job, agent);
  agent.Queue.push(job.Run, Now);
  if (job.FetchesLeft == 0)
    agent.Queue.setContextReady(job.Run.Id, job.Run.AttemptNumber, Now);
  else
    schedule(job.Run.ContextReady, EventKind::ContextDue, job.Index, job.Epoch);
  startRuns(server);
}

inline void PolicyRun::startRuns(uint32_t server) {
  AgentModel &agent = *Agents[server];
  while (auto run = agent.Queue.start(Now)) {
    Job &job = Jobs[run->Id.Lo - 1];
    beginPrefill(job);
  }
}

inline void PolicyRun::beginPrefill(Job &job) {
  AgentModel &agent = *Agents[job.Server];
  agent.Engine.cachePieces(job.Imported);
  uint32_t cached = agent.Engine.cachedPieces(job.Incoming->Pieces);
  if (TestedPolicy.Reuse == ContextReuse::Oracle)
    cached = job.Plan.ReusedPieces;
  job.RecomputedTokens = job.Incoming->PromptTokens - cached * PieceTokens;
  job.PhaseStart = Now;
  ++agent.Engine.Running;
  TimePoint first = agent.Engine.startPrefill(job.RecomputedTokens, Now);
  schedule(first, EventKind::FirstToken, job.Index, job.Epoch);
}

inline void PolicyRun::onFirstToken(uint32_t index, uint64_t epoch) {
  Job &job = Jobs[index];
  if (job.Epoch != epoch)
    return;
  AgentModel &agent = *Agents[job.Server];
  const RequestClass &requestClass = Setup.Classes[job.Incoming->Class];
  agent.Predictor.observePrefill(job.RecomputedTokens, Now - job.PhaseStart);
  agent.Engine.cachePieces(job.Incoming->Pieces);
  agent.View.markPresent(job.Incoming->Pieces);
  agent.Queue.markPrefilled(job.Run.Id, job.Run.AttemptNumber);
  startRuns(job.Server);
  RequestOutcome &outcome = Result.Outcomes[index];
  outcome.RecomputedTokens += job.RecomputedTokens;
  if (!job.HasFirstToken)
    outcome.FirstTokenTime = Now - job.Incoming->ArrivedAt + CallerNetworkTime;
  job.HasFirstToken = true;
  job.PhaseStart = Now;
  schedule(Now + agent.Engine.decodeTime(requestClass.AnswerTokens),
           EventKind::Finished, index, epoch);
}

inline void PolicyRun::onFinished(uint32_t index, uint64_t epoch) {
  Job &job = Jobs[index];
  if (job.Epoch != epoch)
    return;
  AgentModel &agent = *Agents[job.Server];
  const RequestClass &requestClass = Setup.Classes[job.Incoming->Class];
  agent.Predictor.observeDecode(requestClass.AnswerTokens,
                                Now - job.PhaseStart);
  --agent.Engine.Running;
  agent.Queue.finish(job.Run.Id, job.Run.AttemptNumber);
  agent.Jobs.erase(index);
  job.Done = true;
  Result.Outcomes[index].TotalTime =
      Now - job.Incoming->ArrivedAt + CallerNetworkTime;
  Limits[job.Entry]->releaseSlot(
      hashName(Organisations[job.Incoming->Organisation].Name));
  exportPieces(job);
  startRuns(job.Server);
  if (auto it = job.CandidateIndexes.find(job.Server);
      it != job.CandidateIndexes.end())
    ReuseEstimates[job.Entry]->observe(it->second, job.Incoming->PromptTokens,
                                       job.RecomputedTokens);
  report(job.Server, job.Entry);
}

inline void PolicyRun::onTick(uint32_t server) {
  AgentModel &agent = *Agents[server];
  if (!TestedPolicy.ChecksAcceptance || !agent.Up)
    return;
  while (auto late = agent.Queue.firstAtRisk(Now)) {
    Job &job = Jobs[late->Id.Lo - 1];
    if (job.Moves >= MaxMoves)
      return;
    ++job.Moves;
    Job before = job;
    agent.Queue.cancel(late->Id, late->AttemptNumber);
    agent.Jobs.erase(job.Index);
    if (place(job, job.Entry, server)) {
      ++Result.Moves;
      continue;
    }
    job = before;
    agent.Jobs.insert(job.Index);
    agent.Queue.push(*late, Now);
  }
}

inline void PolicyRun::onFault(bool isActive) {
  Agents[0]->Engine.Speed = isActive ? Faults.SlowServerSpeed : 1;
  for (StoreModel &it : Stores)
    it.LinkRate = isActive ? LinkBytesPerSecond * Faults.LinkRateFactor
                           : LinkBytesPerSecond;
  if (isActive && Faults.LosesDomain)
    failDomain();
}

inline void PolicyRun::failDomain() {
  std::vector<uint32_t> interrupted;
  for (uint32_t i = 0; i < Setup.Servers; i += Setup.Domains.size()) {
    Agents[i]->Up = false;
    interrupted.insert(interrupted.end(), Agents[i]->Jobs.begin(),
                       Agents[i]->Jobs.end());
    Agents[i]->Jobs.clear();
  }
  for (uint32_t i = 0; i < Setup.Stores; i += Setup.Domains.size())
    Stores[i].fail();
  for (uint32_t it : interrupted) {
    Job &job = Jobs[it];
    ++job.Epoch; // Invalidates the pending events of the failed server.
    ++job.Moves;
    if (!place(job, job.Entry, std::nullopt))
      Result.Outcomes[it].Lost = true;
  }
  schedule(Now + FailureDetectionTime, EventKind::Detected);
}

} // namespace daisytack::bench
