/// Signals by which processes announce their own state before the instance list
/// shows it: that they are leaving, or that a new process has the name.
///
/// Signals of one name are totally ordered, so that all processes converge on
/// the same one even if signals arrive reordered, duplicated or late.
#pragma once

#include "daisytack/objects.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::control {

/// State that a process announces. Signals of one name are ordered by the
/// fields in the order of declaration; the greatest wins.
struct SignalContent {
  uint64_t Generation = 0; ///< Wall time of the start in microseconds, or a
                           ///< higher value if an earlier process of the name
                           ///< had a higher one.
  Incarnation Process;
  MemberState State = MemberState::Live;
  uint32_t Renewal = 0; ///< Incremented on each repeat before expiry.
  auto operator<=>(const SignalContent &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Generation, Process, State, Renewal);
  }
};

/// The state that the process of an instance announces.
struct Signal {
  std::string Instance;
  SignalContent Content;
  auto operator<=>(const Signal &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Instance, Content);
  }
};

/// A signal with the time since its process sent it. With the age, a peer that
/// dropped an expired signal does not store it for a full lifetime again.
struct AgedSignal {
  Signal Message;
  uint32_t AgeMillis = 0;
  bool operator==(const AgedSignal &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Message, AgeMillis);
  }
};

/// The latest signal of each instance, and leaving states that were observed
/// from refused requests. Not thread-safe; its owner serialises access.
class SignalTable {
public:
  /// Signals and observations are dropped after their lifetime; by then the
  /// instance list shows the same state.
  SignalTable(Duration signalLifetime, Duration observationLifetime);

  /// Stores the signal and returns true if it is newer than the stored one.
  /// Older, repeated and expired signals are ignored.
  bool merge(const AgedSignal &signal, TimePoint now);
  /// Records that the instance refused a request because it is leaving.
  void observeLeaving(const std::string &instance, TimePoint now);
  /// Removes expired signals and observations and returns the names of their
  /// instances, whose state may have changed.
  std::vector<std::string> expire(TimePoint now);

  /// The higher state of the signal and the observation; Live without both.
  MemberState stateOf(const std::string &instance) const;
  std::vector<AgedSignal> signals(TimePoint now) const;
  /// Hashes of the signals, grouped into buckets by the hash of the name. Two
  /// processes compare them to find differences without sending all signals.
  static constexpr size_t BucketCount = 64;
  std::vector<uint32_t> buckets() const;
  /// The signals in buckets that differ from those of the other process, newest
  /// first; none if the number of buckets differs.
  std::vector<AgedSignal> differing(const std::vector<uint32_t> &theirs,
                                    TimePoint now) const;
  /// The latest signal of the instance.
  std::optional<SignalContent> find(const std::string &instance) const;
  /// Equal on two processes that know the same signals.
  uint64_t hash() const { return Hash; }

private:
  struct StoredSignal {
    SignalContent Content;
    TimePoint Until;
  };

  Duration SignalLifetime;
  Duration ObservationLifetime;
  std::map<std::string, StoredSignal> Signals;
  /// Instances observed as leaving, with the expiry of the observation.
  std::map<std::string, TimePoint> Observed;
  uint64_t Hash = 0;
};

} // namespace daisytack::control
