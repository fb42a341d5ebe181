#include "direct/locality.h"

#include <algorithm>
#include <iterator>

namespace daisytack::direct {

AllowedRegions intersect(const AllowedRegions &a, const AllowedRegions &b) {
  if (!a || !b)
    return a ? a : b;
  std::vector<std::string> out;
  std::copy_if(a->begin(), a->end(), std::back_inserter(out),
               [&](const std::string &region) {
                 return std::find(b->begin(), b->end(), region) != b->end();
               });
  return out;
}

bool Locality::allows(const AllowedRegions &regions,
                      std::string_view failureDomain) const {
  if (!regions)
    return true;
  auto it = RegionOf.find(failureDomain);
  return it != RegionOf.end() && std::find(regions->begin(), regions->end(),
                                           it->second) != regions->end();
}

} // namespace daisytack::direct
