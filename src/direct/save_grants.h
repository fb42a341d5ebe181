/// Permission to have a part of a prompt saved to a context store.
///
/// A server saves a part once it has read it, which may be as late as the
/// request's deadline, and nothing tells it that the store has restarted in the
/// meantime. With two saves of a part outstanding, the first one makes the part
/// known, and after a restart the second one writes it again while servers
/// still fetch it by what was known before. So at most one save of a part to a
/// store is outstanding among all entries: the part's owner grants it, an entry
/// that every process determines from the part.
///
/// Entries may count one another differently, and an owner that starts doesn't
/// know what an earlier one has granted. An entry therefore grants only if it
/// ranks first among all entries that were announced during the longest time of
/// a grant, and was announced itself during all of it (SaveOwner).
#pragma once

#include "direct/kept_context.h"
#include "direct/records.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisytack::direct {

/// Asks the owner of a part for the permission to have it saved.
struct SaveGrantRequest {
  uint64_t Number = 0; ///< Identifies the request at its sender.
  PartSave Save;
  /// How long the save can wait for its server to begin, in microseconds.
  int64_t MaxWaitUs = 0;
  /// Expected time until the server has read the prompt, in milliseconds.
  uint32_t ExpectedMs = 0;
  bool operator==(const SaveGrantRequest &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Number, Save, MaxWaitUs, ExpectedMs);
  }
};

/// A request together with the entry that sent it.
struct SaveQuestion {
  Endpoint Holder;
  SaveGrantRequest Request;
  bool operator==(const SaveQuestion &) const = default;
};

/// Puts the requests for one part that arrived at about the same time into the
/// order in which they are answered: the save that is expected to begin first
/// is granted. Among those with no clear difference chance decides, so that no
/// entry is preferred for being close to the owner.
void sortQuestions(std::vector<SaveQuestion> &questions);

/// Response to SaveGrantRequest.
struct SaveGrantResponse {
  uint64_t Number = 0; ///< Of the request.
  bool IsGranted = false;
  /// Another save of the part may be outstanding, or the store holds the part.
  /// Otherwise the owner can't tell yet.
  bool IsNeedless = false;
  bool operator==(const SaveGrantResponse &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Number, IsGranted, IsNeedless);
  }
};

/// A granted save is no longer outstanding. A message that is lost only delays
/// the next save of the part.
struct SaveEnded {
  uint64_t Number = 0; ///< Of the request.
  PartSave Save;
  /// The server has read the part; otherwise it has not run the request and
  /// never will.
  bool HasBegun = false;
  bool operator==(const SaveEnded &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Number, Save, HasBegun);
  }
};

/// Longest time that a granted save can wait for its server. Servers abort
/// requests that wait beyond their deadline; context of requests with a later
/// one is not saved.
constexpr Duration MaxSaveWait{60'000'000};

struct SaveGrantSettings {
  /// Age up to which an entry's knowledge of the other entries is recent enough
  /// to grant saves. A watch that reports no change asks again after 1.7 s, and
  /// its last answer but one is what the age counts from.
  Duration MaxStateAge{5'000'000};
  /// Added to the time that a save can wait for its server: the request is in
  /// transit before, and its sender may have been suspended.
  Duration TransitMargin{1'000'000};
  /// Longest time from a server's answer until it writes the parts that it has
  /// read. A transfer that would wait for two seconds is not started.
  Duration MaxWriteDelay{3'000'000};
  /// Entries' first requests with a new part often come together; the owner
  /// collects their questions for this time before it answers.
  Duration CollectTime{3'000};
  /// Maximum number of grants of one owner; about 200 bytes each.
  size_t MaxGrants = 50'000;
  bool operator==(const SaveGrantSettings &) const = default;
};

/// How long a grant lasts for a save that can wait for its server for
/// `maxWait`: until the save has been written, or never will be.
constexpr Duration grantTimeFor(Duration maxWait,
                                const SaveGrantSettings &settings) {
  return maxWait + settings.TransitMargin + settings.MaxWriteDelay;
}

/// Which entry owns each part, and whether this entry may grant saves as an
/// owner. Not thread-safe.
class SaveOwner {
public:
  SaveOwner(const EntryPeer &self, SaveGrantSettings settings)
      : Self(nameOf(self)), Settings(settings) {}

