#include "control/signal_table.h"

#include "base/digest.h"

#include <algorithm>

namespace daisytack::control {

namespace {

/// Hash of one signal. Hashes are combined by exclusive or, so that the result
/// does not depend on the order.
uint64_t hashOf(const std::string &instance, const SignalContent &content) {
  uint64_t state = static_cast<uint64_t>(content.State) + 1;
  uint64_t h = hashName(instance);
  h = mix64(h ^ content.Generation);
  h = mix64(h ^ content.Process.Hi ^ mix64(content.Process.Lo));
  return mix64(h ^ state ^ (static_cast<uint64_t>(content.Renewal) << 8U));
}

size_t bucketOf(const std::string &instance) {
  return hashName(instance) % SignalTable::BucketCount;
}

} // namespace

SignalTable::SignalTable(Duration signalLifetime, Duration observationLifetime)
    : SignalLifetime(signalLifetime), ObservationLifetime(observationLifetime) {
}

bool SignalTable::merge(const AgedSignal &signal, TimePoint now) {
  const auto &[instance, content] = signal.Message;
  TimePoint until =
      now + SignalLifetime - std::chrono::milliseconds(signal.AgeMillis);
  if (until <= now)
    return false;
  auto [it, added] =
      Signals.try_emplace(instance, StoredSignal{content, until});
  if (!added) {
    if (content <= it->second.Content)
      return false;
    Hash ^= hashOf(instance, it->second.Content);
    it->second = {content, until};
  }
  Hash ^= hashOf(instance, content);
  // A live signal of a newer process overrides an observation of the old one.
  if (content.State == MemberState::Live)
    Observed.erase(instance);
  return true;
}

void SignalTable::observeLeaving(const std::string &instance, TimePoint now) {
  Observed[instance] = now + ObservationLifetime;
}

std::vector<std::string> SignalTable::expire(TimePoint now) {
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

MemberState SignalTable::stateOf(const std::string &instance) const {
  MemberState out =
      Observed.contains(instance) ? MemberState::Leaving : MemberState::Live;
  auto it = Signals.find(instance);
  return it != Signals.end() ? std::max(out, it->second.Content.State) : out;
}

std::vector<AgedSignal> SignalTable::signals(TimePoint now) const {
  std::vector<AgedSignal> out;
  out.reserve(Signals.size());
  for (const auto &[instance, stored] : Signals) {
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now + SignalLifetime - stored.Until);
    out.push_back({{instance, stored.Content},
                   static_cast<uint32_t>(std::max<int64_t>(age.count(), 0))});
  }
  return out;
}

std::vector<uint32_t> SignalTable::buckets() const {
  std::vector<uint32_t> out(BucketCount, 0);
  for (const auto &[instance, stored] : Signals)
    out[bucketOf(instance)] ^=
        static_cast<uint32_t>(hashOf(instance, stored.Content));
  return out;
}

std::vector<AgedSignal>
SignalTable::differing(const std::vector<uint32_t> &theirs,
                       TimePoint now) const {
  if (theirs.size() != BucketCount)
    return {};
  std::vector<uint32_t> ours = buckets();
  std::vector<AgedSignal> out = signals(now);
  std::erase_if(out, [&](const AgedSignal &signal) {
    size_t bucket = bucketOf(signal.Message.Instance);
    return ours[bucket] == theirs[bucket];
  });
  std::sort(out.begin(), out.end(),
            [](const AgedSignal &a, const AgedSignal &b) {
              return a.AgeMillis < b.AgeMillis;
            });
  return out;
}

std::optional<SignalContent>
SignalTable::find(const std::string &instance) const {
  auto it = Signals.find(instance);
  if (it == Signals.end())
    return std::nullopt;
  return it->second.Content;
}

} // namespace daisytack::control
