/// The state machine that finds out which software version began a stream, for
/// one caller that resumes it. It uses no sockets, clocks or threads.
///
/// If no owner knows the stream, a single version can have begun it only if one
/// entry has learned of all servers from the time at which the stream can have
/// begun at the earliest until the caller resumes it. That the entry has heard
/// of no other version is not enough: a version that has just joined may have
/// begun the stream through another entry.
#pragma once

#include "daisytack/error.h"
#include "direct/stream_origins.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::direct {

/// What a resumed stream is bound to.
struct OriginAnswer {
  enum class Source : uint8_t {
    Own,         ///< This entry began the stream.
    Told,        ///< The entry that began it has told this one.
    Owner,       ///< An owner of the stream has answered.
    OnlyVersion, ///< Nobody knows the stream, and there is only one version.
  };
  StreamOrigin Origin;
  Source From = Source::Own;
  Duration Age{0}; ///< How long this entry has known it.
  bool operator==(const OriginAnswer &) const = default;
};

/// Stable lower-case name of the source, such as "only_version".
std::string_view originSourceName(OriginAnswer::Source source);

struct OriginLookupSettings {
  Duration ResendInterval{60'000}; ///< Requests are datagrams and get lost.
  /// The caller gets an answer after this time at the latest.
  Duration Timeout{250'000};
  /// Retry delay of a caller while owners may still answer a later request.
  Duration RetryAfter{300'000};
  bool operator==(const OriginLookupSettings &) const = default;
};

/// One lookup. Not thread-safe.
class OriginLookup {
public:
  /// `own` is what this entry has seen itself. No stream that callers still
  /// resume began longer ago than `maxAge`.
  OriginLookup(StreamOriginRequest request, std::vector<Endpoint> owners,
               const SeenVersions &own, Duration maxAge,
               OriginLookupSettings settings, TimePoint now);

  const StreamOriginRequest &request() const { return Request; }
  /// Owners to send the request to now; call next at nextAt().
  std::vector<Endpoint> takeDue(TimePoint now);
  TimePoint nextAt() const { return NextSendAt; }
  void onResponse(const Endpoint &owner, const StreamOriginResponse &response);
  /// Whether the result depends on this entry's own state. onState() is to be
  /// called with it, and the state be brought up to date.
  bool needsOwnState(TimePoint now) const;
  /// Owners to send a ServerVersionsRequest to now.
  std::vector<Endpoint> takeStateDue(TimePoint now);
  /// This entry or another one has seen these versions, and its state includes
  /// everything that the key-value service held at `completeAt`.
  void onState(const SeenVersions &seen, TimePoint completeAt, TimePoint now);
  /// Whether result() is final.
  bool isDecided(TimePoint now) const;
  /// The origin; nullopt, with the reason, if it is not known and it can't be
  /// ruled out that several versions may have begun the stream. It is never
  /// guessed.
  std::optional<OriginAnswer> result(Error &reason) const;

private:
  bool needsState(TimePoint now) const;

  const StreamOriginRequest Request;
  const OriginLookupSettings Settings;
  const Duration MaxAge;
  const TimePoint StartedAt;
  const TimePoint EndsAt;
  /// Whether this entry has learned of all servers for MaxAge.
  const bool HasOwnHistory;
  std::vector<Endpoint> Unanswered;
  std::vector<Endpoint> Witnesses; ///< Owners that have done so.
  std::optional<StreamOrigin> Origin;
  std::set<std::string> Versions; ///< That this entry or an owner has seen.
  /// Whether no other version than these can have begun the stream.
  bool IsComplete = false;
  TimePoint NextSendAt;
  std::optional<TimePoint> NextStateAt; ///< Of the requests to Witnesses.
};

} // namespace daisytack::direct