  /// Adopts the announced entries. `announcedAsOf` is the latest time for which
  /// this entry knows all of them and was one itself, and `grantTime` the
  /// longest time of a grant.
  void onEntries(const std::vector<EntryPeer> &entries, TimePoint announcedAsOf,
                 Duration grantTime, TimePoint now);
  /// When this entry was announced, no save could be granted by anybody, and no
  /// entry was registered that was not announced as well: one that is only cut
  /// off holds itself for an owner when it returns.
  void onFirstStart() { OwnerSince = TimePoint::min(); }
  /// Saves can be granted from now on, or since an earlier time. Entries that
  /// started before don't wait for one another, but have to know one another.
  void onSavesPossible(TimePoint now) {
    if (!SavesPossibleSince)
      SavesPossibleSince = now;
  }
  /// Whether this entry has been announced.
  bool isAnnounced() const { return OwnerSince.has_value(); }
  /// The owner of the part among the announced entries; nullopt if none is
  /// known.
  std::optional<Endpoint> ownerOf(const PartSave &save) const;
  /// Since when no other entry can have granted a save of the part that is
  /// still outstanding, or may grant one; nullopt if one can.
  std::optional<TimePoint> soleSince(const PartSave &save, Duration grantTime,
                                     TimePoint now) const;

private:
  struct Peer {
    uint64_t Hash = 0;  ///< Of the entry's name.
    TimePoint ListedAt; ///< Until when it was announced, unless it still is.
    bool IsListed = false;
  };

  void adopt(const std::vector<EntryPeer> &entries, TimePoint now);
  /// Name and address of the entry.
  static std::string nameOf(const EntryPeer &entry);
  /// For how long saves may be outstanding that an entry granted which is no
  /// longer announced.
  Duration memory(Duration grantTime) const {
    return Settings.MaxStateAge + grantTime;
  }

  const std::string Self;
  const SaveGrantSettings Settings;
  std::vector<EntryPeer> Entries;                    ///< As adopted last.
  std::unordered_map<std::string, Peer> Peers;       ///< By nameOf().
  std::vector<std::pair<uint64_t, Endpoint>> Listed; ///< Hashes of names.
  std::optional<TimePoint> OwnerSince;
  std::optional<TimePoint> SavesPossibleSince;
  /// Since when none of the entries that have left can have granted a save that
  /// is still outstanding.
  TimePoint OthersOverSince = TimePoint::min();
  TimePoint AnnouncedAsOf;
};

/// The saves that one owner has granted. Not thread-safe.
class SaveGrants {
public:
  using CompleteAsOfHook =
      std::function<std::optional<TimePoint>(const std::string &store)>;

  explicit SaveGrants(SaveGrantSettings settings) : Settings(settings) {}

  /// Grants the save unless one of the same part is outstanding, or was made
  /// and may not be known here (see dropKnown()). `restartedAfter` is when the
  /// store was last seen in an earlier epoch. The holder and the number
  /// identify the grant; a repeated request gets the same answer.
  bool grant(const Endpoint &holder, const SaveGrantRequest &request,
             std::optional<TimePoint> restartedAfter, TimePoint now);
  void onEnded(const Endpoint &holder, const SaveEnded &message, TimePoint now);
  /// Since when the save of the part that was granted last has been over, if
  /// dropKnown() still keeps the grant.
  std::optional<TimePoint> overSince(const PartSave &save, TimePoint now) const;
  /// Drops grants whose saves are over and known, if they were made: all that a
  /// store kept at some time after it was over is known. `completeAsOf` returns
  /// the latest such time for a store.
  void dropKnown(const CompleteAsOfHook &completeAsOf, TimePoint now);

private:
  struct Grant {
    Endpoint Holder;
    uint64_t Number = 0;
    std::string Store;
    std::optional<TimePoint> BegunAt; ///< When it was known to have begun.
    TimePoint Until;
  };

  const SaveGrantSettings Settings;
  std::unordered_map<std::string, Grant> Grants; ///< By keyOf().
};

} // namespace daisytack::direct
