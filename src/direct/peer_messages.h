/// Messages between entries on the direct path.
#pragma once

#include "admission/organisation_shares.h"
#include "admission/return_schedule.h"
#include "balancing/quota_loans.h"
#include "balancing/request_limits.h"
#include "balancing/server_loads.h"
#include "direct/crash_reports.h"
#include "direct/kept_context.h"
#include "direct/record_transfer.h"
#include "direct/records.h"
#include "direct/save_grants.h"
#include "direct/store_links.h"
#include "direct/stream_origins.h"

#include <string>
#include <variant>
#include <vector>

namespace daisytack::direct {

/// Requests records newer than the revision from another entry. Sent by entries
/// that don't read the key-value service themselves or get no answer from it.
struct RecordsRequest {
  uint64_t Revision = 0;
  bool operator==(const RecordsRequest &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Revision); }
};

/// Response to RecordsRequest. Bounded in size: large records are only offered,
/// and what does not fit follows on the next request.
struct RecordsResponse {
  std::vector<StoreRecord> Records;
  std::vector<RecordOffer> Offers;
  /// Holds all of the sender's records newer than the requested revision up to
  /// this one.
  uint64_t UpTo = 0;
  bool HasMore = false; ///< The sender has records beyond UpTo.
  /// Microseconds since the service last confirmed the sender's state.
  int64_t ConfirmationAge = 0;
  /// Age of the sender's state in microseconds: it includes everything that the
  /// service held at that time.
  int64_t CompleteStateAge = 0;
  /// The sender has the service's complete state up to this revision.
  uint64_t CompleteTo = 0;
  /// Deletions up to this revision may be missing from the records. A receiver
  /// that requested records from a lower revision on does not get the sender's
  /// full state.
  uint64_t DeletionsMissingTo = 0;
  /// Microseconds since the service last answered any entry, as far as the
  /// sender knows (direct/store_uptime.h).
  int64_t AnswerAge = 0;
  /// Microseconds by which that answer may have come later.
  int64_t AnswerDelay = 0;
  /// Microseconds since the beginning of the period in which the service has
  /// answered without an outage, up to that answer.
  int64_t AnsweringAge = 0;
  /// The service's revision at that beginning; 0: it has not answered yet.
  uint64_t AnsweringRevision = 0;
  /// Records up to this revision may come from an older copy that the service
  /// was restored from; 0: no restore was seen.
  uint64_t RestoredTo = 0;
  bool operator==(const RecordsResponse &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Records, Offers, UpTo, HasMore, ConfirmationAge, CompleteStateAge,
       CompleteTo, DeletionsMissingTo, AnswerAge, AnswerDelay, AnsweringAge,
       AnsweringRevision, RestoredTo);
  }
};

/// Whether all ages and revisions are such as an entry can have. A response
/// with others would be believed for longer than it is true, or hide later
/// ones.
bool isCredible(const RecordsResponse &response);

/// Whether a receiver that knew everything up to the revision has the sender's
/// full state after merging the records. Never for revision 0: such a receiver
/// has not read the service itself, so its state may have gaps.
inline bool isCompleteFor(const RecordsResponse &response, uint64_t knownTo) {
  return knownTo != 0 && knownTo >= response.DeletionsMissingTo;
}

/// All servers that are loading new weights or are about to. They reject
/// requests until they have finished. A server that the next message doesn't
/// name has finished, or its load was postponed.
struct ServersLoading {
  std::vector<ServerStart> Servers;
  bool operator==(const ServersLoading &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Servers); }
};

/// A server has reported that it loaded new weights. Its record in the
/// key-value service shows them up to one heartbeat later.
struct ServerLoaded {
  ServerStart Server;
  ModelVersion LoadedVersion;
  bool operator==(const ServerLoaded &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Server, LoadedVersion.Model, LoadedVersion.Version);
  }
};

/// Kept context of old weights that must not be named as a source any more, as
/// recorded in the key-value service. The acknowledgement confirms that the
/// receiver no longer names any of it.
struct ContextRetired {
  std::vector<Retirement> Retirements;
  bool operator==(const ContextRetired &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Retirements); }
};

/// The load that one entry puts on the servers, and the delays of its fetches.
/// Sent as a datagram several times a second.
struct EntryLoads {
  std::string Entry; ///< Name of the sender.
  /// Microseconds until the next message to the same receiver. Grows with the
  /// number of entries.
  int64_t Period = 0;
  std::vector<balancing::LoadShare> Servers;
  std::vector<LinkDelay> Links; ///< Observed since the last message.
  /// Servers (ServerRef::key) that recently reported that they are leaving.
  std::vector<uint64_t> Leaving{};
  bool operator==(const EntryLoads &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Entry, Period, Servers, Links, Leaving);
  }
};

/// Request limits that servers have reported to the sender. Sent as a datagram.
struct RequestLimitUpdate {
  std::vector<balancing::LimitReport> ServerLimits;
  bool operator==(const RequestLimitUpdate &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(ServerLimits); }
};

/// Ages of desired versions of weights, sent as a datagram while servers load
/// them. An entry that starts in the meantime, or that heard of a version late,
/// can't know for how long it may still use servers with older weights.
struct RolloutAges {
  std::vector<DesiredVersionAge> Versions;
  bool operator==(const RolloutAges &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Versions); }
};

/// Response to messages that need no data in return.
struct Acknowledgement {
  bool operator==(const Acknowledgement &) const = default;
  template <class Archive> void serialize(Archive &) {}
};

using PeerMessage = std::variant<
    RecordsRequest, RecordsResponse, ServersLoading, ServerLoaded, EntryLoads,
    ContextRetired, Acknowledgement, CrashReports, RequestLimitUpdate,
    RolloutAges, StreamsBegan, StreamOriginRequest, StreamOriginResponse,
    admission::OrganisationUse, admission::ReturnTickets,
    balancing::QuotaLoanRequest, balancing::QuotaLoan, RecordPartRequest,
    RecordPart, ServerVersionsRequest, ServerVersionsResponse, SaveGrantRequest,
    SaveGrantResponse, SaveEnded>;

} // namespace daisytack::direct
