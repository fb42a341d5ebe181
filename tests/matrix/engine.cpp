#include "engine.h"

#include <charconv>

namespace daisytack::matrix {

using namespace serve;

namespace {

constexpr Duration ChunkTime{40'000};
constexpr Duration PrefillTime{60'000};
constexpr Duration LoadTime{1'100'000};
constexpr std::string_view Mark = "call=";

uint64_t numberAfter(std::string_view text, std::string_view mark) {
  uint64_t out = 0;
  size_t n = text.find(mark);
  if (n != std::string_view::npos)
    std::from_chars(text.data() + n + mark.size(), text.data() + text.size(),
                    out);
  return out;
}

} // namespace

std::string callText(const CallText &call) {
  return "call=" + std::to_string(call.Number) +
         ";chunks=" + std::to_string(call.Chunks) +
         ";org=" + call.Organisation + ";";
}

CallText parseCallText(std::string_view body) {
  CallText out;
  out.Number = numberAfter(body, Mark);
  out.Chunks = static_cast<uint32_t>(numberAfter(body, ";chunks="));
  constexpr std::string_view Org = ";org=";
  size_t n = body.find(Org);
  if (n != std::string_view::npos) {
    body.remove_prefix(n + Org.size());
    out.Organisation = body.substr(0, body.find(';'));
  }
  return out;
}

std::string answerChunk(const CallText &call, uint32_t i) {
  return "[answer to " + call.Organisation + " " + std::to_string(call.Number) +
         "/" + std::to_string(i) + "]";
}

std::string wholeAnswer(const CallText &call) {
  std::string out;
  for (uint32_t i = 0; i < call.Chunks; ++i)
    out += answerChunk(call, i);
  return out;
}

std::string pieceBytes(const PieceKey &key, const std::string &version) {
  return "context of " + toHex(key) + " under " + version;
}

Engine::Engine(std::string name, bool isService, PromiseCheck &check,
               Hooks hooks)
    : Name(std::move(name)), IsService(isService), Check(check),
      On(std::move(hooks)) {}

void Engine::start(const StartRun &run) {
  if (Dead) {
    On.Tell(RunFailed{run.Run, {ErrorKind::ServiceUnavailable, "dead"}});
    return;
  }
  Going going;
  going.Offer = run.Offer;
  going.Call = parseCallText(run.Offer->Body);
  going.Next = run.Offer->GeneratedChunks;
  going.Cached = usePieces(*run.Offer);
  Check.ran(going.Call.Number, On.SubmissionOf(run.Run.Id), On.Now());
  Runs[run.Run] = std::move(going);
  On.After(PrefillTime * SlowFactor, [this, token = run.Run, life = Life] {
    if (life == Life)
      emit(token);
  });
}

/// Uses what is cached of the prompt, computes the rest and caches it.
uint32_t Engine::usePieces(const wire::Offer &offer) {
  uint32_t hits = 0;
  for (const PieceKey &key : offer.Pieces) {
    auto it = Cache.find(key);
    if (it == Cache.end()) {
      Cache[key] = {pieceBytes(key, Version), offer.Organisation};
      note(CacheEventKind::Stored, key);
      continue;
    }
    ++hits;
    CachedPiece &piece = it->second;
    if (piece.Organisation.empty())
      piece.Organisation = offer.Organisation;
    std::string started = "context of " + toHex(key) + " under ";
    if (piece.Bytes.compare(0, started.size(), started) != 0)
      Check.broken(Promise::FreedOrTornNeverRead,
                   Name + " used other bytes for a piece");
    else if (piece.Bytes != pieceBytes(key, Version))
      Check.broken(Promise::VersionsStayApart,
                   Name + " on " + Version +
                       " used: " + piece.Bytes.substr(started.size()));
    if (piece.Organisation != offer.Organisation)
      Check.broken(Promise::OrganisationsStayApart,
                   Name + " used a piece of " + piece.Organisation + " for " +
                       offer.Organisation);
  }
  return hits;
}

void Engine::emit(const RunToken &run) {
  auto it = Runs.find(run);
  if (it == Runs.end())
    return;
  Going &going = it->second;
  if (going.Next >= going.Call.Chunks)
    return finish(run);
  RunText text{run, run, going.Sequence++, 1,
               answerChunk(going.Call, going.Next++)};
  if (CrossAnswers > 0) {
    --CrossAnswers;
    for (const auto &[token, other] : Runs)
      if (token != run)
        text.Answer = token;
  }
  if (DoubleChunks > 0) {
    --DoubleChunks;
    On.Tell(text);
  }
  On.Tell(text);
  On.After(ChunkTime * SlowFactor, [this, run, life = Life] {
    if (life == Life)
      emit(run);
  });
}

void Engine::finish(const RunToken &run) {
  auto it = Runs.find(run);
  RunDone done;
  done.Run = run;
  done.Answer = run;
  done.FinishReason = "stop";
  done.PromptTokens = it->second.Offer->PromptTokens;
  done.CachedTokens = it->second.Cached * PieceTokens;
  done.CompletionTokens = it->second.Call.Chunks;
  if (IsService)
    done.ServiceStatus = 200;
  Runs.erase(it);
  On.Tell(done);
}

void Engine::cancel(const RunToken &run) { Runs.erase(run); }

AgentInput Engine::status() const {
  if (Dead)
    return EngineUnresponsive{{ErrorKind::ServerLost, "no answer"}};
  EngineStatus out;
  out.Model = "market";
  out.Version = Version;
  out.Loading = Loading;
  out.Fence = IgnoresFencing ? 0 : Fence;
  out.Running = static_cast<uint32_t>(Runs.size());
  out.CacheCapacity = 1000;
  out.CachedPieces = static_cast<uint32_t>(Cache.size());
  out.PrefillTokensPerSecond = 50'000;
  out.DecodeTokensPerSecond = 25;
  out.Started = Life;
  return out;
}

AgentInput Engine::cacheEvents(uint64_t from) const {
  if (Dead)
    return EngineUnresponsive{{ErrorKind::ServerLost, "no answer"}};
  CacheEvents out;
  out.From = from;
  out.Next = Events.size();
  for (size_t i = from; i < Events.size(); ++i)
    out.Events.push_back(Events[i]);
  return out;
}

void Engine::note(CacheEventKind kind, const PieceKey &piece) {
  Events.push_back({Events.size(), kind, piece});
}

OrderAnswer Engine::order(const SendOrder &order) {
  if (Dead)
    return {order.Call, {ErrorKind::ServerLost, "no answer"}, 0};
  if (!IgnoresFencing && order.Fence < Fence)
    return {order.Call, {ErrorKind::Conflict, "old number"}, Fence};
  Fence = std::max(Fence, order.Fence);
  load(order.Version);
  return {order.Call, {}, Fence};
}

void Engine::load(const std::string &version) {
  Loading = true;
  On.After(LoadTime * SlowFactor, [this, version, load = ++Loads, life = Life] {
    if (load != Loads || life != Life)
      return;
    Loading = false;
    Version = version;
    if (!MixesVersions)
      clearCache();
  });
}

PieceExport Engine::exportPiece(const ExportPiece &ask) const {
  auto it = Cache.find(ask.Key);
  if (Dead || it == Cache.end())
    return {ask.Call, nullptr, {ErrorKind::NotFound, "not cached"}};
  return {ask.Call, std::make_shared<const std::string>(it->second.Bytes), {}};
}

PieceImport Engine::importPiece(const ImportPiece &ask) {
  if (Dead)
    return {ask.Call, {ErrorKind::ServerLost, "no answer"}};
  // Its organisation is known only once it is used for the first time.
  auto [it, isNew] = Cache.try_emplace(ask.Key);
  it->second.Bytes = *ask.Bytes;
  if (isNew)
    note(CacheEventKind::Stored, ask.Key);
  return {ask.Call, {}};
}

void Engine::clearCache() {
  Cache.clear();
  note(CacheEventKind::Cleared, {});
}

void Engine::die() {
  Dead = true;
  ++Life;
  Loading = false;
  for (const auto &[token, going] : Runs)
    On.Tell(RunFailed{token, {ErrorKind::ServerLost, "connection broke"}});
  Runs.clear();
}

void Engine::revive() {
  Dead = false;
  Version = "v1";
  Fence = 0;
  clearCache();
}

} // namespace daisytack::matrix
