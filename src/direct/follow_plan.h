/// Which entries read the key-value service, and how the others learn what it
/// holds. Without a socket, clock or thread.
///
/// Every watch costs the service a call for each piece of news and each wait,
/// so that with one in each entry its calls grow with entries times news. A few
/// entries of each failure domain read it, by rendezvous over those that are
/// announced; the others ask one of them a few times a second for what is newer
/// than they know. One that hears nothing, or only what is old, watches the
/// service itself at once: what an entry may do on what it knows (refuse an
/// unknown key for good, name sources) depends on the age of its knowledge
/// alone, whoever told it.
#pragma once

#include "direct/catalog.h"

#include <optional>
#include <string>
#include <vector>

namespace daisytack::direct {

struct FollowSettings {
  /// One of them may fail without a call more to the service.
  size_t MinReaders = 2;
  /// A reader answers about fifty questions a second then. 0: every entry reads
  /// the service itself.
  size_t EntriesPerReader = 16;
  /// Between two questions to readers: news is later by half of it on average.
  Duration PollInterval{300'000};
  /// Knowledge that the service confirmed so long ago is too old: longer than a
  /// reader's wait for news and a question, shorter than the time for which an
  /// unknown key may be refused for good.
  Duration StaleAfter{2'300'000};
  /// Without an answer for so long, of several questions to several readers.
  Duration ReaderTimeout{1'000'000};
  /// Readers must have answered in time for so long before the own watch ends.
  Duration SettleTime{1'000'000};
  bool operator==(const FollowSettings &) const = default;
};

/// The entries of the failure domain that read the service, the same ones in
/// every process that knows the same entries.
std::vector<Endpoint> readersOf(const Catalog &catalog, std::string_view domain,
                                const FollowSettings &settings);

struct FollowStep {
  bool WatchesService = true;
  std::optional<Endpoint> PollTarget; ///< A reader, for what is newer.
  auto operator<=>(const FollowStep &) const = default;
};

/// Of one entry. Not thread-safe.
class FollowPlan {
public:
  FollowPlan(FollowSettings settings, EntryPeer own)
      : Settings(settings), Own(std::move(own)) {}

  /// Call several times a second.
  FollowStep next(const Catalog &catalog, TimePoint now);
  /// A reader has answered, so that this entry knows all that it knows, which
  /// the service had confirmed to it then.
  void onAnswer(TimePoint confirmedAt, TimePoint now);

private:
  bool areReadersCurrent(TimePoint now);

  FollowSettings Settings;
  EntryPeer Own;
  size_t PollCount = 0;
  TimePoint NextPollAt;
  std::optional<TimePoint> AnsweredAt;
  TimePoint ConfirmedAt; ///< The latest that a reader told.
  std::optional<TimePoint> ReadersCurrentSince;
};

} // namespace daisytack::direct
