/// Learns how fast each start of a server is, relative to the other servers of
/// its service, from the first bytes of prompts.
///
/// The pace of a server is the ratio of the time that its prompts take to the
/// time predicted from the configured prefill rate and the known queue, in
/// percent of the service's median. A long-term estimate follows the speed of
/// the start. A short-term one follows temporary slowdowns, and expires without
/// new evidence, so that the server is tried again.
///
/// Queues that an entry doesn't know of, and an error of the predicted rate,
/// delay the prompts of all servers alike. They are removed by comparing each
/// server with the median of its service.
#pragma once

#include "balancing/server_loads.h"
#include "daisytack/types.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace daisytack::balancing {

struct ServerSpeedSettings {
  /// Without it every pace is 100, and nothing is reported.
  bool IsEnabled = true;
  /// Part of the time to first byte, in milliseconds, that is not prefill, as
  /// PrefillRateSettings::BaseMs.
  double BaseMs = 50;
  /// Shorter prompts are not observed: their time to first byte depends more on
  /// other delays than on prefill.
  uint32_t MinTokens = 2000;
  /// Number of answers before which the pace of a start is unknown. Single
  /// times to first byte vary by 10 to 20% on equal servers.
  uint32_t MinSamples = 5;
  /// Long-term estimates within this distance of the median, in percent, count
  /// as equal to it.
  uint32_t EqualWithin = 10;
  /// The long-term estimate is the mean of this number of answers, with recent
  /// ones weighted more.
  uint32_t LongSamples = 40;
  /// Maximum influence of one answer on the long-term estimate, as a logarithm,
  /// once MinSamples were observed. With 0.2, a slowdown by 2.5 for 600 ms
  /// changed it by more than 10%.
  double MaxDeviation = 0.1;
  /// A short-term estimate below this factor of the long-term one is ignored,
  /// as a single unexpected prompt in a queue causes it.
  double MinSlowdown = 1.4;
  /// The answers between two calls of onTimer() are compared only if they are
  /// of at least this number of servers of the service, or of all of them: the
  /// median of fewer doesn't show whether most servers are slower than usual.
  size_t MinCompared = 3;
  /// Without new evidence a short-term estimate expires after this time.
  /// Reports of other entries arrive up to 200 ms late, and the sum must stay
  /// below 600 ms.
  Duration ShortTtl{350'000};
  /// Weight of one answer in the entry's own delay, by which its answers arrive
  /// later than those of other entries. With a larger one, the reports of
  /// entries would differ for a while when all servers become slower.
  double DelayWeight = 1.0 / 32;
  /// Weight of the newest answers of a service in what is usual for it.
  double UsualWeight = 0.1;
  /// Bounds on a pace.
  uint32_t MinPace = 50;
  uint32_t MaxPace = 400;
  /// A server is slow from when its pace is above SlowAbove until it falls
  /// below SlowUntil.
  uint32_t SlowAbove = 150;
  uint32_t SlowUntil = 125;
  bool operator==(const ServerSpeedSettings &) const = default;
};

/// A server whose speed is learned.
struct SpeedTarget {
  uint64_t ServerKey = 0; ///< ServerRef::key() of one start of a server.
  std::string Service;
  auto operator<=>(const SpeedTarget &) const = default;
};

/// A server that has become slow, or is no longer slow.
struct SpeedChange {
  uint64_t ServerKey = 0;
  uint32_t Pace = 100;  ///< Percent.
  uint32_t Samples = 0; ///< Number of answers behind the pace.
  Duration Age{0};      ///< Time since the newest of them.
  bool IsSlow = false;
  auto operator<=>(const SpeedChange &) const = default;
};

/// Paces of all servers, for metrics.
struct SpeedSummary {
  uint32_t SlowServers = 0; ///< With a pace above SlowAbove.
  uint32_t MinPace = 100;   ///< Percent.
  uint32_t MaxPace = 100;
  auto operator<=>(const SpeedSummary &) const = default;
};

/// Thread-safe.
class ServerSpeeds {
public:
  explicit ServerSpeeds(ServerSpeedSettings settings) : Settings(settings) {}

  /// Replaces the servers whose speeds are learned. Estimates of others are
  /// dropped, and evidence on them is ignored.
  void setServers(const std::vector<SpeedTarget> &servers);
  /// Records that an answer's first byte arrived after `firstByte`, where
  /// `unreadTokens` of its prompt had to be prefilled, `tokensBefore` were
  /// queued ahead of it. `tokensPerMs` must be the same at all entries; an
  /// error of it affects all servers alike.
  void observe(uint64_t server, uint64_t unreadTokens, uint64_t tokensBefore,
               double tokensPerMs, Duration firstByte, TimePoint now);
  /// Handles a report of another entry.
  void onPeerReport(const std::vector<LoadShare> &shares, TimePoint now);
  /// Adds to this entry's report what it has observed since the last call.
  /// Each answer is reported once, so that none is counted twice.
  void addTo(std::vector<LoadShare> &shares);
  /// Learns from the answers and reports since the last call; call it several
  /// times a second. Returns the servers that have become slow or are no longer
  /// slow.
  std::vector<SpeedChange> onTimer(TimePoint now);

  /// Pace of a server in percent; 100 while it is unknown.
  uint32_t pace(uint64_t server, TimePoint now) const;
  SpeedSummary summary(TimePoint now) const;

private:
  struct ServiceState {
    uint32_t ServerCount = 0;
    /// Ratio that is usual for the service, at this entry and in its reports.
    double Usual = 0;
    /// Further delay of the first bytes that this entry observes itself.
    double OwnDelay = 0;
    double Median = 0; ///< Of Estimate::Long, before it is centred.
    /// Median of the new answers of each server, relative to Estimate::Long.
    double NewMedian = 0;
    bool IsCompared = false; ///< NewMedian is based on enough servers.
  };
  // Estimates are logarithms of ratios, so that half and double have the same
  // distance from the median.
  struct Estimate {
    ServiceState *Service = nullptr;
    double Long = 0;
    /// Short-term estimate, relative to Long; 0: not slowed down. Counts until
    /// SlowedAt + ShortTtl.
    double Slowdown = 0;
    /// The latest answers that were compared were slow; when they were.
    bool WasSlowed = false;
    TimePoint SlowedAt;
    /// Answers since the last onTimer(): sum of the logarithms, and number.
    double NewSum = 0;
    uint32_t NewSamples = 0;
    uint32_t Samples = 0;
    TimePoint UpdatedAt;
    bool IsSlow = false;
    /// Not reported yet: sum of the logarithms, and their number.
    double Unreported = 0;
    uint32_t UnreportedSamples = 0;
  };

  static void addNew(Estimate &estimate, double ratio, uint32_t samples,
                     TimePoint now);
  /// Mean of the new answers of a server, relative to its long-term estimate.
  static double newDeviation(const Estimate &estimate);
  /// Finds how much slower than usual the new answers of each service are.
  void compareNew();
  /// Updates both estimates by the new answers.
  void learn(Estimate &estimate, TimePoint now) const;
  /// Sets the median of the long-term estimates of each service to 0.
  void centre();
  uint32_t paceOf(const Estimate &estimate, TimePoint now) const;

  ServerSpeedSettings Settings;
  mutable std::mutex Lock;
  std::unordered_map<uint64_t, Estimate> Servers; ///< By ServerRef::key().
  std::unordered_map<std::string, ServiceState> Services; ///< By name.
};

} // namespace daisytack::balancing
