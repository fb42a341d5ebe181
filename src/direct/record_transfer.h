/// Transfer of large records between entries, such as a configuration with many
/// routes. Uses no sockets, clocks or threads.
///
/// An entry that polls another one gets small records at once and an offer of
/// each large one. It then requests the offered record in parts, one part at a
/// time, from one of the entries that offer it. So an answer to a poll is short
/// whatever the records' size, no link carries a value twice at a time, a lost
/// part costs only itself, and a sender owes each receiver one part at most.
/// The value is compressed as the difference from the receiver's one.
#pragma once

#include "daisytack/error.h"
#include "direct/record_history.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::direct {

/// The sender has the record's value at this revision.
struct RecordOffer {
  std::string Key;
  uint64_t Revision = 0;
  auto operator<=>(const RecordOffer &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Key, Revision); }
};

/// Requests a part of a record's encoded value.
struct RecordPartRequest {
  std::string Key;
  uint64_t Revision = 0;
  /// Revision of the receiver's value; 0: it has none.
  uint64_t BaseRevision = 0;
  uint64_t Offset = 0; ///< In bytes of the encoded value.
  auto operator<=>(const RecordPartRequest &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Key, Revision, BaseRevision, Offset);
  }
};

/// Response to RecordPartRequest.
struct RecordPart {
  std::string Key;
  /// If it is not the requested one, the sender's revision of the record; 0:
  /// the sender doesn't have the record. There are no bytes then.
  uint64_t Revision = 0;
  /// Revision of the value that the encoded one is the difference from; 0: it
  /// is the whole value.
  uint64_t BaseRevision = 0;
  uint64_t Offset = 0; ///< Of the bytes.
  uint64_t Size = 0;   ///< Of the encoded value.
  uint64_t Digest = 0; ///< Of the encoded value; tells encodings apart.
  std::string Bytes;
  auto operator<=>(const RecordPart &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Key, Revision, BaseRevision, Offset, Size, Digest, Bytes);
  }
};

/// Access to the records that this entry holds.
struct RecordLookup {
  /// The value of a key at a revision; null if it is not held.
  std::function<const std::string *(std::string_view key, uint64_t revision)>
      ValueAt;
  /// The newest revision of a key that is held; 0: none.
  std::function<uint64_t(std::string_view key)> RevisionOf;
};

/// The sending side. Encodes each value once for each base, not for each part
/// or receiver. Not thread-safe.
class RecordSource {
public:
  explicit RecordSource(RecordLookup held) : Held(std::move(held)) {}

  RecordPart answer(const RecordPartRequest &request);

private:
  /// A value, encoded.
  struct Encoding {
    std::string Key;
    uint64_t Revision = 0;
    uint64_t BaseRevision = 0;
    uint64_t Digest = 0;
    std::string Bytes;
  };
  /// Receivers are at one of a few revisions.
  static constexpr size_t MaxEncodings = 6;

  const Encoding &encode(const RecordPartRequest &request,
                         const std::string &value);

  RecordLookup Held;
  std::deque<Encoding> Recent; ///< Latest last.
};

struct RecordFetchSettings {
  /// Timeout of a call for one part. Doubled after each failure up to the
  /// maximum, since many receivers may share a slow link.
  Duration PartTimeout{700'000};
  Duration MaxPartTimeout{3'000'000};
  /// Pause after a failed call.
  Duration RetryPause{50'000};
  /// A transfer without a new part for this time counts as stalled.
  Duration StallTime{1'000'000};
  /// Calls in a row that may fail at each source before the transfer waits for
  /// new offers.
  size_t MaxFailuresPerSource = 2;
  /// A record that no entry has offered again for this time, after all calls
  /// for it have failed, is given up.
  Duration OfferRetention{60'000'000};
  /// Records that are received at a time. There are a few large ones; one that
  /// is left out is offered again.
  size_t MaxTransfers = 64;
  bool operator==(const RecordFetchSettings &) const = default;
};

/// A call to make now.
struct RecordPartCall {
  Endpoint Source;
  RecordPartRequest Request;
  Duration Timeout{0};
  bool operator==(const RecordPartCall &) const = default;
};

/// A record whose transfer has ended.
struct FetchedRecord {
  StoreRecord Record;
  uint64_t BaseRevision = 0; ///< 0: the whole value was sent.
  size_t Bytes = 0;          ///< Received, of the encoded value.
  Duration Took{0};          ///< Since the record was first offered.
};

/// The receiving side: one call at a time over all records. A transfer that is
/// under way goes on when a newer revision is offered, so that changes in quick
/// succession can't keep it from ending; the newest one is next. Not
/// thread-safe.
class RecordFetch {
public:
  RecordFetch(RecordFetchSettings settings, RecordLookup held)
      : Settings(settings), Held(std::move(held)) {}

  /// A source offers a record. Returns whether this entry lacks it, so that it
  /// is or will be requested.
  bool onOffer(const RecordOffer &offer, const Endpoint &source, TimePoint now);
  /// The call to make now, if none is under way and one is due.
  std::optional<RecordPartCall> next(TimePoint now);
  /// The call's answer has arrived. Returns the record if it is complete; the
  /// reason is set if the answer is of no use.
  std::optional<FetchedRecord> onPart(RecordPart part, TimePoint now,
                                      Error &reason);
  /// The call got no answer.
  void onFailure(TimePoint now);
  /// Whether records are being received and parts still arrive.
  bool isProgressing(TimePoint now) const;
  /// Number of records that are to be received.
  size_t pendingCount() const { return Pending.size(); }
  /// Since when this entry has known of a record that it lacks.
  std::optional<TimePoint> behindSince() const;

private:
  /// A record that is to be received.
  struct Transfer {
    uint64_t Revision = 0;       ///< Of the parts that are requested.
    uint64_t NewestRevision = 0; ///< Offered.
    /// This entry's value when the transfer began; its revision is 0 if it has
    /// none.
    uint64_t HeldRevision = 0;
    std::string HeldValue;
    /// Of the encoded value; set by its first part.
    uint64_t BaseRevision = 0;
    uint64_t Size = 0;
    uint64_t Digest = 0;
    std::string Received;
    bool IsBaseRefused = false; ///< The difference could not be applied.
    bool IsDamaged = false;     ///< Neither could the whole value be read.
    std::deque<Endpoint> Sources;
    TimePoint Since;
    TimePoint ProgressAt;
    TimePoint OfferedAt; ///< Last.
    TimePoint NextCallAt;
    size_t Failures = 0; ///< In a row.
  };
  using Transfers = std::map<std::string, Transfer>;

  void begin(const std::string &key, Transfer &transfer);
  bool accept(Transfer &transfer, const RecordPart &part, Error &reason);
  std::optional<FetchedRecord> complete(Transfers::iterator it, TimePoint now,
                                        Error &reason);
  void retry(Transfers::iterator it, TimePoint now);
  uint64_t settledRevision(const std::string &key) const;

  RecordFetchSettings Settings;
  RecordLookup Held;
  Transfers Pending; ///< By key.
  /// Latest revision of each key that was received, even if the catalog didn't
  /// take it.
  std::map<std::string, uint64_t> Settled;
  std::optional<std::string> CalledKey; ///< Set while a call is under way.
};

} // namespace daisytack::direct
