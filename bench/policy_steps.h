/// The parts of PolicyRun that route, accept, queue and run. Included by
/// policy_run.h.
#pragma once

namespace daisytack::bench {

inline PolicyRun::PolicyRun(const Deployment &deployment, const Policy &policy,
                            const Scenario &scenario,
                            const std::vector<Request> &stream,
                            const RunOptions &options)
    : What(deployment), How(policy), Fault(scenario), Stream(stream),
      Options(options), Chance(options.Seed), Stores(deployment.Stores),
      Jobs(stream.size()), KeptBytes(Organisations) {
  QueueSettings.Slots = EngineSlots;
  QueueSettings.MaxPrefills = 1;
  QueueSettings.MaxWait = std::chrono::seconds(60);
  for (uint32_t i = 0; i < What.Servers; ++i)
    Agents.push_back(std::make_unique<AgentModel>(options.Seed + i, What.Stores,
                                                  QueueSettings));
  for (uint32_t i = 0; i < What.Stores; ++i) {
    std::string name = "store" + std::to_string(i);
    const std::string &domain = What.Domains[i % What.Domains.size()];
    StoreNames.push_back({name, domain, {}, hashName(name)});
  }
  for (uint32_t i = 0; i < Organisations; ++i) {
    Organisation it;
    it.Name = std::to_string(i);
    it.RequestsPerSecond = What.RequestsPerSecond * sizeOf(i) * LimitOverUsual;
    it.Burst = static_cast<uint32_t>(10 + it.RequestsPerSecond * 10);
    it.KeptBytes = What.Stores * StorePieces * PieceSize / 2;
    Customers.push_back(it);
  }
  for (uint32_t i = 0; i < What.Entries; ++i) {
    Loads.push_back(std::make_unique<LoadView>(LoadViewSettings{}));
    Popularity.push_back(
        std::make_unique<PrefixPopularity>(PopularitySettings{}));
    Reuse.push_back(std::make_unique<ReuseEstimate>(RouteSettings.HomeReuse,
                                                    RouteSettings.NextReuse));
    Limits.push_back(
        std::make_unique<OrganisationLimits>(i + 1, LimitSettings{}));
    Owners.push_back(std::make_unique<QuotaOwner>(LimitSettings{}));
  }
  Out.Records.resize(stream.size());
  buildSnapshot();
}

inline void PolicyRun::buildSnapshot() {
  Members = std::make_shared<Snapshot>();
  for (uint32_t i = 0; i < What.Servers; ++i) {
    if (!Agents[i]->Up)
      continue;
    Server it;
    it.Name = std::string("server") + static_cast<char>('a' + i);
    it.Serves = "m";
    it.Region = "r";
    it.FailureDomain = What.Domains[i % What.Domains.size()];
    it.NameHash = hashName(it.Name);
    Members->Servers.push_back(it);
  }
  Members->finish();
  Table = std::make_unique<RoutingTable>(Members);
}

inline RunResult PolicyRun::run() {
  for (uint32_t i = 0; i < Stream.size(); ++i)
    at(Stream[i].At, Kind::Arrival, i);
  for (uint32_t i = 0; i < What.Servers; ++i) {
    at(TimePoint(CacheEventPeriod), Kind::Poll, i);
    at(TimePoint(AgentTick), Kind::Tick, i);
  }
  Duration measured = Options.Length - Options.WarmUp;
  at(TimePoint(Options.WarmUp + measured / 3), Kind::FaultOn);
  at(TimePoint(Options.WarmUp + measured * 2 / 3), Kind::FaultOff);
  while (!Events.empty()) {
    Happening next = Events.top();
    Events.pop();
    Now = next.At;
    happen(next);
  }
  Duration busy{0};
  for (const StoreModel &it : Stores) {
    Out.Fetched += it.Fetched;
    Out.Exported += it.Exported;
    busy += it.Busy;
  }
  Out.LinkUse = seconds(busy) / seconds(Options.Length) / What.Stores;
  return std::move(Out);
}

inline void PolicyRun::happen(const Happening &event) {
  bool over = Now > TimePoint(Options.Length + std::chrono::minutes(10));
  switch (event.What) {
  case Kind::Arrival:
    return onArrival(event.A);
  case Kind::FirstToken:
    return onFirstToken(event.A, event.B);
  case Kind::Finished:
    return onFinished(event.A, event.B);
  case Kind::Transfer:
    return onTransfer(event.A, static_cast<uint32_t>(event.B), event.C);
  case Kind::ReadyDue:
    return onReadyDue(event.A, event.B);
  case Kind::LinkWake:
    return pumpLink(event.A, static_cast<uint32_t>(event.B));
  case Kind::Poll:
    Agents[event.A]->Engine.poll(Agents[event.A]->View);
    if (!over)
      at(Now + CacheEventPeriod, Kind::Poll, event.A);
    return;
  case Kind::Tick:
    onTick(event.A);
    if (!over)
      at(Now + AgentTick, Kind::Tick, event.A);
    return;
  case Kind::FaultOn:
    return onFault(true);
  case Kind::FaultOff:
    return onFault(false);
  case Kind::Detected:
    return buildSnapshot();
  }
}

inline bool PolicyRun::isWithinLimit(const Request &request, uint32_t entry) {
  const Organisation &customer = Customers[request.Organisation];
  LimitDecision decision = Limits[entry]->admit(customer, What.Entries, Now);
  if (decision.OwnerRequest) {
    auto &owner = *Owners[request.Organisation % Owners.size()];
    Limits[entry]->apply(owner.grant(customer, *decision.OwnerRequest, Now),
                         Now);
  }
  if (decision.Verdict == LimitVerdict::AwaitGrant)
    decision = Limits[entry]->admit(customer, What.Entries, Now);
  return decision.Verdict == LimitVerdict::Admitted;
}

inline void PolicyRun::onArrival(uint32_t index) {
  const Request &request = Stream[index];
  Record &record = Out.Records[index];
  record.Counted = request.At >= TimePoint(Options.WarmUp);
  uint32_t entry = index % What.Entries;
  if (!isWithinLimit(request, entry)) {
    record.Refused = record.Limited = true;
    return;
  }
  Job &job = Jobs[index];
  job.What = &request;
  job.Index = index;
  job.Entry = entry;
  job.Run.Id = {1, index + 1};
  if (place(job, entry, std::nullopt))
    return;
  record.Refused = true;
  Limits[entry]->releaseSlot(hashName(Customers[request.Organisation].Name));
}

inline std::vector<uint32_t> PolicyRun::route(const Request &request,
                                              uint32_t index, uint32_t entry) {
  std::vector<uint32_t> out;
  if (How.Route == Routing::RoundRobin) {
    for (uint32_t i = 0; i < What.Servers; ++i)
      out.push_back((NextServer + i) % What.Servers);
    ++NextServer;
    return out;
  }
  if (How.Route == Routing::LeastLoaded) {
    auto load = [&](uint32_t i) {
      const RunQueue &queue = Agents[i]->Queue;
      return std::pair(queue.waitingWork(), queue.running());
    };
    for (uint32_t i = 0; i < What.Servers; ++i)
      out.push_back(i);
    std::stable_sort(out.begin(), out.end(),
                     [&](uint32_t a, uint32_t b) { return load(a) < load(b); });
    return out;
  }
  auto depth = Popularity[entry]->chooseDepth(request.Pieces, hashName("m"),
                                              Members->Servers.size(), Now);
  RouteKey key = makeRouteKey(hashName(Customers[request.Organisation].Name),
                              "m", request.Pieces, mix64(index), depth);
  CandidateList candidates = Table->candidates("m", false, key, "r");
  RouteDecision decision = rankCandidates(
      candidates, *Members, *Loads[entry], RouteSettings, request.PromptTokens,
      key, "r", Now, nullptr, Reuse[entry].get());
  Jobs[index].Places = {};
  for (const RankedCandidate &it : decision) {
    auto server = static_cast<uint32_t>(
        Members->Servers[it.Server.Index].Name.back() - 'a');
    out.push_back(server);
    Jobs[index].Places[server] = it.Position;
    Jobs[index].WaitLimits[server] = it.WaitLimit;
  }
  return out;
}

inline bool PolicyRun::place(Job &job, uint32_t entry,
                             std::optional<uint32_t> except) {
  // First for a limited wait, then, when all waits are known, for any.
  bool hasWaitLimit = How.Route == Routing::Ours;
  for (bool limited : {true, false}) {
    if (limited && !hasWaitLimit)
      continue;
    for (uint32_t server : route(*job.What, job.Index, entry)) {
      if (server == except || !Agents[server]->Up)
        continue;
      job.Run.WaitLimit = limited ? job.WaitLimits[server] : Duration{0};
      bool taken = offer(job, server);
      report(server, entry);
      if (taken)
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
  Loads[entry]->observe(hashName(name), out, Now);
}

inline RunRequest PolicyRun::runRequest(const Job &job,
                                        const AgentModel &agent) const {
  const Request &request = *job.What;
  const ClassShape &shape = What.Classes[request.Class];
  RunRequest out = job.Run;
  out.Prefill = agent.Predictor.prefill(job.Plan.RecomputedTokens);
  out.Decode = agent.Predictor.decode(shape.AnswerTokens);
  out.ContextReady = Now + job.Plan.FetchTime;
  if (!How.Accepts) {
    out.Deadline = request.At; // First come, first served.
    return out;
  }
  out.Organisation = hashName(Customers[request.Organisation].Name);
  out.Priority = static_cast<uint8_t>(shape.Priority);
  TimePoint deadline = request.At + shape.Deadline - NetworkTime;
  Duration undisturbed = fromSeconds(request.PromptTokens / PrefillRate) +
                         TokenTime * shape.AnswerTokens;
  Duration reserve{0};
  if (job.Moves == 0)
    reserve = rerunReserve(true, deadline - Now, undisturbed);
  out.Deadline = deadline - reserve;
  return out;
}

inline bool PolicyRun::offer(Job &job, uint32_t server) {
  AgentModel &agent = *Agents[server];
  job.Server = server;
  job.Plan = planAt(job, agent);
  RunRequest run = runRequest(job, agent);
  if (How.Accepts &&
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
  job.Before.clear();
  for (const PieceKey &it : job.What->Pieces) {
    job.Before.push_back(agent.Sights.record(it, Now));
    agent.Returns.observe(job.Before.back());
    if (How.Reuse == Context::Oracle)
      EverSeen[it] = true;
  }
  agent.Jobs.insert(job.Index);
  startFetches(job, agent);
  agent.Queue.push(job.Run, Now);
  if (job.FetchesLeft == 0)
    agent.Queue.setContextReady(job.Run.Id, job.Run.AttemptNumber, Now);
  else
    at(job.Run.ContextReady, Kind::ReadyDue, job.Index, job.Epoch);
  pumpQueue(server);
}

inline void PolicyRun::pumpQueue(uint32_t server) {
  AgentModel &agent = *Agents[server];
  while (auto run = agent.Queue.start(Now)) {
    Job &job = Jobs[run->Id.Lo - 1];
    beginPrefill(job);
  }
}

inline void PolicyRun::beginPrefill(Job &job) {
  AgentModel &agent = *Agents[job.Server];
  agent.Engine.keep(job.Imported);
  uint32_t cached = agent.Engine.cached(job.What->Pieces);
  if (How.Reuse == Context::Oracle)
    cached = job.Plan.ReusedPieces;
  job.Recomputed = job.What->PromptTokens - cached * PieceTokens;
  job.Started = Now;
  ++agent.Engine.Running;
  TimePoint first = agent.Engine.prefill(job.Recomputed, Now);
  at(first, Kind::FirstToken, job.Index, job.Epoch);
}

inline void PolicyRun::onFirstToken(uint32_t index, uint64_t epoch) {
  Job &job = Jobs[index];
  if (job.Epoch != epoch)
    return;
  AgentModel &agent = *Agents[job.Server];
  const ClassShape &shape = What.Classes[job.What->Class];
  agent.Predictor.observePrefill(job.Recomputed, Now - job.Started);
  agent.Engine.keep(job.What->Pieces);
  agent.View.markPresent(job.What->Pieces);
  agent.Queue.markPrefilled(job.Run.Id, job.Run.AttemptNumber);
  pumpQueue(job.Server);
  Record &record = Out.Records[index];
  record.Recomputed += job.Recomputed;
  if (!job.HasFirstToken)
    record.FirstToken = Now - job.What->At + NetworkTime;
  job.HasFirstToken = true;
  job.Started = Now;
  at(Now + agent.Engine.decode(shape.AnswerTokens), Kind::Finished, index,
     epoch);
}

inline void PolicyRun::onFinished(uint32_t index, uint64_t epoch) {
  Job &job = Jobs[index];
  if (job.Epoch != epoch)
    return;
  AgentModel &agent = *Agents[job.Server];
  const ClassShape &shape = What.Classes[job.What->Class];
  agent.Predictor.observeDecode(shape.AnswerTokens, Now - job.Started);
  --agent.Engine.Running;
  agent.Queue.finish(job.Run.Id, job.Run.AttemptNumber);
  agent.Jobs.erase(index);
  job.Done = true;
  Out.Records[index].Took = Now - job.What->At + NetworkTime;
  Limits[job.Entry]->releaseSlot(
      hashName(Customers[job.What->Organisation].Name));
  exportPieces(job);
  pumpQueue(job.Server);
  if (auto it = job.Places.find(job.Server); it != job.Places.end())
    Reuse[job.Entry]->observe(it->second, job.What->PromptTokens,
                              job.Recomputed);
  report(job.Server, job.Entry);
}

inline void PolicyRun::onTick(uint32_t server) {
  AgentModel &agent = *Agents[server];
  if (!How.Accepts || !agent.Up)
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
      ++Out.Moves;
      continue;
    }
    job = before;
    agent.Jobs.insert(job.Index);
    agent.Queue.push(*late, Now);
  }
}

inline void PolicyRun::onFault(bool on) {
  Agents[0]->Engine.Speed = on ? Fault.SlowServer : 1;
  for (StoreModel &it : Stores)
    it.Rate = on ? LinkRate * Fault.LinkShare : LinkRate;
  if (on && Fault.LosesDomain)
    loseDomain();
}

inline void PolicyRun::loseDomain() {
  std::vector<uint32_t> orphans;
  for (uint32_t i = 0; i < What.Servers; i += What.Domains.size()) {
    Agents[i]->Up = false;
    orphans.insert(orphans.end(), Agents[i]->Jobs.begin(),
                   Agents[i]->Jobs.end());
    Agents[i]->Jobs.clear();
  }
  for (uint32_t i = 0; i < What.Stores; i += What.Domains.size())
    Stores[i].lose();
  for (uint32_t it : orphans) {
    Job &job = Jobs[it];
    ++job.Epoch; // What the lost server was doing no longer counts.
    ++job.Moves;
    if (!place(job, job.Entry, std::nullopt))
      Out.Records[it].Lost = true;
  }
  at(Now + DetectionTime, Kind::Detected);
}

} // namespace daisytack::bench
