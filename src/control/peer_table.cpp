#include "control/peer_table.h"

#include <algorithm>

namespace daisytack::control {

namespace {

/// Percentage of messages sent within the failure domain, and to other failure
/// domains of the region.
constexpr uint64_t DomainPercent = 45;
constexpr uint64_t RegionPercent = 30;

} // namespace

PeerTable::PeerTable(const std::map<std::string, Member> &members,
                     const Member &self, const std::vector<Endpoint> &seeds) {
  for (const auto &[name, member] : members) {
    if (name == self.Name || !member.Peer.isValid())
      continue;
    if (member.FailureDomain == self.FailureDomain)
      SameDomain.push_back(member.Peer);
    else if (member.Region == self.Region)
      SameRegion.push_back(member.Peer);
    else
      OtherRegions.push_back(member.Peer);
  }
  if (size() == 0)
    OtherRegions = seeds;
}

size_t PeerTable::size() const {
  return SameDomain.size() + SameRegion.size() + OtherRegions.size();
}

std::vector<Endpoint> PeerTable::choose(size_t count,
                                        const RandomSource &random) const {
  count = std::min(count, size());
  std::vector<Endpoint> out;
  // Duplicate draws are rare for small counts. The maximum ends the loop when a
  // group has fewer peers than its share of the draws.
  size_t draws = count * 8;
  for (size_t i = 0; i < draws && out.size() < count; ++i) {
    const std::vector<Endpoint> &group = chooseGroup(random);
    const Endpoint &peer = group[random() % group.size()];
    if (std::find(out.begin(), out.end(), peer) == out.end())
      out.push_back(peer);
  }
  return out;
}

const std::vector<Endpoint> &
PeerTable::chooseGroup(const RandomSource &random) const {
  uint64_t draw = random() % 100;
  if (draw < DomainPercent && !SameDomain.empty())
    return SameDomain;
  if (draw < DomainPercent + RegionPercent && !SameRegion.empty())
    return SameRegion;
  if (!OtherRegions.empty())
    return OtherRegions;
  return SameRegion.empty() ? SameDomain : SameRegion;
}

} // namespace daisytack::control
