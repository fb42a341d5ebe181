/// Inputs and actions of an agent's core. All are plain values: I/O threads
/// create inputs, the driver of the daemon (AgentDriver) performs actions, and
/// they share no other data with the core.
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

/// One connection to an entry. Handles are never reused.
using LinkHandle = Handle<struct LinkTag>;

/// One store of kept context. The index is its position in StoreSettings.
using StoreHandle = Handle<struct StoreTag>;

/// Matches the answer of a store or an engine to the action that made the call.
/// Never reused within a process; 0 is invalid.
using CallId = uint64_t;

/// Identifies one start of a run at the backend server. Every start has a Start
/// number of its own, so that a late answer to an earlier start is recognised.
struct RunToken {
  RequestId Id;
  Attempt AttemptNumber = 0;
  uint32_t Start = 0;
  auto operator<=>(const RunToken &) const = default;
};

/// Formats "ID-TRY-START", the request_id that the engine receives and returns.
std::string toString(const RunToken &run);
/// Inverse of toString(). Returns nullopt if the text is malformed.
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

/// A part of an answer. Run is the run that the call was made for; Answer is
/// the run that the server named in the answer, and must be equal to Run.
struct RunText {
  RunToken Run;
  RunToken Answer;
  std::optional<uint32_t>
      Sequence; ///< Position in the stream, from 0; empty if not sent.
  uint32_t Tokens = 0;
  std::string Text;
};

/// The answer is complete. ServiceStatus is the HTTP status of a service, and 0
/// for a model engine.
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

/// The run ended without a complete answer. RunOutcome is NotRun only if the
/// server can't have run any of it: no byte of the request was sent, or the
/// server refused it.
struct RunFailed {
  RunToken Run;
  Error Why;
  Outcome RunOutcome = Outcome::MayHaveRun;
};

/// State that the engine last reported. It may be out of date.
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

/// Answer to PollCacheEvents.
struct CacheEvents {
  uint64_t From = 0; ///< First sequence number of the poll.
  uint64_t Next = 0; ///< Sequence number at which the next poll begins.
  std::vector<CacheEvent> Events;
};

/// Answer to ExportPiece. Bytes is null on failure, and Why is the reason.
struct PieceExport {
  CallId Call = 0;
  std::shared_ptr<const std::string> Bytes;
  Error Why;
};

/// Answer to ImportPiece. Why.Kind is None if the engine imported the piece.
struct PieceImport {
  CallId Call = 0;
  Error Why;
};

/// Answer to SendOrder. Kind Conflict means that the engine has seen a higher
/// fencing token, which Fence then holds.
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

/// A committed piece, as a store reports it.
struct FoundPiece {
  PieceKey Key;
  uint64_t Generation = 0;
  uint64_t Length = 0; ///< Bytes.
  bool OnDisk = false;
  std::string Meta; ///< Set only in answers to SamplePieces.
  bool operator==(const FoundPiece &) const = default;
};

/// Answer to LookupPieces and SamplePieces.
struct StoreFound {
  std::vector<FoundPiece> Pieces;
};
/// Answer to ReadPiece.
struct StoreBytes {
  uint64_t Generation = 0;
  uint64_t Length = 0;
  Digest256 Checksum{}; ///< SHA-256 of the bytes.
  std::string Meta;
  std::string Bytes;
};
/// Answer to ReadGeneration and BeginPiece.
struct StoreGeneration {
  uint64_t Generation = 0; ///< 0: nothing is committed.
};
/// A request without a result of its own succeeded.
struct StoreDone {};
/// Answer to ReadUsage.
struct StoreUsage {
  uint64_t Bytes = 0;
  uint64_t Pieces = 0;
};
/// Answer to ReadStatus. Sizes are in bytes.
struct StoreStatus {
  uint64_t MemoryUsed = 0;
  uint64_t MemoryTotal = 0;
  uint64_t DiskUsed = 0;
  uint64_t DiskTotal = 0;
  uint64_t LinkBytesPerSecond = 0;
};

using StoreResult = std::variant<Error, StoreFound, StoreBytes, StoreGeneration,
                                 StoreDone, StoreUsage, StoreStatus>;

/// Answer to CallStore.
struct StoreAnswer {
  CallId Call = 0;
  StoreHandle Store;
  StoreResult Result;
};

// Inputs from the process itself.

/// Configuration of this agent's server. A revision older than the current one
/// is ignored.
struct AgentConfig {
  uint64_t Revision = 0;
  std::string Version; ///< Desired weight version. Empty if the model is
                       ///< unknown; any version is then served.
  std::string Adapter;
  bool Drained = false;          ///< An operator has drained the server.
  uint32_t MinServers = 1;       ///< Minimum servers of the model in service.
  uint32_t ServersInService = 1; ///< Servers of the model in service.
  uint32_t ServersOfModel = 1;   ///< All servers of the model.
};

/// An operator cancels one request, or all requests of a class.
struct StopRequested {
  std::optional<RequestId> Request;
  std::string Class; ///< Used only if Request is empty.
};

/// The process is to drain: it refuses new work and finishes accepted runs.
struct DrainRequested {};

/// The time that nextTimer() returned has passed. Wall updates the core's wall
/// clock, which only serves to expire kept context.
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

/// Sends the request to the backend server. The pieces of the offer are the
/// keys that the engine may look up in its own cache. ResumeText is the part of
/// the answer that was generated before; empty for a new run.
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
  uint64_t From = 0; ///< First sequence number to return.
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

/// Orders the engine to load weights or an adapter, or to change its role.
/// The engine refuses a Fence lower than the highest it has seen.
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
/// Begins a write, which WritePiece and CommitPiece complete.
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
/// Requests a sample of a store's committed pieces.
struct SamplePieces {
  uint32_t Count = 0;
};
/// Requests the usage of the pieces whose Meta starts with MetaPrefix.
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

/// Cancels a CallStore in progress, which is then answered with Cancelled.
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
