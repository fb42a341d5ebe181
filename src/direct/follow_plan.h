/// Decides which entries watch the key-value service and how the others follow
/// its contents. Uses no sockets, clocks or threads.
///
/// Each watch costs the service one call per change and per long poll. If every
/// entry had a watch, the number of calls would grow with entries times
/// changes. Instead a few entries of each failure domain, the readers, watch
/// the service: those with the fastest links, which pass the records on, and
/// among equal ones as rendezvous hashing selects them. The other entries poll
/// a reader several times a second for newer records. An entry whose readers
/// don't answer, or answer with stale state, watches the service itself at
/// once. What an entry may do with its state (permanently reject an unknown
/// key, name sources) depends only on the age of that state, not on where it
/// came from.
#pragma once

#include "direct/catalog.h"

#include <optional>
#include <string>
#include <vector>

namespace daisytack::direct {

/// Number of readers, and timing of the switch between polling readers and
/// watching the key-value service.
struct FollowSettings {
  /// Minimum number of readers in a failure domain. With two, one may fail
  /// without additional calls to the service.
  size_t MinReaders = 2;
  /// Number of entries in a failure domain per reader. With 16, a reader
  /// answers about 50 polls a second. 0: every entry watches the service
  /// itself.
  size_t EntriesPerReader = 16;
  /// Time between two polls of readers. Delays changes by half of it on
  /// average.
  Duration PollInterval{300'000};
  /// State that the service confirmed longer ago than this is stale. Longer
  /// than a reader's long poll plus one poll of the reader, shorter than the
  /// age up to which an entry may permanently reject an unknown key.
  Duration StaleAfter{2'300'000};
  /// Readers count as unavailable after this time without an answer. Spans
  /// several polls, of different readers.
  Duration ReaderTimeout{1'000'000};
  /// How long readers must answer with current state before this entry ends its
  /// own watch.
  Duration SettleTime{1'000'000};
  bool operator==(const FollowSettings &) const = default;
};

/// Addresses of the failure domain's readers. All processes with the same list
/// of announced entries get the same addresses.
std::vector<Endpoint> readersOf(const Catalog &catalog, std::string_view domain,
                                const FollowSettings &settings);

/// Source of new records for one entry at present.
struct FollowStep {
  bool WatchesService = true; ///< Watch the key-value service itself.
  /// Reader to poll for newer records; empty: no poll is due.
  std::optional<Endpoint> PollTarget;
  auto operator<=>(const FollowStep &) const = default;
};

/// The plan of one entry. Not thread-safe.
class FollowPlan {
public:
  FollowPlan(FollowSettings settings, EntryPeer own)
      : Settings(settings), Own(std::move(own)) {}

  /// What to do now. Call several times a second.
  FollowStep next(const Catalog &catalog, TimePoint now);
  /// A reader has answered, and this entry now has the reader's full state,
  /// which the service last confirmed at the given time.
  void onAnswer(TimePoint confirmedAt, TimePoint now);

private:
  /// Whether readers have been answering with current state for SettleTime.
  bool areReadersCurrent(TimePoint now);

  FollowSettings Settings;
  EntryPeer Own;
  size_t PollCount = 0;
  TimePoint NextPollAt;
  std::optional<TimePoint> AnsweredAt; ///< Time of the last answer.
  TimePoint ConfirmedAt; ///< Latest confirmation that a reader has reported.
  std::optional<TimePoint> ReadersCurrentSince;
};

} // namespace daisytack::direct
