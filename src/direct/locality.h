/// The failure domain of an entry, and the failure domains that a request may
/// use.
#pragma once

#include "daisytack/types.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::direct {

/// Regions that a request is confined to; nullopt: the request is not confined.
using AllowedRegions = std::optional<std::vector<std::string>>;

/// Regions that are in both sets. An empty result allows no region.
AllowedRegions intersect(const AllowedRegions &a, const AllowedRegions &b);

struct Locality {
  std::string FailureDomain; ///< Failure domain of this entry.
  /// Region of each failure domain, from the settings. A request that is
  /// confined to regions may not use a failure domain that is missing here.
  std::map<std::string, std::string, std::less<>> RegionOf{};
  auto operator<=>(const Locality &) const = default;

  bool allows(const AllowedRegions &regions,
              std::string_view failureDomain) const;
};

} // namespace daisytack::direct
