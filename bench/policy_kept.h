/// Members of PolicyRun that handle kept context: fetch plans, fetches and
/// exports. Included by policy_run.h.
#pragma once

namespace daisytack::bench {

inline FetchPlan PolicyRun::planFetches(Job &job, AgentModel &agent) {
  const Request &request = *job.Incoming;
  TimePoint start = Now + agent.Queue.backlog(Now);
  job.PieceStates.assign(request.Pieces.size(), {});
  for (size_t i = 0; i < request.Pieces.size(); ++i) {
    const PieceKey &piece = request.Pieces[i];
    PieceState &state = job.PieceStates[i];
    state.InEngine =
        agent.View.presenceProbability(piece) >= MinPresenceProbability;
    if (TestedPolicy.Reuse == ContextReuse::Oracle)
      state.InEngine = SeenPieces.contains(piece);
    if (TestedPolicy.Reuse != ContextReuse::Planned &&
        TestedPolicy.Reuse != ContextReuse::FetchAll)
      continue;
    for (uint32_t store : chooseStores(piece, StoreInstances))
      if (!state.Stored)
        state.Stored = Stores[store].lookup(piece, store);
  }
  std::vector<LinkState> links;
  for (const LinkScheduler &it : agent.Links)
    links.push_back({it.bytesPerSecond(Now), it.backlogBefore(start),
                     FetchRoundTrip, DiskBytesPerSecond});
  PlanInput input;
  input.Pieces = job.PieceStates;
  input.Links = links;
  input.PromptTokens = request.PromptTokens;
  input.QueueWait = start - Now;
  input.PrefillTokensPerSecond = agent.Predictor.prefillRate();
  const RequestClass &requestClass = Setup.Classes[request.Class];
  input.FirstTokenLimit = request.ArrivedAt + requestClass.Deadline - Now -
                          agent.Predictor.decode(requestClass.AnswerTokens);
  if (TestedPolicy.Reuse == ContextReuse::FetchAll)
    return planAllFetches(input);
  return planFetch(input, Setup.Weights);
}

inline FetchPlan PolicyRun::planAllFetches(const PlanInput &input) const {
  // With a weight on recomputed tokens only and no time limit, fetching always
  // costs less.
  PlanInput unlimited = input;
  unlimited.FirstTokenLimit = Duration::max();
  return planFetch(unlimited, PlanWeights{0, 1, 0});
}

inline void PolicyRun::startFetches(Job &job, AgentModel &agent) {
  job.Imported.clear();
  job.FetchesLeft = 0;
  TimePoint deadline = Now + agent.Queue.backlog(Now);
  job.FetchDeadline = deadline;
  std::set<uint32_t> links;
  for (uint32_t it : job.Plan.Fetch) {
    Transfer transfer{++LastTransfer, TransferKind::Fetch, KeptPieceBytes,
                      deadline};
    uint32_t link = job.PieceStates[it].Stored->Link;
    Error reason;
    if (!agent.Links[link].add(transfer, Now, reason))
      break;
    agent.Transfers[transfer.Id] = {
        job.Index, job.Epoch, link, job.Incoming->Pieces[it], {}};
    ++job.FetchesLeft;
    links.insert(link);
  }
  for (uint32_t it : links)
    startTransfers(job.Server, it);
}

inline void PolicyRun::startTransfers(uint32_t server, uint32_t link) {
  AgentModel &agent = *Agents[server];
  LinkScheduler &scheduler = agent.Links[link];
  while (auto started = scheduler.next(Now)) {
    const PendingTransfer &pending = agent.Transfers[started->Id];
    bool fetch = started->Kind == TransferKind::Fetch;
    TimePoint end = Stores[link].startTransfer(pending.Piece, fetch, Now);
    schedule(end, EventKind::Transfer, server, link, started->Id);
  }
  if (auto when = scheduler.nextAt(Now); when && *when > Now)
    schedule(*when, EventKind::LinkWake, server, link);
}

inline void PolicyRun::onTransfer(uint32_t server, uint32_t link, uint64_t id) {
  AgentModel &agent = *Agents[server];
  auto it = agent.Transfers.find(id);
  if (!agent.Up || it == agent.Transfers.end())
    return;
  PendingTransfer pending = it->second;
  agent.Transfers.erase(it);
  agent.Links[link].finish(id, Stores[link].Up ? KeptPieceBytes : 0, Now);
  startTransfers(server, link);
  if (pending.JobIndex == UINT32_MAX) {
    agent.Exporting.erase(pending.Piece);
    insertExported(link, agent, pending);
    return;
  }
  Job &job = Jobs[pending.JobIndex];
  if (job.Epoch != pending.JobEpoch || job.Done)
    return;
  // If the piece was evicted or lost during the transfer, the verified read
  // rejects it.
  if (Stores[link].contains(pending.Piece))
    job.Imported.push_back(pending.Piece);
  // The fetches were abandoned, or others are still running.
  if (job.FetchesLeft == 0 || --job.FetchesLeft > 0)
    return;
  agent.Queue.setContextReady(job.Run.Id, job.Run.AttemptNumber, Now);
  startRuns(server);
}

inline void PolicyRun::onContextDue(uint32_t index, uint64_t epoch) {
  Job &job = Jobs[index];
  if (job.Epoch != epoch || job.FetchesLeft == 0)
    return;
  AgentModel &agent = *Agents[job.Server];
  const RequestClass &requestClass = Setup.Classes[job.Incoming->Class];
  LateFetch late;
  late.TokensAtStake = job.FetchesLeft * PieceTokens;
  late.PrefillTokensPerSecond = agent.Predictor.prefillRate();
  late.Limit = job.Run.Deadline - Now - agent.Predictor.prefill(PieceTokens) -
               agent.Predictor.decode(requestClass.AnswerTokens);
  for (const LinkScheduler &it : agent.Links) {
    double left = static_cast<double>(it.backlogBefore(job.FetchDeadline));
    late.Remaining =
        std::max(late.Remaining, fromSeconds(left / it.bytesPerSecond(Now)));
  }
  late.Remaining = std::max(late.Remaining, FetchRoundTrip);
  bool unlimited = TestedPolicy.Reuse == ContextReuse::FetchAll;
  if (!unlimited && !isWorthWaiting(late, Setup.Weights))
    return abandonFetches(job, agent);
  agent.Queue.setContextReady(job.Run.Id, job.Run.AttemptNumber,
                              Now + late.Remaining);
  schedule(Now + late.Remaining, EventKind::ContextDue, index, epoch);
}

inline void PolicyRun::abandonFetches(Job &job, AgentModel &agent) {
  for (auto it = agent.Transfers.begin(); it != agent.Transfers.end();) {
    bool own =
        it->second.JobIndex == job.Index && it->second.JobEpoch == job.Epoch;
    if (own && agent.Links[it->second.Link].cancelWaiting(it->first))
      it = agent.Transfers.erase(it);
    else
      ++it;
  }
  Result.AbandonedFetches += job.FetchesLeft;
  job.FetchesLeft = 0;
  agent.Queue.setContextReady(job.Run.Id, job.Run.AttemptNumber, Now);
  startRuns(job.Server);
}

inline void PolicyRun::exportPieces(const Job &job) {
  if (TestedPolicy.Reuse != ContextReuse::Planned &&
      TestedPolicy.Reuse != ContextReuse::FetchAll)
    return;
  AgentModel &agent = *Agents[job.Server];
  const Request &request = *job.Incoming;
  const Organisation &organisation = Organisations[request.Organisation];
  for (size_t i = 0; i < request.Pieces.size(); ++i) {
    const PieceKey &piece = request.Pieces[i];
    if (job.PieceStates[i].Stored || agent.Exporting.contains(piece) ||
        !agent.Engine.isCached(piece))
      continue;
    auto stores = chooseStores(piece, StoreInstances);
    ExportCandidate candidate;
    candidate.Rule = TestedPolicy.Reuse == ContextReuse::FetchAll
                         ? KeepRule::Always
                         : Setup.Classes[request.Class].Keep;
    candidate.Before = job.EarlierSightings[i];
    candidate.Bytes = KeptPieceBytes;
    candidate.OrganisationBytes = KeptBytes[request.Organisation];
    candidate.Quota = organisation.KeptBytes;
    candidate.StoreUsed = Stores[stores[0]].usedShare();
    ExportDecision decision = agent.Keep.decide(candidate);
    if (decision.Verdict != ExportVerdict::Export)
      continue;
    for (uint32_t copy = 0; copy < decision.Copies; ++copy) {
      KeptMeta meta{organisation.Name,
                    static_cast<uint32_t>(i),
                    PieceTokens,
                    candidate.Before.Count + 1,
                    static_cast<uint8_t>(copy),
                    wallTime(),
                    wallTime() + std::chrono::hours(24 * 7)};
      Transfer transfer{
          ++LastTransfer, TransferKind::Export, KeptPieceBytes, {}};
      Error reason;
      if (!agent.Links[stores[copy]].add(transfer, Now, reason))
        continue;
      agent.Transfers[transfer.Id] = {UINT32_MAX, 0, stores[copy], piece,
                                      encodeMeta(meta)};
      agent.Exporting.insert(piece);
      startTransfers(job.Server, stores[copy]);
    }
  }
}

inline void PolicyRun::insertExported(uint32_t index, AgentModel &agent,
                                      const PendingTransfer &pending) {
  StoreModel &store = Stores[index];
  auto meta = decodeMeta(pending.Meta);
  auto organisationIndex = [&](const std::string &name) {
    return static_cast<size_t>(std::stoul(name));
  };
  if (!store.Up || store.contains(pending.Piece))
    return;
  if (store.isFull()) {
    auto sample = store.sample(Rng);
    auto victims =
        agent.Keep.chooseVictims(sample, KeptPieceBytes, *meta, wallTime());
    if (victims.empty())
      return;
    for (const SampledPiece &it : victims) {
      KeptBytes[organisationIndex(decodeMeta(it.Meta)->Organisation)] -=
          KeptPieceBytes;
      store.erase(it.Key);
    }
  }
  KeptBytes[organisationIndex(meta->Organisation)] += KeptPieceBytes;
  store.insert(pending.Piece, pending.Meta);
}

} // namespace daisytack::bench
