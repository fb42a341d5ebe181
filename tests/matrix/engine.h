/// Simulated backend server: a model engine with a cache of prompt pieces, or a
/// plain service. Answers are a function of the request alone, so tests detect
/// mixed-up and truncated answers. The cache keeps imported bytes as they are,
/// so tests detect a wrong piece when it is used.
#pragma once

#include "event_queue.h"
#include "invariants.h"
#include "serve/agent_messages.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace daisytack::matrix {

/// Fields of a request body as written by formatCallBody().
struct CallBody {
  uint64_t Number = 0;
  std::string Organisation;
  uint32_t Chunks = 0;
};
std::string formatCallBody(const CallBody &call);
/// Returns chunk i of the expected answer.
std::string answerChunk(const CallBody &call, uint32_t i);
/// Returns the expected answer, all chunks joined.
std::string fullAnswer(const CallBody &call);
CallBody parseCallBody(std::string_view body);

/// Returns the simulated content of a piece computed by a weight version.
std::string pieceBytes(const PieceKey &key, const std::string &version);

class Engine {
public:
  struct Hooks {
    std::function<void(Duration, std::function<void()>)> Schedule;
    std::function<void(serve::AgentInput)> Notify;
    /// Returns the submission number of a request, 0 if unknown.
    std::function<uint64_t(const RequestId &)> SubmissionOf;
    std::function<TimePoint()> Now;
  };
  Engine(std::string name, bool isService, InvariantChecker &check,
         Hooks hooks);

  void start(const serve::StartRun &run);
  void cancel(const serve::RunToken &run);
  serve::AgentInput status() const;
  serve::AgentInput cacheEvents(uint64_t from) const;
  serve::OrderAnswer order(const serve::SendOrder &order);
  serve::PieceExport exportPiece(const serve::ExportPiece &request) const;
  serve::PieceImport importPiece(const serve::ImportPiece &request);
  void clearCache();
  void crash();
  void restart();
  size_t running() const { return Runs.size(); }
  const std::string &version() const { return Version; }

  // Injected faults.
  uint32_t SlowFactor = 1;
  bool IgnoresFencing = false;
  uint32_t MisattributedTexts = 0; ///< Texts left to send as another run's.
  uint32_t DuplicatedTexts = 0;    ///< Texts left to send twice.
  /// Defect that a test can switch on: a weight load keeps the cache, so pieces
  /// of the previous version are used.
  bool KeepsCacheOnLoad = false;

private:
  struct ActiveRun {
    std::shared_ptr<const wire::Offer> Offer;
    CallBody Call;
    uint32_t Next = 0;
    uint32_t Cached = 0;
    uint32_t Sequence = 0;
  };
  struct CachedPiece {
    std::string Bytes;
    std::string Organisation; ///< First user; empty if only imported.
  };

  uint32_t usePieces(const wire::Offer &offer);
  void emitChunk(const serve::RunToken &run);
  void finish(const serve::RunToken &run);
  void recordEvent(CacheEventKind kind, const PieceKey &piece);
  void load(const std::string &version);

  std::string Name;
  bool IsService;
  InvariantChecker &Checker;
  Hooks Callbacks;
  bool Crashed = false;
  uint64_t Generation = 1;
  std::string Version = "v1";
  bool Loading = false;
  uint64_t Fence = 0;
  uint64_t LoadCount = 0;
  std::map<serve::RunToken, ActiveRun> Runs;
  std::map<PieceKey, CachedPiece> Cache;
  std::vector<CacheEvent> Events;
};

} // namespace daisytack::matrix
