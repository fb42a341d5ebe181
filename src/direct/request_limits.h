/// Limits on requests that backend servers name in their answers: so many a
/// second from all entries together, for as long as they say so.
///
/// A server's own answers are the only source. Whichever entry heard the latest
/// of them tells the others, so that all decide on the same limit, those that
/// have no share of it too. What is believed of one start of a server never
/// counts for another.
#pragma once

#include "direct/shared_quota.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace daisytack::direct {

struct RequestLimitSettings {
  /// The quota of a limit is for so long: the four seconds over which servers
  /// count, and a tenth, as sends that are delayed on their way are closer at
  /// the server than at the entry.
  Duration Window{4'400'000};
  /// For limits of less than one request in a window it is longer, up to this:
  /// only an answer tells that a limit has ended.
  Duration LongestWindow{10'000'000};
  /// The others are told for so long that a limit has ended.
  Duration LiftNews{10'000'000};
  /// Limits in one message between entries, so that it fits a datagram.
  size_t MostNews = 64;
  bool operator==(const RequestLimitSettings &) const = default;
};

/// What one answer made of the belief.
enum class LimitChange : uint8_t { None, Imposed, Lifted };

/// What a server's latest answer said, as entries tell one another.
struct LimitReport {
  uint64_t Server = 0; ///< ServerRef::key of one start of a server.
  bool IsLimited = false;
  double PerSecond = 0;
  uint32_t AgoMs = 0; ///< Since the sender of the message heard it.
  auto operator<=>(const LimitReport &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Server, IsLimited, PerSecond, AgoMs);
  }
};

/// What all entries together may send to a server with that limit.
QuotaBound requestLimitBound(const RequestLimitSettings &settings,
                             double perSecond);

/// Thread-safe.
class RequestLimits {
public:
  RequestLimits(RequestLimitSettings settings, Endpoint own,
                TimePoint startedAt);

  /// The server named a limit, in requests a second, or answered a request
  /// without naming one.
  LimitChange onAnswer(ServerRef server, std::optional<double> perSecond,
                       TimePoint now);
  /// What another entry heard. Has no effect where this one knows of a later
  /// answer.
  void onPeerReports(const std::vector<LimitReport> &words, TimePoint now);
  /// What this entry heard, for the others: limits that hold, and those that
  /// ended lately. Those that were told least lately, where there are many.
  std::vector<LimitReport> takeGossip(TimePoint now);

  /// When this entry may send its next request to the server: now or earlier
  /// for at once, nothing when it has no share of the limit.
  std::optional<TimePoint> availableAt(const BackendServer &server,
                                       const Catalog &catalog, TimePoint now);
  /// Takes one request of the share; false when it is used up.
  bool tryAcquire(const BackendServer &server, const Catalog &catalog,
                  TimePoint now);

  /// Servers that are believed to have a limit.
  size_t limitedCount() const;
  /// Forgets what was heard before.
  void forgetIdle(TimePoint heardBefore);

private:
  struct Belief {
    std::optional<double> PerSecond;
    TimePoint HeardAt;
    bool IsOwn = false;  ///< This entry heard it from the server.
    TimePoint TellUntil; ///< That it has ended.
    TimePoint ToldAt;
  };

  /// Nothing when the server has no limit.
  std::optional<QuotaBound> boundOf(const BackendServer &server,
                                    TimePoint now) const;

  RequestLimitSettings Settings;
  SharedQuota Shares;
  mutable std::mutex Lock;
  std::unordered_map<uint64_t, Belief> Servers; ///< By ServerRef::key.
};

} // namespace daisytack::direct
