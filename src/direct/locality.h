/// Where an entry stands, and which failure domains a request may reach.
#pragma once

#include "daisytack/types.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::direct {

/// Regions that a request is confined to; nothing: it is not confined.
using AllowedRegions = std::optional<std::vector<std::string>>;

/// The regions that both allow. May be empty: then no region is allowed.
AllowedRegions intersect(const AllowedRegions &a, const AllowedRegions &b);

struct Locality {
  std::string FailureDomain; ///< Of this entry.
  /// Of each failure domain, as the settings say. A failure domain that is not
  /// among them is in no region that anything can be confined to.
  std::map<std::string, std::string, std::less<>> RegionOf{};
  auto operator<=>(const Locality &) const = default;

  bool allows(const AllowedRegions &regions,
              std::string_view failureDomain) const;
};

} // namespace daisytack::direct
