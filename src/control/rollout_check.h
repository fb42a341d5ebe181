/// Counts the live members that have a configuration revision in force.
///
/// Probes every member of a small fleet or a random sample of a large one.
/// Members that do not answer or have an older revision are probed again until
/// the deadline.
#pragma once

#include "control/peer_messages.h"
#include "daisytack/objects.h"

#include <map>
#include <string>
#include <vector>

namespace daisytack::control {

/// Rollout state of one configuration revision.
struct RolloutReport {
  size_t Members = 0;               ///< Live members known to this process.
  size_t Sampled = 0;               ///< Members sampled, with this process.
  size_t Updated = 0;               ///< Sampled members that have the revision.
  std::vector<std::string> Missing; ///< Names of up to MaxMissing sampled
                                    ///< members without the revision or that
                                    ///< do not answer.
  bool operator==(const RolloutReport &) const = default;
};

/// Probes members for one revision and collects their answers. Not thread-safe;
/// its owner serialises access.
class RolloutCheck {
public:
  static constexpr size_t MaxSampled = 256;
  static constexpr size_t MaxMissing = 8;

  /// A message to one member.
  struct Probe {
    Endpoint To;
    RevisionProbe Message;
  };

  RolloutCheck(const std::map<std::string, Member> &members,
               const std::string &self, uint64_t revision, TimePoint deadline,
               const RandomSource &random);

  /// Returns the probes to send now: at each interval, one to every sampled
  /// member that has not confirmed the revision.
  std::vector<Probe> onTick(TimePoint now);
  void onAnswer(const RevisionAnswer &answer);
  bool isOver(TimePoint now) const;
  /// ownRevision is the one in force in this process.
  RolloutReport report(uint64_t ownRevision) const;

private:
  struct Target {
    std::string Name;
    Endpoint Peer;
    bool IsUpdated = false;
  };

  uint64_t Revision;
  TimePoint Deadline;
  TimePoint NextProbe;
  size_t Members = 0;
  std::map<uint64_t, Target> Targets; ///< Keyed by nonce.
};

} // namespace daisytack::control
