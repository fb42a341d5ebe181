/// In-memory fake of the stores and of the engine's cache, with fault
/// injection, for tests of AgentCore.
#pragma once

#include "serve_agent/agent_rig.h"

#include "context/keep_policy.h"
#include "context/piece_frame.h"

#include <deque>
#include <set>

namespace daisytack::serve::test {

inline PieceKey keyOf(uint8_t n) {
  PieceKey out;
  out.Bytes.fill(n);
  return out;
}

inline std::string payloadOf(const PieceKey &key) {
  return "context " + toHex(key);
}

/// The fault that the fake stores inject.
enum class StoreFault : uint8_t {
  None,
  Unreachable,         ///< Calls fail without an answer.
  Truncated,           ///< The last byte is missing.
  BitFlip,             ///< One bit is flipped.
  WrongKey,            ///< The bytes are those of another piece.
  FreedAfterRead,      ///< The piece is freed after its bytes were read.
  ReplacedAfterLookup, ///< Another generation is committed after the lookup.
  Expired,             ///< The piece has passed its expiry time.
  OtherOrganisation,   ///< The piece belongs to another organisation.
  Full,                ///< The store has no room for another piece.
};

/// Answers the calls that an AgentCore makes to the stores and the engine.
class FakePlatform {
public:
  /// A piece in a store.
  struct Piece {
    uint64_t Generation = 0;
    std::string Frame;
    std::string Meta;
    bool Committed = false;
  };

  explicit FakePlatform(AgentRig &rig) : Rig(rig) {}

  /// Stores a committed piece.
  void storePiece(StoreHandle store, const PieceKey &key,
                  Duration keepFor = std::chrono::hours(24)) {
    KeptMeta meta;
    meta.Organisation = Fault == StoreFault::OtherOrganisation ? "dakar-notices"
                                                               : "riga-buyers";
    meta.KeptAt = WallTime(Duration(0));
    meta.ExpiresAt = Fault == StoreFault::Expired ? WallTime(Duration(0))
                                                  : WallTime(keepFor);
    Pieces[{store.Index, key}] = {5, encodePieceFrame(key, 5, payloadOf(key)),
                                  encodeMeta(meta), true};
  }

  /// Answers calls until none is pending.
  void answerAll() {
    while (answerOne())
      ;
  }
  /// Answers the oldest pending call; false if there is none.
  bool answerOne() {
    std::vector<AgentAction> actions = std::exchange(Rig.OtherActions, {});
    for (AgentAction &it : actions)
      Calls.push_back(std::move(it));
    if (Calls.empty())
      return false;
    AgentAction action = std::move(Calls.front());
    Calls.pop_front();
    answer(action);
    return true;
  }

  StoreFault Fault = StoreFault::None;
  /// Pieces by store index and key.
  std::map<std::pair<uint32_t, PieceKey>, Piece> Pieces;
  /// Bytes of the pieces that were imported into the engine.
  std::map<PieceKey, std::string> Imported;
  /// Number of calls by name: lookup, read, free and export.
  std::map<std::string, size_t> CallCounts;

private:
  void answer(const AgentAction &action) {
    if (const auto *call = std::get_if<CallStore>(&action)) {
      StoreResult result = std::visit(
          [&](const auto &request) { return on(call->Store.Index, request); },
          call->Request);
      if (Fault == StoreFault::Unreachable)
        result = Error{ErrorKind::ServerLost, "silent"};
      Rig.apply(StoreAnswer{call->Call, call->Store, std::move(result)});
    } else if (const auto *import = std::get_if<ImportPiece>(&action)) {
      Imported[import->Key] = *import->Bytes;
      Rig.apply(PieceImport{import->Call, {}});
    } else if (const auto *request = std::get_if<ExportPiece>(&action)) {
      ++CallCounts["export"];
      Rig.apply(PieceExport{
          request->Call,
          std::make_shared<const std::string>(payloadOf(request->Key)),
          {}});
    }
  }

  Piece *find(uint32_t store, const PieceKey &key) {
    auto it = Pieces.find({store, key});
    return it == Pieces.end() || !it->second.Committed ? nullptr : &it->second;
  }

  StoreResult on(uint32_t store, const LookupPieces &request) {
    ++CallCounts["lookup"];
    StoreFound out;
    for (const PieceKey &key : request.Keys)
      if (Piece *piece = find(store, key))
        out.Pieces.push_back(
            {key, piece->Generation, piece->Frame.size(), false, ""});
    return out;
  }
  StoreResult on(uint32_t store, const ReadPiece &request) {
    ++CallCounts["read"];
    Piece *piece = find(store, request.Key);
    if (!piece)
      return Error{ErrorKind::NotFound, ""};
    if (Fault == StoreFault::ReplacedAfterLookup)
      piece->Generation = 6;
    StoreBytes out{piece->Generation, piece->Frame.size(), sha256(piece->Frame),
                   piece->Meta, piece->Frame};
    if (Fault == StoreFault::Truncated)
      out.Bytes.pop_back();
    if (Fault == StoreFault::BitFlip)
      out.Bytes.back() ^= 1;
    if (Fault == StoreFault::WrongKey) {
      out.Bytes =
          encodePieceFrame(keyOf(99), piece->Generation, payloadOf(keyOf(99)));
      out.Checksum = sha256(out.Bytes);
    }
    return out;
  }
  StoreResult on(uint32_t store, const ReadGeneration &request) {
    if (Fault == StoreFault::FreedAfterRead)
      return StoreGeneration{0};
    Piece *piece = find(store, request.Key);
    return StoreGeneration{piece ? piece->Generation : 0};
  }
  StoreResult on(uint32_t /*store*/, const BeginPiece & /*request*/) {
    return StoreGeneration{++LastGeneration};
  }
  StoreResult on(uint32_t store, const WritePiece &request) {
    if (Fault == StoreFault::Full)
      return Error{ErrorKind::RecordFull, ""};
    Pieces[{store, request.Key}] = {request.Generation, *request.Bytes, "",
                                    false};
    return StoreDone{};
  }
  StoreResult on(uint32_t store, const CommitPiece &request) {
    Piece &piece = Pieces[{store, request.Key}];
    if (hexDigest(sha256(piece.Frame)) != request.Checksum)
      return Error{ErrorKind::ServerFailed, "checksum"};
    piece.Meta = request.Meta;
    piece.Committed = true;
    return StoreDone{};
  }
  StoreResult on(uint32_t store, const FreePiece &request) {
    ++CallCounts["free"];
    Pieces.erase({store, request.Key});
    return StoreDone{};
  }
  StoreResult on(uint32_t store, const SamplePieces & /*request*/) {
    StoreFound out;
    for (const auto &[at, piece] : Pieces)
      if (at.first == store && piece.Committed)
        out.Pieces.push_back({at.second, piece.Generation, piece.Frame.size(),
                              false, piece.Meta});
    return out;
  }
  StoreResult on(uint32_t /*store*/, const ReadUsage & /*request*/) {
    return StoreUsage{UsedBytes, 1};
  }
  StoreResult on(uint32_t /*store*/, const ReadStatus & /*request*/) {
    return StoreStatus{0, 1000, 0, 1000, 0};
  }

  AgentRig &Rig;
  std::deque<AgentAction> Calls;
  uint64_t LastGeneration = 10;

public:
  /// Bytes that each store reports as used by the organisation.
  uint64_t UsedBytes = 0;
};

} // namespace daisytack::serve::test
