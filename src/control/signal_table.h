/// What processes say of themselves, ahead of the instance list: that they are
/// leaving, or that a new process has taken over the name.
///
/// Signals about one name form a total order, so that every process ends with
/// the same one whatever arrives first, twice or late.
#pragma once

#include "daisytack/objects.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::control {

/// What one process says of itself. Ordered by all but the name: a later
/// process first, then a higher state, then a renewal.
struct SignalContent {
  uint64_t Generation = 0; ///< Wall time of the start in microseconds, or more
                           ///< when an earlier process had a higher one.
  Incarnation Process;
  MemberState State = MemberState::Live;
  uint32_t Renewal = 0; ///< Raised when it is said again before it expires.
  auto operator<=>(const SignalContent &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Generation, Process, State, Renewal);
  }
};

struct Signal {
  std::string Instance;
  SignalContent Content;
  auto operator<=>(const Signal &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Instance, Content);
  }
};

/// A signal on its way, with the time since its process said it. A peer that
/// has forgotten an old signal does not learn it anew for a full life.
struct AgedSignal {
  Signal Message;
  uint32_t AgeMillis = 0;
  bool operator==(const AgedSignal &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Message, AgeMillis);
  }
};

/// Not thread-safe; its owner serialises access.
class SignalTable {
public:
  /// Signals and observations are forgotten after their life; by then the
  /// instance list shows the same.
  SignalTable(Duration signalLifetime, Duration observationLifetime);

  /// Whether the signal is news; older, repeated or expired ones change
  /// nothing.
  bool merge(const AgedSignal &signal, TimePoint now);
  /// A request was refused because the instance is leaving.
  void observeLeaving(const std::string &instance, TimePoint now);
  /// Names whose state may have changed because something expired.
  std::vector<std::string> expire(TimePoint now);

  /// Live unless a signal or an observation says more.
  MemberState stateOf(const std::string &instance) const;
  std::vector<AgedSignal> signals(TimePoint now) const;
  /// Hashes of the signals by part of the name's hash, so that two processes
  /// find out what differs without sending all.
  static constexpr size_t BucketCount = 64;
  std::vector<uint32_t> buckets() const;
  /// Those in buckets that differ from the other process's, the latest first;
  /// none when the number of buckets is another one.
  std::vector<AgedSignal> differing(const std::vector<uint32_t> &theirs,
                                    TimePoint now) const;
  /// The latest one under the name.
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
  std::map<std::string, TimePoint> Observed; ///< Leaving, until.
  uint64_t Hash = 0;
};

} // namespace daisytack::control
