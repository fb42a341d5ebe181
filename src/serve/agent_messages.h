/// What an agent's core is told and what it answers with. Plain values: I/O
/// threads make inputs, the shell carries out actions, and nothing else passes
/// between them.
#pragma once

#include "base/digest.h"
#include "context/engine_view.h"
#include "daisytack/event.h"
#include "daisytack/objects.h"
#include "swap/converge.h"
#include "wire/messages.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisytack::serve {

/// One connection to an entry. The shell never gives a number out twice.
using LinkHandle = Handle<struct LinkTag>;

/// One store of kept context, by its place in the agent's settings.
using StoreHandle = Handle<struct StoreTag>;

/// Pairs the answer of a store, engine or weight order with its action. Never
/// reused within a process; 0 is invalid.
using CallId = uint64_t;

/// Names one start of a run at the backend server. An attempt that is preempted
/// and started again has another Start, so that a late answer to the first
/// start is told from the second.
struct RunToken {
  RequestId Id;
  Attempt Try = 0;
  uint32_t Start = 0;
  auto operator<=>(const RunToken &) const = default;
};

/// "ID-TRY-START": the request_id that the engine is given and gives back.
std::string toString(const RunToken &run);
/// Inverse of toString.
std::optional<RunToken> parseRunToken(std::string_view text);

// Inputs from links to entries.

struct LinkOpened {
  LinkHandle Link;
};
struct LinkMessage {
  LinkHandle Link;
  wire::Message Body;
};
struct LinkClosed {
  LinkHandle Link;
};

// Inputs from the backend server.

/// A part of an answer. Answer is the name that the server put into it, and is
/// compared with the run that it came in for.
struct RunText {
  RunToken Run;
  RunToken Answer;
  std::optional<uint32_t>
      Sequence; ///< Place in the stream, from 0, where the server says it.
  uint32_t Tokens = 0;
  std::string Text;
};

/// The answer is whole. ServiceStatus is 0 for a model engine.
struct RunDone {
  RunToken Run;
  RunToken Answer;
  std::string FinishReason;
  uint32_t PromptTokens = 0;
  uint32_t CachedTokens = 0;
  uint32_t CompletionTokens = 0;
  uint16_t ServiceStatus = 0;
  std::vector<wire::HeaderField> ServiceHeaders;
};

/// The run ended without a whole answer. Ran is NotRun only when the server
/// surely did nothing of it: no byte of the request was sent, or the server
/// refused it.
struct RunFailed {
  RunToken Run;
  Error Why;
  Outcome Ran = Outcome::MayHaveRun;
};

/// What the engine says of itself; lags behind the truth.
struct EngineStatus {
  std::string Model;
  std::string Version;
  std::string Adapter;
  bool Loading = false;
  std::string Role;
  uint64_t Fence = 0;
  uint32_t Running = 0;
  uint32_t Waiting = 0;
  uint32_t CachedPieces = 0;
  uint32_t CacheCapacity = 0;
  double PrefillTokensPerSecond = 0;
  double DecodeTokensPerSecond = 0;
  uint64_t Started = 0; ///< Changes when the engine restarts.
  bool operator==(const EngineStatus &) const = default;
};

/// The engine did not answer a poll of its status or cache events.
struct EngineUnresponsive {
  Error Why;
};

/// One answer to PollCacheEvents.
struct CacheEvents {
  uint64_t From = 0; ///< What was asked for.
  uint64_t Next = 0;
  std::vector<CacheEvent> Events;
};

/// Answer to ExportPiece; without bytes the reason is set.
struct PieceExport {
  CallId Call = 0;
  std::shared_ptr<const std::string> Bytes;
  Error Why;
};

/// Answer to ImportPiece; Why.Kind None when the engine took it.
struct PieceImport {
  CallId Call = 0;
  Error Why;
};

/// Answer to SendOrder. Kind Conflict: the engine has seen a higher fencing
/// number, which is Fence.
struct OrderAnswer {
  CallId Call = 0;
  Error Why;
  uint64_t Fence = 0;
};

/// Answer to CallSlot.
struct SlotAnswer {
  swap::SlotResult Result;
};

// Inputs from stores.

/// A committed piece as a store names it.
struct FoundPiece {
  PieceKey Key;
  uint64_t Generation = 0;
  uint64_t Length = 0; ///< Bytes.
  bool OnDisk = false;
  std::string Meta; ///< Only in samples.
  bool operator==(const FoundPiece &) const = default;
};

struct StoreFound {
  std::vector<FoundPiece> Pieces;
};
struct StoreBytes {
  uint64_t Generation = 0;
  uint64_t Length = 0;
  Digest256 Checksum{}; ///< SHA-256 of the bytes.
  std::string Meta;
  std::string Bytes;
};
/// Answer to a question for the generation and to a begun write.
struct StoreGeneration {
  uint64_t Generation = 0; ///< 0: nothing is committed.
};
struct StoreDone {};
struct StoreUsage {
  uint64_t Bytes = 0;
  uint64_t Pieces = 0;
};
struct StoreStatus {
  uint64_t MemoryUsed = 0;
  uint64_t MemoryTotal = 0;
  uint64_t DiskUsed = 0;
  uint64_t DiskTotal = 0;
  uint64_t LinkBytesPerSecond = 0;
};

