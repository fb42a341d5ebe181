/// Agreement of the entries on kept context that is not named as a source any
/// more, so that it can be freed without being read meanwhile.
#pragma once

#include "direct/catalog.h"
#include "direct/kept_context.h"
#include "direct/placement.h"

#include <map>
#include <optional>
#include <vector>

namespace daisytack::direct {

struct RetirementSettings {
  /// Kept context of old weights is freed once no server has had them for so
  /// long: the longest fetch, and a server's report of its weights.
  Duration FreeDelay{4'000'000};
  /// While servers move to new weights, the context of the old makes room ahead
  /// of them: the share of servers that have moved, and this much more.
  double Ahead = 0.25;
  /// Between tries to tell all entries.
  Duration AskPause{500'000};
  /// After all entries have agreed: the longest fetch, and its way.
  Duration FetchTime{LongestFetch + Duration(500'000)};
  /// Entries that were listed so long ago are still asked. Longer than an
  /// outage of the service is usual.
  Duration Memory{30'000'000};
  bool operator==(const RetirementSettings &) const = default;
};

/// An entry is to be told not to name this context; its answer agrees.
struct TellEntry {
  Endpoint Peer;
  std::vector<Retirement> What;
  uint64_t Round = 0;
  bool operator==(const TellEntry &) const = default;
};

/// One thread at a time.
class RetirementAgreement {
public:
  RetirementAgreement(RetirementSettings settings, Endpoint own)
      : Settings(settings), Own(std::move(own)) {}

  void onCatalog(const Catalog &catalog, TimePoint now);
  /// Only while this process may give orders. Call several times a second.
  std::vector<TellEntry> next(const Catalog &catalog, TimePoint now);
  void onTold(const TellEntry &told, bool hasAgreed, TimePoint now);

  /// What this process itself is not to name.
  const std::optional<Retirement> &wanted() const { return Wanted; }
  /// What no server can be reading.
  std::vector<Retirement> freeable(const Catalog &catalog, TimePoint now);
  /// The version below which no server has had weights for long enough; 0 when
  /// there is none.
  uint64_t unusedBelow(const Catalog &catalog, TimePoint now);

private:
  std::optional<Retirement> retirementFor(const Catalog &catalog) const;

  RetirementSettings Settings;
  Endpoint Own;
  std::map<Endpoint, TimePoint> Remembered; ///< And when last listed.
  std::optional<Retirement> Wanted;
  Retirement Asked; ///< Last agreed on.
  uint64_t Round = 0;
  size_t Open = 0;
  bool AllAgreed = true;
  TimePoint AskAgainAt;
  std::optional<TimePoint> AgreedAt; ///< When all had agreed to Asked.
  std::vector<Retirement> Agreed;
  uint64_t OldestSeen = 0;
  TimePoint OldestSince;
};

} // namespace daisytack::direct
