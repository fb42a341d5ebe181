/// Retirement of kept context: which context must not be named as a source any
/// more, and when it can be freed without a server still fetching it.
///
/// Naming a source means sending a server the address of a context store from
/// which it can fetch kept context. Retired context is recorded in the
/// key-value service. The record is permanent and only grows, and a new process
/// reads it before it names any source. An entry names sources only while its
/// state of the service is complete up to a recent time (MaxSourceStaleness).
/// Once a record is older than that, every process either has it or names no
/// sources. To free context sooner, the holder of the order lease notifies all
/// registered processes and waits until each has agreed. This covers every
/// process that may name sources: an address is registered before its process
/// names any, and stays registered until it can name none. In both cases the
/// holder also waits for the longest fetch to end; each fetch has a deadline on
/// the server's clock.
#pragma once

#include "direct/catalog.h"
#include "direct/kept_context.h"
#include "direct/placement.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace daisytack::direct {

/// Age of an entry's state of the key-value service up to which it names
/// sources, and so the time after which a retirement is in force even at an
/// entry that is cut off. Longer than the longest outage of the service, nine
/// seconds, plus two long polls of a watch with their retries, four seconds.
constexpr Duration MaxSourceStaleness{14'000'000};

/// The conditions under which an entry may name sources.
struct SourceEligibility {
  /// This process has read the whole service itself, so it knows everything
  /// that an earlier process at its address agreed to.
  bool HasReadAll = false;
  /// The record of retired context could be decoded.
  bool KnowsRetired = true;
  /// The entry's address is registered, so it is notified of retirements.
  bool IsRegistered = false;
  /// Latest time for which this entry knows the full contents of the service,
  /// and at which it was announced there. Not later than the start of the call
  /// that returned them, because the process may be suspended before it handles
  /// the response. The registration is removed only when the announcement has
  /// been absent for MaxSourceStaleness plus the longest fetch. So as long as
  /// this entry may name sources it is notified, even if it is cut off and its
  /// lease has expired.
  TimePoint AnnouncedAsOf;
  auto operator<=>(const SourceEligibility &) const = default;
};

/// Whether an entry may name sources now.
bool mayNameSources(const SourceEligibility &eligibility, Duration maxStaleness,
                    TimePoint now);

/// The union of two lists, without retirements that another one covers.
std::vector<Retirement> mergeRetired(std::vector<Retirement> a,
                                     const std::vector<Retirement> &b);

/// Timing of retirement.
struct RetirementSettings {
  /// Context of old weights is retired when no server has had them for this
  /// time, which allows for the delay of servers' reports.
  Duration FreeDelay{4'000'000};
  /// Time between attempts to write a record, and to notify the same entry.
  Duration RetryDelay{500'000};
  /// Wait after the last entry has stopped naming the context: the longest
  /// fetch plus the time until it starts.
  Duration FetchTime{MaxFetchTime + Duration(500'000)};
  Duration MaxStaleness = MaxSourceStaleness; ///< See MaxSourceStaleness.
  bool operator==(const RetirementSettings &) const = default;
};

/// Write the record of retired context, provided that it still has the expected
/// revision and that this process still holds the order lease.
struct WriteRetired {
  std::vector<Retirement> Retirements;
  uint64_t ExpectedRevision = 0; ///< 0: the record must not exist.
  bool operator==(const WriteRetired &) const = default;
};

/// Notify an entry of retired context. Its acknowledgement confirms that it
/// does not name any of it.
struct NotifyEntry {
  Endpoint Peer;
  std::vector<Retirement> Retirements;
  uint64_t Revision = 0; ///< Revision of the record of retired context.
  bool operator==(const NotifyEntry &) const = default;
};

/// Remove the registration of an address at which no process can name sources
/// any more, provided that the record still has the revision and that this
/// process still holds the order lease.
struct RemoveRegistration {
  Endpoint Peer;
  uint64_t Revision = 0;
  bool operator==(const RemoveRegistration &) const = default;
};

using RetirementAction =
    std::variant<WriteRetired, NotifyEntry, RemoveRegistration>;

/// Tracks retired context and each entry's agreement to it. Every entry calls
/// onCatalog(); only the holder of the order lease also writes records,
/// notifies entries and frees context. Not thread-safe.
class RetirementAgreement {
public:
  RetirementAgreement(RetirementSettings settings, Endpoint own)
      : Settings(settings), Own(std::move(own)) {}

  /// Updates the registered addresses and the records of retired context.
  void onCatalog(const Catalog &catalog, TimePoint now);

  /// What to do now. Call several times a second, and only while this process
  /// holds the order lease. During a weight update, old context is retired to
  /// make room for new context: in proportion to the servers that have the new
  /// weights, minus freeToUsedRatio, which is the free space of the context
  /// stores divided by their used space.
  std::vector<RetirementAction> next(const Catalog &catalog,
                                     double freeToUsedRatio, TimePoint now);
  /// A write has ended. Its result doesn't matter: the catalog will show
  /// whether it took effect.
  void onWritten(TimePoint now);
  /// A notification has ended; hasAgreed if the entry acknowledged it.
  void onNotified(const NotifyEntry &notification, bool hasAgreed,
                  TimePoint now);

  /// Retired context that no server can still be fetching, so it can be freed.
  std::vector<Retirement> freeable(TimePoint now);
  /// The version below which no server has had weights for FreeDelay; 0 if
  /// there is none.
  uint64_t unusedBelow(const Catalog &catalog, TimePoint now);

private:
  /// A revision of the record of retired context that this process has seen.
  struct SeenRecord {
    uint64_t Revision = 0;
    std::vector<Retirement> Retirements;
    TimePoint SeenAt;
    std::set<Endpoint> Agreed;         ///< Entries that have agreed.
    std::optional<TimePoint> AgreedAt; ///< When the last entry agreed.
  };
  /// A registered address other than this entry's own.
  struct Peer {
    uint64_t Revision = 0; ///< Revision of the registration.
    /// Since when no entry has been announced at the address while the
    /// registration had this revision; empty if one is announced.
    std::optional<TimePoint> AbsentSince;
    bool IsNotificationPending = false;
    TimePoint NextNotificationAt;
  };

  void notePeers(const Catalog &catalog, TimePoint now);
  /// Context that should be retired now, judging by the servers' weights.
  std::vector<Retirement> dueRetirements(const Catalog &catalog,
                                         double freeToUsedRatio, TimePoint now);
  void noteAgreements(TimePoint now);
  std::optional<RemoveRegistration> dueRemoval(TimePoint now);
  std::vector<NotifyEntry> dueNotifications(TimePoint now);
  /// Whether no server can still be fetching context that the record covers.
  bool isSafe(const SeenRecord &record, TimePoint now) const;

  RetirementSettings Settings;
  Endpoint Own;
  /// Era of the service (direct/revision.h). Agreements hold for this era only.
  uint64_t Era = 0;
  TimePoint EraSince;
  std::map<Endpoint, Peer> Peers;
  /// By increasing revision; each covers the previous ones.
  std::vector<SeenRecord> SeenRecords;
  std::vector<Retirement> LastFreeable; ///< Last result of freeable().
  bool IsWriting = false;               ///< A write or removal is under way.
  TimePoint NextWriteAt;
  uint64_t OldestVersion = 0; ///< Oldest version that servers had last time.
  TimePoint OldestVersionSince;
};

} // namespace daisytack::direct
