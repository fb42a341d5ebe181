/// Policy for kept context: which pieces are exported to the stores, in how
/// many copies, and which pieces a full store evicts. The value of a piece is
/// (probability of reuse x recompute time) / bytes, adjusted for its position
/// in the prompt and for second copies.
#pragma once

#include "context/committed_write.h"
#include "context/sighting_table.h"
#include "daisytack/objects.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack {

/// Metadata stored with a piece, from which any agent can compute its value.
struct KeptMeta {
  std::string Organisation;
  uint32_t Index = 0;     ///< Position of the piece in its prompt, from 0.
  uint32_t Tokens = 0;    ///< Number of tokens that reuse of the piece saves.
  uint32_t Sightings = 1; ///< Number of sightings known at the export.
  uint8_t Copy = 0;       ///< 0 for the first copy.
  WallTime KeptAt;
  WallTime ExpiresAt;
  auto operator<=>(const KeptMeta &) const = default;
};

/// Encodes the metadata as text for the store; the text begins with metaPrefix.
std::string encodeMeta(const KeptMeta &meta);
/// Decodes text from encodeMeta; nullopt when the text is invalid.
std::optional<KeptMeta> decodeMeta(std::string_view text);
/// Prefix of the encoded metadata of all pieces of one organisation, and of no
/// other organisation's pieces.
std::string metaPrefix(std::string_view organisation);

/// Settings of KeepPolicy.
struct KeepSettings {
  double PrefillTokensPerSecond = 10'000; ///< Prefill rate of a typical engine.
  /// Minimum probability of reuse for an export.
  double MinReturnProbability = 0.05;
  /// A second copy is written only if the used share of the store (0 to 1) is
  /// below this.
  double SecondCopyMaxStoreUsed = 0.5;
  /// Minimum number of sightings for a second copy.
  uint32_t SecondCopySightings = 3;
  /// Value of a second copy relative to the first: the probability that the
  /// first copy is lost before the piece is reused.
  double SecondCopyWeight = 0.02;
  auto operator<=>(const KeepSettings &) const = default;
};

/// Result of an export decision.
enum class ExportVerdict : uint8_t {
  Export,
  NotAllowed,       ///< Forbidden by the request class or the reuse policy.
  FirstSighting,    ///< The piece is exported only when seen a second time.
  UnlikelyToReturn, ///< The probability of reuse is too low.
  OverQuota, ///< The export must replace pieces of the same organisation.
};

/// A piece that may be exported.
struct ExportCandidate {
  KeepRule Rule = KeepRule::SecondSight;
  bool MayReuse = true;   ///< False when the reuse policy forbids reuse.
  SightingHistory Before; ///< Sightings of the piece before this request.
  uint64_t Bytes = 0;
  /// Bytes that the stores report as kept for the organisation.
  uint64_t OrganisationBytes = 0;
  uint64_t Quota = 0;   ///< Maximum kept bytes of the organisation.
  double StoreUsed = 0; ///< Used share of the store, 0 to 1.
};

/// Verdict, and the number of copies to write.
struct ExportDecision {
  ExportVerdict Verdict = ExportVerdict::NotAllowed;
  uint32_t Copies = 0;
  auto operator<=>(const ExportDecision &) const = default;
};

/// Decides exports and evictions. The caller trains the return model.
class KeepPolicy {
public:
  KeepPolicy(const KeepSettings &settings, const ReturnModel &returns);

  ExportDecision decide(const ExportCandidate &candidate) const;

  /// Value of a kept piece in expected seconds saved per megabyte; negative
  /// when the piece has expired.
  double value(const KeptMeta &meta, uint64_t bytes, WallTime now) const;

  /// Chooses the sampled pieces to evict for an incoming piece: expired pieces
  /// first, then those of lowest value, all below the value of the incoming
  /// piece. Returns an empty list if these do not free enough bytes. If
  /// onlyOrganisation is not empty, only its pieces are chosen.
  std::vector<SampledPiece>
  chooseVictims(std::span<const SampledPiece> sample, uint64_t neededBytes,
                const KeptMeta &incoming, WallTime now,
                std::string_view onlyOrganisation = {}) const;

private:
  KeepSettings Settings;
  const ReturnModel &Returns;
};

} // namespace daisytack
