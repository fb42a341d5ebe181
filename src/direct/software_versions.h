/// The software versions of backend servers that an entry has seen recently. A
/// stream whose origin nobody knows may only be resumed if no other version can
/// have begun it.
#pragma once

#include "direct/catalog.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::direct {

/// Longest time after its beginning at which a caller resumes a stream.
constexpr Duration StreamMaxAge{60'000'000};

/// Maximum number of versions that one entry tells of, so that the message fits
/// into a datagram.
constexpr size_t MaxSeenVersions = 4;

struct SoftwareVersionSettings {
  /// How long a version is remembered after its last server has left.
  Duration Retention = StreamMaxAge;
  /// Maximum time between two calls of onCatalog(). After a longer one the
  /// process was suspended, and its history begins anew.
  Duration MaxUpdateInterval{1'000'000};
  bool operator==(const SoftwareVersionSettings &) const = default;
};

/// The software versions of a service's servers as one entry has seen them.
struct SeenVersions {
  /// Including versions whose last server has left recently; sorted. The first
  /// MaxSeenVersions, which is enough to show that there are several.
  std::vector<std::string> Versions;
  /// For how long the entry has learned of all servers without interruption, in
  /// microseconds. Says nothing of how recent its state is.
  int64_t HistoryUs = 0;
  bool operator==(const SeenVersions &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Versions, HistoryUs);
  }
};

/// The software versions that an entry has seen, as recorded for processes that
/// start when no other one is left.
struct SoftwareVersionsRecord {
  /// The entry's state included everything up to this monotonic revision.
  uint64_t Revision = 0;
  /// For how long the entry had learned of all servers, in milliseconds. At
  /// least as long when the record is read.
  int64_t HistoryMs = 0;
  /// By service; including versions whose last server had left recently.
  std::map<std::string, std::vector<std::string>, std::less<>> Versions;
  bool operator==(const SoftwareVersionsRecord &) const = default;
};

/// Thread-safe.
class SoftwareVersions {
public:
  explicit SoftwareVersions(SoftwareVersionSettings settings)
      : Settings(settings) {}

  /// Records the versions of all servers in the catalog. `isConfirmed` tells
  /// whether the key-value service has confirmed the catalog recently. Call
  /// whenever the catalog has changed, and several times a second.
  void onCatalog(const Catalog &catalog, bool isConfirmed, TimePoint now);
  /// Records the version of a server that left before any catalog listed it.
  void onShortLived(const BackendServer &server, TimePoint now);
  /// Servers may have come and left unseen: the history begins anew.
  void onMissedChanges();
  SeenVersions seen(std::string_view service, TimePoint now) const;
  /// What is to be recorded, without its revision.
  SoftwareVersionsRecord record(TimePoint now) const;
  /// Number of histories that have begun so far.
  uint64_t historyCount() const;
  /// Another entry had learned of all servers before `now`, as it recorded, and
  /// everything that happened since is known. Has no effect if the history with
  /// this number is over.
  void inherit(const SoftwareVersionsRecord &record, uint64_t history,
               TimePoint now);

private:
  const SoftwareVersionSettings Settings;
  mutable std::mutex Lock;
  /// By service and version: when a server was last listed.
  std::map<std::string, std::map<std::string, TimePoint>, std::less<>> Seen;
  /// Whether the history is interrupted at this time.
  bool isInterruptedLocked(TimePoint now) const;

  std::optional<TimePoint> ConfirmedSince; ///< Empty while it is not confirmed.
  uint64_t Histories = 0;                  ///< See historyCount().
  TimePoint UpdatedAt; ///< Of the latest call of onCatalog().
};

} // namespace daisytack::direct
