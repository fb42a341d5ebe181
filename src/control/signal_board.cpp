#include "control/signal_board.h"

#include "base/digest.h"

#include <algorithm>

namespace daisytack::control {

namespace {

/// Combined by exclusive or, so that it does not depend on the order.
uint64_t hashOf(const std::string &instance, const SignalContent &content) {
  uint64_t state = static_cast<uint64_t>(content.State) + 1;
  uint64_t h = hashName(instance);
  h = mix64(h ^ content.Generation);
  h = mix64(h ^ content.Process.Hi ^ mix64(content.Process.Lo));
  return mix64(h ^ state ^ (static_cast<uint64_t>(content.Renewal) << 8U));
}

size_t bucketOf(const std::string &instance) {
  return hashName(instance) % SignalBoard::BucketCount;
}

} // namespace

SignalBoard::SignalBoard(Duration signalLife, Duration observationLife)
    : SignalLife(signalLife), ObservationLife(observationLife) {}

bool SignalBoard::hear(const AgedSignal &signal, TimePoint now) {
  const auto &[instance, content] = signal.Said;
  TimePoint until =
      now + SignalLife - std::chrono::milliseconds(signal.AgeMillis);
  if (until <= now)
    return false;
  auto [it, added] = Signals.try_emplace(instance, Heard{content, until});
  if (!added) {
    if (content <= it->second.Content)
      return false;
    Hash ^= hashOf(instance, it->second.Content);
    it->second = {content, until};
  }
  Hash ^= hashOf(instance, content);
  // The word of a newer process outweighs what a request showed of the old one.
  if (content.State == MemberState::Live)
    Observed.erase(instance);
  return true;
}

void SignalBoard::observeLeaving(const std::string &instance, TimePoint now) {
  Observed[instance] = now + ObservationLife;
}

std::vector<std::string> SignalBoard::expire(TimePoint now) {
  std::vector<std::string> out;
  std::erase_if(Signals, [&](const auto &row) {
    if (row.second.Until > now)
      return false;
    Hash ^= hashOf(row.first, row.second.Content);
    out.push_back(row.first);
    return true;
  });
  std::erase_if(Observed, [&](const auto &row) {
    if (row.second > now)
      return false;
    out.push_back(row.first);
    return true;
  });
  return out;
}

MemberState SignalBoard::stateOf(const std::string &instance) const {
  MemberState out =
      Observed.contains(instance) ? MemberState::Leaving : MemberState::Live;
  auto it = Signals.find(instance);
  return it != Signals.end() ? std::max(out, it->second.Content.State) : out;
}

std::vector<AgedSignal> SignalBoard::signals(TimePoint now) const {
  std::vector<AgedSignal> out;
  out.reserve(Signals.size());
  for (const auto &[instance, heard] : Signals) {
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now + SignalLife - heard.Until);
    out.push_back({{instance, heard.Content},
                   static_cast<uint32_t>(std::max<int64_t>(age.count(), 0))});
  }
  return out;
}

std::vector<uint32_t> SignalBoard::buckets() const {
  std::vector<uint32_t> out(BucketCount, 0);
  for (const auto &[instance, heard] : Signals)
    out[bucketOf(instance)] ^=
        static_cast<uint32_t>(hashOf(instance, heard.Content));
  return out;
}

std::vector<AgedSignal>
SignalBoard::differing(const std::vector<uint32_t> &theirs,
                       TimePoint now) const {
  if (theirs.size() != BucketCount)
    return {};
  std::vector<uint32_t> ours = buckets();
  std::vector<AgedSignal> out = signals(now);
  std::erase_if(out, [&](const AgedSignal &signal) {
    size_t bucket = bucketOf(signal.Said.Instance);
    return ours[bucket] == theirs[bucket];
  });
  std::sort(out.begin(), out.end(),
            [](const AgedSignal &a, const AgedSignal &b) {
              return a.AgeMillis < b.AgeMillis;
            });
  return out;
}

std::optional<SignalContent>
SignalBoard::find(const std::string &instance) const {
  auto it = Signals.find(instance);
  if (it == Signals.end())
    return std::nullopt;
  return it->second.Content;
}

} // namespace daisytack::control
