/// The peers of one process and their random selection for gossip.
#pragma once

#include "daisytack/objects.h"

#include <map>
#include <string>
#include <vector>

namespace daisytack::control {

/// Immutable table of peers. Most messages stay within the failure domain or
/// the region; the rest are enough to spread updates to all processes in a few
/// rounds.
class PeerTable {
public:
  PeerTable() = default;
  /// Uses the seeds when members contain no other process.
  PeerTable(const std::map<std::string, Member> &members, const Member &self,
            const std::vector<Endpoint> &seeds);

  size_t size() const;
  /// Returns up to count distinct random peers.
  std::vector<Endpoint> choose(size_t count, const RandomSource &random) const;

private:
  const std::vector<Endpoint> &chooseGroup(const RandomSource &random) const;

  std::vector<Endpoint> SameDomain;
  std::vector<Endpoint> SameRegion; ///< In other failure domains.
  std::vector<Endpoint> OtherRegions;
};

} // namespace daisytack::control
