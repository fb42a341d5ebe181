/// Since when the key-value service ("the store") has answered entries without
/// an outage, as known to one entry.
///
/// Only an outage of the store makes records of running servers expire: the
/// servers can't renew their leases then. A failed call of one entry is no
/// outage, as the path of that entry may be broken, or a waiting call was cut.
/// An outage is a time in which the store answered no entry at all, and which
/// is long enough for leases to run out.
///
/// Entries tell one another when the store last answered and since when it has
/// done so. The word of another entry can only show that there was no outage,
/// or that it ended earlier: an entry that knows less changes nothing.
#pragma once

#include "daisytack/types.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace daisytack::direct {

/// A time in which the store answered without an outage. Goes on up to the
/// latest answer.
struct AnswerPeriod {
  TimePoint Since;
  /// The store's revision in the first answer. What was removed in an outage
  /// before has no higher one.
  uint64_t Revision = 0;
  auto operator<=>(const AnswerPeriod &) const = default;
};

/// A time that is known from another entry's message only, which took an
/// unknown part of the call.
struct UncertainTime {
  TimePoint Earliest;
  Duration Delay{0}; ///< The time may be later by this much.
  auto operator<=>(const UncertainTime &) const = default;
  TimePoint latest() const { return Earliest + Delay; }
};

/// What another entry knows of the store's answers to any entry.
struct PeerAnswers {
  UncertainTime Latest;        ///< Its latest answer.
  uint64_t LatestRevision = 0; ///< The store's revision then.
  /// The period of that answer, which began no later than Since.
  AnswerPeriod Period;
  auto operator<=>(const PeerAnswers &) const = default;
};

class StoreUptime {
public:
  /// There is an outage between two answers that are further apart than
  /// `minOutage`.
  explicit StoreUptime(Duration minOutage) : MinOutage(minOutage) {}

  /// The store answered this entry, and had this revision. Returns whether the
  /// current period changed.
  bool onAnswer(TimePoint at, uint64_t revision);
  /// Returns whether the current period changed.
  bool onPeerAnswers(const PeerAnswers &peer);
  /// The store was restored from an older copy, which may lack records as if
  /// they had expired; it had this revision then.
  void onRestored(TimePoint at, uint64_t revision);

  /// The period of the latest answer; empty before the first one.
  const std::optional<AnswerPeriod> &period() const { return Period; }
  /// The period, if it began with the end of an outage.
  std::optional<AnswerPeriod> periodAfterOutage() const;
  /// The latest answer to any entry; empty before the first one.
  const std::optional<UncertainTime> &latest() const { return Latest; }

private:
  /// The store answered some entry at this time. Answers before the latest one
  /// have no effect.
  bool note(UncertainTime at, uint64_t revision);
  /// Takes over the other entry's beginning of the current period if it is
  /// earlier.
  bool adoptPeriod(const PeerAnswers &peer);

  Duration MinOutage;
  std::optional<AnswerPeriod> Period;
  std::optional<UncertainTime> Latest;
  /// Latest answer before the outage that the period follows; empty if no
  /// outage is known.
  std::optional<TimePoint> OutageSince;
};

} // namespace daisytack::direct
