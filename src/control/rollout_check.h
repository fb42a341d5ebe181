/// Finds out how many live members have a configuration revision in force.
///
/// Every member of a small fleet is asked, a random sample of a large one; who
/// does not answer or is not there yet is asked again until the time is over.
#pragma once

#include "control/peer_messages.h"
#include "daisytack/objects.h"

#include <map>
#include <string>
#include <vector>

namespace daisytack::control {

/// How far a revision got.
struct RolloutReport {
  size_t Members = 0; ///< Live members known here.
  size_t Asked = 0;   ///< All of them, or a random sample of a large fleet.
  size_t InForce = 0; ///< Of those asked, have the revision in force.
  std::vector<std::string> Missing; ///< A few that haven't, or don't answer.
  bool operator==(const RolloutReport &) const = default;
};

/// Not thread-safe; its owner serialises access.
class RolloutCheck {
public:
  static constexpr size_t MaxSampled = 256;
  static constexpr size_t MaxMissing = 8;

  /// One member to be asked.
  struct Probe {
    Endpoint To;
    RevisionProbe Message;
  };

  RolloutCheck(const std::map<std::string, Member> &members,
               const std::string &self, uint64_t revision, TimePoint deadline,
               const RandomSource &random);

  /// Who is to be asked now.
  std::vector<Probe> onTick(TimePoint now);
  void onAnswer(const RevisionAnswer &answer);
  bool isOver(TimePoint now) const;
  /// Own: the revision in force in this process.
  RolloutReport report(uint64_t ownRevision) const;

private:
  struct Target {
    std::string Name;
    Endpoint Peer;
    bool InForce = false;
  };

  uint64_t Revision;
  TimePoint Deadline;
  TimePoint NextProbe;
  size_t Members = 0;
  std::map<uint64_t, Target> Targets; ///< By nonce.
};

} // namespace daisytack::control
