#include "engine.h"

#include <charconv>

namespace daisytack::matrix {

using namespace serve;

namespace {

constexpr Duration ChunkTime{40'000};
constexpr Duration PrefillTime{60'000};
constexpr Duration LoadTime{1'100'000};
constexpr std::string_view CallField = "call=";

uint64_t numberAfter(std::string_view text, std::string_view mark) {
  uint64_t out = 0;
  size_t n = text.find(mark);
  if (n != std::string_view::npos)
    std::from_chars(text.data() + n + mark.size(), text.data() + text.size(),
                    out);
  return out;
}

} // namespace

std::string formatCallBody(const CallBody &call) {
  return "call=" + std::to_string(call.Number) +
         ";chunks=" + std::to_string(call.Chunks) +
         ";org=" + call.Organisation + ";";
}

CallBody parseCallBody(std::string_view body) {
  CallBody out;
  out.Number = numberAfter(body, CallField);
  out.Chunks = static_cast<uint32_t>(numberAfter(body, ";chunks="));
  constexpr std::string_view Org = ";org=";
  size_t n = body.find(Org);
  if (n != std::string_view::npos) {
    body.remove_prefix(n + Org.size());
    out.Organisation = body.substr(0, body.find(';'));
  }
  return out;
}

std::string answerChunk(const CallBody &call, uint32_t i) {
  return "[answer to " + call.Organisation + " " + std::to_string(call.Number) +
         "/" + std::to_string(i) + "]";
}

std::string fullAnswer(const CallBody &call) {
  std::string out;
  for (uint32_t i = 0; i < call.Chunks; ++i)
    out += answerChunk(call, i);
  return out;
}

std::string pieceBytes(const PieceKey &key, const std::string &version) {
  return "context of " + toHex(key) + " under " + version;
}

Engine::Engine(std::string name, bool isService, InvariantChecker &check,
               Hooks hooks)
    : Name(std::move(name)), IsService(isService), Checker(check),
      Callbacks(std::move(hooks)) {}

void Engine::start(const StartRun &run) {
  if (Crashed) {
    Callbacks.Notify(
        RunFailed{run.Run, {ErrorKind::ServiceUnavailable, "dead"}});
    return;
  }
  ActiveRun active;
  active.Offer = run.Offer;
  active.Call = parseCallBody(run.Offer->Body);
  active.Next = run.Offer->GeneratedChunks;
  active.Cached = usePieces(*run.Offer);
  Checker.onRun(active.Call.Number, Callbacks.SubmissionOf(run.Run.Id),
                Callbacks.Now());
  Runs[run.Run] = std::move(active);
  Callbacks.Schedule(PrefillTime * SlowFactor,
                     [this, token = run.Run, generation = Generation] {
                       if (generation == Generation)
                         emitChunk(token);
                     });
}

/// Checks and counts the prompt's cached pieces and adds the missing ones to
/// the cache. Returns the number of hits.
uint32_t Engine::usePieces(const wire::Offer &offer) {
  uint32_t hits = 0;
  for (const PieceKey &key : offer.Pieces) {
    auto it = Cache.find(key);
    if (it == Cache.end()) {
      Cache[key] = {pieceBytes(key, Version), offer.Organisation};
      recordEvent(CacheEventKind::Stored, key);
      continue;
    }
    ++hits;
    CachedPiece &piece = it->second;
    if (piece.Organisation.empty())
      piece.Organisation = offer.Organisation;
    std::string prefix = "context of " + toHex(key) + " under ";
    if (piece.Bytes.compare(0, prefix.size(), prefix) != 0)
      Checker.recordViolation(Invariant::FreedOrTornNeverRead,
                              Name + " used other bytes for a piece");
    else if (piece.Bytes != pieceBytes(key, Version))
      Checker.recordViolation(Invariant::VersionsStayApart,
                              Name + " on " + Version + " used: " +
                                  piece.Bytes.substr(prefix.size()));
    if (piece.Organisation != offer.Organisation)
      Checker.recordViolation(Invariant::OrganisationsStayApart,
                              Name + " used a piece of " + piece.Organisation +
                                  " for " + offer.Organisation);
  }
  return hits;
}

void Engine::emitChunk(const RunToken &run) {
  auto it = Runs.find(run);
  if (it == Runs.end())
    return;
  ActiveRun &active = it->second;
  if (active.Next >= active.Call.Chunks)
    return finish(run);
  RunText text{run, run, active.Sequence++, 1,
               answerChunk(active.Call, active.Next++)};
  if (MisattributedTexts > 0) {
    --MisattributedTexts;
    for (const auto &[token, other] : Runs)
      if (token != run)
        text.Answer = token;
  }
  if (DuplicatedTexts > 0) {
    --DuplicatedTexts;
    Callbacks.Notify(text);
  }
  Callbacks.Notify(text);
  Callbacks.Schedule(ChunkTime * SlowFactor,
                     [this, run, generation = Generation] {
                       if (generation == Generation)
                         emitChunk(run);
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
  Callbacks.Notify(done);
}

void Engine::cancel(const RunToken &run) { Runs.erase(run); }

AgentInput Engine::status() const {
  if (Crashed)
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
  out.Started = Generation;
  return out;
}

AgentInput Engine::cacheEvents(uint64_t from) const {
  if (Crashed)
    return EngineUnresponsive{{ErrorKind::ServerLost, "no answer"}};
  CacheEvents out;
  out.From = from;
  out.Next = Events.size();
  for (size_t i = from; i < Events.size(); ++i)
    out.Events.push_back(Events[i]);
  return out;
}

void Engine::recordEvent(CacheEventKind kind, const PieceKey &piece) {
  Events.push_back({Events.size(), kind, piece});
}

OrderAnswer Engine::order(const SendOrder &order) {
  if (Crashed)
    return {order.Call, {ErrorKind::ServerLost, "no answer"}, 0};
  if (!IgnoresFencing && order.Fence < Fence)
    return {order.Call, {ErrorKind::Conflict, "old number"}, Fence};
  Fence = std::max(Fence, order.Fence);
  load(order.Version);
  return {order.Call, {}, Fence};
}

void Engine::load(const std::string &version) {
  Loading = true;
  Callbacks.Schedule(LoadTime * SlowFactor, [this, version, load = ++LoadCount,
                                             generation = Generation] {
    if (load != LoadCount || generation != Generation)
      return;
    Loading = false;
    Version = version;
    if (!KeepsCacheOnLoad)
      clearCache();
  });
}

PieceExport Engine::exportPiece(const ExportPiece &request) const {
  auto it = Cache.find(request.Key);
  if (Crashed || it == Cache.end())
    return {request.Call, nullptr, {ErrorKind::NotFound, "not cached"}};
  return {
      request.Call, std::make_shared<const std::string>(it->second.Bytes), {}};
}

PieceImport Engine::importPiece(const ImportPiece &request) {
  if (Crashed)
    return {request.Call, {ErrorKind::ServerLost, "no answer"}};
  // The organisation stays empty until the first request that uses the piece.
  auto [it, isNew] = Cache.try_emplace(request.Key);
  it->second.Bytes = *request.Bytes;
  if (isNew)
    recordEvent(CacheEventKind::Stored, request.Key);
  return {request.Call, {}};
}

void Engine::clearCache() {
  Cache.clear();
  recordEvent(CacheEventKind::Cleared, {});
}

void Engine::crash() {
  Crashed = true;
  ++Generation;
  Loading = false;
  for (const auto &[token, active] : Runs)
    Callbacks.Notify(
        RunFailed{token, {ErrorKind::ServerLost, "connection broke"}});
  Runs.clear();
}

void Engine::restart() {
  Crashed = false;
  Version = "v1";
  Fence = 0;
  clearCache();
}

} // namespace daisytack::matrix
