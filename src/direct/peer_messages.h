/// What entries on the direct path tell one another.
#pragma once

#include "direct/crash_suspects.h"
#include "direct/kept_context.h"
#include "direct/records.h"
#include "direct/request_limits.h"
#include "direct/server_loads.h"
#include "direct/store_links.h"

#include <string>
#include <variant>
#include <vector>

namespace daisytack::direct {

/// An entry that the key-value service does not answer asks another for what is
/// newer than it knows.
struct RecordsRequest {
  uint64_t Revision = 0;
  bool operator==(const RecordsRequest &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Revision); }
};

struct RecordsResponse {
  std::vector<StoreRecord> Records;
  /// Microseconds since the service confirmed them to the sender.
  int64_t ConfirmationAge = 0;
  /// Microseconds since a moment of which the sender knows all that the service
  /// held.
  int64_t CompleteStateAge = 0;
  /// All that the service held up to this revision is known to the sender.
  uint64_t CompleteTo = 0;
  /// Deletions up to this revision may be missing: whoever asked for what is
  /// newer than less does not know all that the sender knows.
  uint64_t DeletionsMissingTo = 0;
  /// For so many microseconds more the sender keeps servers whose records lapse
  /// with an outage of the service.
  int64_t GraceLeft = 0;
  /// Up to where what the sender read of the service may be of an older copy;
  /// 0 where the service has not come back from one.
  uint64_t RestoredTo = 0;
  bool operator==(const RecordsResponse &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Records, ConfirmationAge, CompleteStateAge, CompleteTo,
       DeletionsMissingTo, GraceLeft, RestoredTo);
  }
};

/// Whether whoever knew all up to the revision when it asked, and takes the
/// records, knows all that the sender knows. With 0 it had not read the service
/// itself, so that what it was told before may have gaps.
inline bool isCompleteFor(const RecordsResponse &found, uint64_t knownTo) {
  return knownTo != 0 && knownTo >= found.DeletionsMissingTo;
}

/// Servers that are taking new weights, or about to, and turn requests away
/// until they have them.
struct ServersLoading {
  std::vector<ServerStart> Servers;
  bool operator==(const ServersLoading &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Servers); }
};

/// A server has taken new weights, by its own report; its entry in the
/// key-value service says so up to a heartbeat later.
struct ServerLoaded {
  ServerStart Server;
  ModelVersion LoadedVersion;
  bool operator==(const ServerLoaded &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Server, LoadedVersion.Model, LoadedVersion.Version);
  }
};

/// Kept context of old weights that is not to be named as a source any more, as
/// the key-value service holds it. The answer says that the process names none
/// of it.
struct ContextRetired {
  std::vector<Retirement> Retirements;
  bool operator==(const ContextRetired &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Retirements); }
};

/// What an entry has under way, and how late its fetches came; by datagram,
/// several times a second.
struct EntryLoads {
  std::string Entry;
  /// Until the receiver hears again, in microseconds: grows with the number of
  /// entries.
  int64_t Period = 0;
  std::vector<LoadShare> Servers;
  std::vector<LinkDelay> Links; ///< Observed since the last message.
  /// Servers (ServerRef::key) that said lately that they leave.
  std::vector<uint64_t> Leaving{};
  bool operator==(const EntryLoads &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Entry, Period, Servers, Links, Leaving);
  }
};

/// What servers said of their limits on requests, as the sender heard it; by
/// datagram.
struct RequestLimitUpdate {
  std::vector<LimitReport> ServerLimits;
  bool operator==(const RequestLimitUpdate &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(ServerLimits); }
};

struct Acknowledgement {
  bool operator==(const Acknowledgement &) const = default;
  template <class Archive> void serialize(Archive &) {}
};

using PeerMessage =
    std::variant<RecordsRequest, RecordsResponse, ServersLoading, ServerLoaded,
                 EntryLoads, ContextRetired, Acknowledgement, CrashReports,
                 RequestLimitUpdate>;

} // namespace daisytack::direct
