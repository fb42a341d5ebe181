#include "balancing/answer_times.h"

#include <algorithm>
#include <chrono>

namespace daisytack::balancing {

namespace {

/// Longer estimates are all the same, and might not fit into a time.
constexpr Duration MaxEstimate = std::chrono::hours(24);

} // namespace

void AnswerTimes::rotate(Entry &entry, TimePoint now) const {
  Duration age = now - entry.CurrentSince;
  if (age < Settings.Window)
    return;
  entry.Previous = age < 2 * Settings.Window ? entry.Current : Window{};
  entry.Current = {};
  entry.CurrentSince = now;
}

AnswerTimes::Window AnswerTimes::recent(const Entry &entry,
                                        TimePoint now) const {
  Duration age = now - entry.CurrentSince;
  Window out;
  if (age < 2 * Settings.Window)
    out = entry.Current;
  if (age < Settings.Window) {
    out.Slowest = std::max(out.Slowest, entry.Previous.Slowest);
    out.LargestOutput =
        std::max(out.LargestOutput, entry.Previous.LargestOutput);
    out.Answers += entry.Previous.Answers;
  }
  return out;
}

bool AnswerTimes::isUnused(const Entry &entry, TimePoint now) const {
  return entry.Running.empty() &&
         now - entry.CurrentSince >= 2 * Settings.Window;
}

void AnswerTimes::onSent(const AnswerKey &key, TimePoint now) {
  std::lock_guard guard(Lock);
  auto it = Entries.find(key);
  if (it == Entries.end()) {
    if (Entries.size() >= Settings.MaxKeys)
      std::erase_if(Entries,
                    [&](const auto &row) { return isUnused(row.second, now); });
    if (Entries.size() >= Settings.MaxKeys)
      return;
    it = Entries.emplace(key, Entry{now, {}, {}, {}}).first;
  }
  it->second.Running.insert(now);
}

void AnswerTimes::onEnded(const AnswerKey &key, AnswerEnd end,
                          uint32_t outputTokens, TimePoint sentAt,
                          TimePoint now) {
  std::lock_guard guard(Lock);
  auto it = Entries.find(key);
  if (it == Entries.end())
    return;
  Entry &entry = it->second;
  auto running = entry.Running.find(sentAt);
  // The key was not tracked yet when the attempt was sent.
  if (running == entry.Running.end())
    return;
  entry.Running.erase(running);
  if (end == AnswerEnd::NotRun)
    return;
  rotate(entry, now);
  Window &window = entry.Current;
  window.Slowest = std::max(window.Slowest, now - sentAt);
  if (end == AnswerEnd::Incomplete)
    return;
  window.LargestOutput = std::max(window.LargestOutput, outputTokens);
  ++window.Answers;
}

std::optional<Duration> AnswerTimes::estimate(const AnswerKey &key,
                                              uint32_t outputTokens,
                                              TimePoint now) const {
  std::lock_guard guard(Lock);
  auto it = Entries.find(key);
  if (it == Entries.end())
    return std::nullopt;
  Window window = recent(it->second, now);
  if (window.Answers < Settings.MinAnswers)
    return std::nullopt;
  // How much longer a longer answer takes is not known without one of a known
  // length, and how long an answer without a limit takes not from others.
  if ((outputTokens > 0) != (window.LargestOutput > 0))
    return std::nullopt;
  Duration slowest = window.Slowest;
  if (!it->second.Running.empty())
    slowest = std::max(slowest, now - *it->second.Running.begin());
  double factor = Settings.Margin;
  if (outputTokens > window.LargestOutput)
    factor *= static_cast<double>(outputTokens) / window.LargestOutput;
  double out = static_cast<double>(slowest.count()) * factor;
  return Duration(static_cast<Duration::rep>(
      std::min(out, static_cast<double>(MaxEstimate.count()))));
}

size_t AnswerTimes::size() const {
  std::lock_guard guard(Lock);
  return Entries.size();
}

} // namespace daisytack::balancing
