/// What to keep: which pieces are exported to the stores, in how many copies,
/// and what a full store evicts for them. Value is (chance of return x time to
/// recompute) / bytes.
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

/// What a store keeps beside a piece, so that any agent can judge it later.
struct KeptMeta {
  std::string Organisation;
  uint32_t Index = 0;  ///< Of the piece within its prompt.
  uint32_t Tokens = 0; ///< That it saves.
  uint32_t Sightings = 1;
  uint8_t Copy = 0; ///< 0 for the first copy.
  WallTime KeptAt;
  WallTime ExpiresAt;
  auto operator<=>(const KeptMeta &) const = default;
};

/// Text for the store's meta field; begins with metaPrefix.
std::string encodeMeta(const KeptMeta &meta);
/// Nothing when the text is not such a meta field.
std::optional<KeptMeta> decodeMeta(std::string_view text);
/// Common to the meta fields of one organisation and of no other.
std::string metaPrefix(std::string_view organisation);

struct KeepSettings {
  double PrefillTokensPerSecond = 10'000; ///< Of a typical engine.
  /// Least chance of return that is worth an export.
  double MinReturnProbability = 0.05;
  /// A second copy only while the store is emptier than this share.
  double SecondCopyMaxStoreUsed = 0.5;
  uint32_t SecondCopySightings = 3;
  /// Worth of a second copy against the first: the chance that the first is
  /// lost before the piece returns.
  double SecondCopyWeight = 0.02;
  auto operator<=>(const KeepSettings &) const = default;
};

enum class ExportVerdict : uint8_t {
  Export,
  NotAllowed,       ///< By the class or the reuse policy.
  FirstSighting,    ///< Waits for a second sighting.
  UnlikelyToReturn, ///< Too unlikely to return.
  OverQuota,        ///< Only in place of the organisation's own pieces.
};

struct ExportCandidate {
  KeepRule Rule = KeepRule::SecondSight;
  bool MayReuse = true;
  SightingHistory Before; ///< Of the piece, before this request.
  uint64_t Bytes = 0;
  uint64_t OrganisationBytes = 0; ///< Kept now, as the stores report.
  uint64_t Quota = 0;
  double StoreUsed = 0; ///< Share of the store that is in use, 0..1.
};

struct ExportDecision {
  ExportVerdict Verdict = ExportVerdict::NotAllowed;
  uint32_t Copies = 0;
  auto operator<=>(const ExportDecision &) const = default;
};

/// Decides exports and evictions. The return model is learned elsewhere.
class KeepPolicy {
public:
  KeepPolicy(const KeepSettings &settings, const ReturnModel &returns);

  ExportDecision decide(const ExportCandidate &candidate) const;

  /// Value of a kept piece in seconds saved per megabyte; negative when it has
  /// expired.
  double value(const KeptMeta &meta, uint64_t bytes, WallTime now) const;

  /// Pieces of the sample to free for the incoming one: expired ones and then
  /// those of least value, as long as each is worth less than the incoming one.
  /// Empty when they would not make room. With an organisation named, only its
  /// own pieces are chosen.
  std::vector<SampledPiece>
  chooseVictims(std::span<const SampledPiece> sample, uint64_t neededBytes,
                const KeptMeta &incoming, WallTime now,
                std::string_view onlyOrganisation = {}) const;

private:
  KeepSettings Settings;
  const ReturnModel &Returns;
};

} // namespace daisytack
