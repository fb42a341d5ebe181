/// The parts of PolicyRun that concern kept context: plans, fetches, exports.
/// Included by policy_run.h.
#pragma once

namespace daisytack::bench {

inline FetchPlan PolicyRun::planAt(Job &job, AgentModel &agent) {
  const Request &request = *job.What;
  TimePoint start = Now + agent.Queue.backlog(Now);
  job.States.assign(request.Pieces.size(), {});
  for (size_t i = 0; i < request.Pieces.size(); ++i) {
    const PieceKey &piece = request.Pieces[i];
    PieceState &state = job.States[i];
    state.InEngine = agent.View.presenceProbability(piece) >= LeastPresence;
    if (How.Reuse == Context::Oracle)
      state.InEngine = EverSeen.contains(piece);
    if (How.Reuse != Context::Planned && How.Reuse != Context::FetchAll)
      continue;
    for (uint32_t store : chooseStores(piece, StoreNames))
      if (!state.Stored)
        state.Stored = Stores[store].lookup(piece, store);
  }
  std::vector<LinkState> links;
  for (const LinkScheduler &it : agent.Links)
    links.push_back({it.bytesPerSecond(Now), it.backlogBefore(start),
                     FetchRoundTrip, DiskRate});
  PlanInput input;
  input.Pieces = job.States;
  input.Links = links;
  input.PromptTokens = request.PromptTokens;
  input.QueueWait = start - Now;
  input.PrefillTokensPerSecond = agent.Predictor.prefillRate();
  const ClassShape &shape = What.Classes[request.Class];
  input.FirstTokenLimit = request.At + shape.Deadline - Now -
                          agent.Predictor.decode(shape.AnswerTokens);
  if (How.Reuse == Context::FetchAll)
    return fetchEverything(input);
  return planFetch(input, What.Weights);
}

inline FetchPlan PolicyRun::fetchEverything(const PlanInput &input) const {
  // Infinite worth of what is not recomputed.
  PlanInput patient = input;
  patient.FirstTokenLimit = Duration::max();
  return planFetch(patient, PlanWeights{0, 1, 0});
}

inline void PolicyRun::startFetches(Job &job, AgentModel &agent) {
  job.Imported.clear();
  job.FetchesLeft = 0;
  TimePoint deadline = Now + agent.Queue.backlog(Now);
  job.FetchDeadline = deadline;
  std::set<uint32_t> links;
  for (uint32_t it : job.Plan.Fetch) {
    Transfer transfer{++LastTransfer, TransferKind::Fetch, PieceSize, deadline};
    uint32_t link = job.States[it].Stored->Link;
    Error reason;
    if (!agent.Links[link].add(transfer, Now, reason))
      break;
    agent.Cargoes[transfer.Id] = {
        job.Index, job.Epoch, link, job.What->Pieces[it], {}};
    ++job.FetchesLeft;
    links.insert(link);
  }
  for (uint32_t it : links)
    pumpLink(job.Server, it);
}

inline void PolicyRun::pumpLink(uint32_t server, uint32_t link) {
  AgentModel &agent = *Agents[server];
  LinkScheduler &scheduler = agent.Links[link];
  while (auto out = scheduler.next(Now)) {
    const Cargo &cargo = agent.Cargoes[out->Id];
    bool fetch = out->Kind == TransferKind::Fetch;
    TimePoint end = Stores[link].transfer(cargo.Piece, fetch, Now);
    at(end, Kind::Transfer, server, link, out->Id);
  }
  if (auto when = scheduler.nextAt(Now); when && *when > Now)
    at(*when, Kind::LinkWake, server, link);
}

inline void PolicyRun::onTransfer(uint32_t server, uint32_t link, uint64_t id) {
  AgentModel &agent = *Agents[server];
  auto it = agent.Cargoes.find(id);
  if (!agent.Up || it == agent.Cargoes.end())
    return;
  Cargo cargo = it->second;
  agent.Cargoes.erase(it);
  agent.Links[link].finish(id, Stores[link].Up ? PieceSize : 0, Now);
  pumpLink(server, link);
  if (cargo.Job == UINT32_MAX) {
    agent.Exporting.erase(cargo.Piece);
    insertExported(link, agent, cargo);
    return;
  }
  Job &job = Jobs[cargo.Job];
  if (job.Epoch != cargo.JobEpoch || job.Done)
    return;
  // Evicted or lost meanwhile: the verified read rejects it.
  if (Stores[link].contains(cargo.Piece))
    job.Imported.push_back(cargo.Piece);
  if (job.FetchesLeft == 0 || --job.FetchesLeft > 0)
    return; // Given up, or more to come.
  agent.Queue.setContextReady(job.Run.Id, job.Run.AttemptNumber, Now);
  pumpQueue(server);
}

inline void PolicyRun::onReadyDue(uint32_t index, uint64_t epoch) {
  Job &job = Jobs[index];
  if (job.Epoch != epoch || job.FetchesLeft == 0)
    return;
  AgentModel &agent = *Agents[job.Server];
  const ClassShape &shape = What.Classes[job.What->Class];
  LateFetch late;
  late.TokensAtStake = job.FetchesLeft * PieceTokens;
  late.PrefillTokensPerSecond = agent.Predictor.prefillRate();
  late.Limit = job.Run.Deadline - Now - agent.Predictor.prefill(PieceTokens) -
               agent.Predictor.decode(shape.AnswerTokens);
  for (const LinkScheduler &it : agent.Links) {
    double left = static_cast<double>(it.backlogBefore(job.FetchDeadline));
    late.Remaining =
        std::max(late.Remaining, fromSeconds(left / it.bytesPerSecond(Now)));
  }
  late.Remaining = std::max(late.Remaining, FetchRoundTrip);
  bool patient = How.Reuse == Context::FetchAll;
  if (!patient && !isWorthWaiting(late, What.Weights))
    return giveUpFetches(job, agent);
  agent.Queue.setContextReady(job.Run.Id, job.Run.AttemptNumber,
                              Now + late.Remaining);
  at(Now + late.Remaining, Kind::ReadyDue, index, epoch);
}

inline void PolicyRun::giveUpFetches(Job &job, AgentModel &agent) {
  for (auto it = agent.Cargoes.begin(); it != agent.Cargoes.end();) {
    bool own = it->second.Job == job.Index && it->second.JobEpoch == job.Epoch;
    if (own && agent.Links[it->second.Link].cancelWaiting(it->first))
      it = agent.Cargoes.erase(it);
    else
      ++it;
  }
  Out.GivenUp += job.FetchesLeft;
  job.FetchesLeft = 0;
  agent.Queue.setContextReady(job.Run.Id, job.Run.AttemptNumber, Now);
  pumpQueue(job.Server);
}

inline void PolicyRun::exportPieces(const Job &job) {
  if (How.Reuse != Context::Planned && How.Reuse != Context::FetchAll)
    return;
  AgentModel &agent = *Agents[job.Server];
  const Request &request = *job.What;
  const Organisation &customer = Customers[request.Organisation];
  for (size_t i = 0; i < request.Pieces.size(); ++i) {
    const PieceKey &piece = request.Pieces[i];
    if (job.States[i].Stored || agent.Exporting.contains(piece) ||
        !agent.Engine.holds(piece))
      continue;
    auto stores = chooseStores(piece, StoreNames);
    ExportCandidate question;
    question.Rule = How.Reuse == Context::FetchAll
                        ? KeepRule::Always
                        : What.Classes[request.Class].Keep;
    question.Before = job.Before[i];
    question.Bytes = PieceSize;
    question.OrganisationBytes = KeptBytes[request.Organisation];
    question.Quota = customer.KeptBytes;
    question.StoreUsed = Stores[stores[0]].used();
    ExportDecision decision = agent.Keep.decide(question);
    if (decision.Verdict != ExportVerdict::Export)
      continue;
    for (uint32_t copy = 0; copy < decision.Copies; ++copy) {
      KeptMeta meta{customer.Name,
                    static_cast<uint32_t>(i),
                    PieceTokens,
                    question.Before.Count + 1,
                    static_cast<uint8_t>(copy),
                    wall(),
                    wall() + std::chrono::hours(24 * 7)};
      Transfer transfer{++LastTransfer, TransferKind::Export, PieceSize, {}};
      Error reason;
      if (!agent.Links[stores[copy]].add(transfer, Now, reason))
        continue;
      agent.Cargoes[transfer.Id] = {UINT32_MAX, 0, stores[copy], piece,
                                    encodeMeta(meta)};
      agent.Exporting.insert(piece);
      pumpLink(job.Server, stores[copy]);
    }
  }
}

inline void PolicyRun::insertExported(uint32_t index, AgentModel &agent,
                                      const Cargo &cargo) {
  StoreModel &store = Stores[index];
  auto meta = decodeMeta(cargo.Meta);
  auto owner = [&](const std::string &name) {
    return static_cast<size_t>(std::stoul(name));
  };
  if (!store.Up || store.contains(cargo.Piece))
    return;
  if (store.isFull()) {
    auto sample = store.sample(Chance);
    auto victims = agent.Keep.chooseVictims(sample, PieceSize, *meta, wall());
    if (victims.empty())
      return;
    for (const SampledPiece &it : victims) {
      KeptBytes[owner(decodeMeta(it.Meta)->Organisation)] -= PieceSize;
      store.erase(it.Key);
    }
  }
  KeptBytes[owner(meta->Organisation)] += PieceSize;
  store.insert(cargo.Piece, cargo.Meta);
}

} // namespace daisytack::bench