using StoreResult = std::variant<Error, StoreFound, StoreBytes, StoreGeneration,
                                 StoreDone, StoreUsage, StoreStatus>;

struct StoreAnswer {
  CallId Call = 0;
  StoreHandle Store;
  StoreResult Result;
};

// Inputs from the process itself.

/// What configuration says of this agent's server. An older revision than the
/// one in force is ignored.
struct AgentConfig {
  uint64_t Revision = 0;
  std::string Version; ///< Desired weight version; empty when the model is
                       ///< unknown: any is served.
  std::string Adapter;
  bool Drained = false;
  uint32_t MinServers = 1;
  uint32_t ServersInService = 1; ///< Of the model.
  uint32_t ServersOfModel = 1;   ///< In service or not.
};

/// An operator ends one request, or all of a class.
struct StopRequested {
  std::optional<RequestId> Request;
  std::string Class; ///< Unless Request is set.
};

/// The process was asked to end: refuse new work, finish what was accepted.
struct DrainRequested {};

/// The time that nextTimer() named has come. Wall sets the wall clock, which
/// only ages kept context.
struct TimerFired {
  WallTime Wall;
};

using AgentInput =
    std::variant<LinkOpened, LinkMessage, LinkClosed, RunText, RunDone,
                 RunFailed, EngineStatus, EngineUnresponsive, CacheEvents,
                 PieceExport, PieceImport, OrderAnswer, SlotAnswer, StoreAnswer,
                 AgentConfig, StopRequested, DrainRequested, TimerFired>;

// Actions.

struct SendMessage {
  LinkHandle Link;
  wire::Message Body;
};

/// Hand the request to the backend server. Pieces are the keys that the engine
/// may look up in its own cache.
struct StartRun {
  RunToken Run;
  std::shared_ptr<const wire::Offer> Offer;
  std::string ResumeText;
  Duration Timeout{0};
};
struct CancelRun {
  RunToken Run;
};
struct SuspendRun {
  RunToken Run;
};
struct ResumeRun {
  RunToken Run;
};

struct PollStatus {};
struct PollCacheEvents {
  uint64_t From = 0;
};
struct ExportPiece {
  CallId Call = 0;
  PieceKey Key;
};
struct ImportPiece {
  CallId Call = 0;
  PieceKey Key;
  std::shared_ptr<const std::string> Bytes;
};

enum class OrderKind : uint8_t { LoadWeights, LoadAdapter, SetRole };

struct SendOrder {
  CallId Call = 0;
  OrderKind Kind = OrderKind::LoadWeights;
  std::string Version;
  std::string Adapter;
  std::string Role;
  uint64_t Fence = 0;
};

/// A call to the key-value service for a load slot.
struct CallSlot {
  swap::SlotCall Call;
};

struct LookupPieces {
  std::vector<PieceKey> Keys;
};
struct ReadPiece {
  PieceKey Key;
};
struct ReadGeneration {
  PieceKey Key;
};
struct BeginPiece {
  PieceKey Key;
};
struct WritePiece {
  PieceKey Key;
  uint64_t Generation = 0;
  std::shared_ptr<const std::string> Bytes;
};
struct CommitPiece {
  PieceKey Key;
  uint64_t Generation = 0;
  uint64_t Length = 0;
  std::string Checksum;
  std::string Meta;
};
struct FreePiece {
  PieceKey Key;
  uint64_t Generation = 0;
};
struct SamplePieces {
  uint32_t Count = 0;
};
struct ReadUsage {
  std::string MetaPrefix;
};
struct ReadStatus {};

using StoreRequest =
    std::variant<LookupPieces, ReadPiece, ReadGeneration, BeginPiece,
                 WritePiece, CommitPiece, FreePiece, SamplePieces, ReadUsage,
                 ReadStatus>;

/// Answered by exactly one StoreAnswer with the same Call.
struct CallStore {
  CallId Call = 0;
  StoreHandle Store;
  StoreRequest Request;
  Duration Timeout{0};
};

/// Breaks a running call off; it is answered with Cancelled.
struct CancelStoreCall {
  CallId Call = 0;
};

struct RecordEvent {
  Event What;
};

using AgentAction =
    std::variant<SendMessage, StartRun, CancelRun, SuspendRun, ResumeRun,
                 PollStatus, PollCacheEvents, ExportPiece, ImportPiece,
                 SendOrder, CallSlot, CallStore, CancelStoreCall, RecordEvent>;

using AgentActions = std::vector<AgentAction>;

} // namespace daisytack::serve
