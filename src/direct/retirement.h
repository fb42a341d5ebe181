/// Which kept context is not named as a source any more, and when it can be
/// freed without being read meanwhile.
///
/// What is retired stands in the key-value service, for good, and only grows: a
/// process that starts reads it before it names anything. An entry names
/// sources only on knowledge of the service that is complete up to a moment not
/// long past, so that once a record has stood for as long, every process
/// either knows it or names nothing. As that takes long, all processes that may
/// name sources without knowing it are asked, and their answers count as soon
/// as all have come: an address is registered before anything is named from it,
/// and stays so until nothing is. Each fetch has an end on the servers' clock,
/// which is waited for in both cases.
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

/// How long an entry goes on naming sources on what it knows of the service,
/// and so how long what is retired may take to be in force at an entry that is
/// cut off. Longer than outages of the service, nine seconds at most, and two
/// waits of a watch and its repeats, four seconds.
constexpr Duration MaxSourceStaleness{14'000'000};

/// What an entry's right to name sources rests on.
struct SourceEligibility {
  /// This process has read the whole service itself, so that it knows all that
  /// was agreed with a process before it at its address.
  bool HasReadAll = false;
  /// What is retired could be read.
  bool KnowsRetired = true;
  /// Its address is registered, so that it is asked.
  bool IsRegistered = false;
  /// All that the service held at this moment is known to it, and in that it
  /// was announced. Never later than the call that told so, as a process may
  /// stand still with the answer. An announcement that ends does so after this
  /// moment, and the registration goes only when the announcement has been
  /// absent for as long as the trust and a fetch last: until the trust is over
  /// this entry is asked, though it is cut off and its lease has lapsed.
  TimePoint AnnouncedAsOf;
  auto operator<=>(const SourceEligibility &) const = default;
};

bool mayNameSources(const SourceEligibility &eligibility, Duration maxStaleness,
                    TimePoint now);

/// Everything that either covers, without what another covers as well.
std::vector<Retirement> mergeRetired(std::vector<Retirement> a,
                                     const std::vector<Retirement> &b);

struct RetirementSettings {
  /// Context of weights that no server has had for so long is retired: a
  /// server's report of its weights.
  Duration FreeDelay{4'000'000};
  /// Between tries to write, and to ask one entry.
  Duration RetryDelay{500'000};
  /// After the last entry stopped naming: the longest fetch, and its way.
  Duration FetchTime{MaxFetchTime + Duration(500'000)};
  Duration MaxStaleness = MaxSourceStaleness;
  bool operator==(const RetirementSettings &) const = default;
};

/// To be written to the service over the record of that revision (0: none),
/// provided that this process is still the holder.
struct WriteRetired {
  std::vector<Retirement> Retirements;
  uint64_t ExpectedRevision = 0;
  bool operator==(const WriteRetired &) const = default;
};

/// An entry is to be told; its answer says that it names nothing of it.
struct NotifyEntry {
  Endpoint Peer;
  std::vector<Retirement> Retirements;
  uint64_t Revision = 0; ///< Of the record.
  bool operator==(const NotifyEntry &) const = default;
};

/// The registration of an address from which nothing is named any more is to be
/// removed, provided that its record still has the revision and that this
/// process is still the holder.
struct RemoveRegistration {
  Endpoint Peer;
  uint64_t Revision = 0;
  bool operator==(const RemoveRegistration &) const = default;
};

using RetirementAction =
    std::variant<WriteRetired, NotifyEntry, RemoveRegistration>;

/// Every entry follows the records; the holder of the right to give orders
/// also writes, asks and frees. One thread at a time.
class RetirementAgreement {
public:
  RetirementAgreement(RetirementSettings settings, Endpoint own)
      : Settings(settings), Own(std::move(own)) {}

  void onCatalog(const Catalog &catalog, TimePoint now);

  /// Only while this process may give orders. Call several times a second.
  /// While servers move to new weights, the context of the old makes room for
  /// that of the new: in the share of servers that have moved, less what is
  /// spare.
  std::vector<RetirementAction> next(const Catalog &catalog, double spareShare,
                                     TimePoint now);
  /// Whatever came of a write, as the service itself tells that.
  void onWritten(TimePoint now);
  void onNotified(const NotifyEntry &notification, bool hasAgreed,
                  TimePoint now);

  /// What no server can be reading.
  std::vector<Retirement> freeable(TimePoint now);
  /// The version below which no server has had weights for long enough; 0 when
  /// there is none.
  uint64_t unusedBelow(const Catalog &catalog, TimePoint now);

private:
  /// A record that this process has seen in the service.
  struct SeenRecord {
    uint64_t Revision = 0;
    std::vector<Retirement> Retirements;
    TimePoint SeenAt;
    std::set<Endpoint> Agreed;
    std::optional<TimePoint> AgreedAt; ///< When the last of them had.
  };
  /// An address that is registered.
  struct Peer {
    uint64_t Revision = 0;
    /// Since when no entry has been announced there, at this revision.
    std::optional<TimePoint> AbsentSince;
    bool IsNotificationPending = false;
    TimePoint NextNotificationAt;
  };

  void notePeers(const Catalog &catalog, TimePoint now);
  std::vector<Retirement> dueRetirements(const Catalog &catalog,
                                         double spareShare, TimePoint now);
  void noteAgreements(TimePoint now);
  std::optional<RemoveRegistration> dueRemoval(TimePoint now);
  std::vector<NotifyEntry> dueNotifications(TimePoint now);
  bool isSafe(const SeenRecord &record, TimePoint now) const;

  RetirementSettings Settings;
  Endpoint Own;
  uint64_t Era = 0; ///< Of the service; what was agreed is of this one.
  TimePoint EraSince;
  std::map<Endpoint, Peer> Peers;
  std::vector<SeenRecord>
      SeenRecords; ///< By revision; each covers those before it.
  std::vector<Retirement> LastFreeable;
  bool IsWriting = false;
  TimePoint NextWriteAt;
  uint64_t OldestVersion = 0;
  TimePoint OldestVersionSince;
};

} // namespace daisytack::direct
