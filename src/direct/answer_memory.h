/// The times at which an entry last answered requests with a signature
/// (direct/request_signatures.h).
#pragma once

#include "daisytack/types.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <utility>

namespace daisytack::direct {

/// Keeps answers in two generations, so that each is kept for one to two times
/// the retention, less if a generation is full. Not thread-safe.
class AnswerMemory {
public:
  /// `maxAnswers` limits each generation.
  AnswerMemory(Duration retention, size_t maxAnswers)
      : Retention(retention), MaxAnswers(maxAnswers) {}

  void add(const Id128 &signature, TimePoint at, TimePoint now) {
    onTimer(now);
    TimePoint &latest = Recent[signature];
    latest = std::max(latest, at);
  }
  /// When a request with the signature was last answered; nullopt if that is
  /// not known, or too long ago.
  std::optional<TimePoint> find(const Id128 &signature) const {
    if (auto it = Recent.find(signature); it != Recent.end())
      return it->second;
    if (auto it = Older.find(signature); it != Older.end())
      return it->second;
    return std::nullopt;
  }
  void onTimer(TimePoint now) {
    bool isFull = Recent.size() >= MaxAnswers;
    if (!isFull && now < RecentSince + Retention)
      return;
    Older = std::exchange(Recent, {});
    RecentSince = now;
  }

private:
  Duration Retention;
  size_t MaxAnswers;
  std::unordered_map<Id128, TimePoint> Recent; ///< Since RecentSince.
  std::unordered_map<Id128, TimePoint> Older;  ///< In the generation before.
  TimePoint RecentSince;
};

} // namespace daisytack::direct
