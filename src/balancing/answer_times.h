/// Estimate of how long the servers of a service take for a complete answer,
/// learned from the slowest recent answers to the requests of each route.
///
/// A process that is about to end uses it to decide which requests can still be
/// answered, so that the estimate follows the slowest answers, not the average.
#pragma once

#include "daisytack/types.h"

#include <compare>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace daisytack::balancing {

struct AnswerTimeSettings {
  /// An answer counts for at least this time after its end, and for at most
  /// three times as long.
  Duration Window{60'000'000};
  /// Complete answers below which there is no estimate. The next answer takes
  /// longer than the slowest of n with a probability of 1/(n+1).
  uint32_t MinAnswers = 10;
  /// The estimate is the slowest answer times this: an answer that takes as
  /// long at its server is delayed a little longer on a busy machine.
  double Margin = 1.25;
  /// Limit on the tracked pairs of route and service. Their names come from the
  /// operator's configuration, which may have been replaced many times.
  size_t MaxKeys = 4000;
  bool operator==(const AnswerTimeSettings &) const = default;
};

/// Requests of one route that one service answers.
struct AnswerKey {
  std::string Route;
  std::string Service;
  auto operator<=>(const AnswerKey &) const = default;
};

/// How an attempt ended, as evidence for the duration of answers.
enum class AnswerEnd : uint8_t {
  Complete, ///< With a complete, successful answer.
  /// It began to run, but its answer is not complete: it would have taken at
  /// least as long.
  Incomplete,
  NotRun, ///< Says nothing: it was not run, or failed with an error.
};

/// Thread-safe.
class AnswerTimes {
public:
  explicit AnswerTimes(AnswerTimeSettings settings) : Settings(settings) {}

  /// An attempt was sent to a server.
  void onSent(const AnswerKey &key, TimePoint now);
  /// The attempt that was sent at `sentAt` has ended. `outputTokens` is the
  /// limit on the length of its answer; 0: none was given.
  void onEnded(const AnswerKey &key, AnswerEnd end, uint32_t outputTokens,
               TimePoint sentAt, TimePoint now);
  /// How long the answer to a request with this limit on its length may take;
  /// nullopt if too little is known. Attempts that are still running count with
  /// their age.
  std::optional<Duration> estimate(const AnswerKey &key, uint32_t outputTokens,
                                   TimePoint now) const;
  /// Number of tracked pairs of route and service.
  size_t size() const;

private:
  struct Window {
    Duration Slowest{0};
    uint32_t LargestOutput = 0; ///< Tokens, of complete answers.
    uint32_t Answers = 0;       ///< Complete ones.
  };
  struct Entry {
    TimePoint CurrentSince;
    Window Current;
    Window Previous;
    std::multiset<TimePoint> Running; ///< When running attempts were sent.
  };

  /// Starts a new window if the current one is over.
  void rotate(Entry &entry, TimePoint now) const;
  /// Both windows as one, without those that are over.
  Window recent(const Entry &entry, TimePoint now) const;
  bool isUnused(const Entry &entry, TimePoint now) const;

  AnswerTimeSettings Settings;
  mutable std::mutex Lock;
  std::map<AnswerKey, Entry> Entries;
};

} // namespace daisytack::balancing
