/// The peers of one process, and the choice of whom to tell.
#pragma once

#include "daisytack/objects.h"

#include <map>
#include <string>
#include <vector>

namespace daisytack::control {

/// Immutable. Most messages stay within the failure domain or the region, and
/// enough cross both that news reaches everything in a few rounds.
class PeerTable {
public:
  PeerTable() = default;
  /// Seeds stand in while no peer is known.
  PeerTable(const std::map<std::string, Member> &members, const Member &self,
            const std::vector<Endpoint> &seeds);

  size_t size() const;
  /// Distinct peers at random, fewer when there are fewer.
  std::vector<Endpoint> choose(size_t count, const RandomSource &random) const;

private:
  const std::vector<Endpoint> &chooseGroup(const RandomSource &random) const;

  std::vector<Endpoint> SameDomain;
  std::vector<Endpoint> SameRegion; ///< In other failure domains.
  std::vector<Endpoint> OtherRegions;
};

} // namespace daisytack::control
