/// Which software version began each stream.
///
/// Servers of several software versions may serve one service, and what two
/// versions write does not fit together: a stream may only be resumed on a
/// server of the version that wrote its first event. Callers resume a stream at
/// any entry, so each entry tells the origin of a stream that it begins to the
/// owners of the stream, a few entries that every process determines from the
/// stream's id, and an entry that lacks the origin of a stream asks them.
#pragma once

#include "direct/records.h"
#include "direct/software_versions.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisytack::direct {

/// The service and the software version of the server that wrote a stream's
/// first event.
struct StreamOrigin {
  std::string Service;
  std::string SoftwareVersion;
  auto operator<=>(const StreamOrigin &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Service, SoftwareVersion);
  }
};

/// Message to the owners of streams that began at the same origin.
struct StreamsBegan {
  StreamOrigin Origin;
  std::vector<Id128> Streams;
  bool operator==(const StreamsBegan &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Origin, Streams); }
};

/// Asks an owner for the origin of a stream.
struct StreamOriginRequest {
  Id128 Stream;
  std::string Service; ///< Of the route on which the caller resumes it.
  bool operator==(const StreamOriginRequest &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Stream, Service); }
};

/// Response to StreamOriginRequest.
struct StreamOriginResponse {
  Id128 Stream;
  std::optional<StreamOrigin> Origin; ///< Empty if the sender doesn't know it.
  SeenVersions Seen;                  ///< By the sender, of the service.
  bool operator==(const StreamOriginResponse &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Stream, Origin, Seen);
  }
};

/// Asks another entry for the software versions that it has seen, from a state
/// that includes everything that the key-value service holds when the request
/// arrives.
struct ServerVersionsRequest {
  std::string Service;
  int64_t AskedAtUs = 0; ///< By the clock of the entry that asks.
  bool operator==(const ServerVersionsRequest &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Service, AskedAtUs);
  }
};

/// Response to ServerVersionsRequest.
struct ServerVersionsResponse {
  std::string Service;
  int64_t AskedAtUs = 0; ///< Of the request.
  SeenVersions Seen;
  bool operator==(const ServerVersionsResponse &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Service, AskedAtUs, Seen);
  }
};

/// Identifies a stream by the id of the request that began it. A cryptographic
/// digest, so that no organisation can name another one's stream.
Id128 streamKey(std::string_view organisation, std::string_view requestId);

/// Number of owners of a stream. The entry that begins it may be one of them,
/// so that at least three others know the origin.
constexpr size_t StreamOwners = 4;

/// The owners of streams among a list of entries. Immutable.
class StreamOwnerIndex {
public:
  StreamOwnerIndex() = default;
  explicit StreamOwnerIndex(const std::vector<EntryPeer> &entries);
  /// Addresses of the stream's owners, without the given one.
  std::vector<Endpoint> ownersOf(const Id128 &stream,
                                 const Endpoint &except) const;

private:
  std::vector<std::pair<uint64_t, Endpoint>> Entries; ///< By hash of the name.
};

struct StreamOriginSettings {
  /// How long an origin is kept; up to twice as long.
  Duration Retention = StreamMaxAge;
  /// Maximum number of origins in each of two generations; about 100 bytes
  /// each.
  size_t MaxStreams = 60'000;
  /// Maximum size of the texts of each generation, in bytes. Names in messages
  /// may be as long as a datagram.
  size_t MaxTextBytes = 6'000'000;
  bool operator==(const StreamOriginSettings &) const = default;
};

/// An origin as known to one entry.
struct KnownOrigin {
  StreamOrigin Origin;
  Duration Age{0};    ///< Since this entry has known it.
  bool IsOwn = false; ///< This entry began the stream.
  bool operator==(const KnownOrigin &) const = default;
};

/// The origins that an entry knows. Thread-safe.
class StreamOrigins {
public:
  explicit StreamOrigins(StreamOriginSettings settings) : Settings(settings) {}

  /// This entry began the stream. Returns whether nothing else waited for
  /// takeUntold().
  bool onBegan(const Id128 &stream, const StreamOrigin &origin, TimePoint now);
  /// Another entry began the streams.
  void onTold(const StreamsBegan &message, TimePoint now);
  std::optional<KnownOrigin> find(const Id128 &stream, TimePoint now) const;
  /// Removes and returns the streams whose owners are still to be told, one
  /// message for each origin.
  std::vector<StreamsBegan> takeUntold();

private:
  struct Item {
    std::shared_ptr<const StreamOrigin> Origin;
    TimePoint At;
    bool IsOwn = false;
  };
  using Generation = std::unordered_map<Id128, Item>;

  void addLocked(const Id128 &stream, Item item);
  /// Counts the texts of an origin that is added next.
  void countTextLocked(const StreamOrigin &origin, TimePoint now);
  void beginGenerationLocked(TimePoint now);

  const StreamOriginSettings Settings;
  mutable std::mutex Lock;
  Generation Recent;
  Generation Older;
  TimePoint RecentSince;
  size_t RecentTextBytes = 0;
  std::vector<StreamsBegan> Untold;
};

} // namespace daisytack::direct
