#include "direct/desired_versions.h"

namespace daisytack::direct {

namespace {

/// Desired versions that are kept per model. More than servers can lag behind,
/// because each version is in force everywhere within seconds.
constexpr size_t VersionsRemembered = 16;

} // namespace

uint64_t newestVersion(const DesiredVersionMap &versions,
                       std::string_view model) {
  auto it = versions.find(model);
  return it == versions.end() ? 0 : it->second.back().Version;
}

std::optional<TimePoint> outdatedSince(const DesiredVersionMap &versions,
                                       std::string_view model,
                                       uint64_t version) {
  auto it = versions.find(model);
  if (it == versions.end())
    return std::nullopt;
  for (const DesiredVersion &desired : it->second)
    if (desired.Version > version)
      return desired.Since;
  return std::nullopt;
}

std::vector<DesiredVersionAge> rolloutAges(const DesiredVersionMap &versions,
                                           const OldestVersionMap &oldest,
                                           TimePoint now) {
  std::vector<DesiredVersionAge> out;
  for (const auto &[model, desired] : versions) {
    auto loaded = oldest.find(model);
    if (loaded == oldest.end())
      continue;
    for (const DesiredVersion &it : desired) {
      bool isLoadedByAll = it.Version <= loaded->second;
      if (isLoadedByAll || it.IsSinceAssumed || out.size() >= MaxVersionAges)
        continue;
      out.push_back({{model, it.Version}, (now - it.Since).count()});
    }
  }
  return out;
}

void DesiredVersions::note(const ModelVersion &desired, TimePoint since,
                           bool isSinceAssumed) {
  std::vector<DesiredVersion> &known = ByModel[desired.Model];
  if (!known.empty() && known.back().Version >= desired.Version)
    return;
  known.push_back({desired.Version, since, isSinceAssumed});
  if (known.size() > VersionsRemembered)
    known.erase(known.begin());
}

std::vector<DesiredVersionAge>
DesiredVersions::correct(const std::vector<DesiredVersionAge> &ages,
                         Duration tolerance, TimePoint now) {
  std::vector<DesiredVersionAge> out;
  for (const DesiredVersionAge &it : ages) {
    DesiredVersion *known = find(it.Desired);
    if (!known || it.Age < 0 || it.Age > MaxVersionAge.count())
      continue;
    TimePoint since = now - Duration(it.Age);
    bool isEarlier = since + tolerance < known->Since;
    if (!isEarlier && !known->IsSinceAssumed)
      continue;
    known->Since = since;
    known->IsSinceAssumed = false;
    out.push_back(it);
  }
  return out;
}

DesiredVersion *DesiredVersions::find(const ModelVersion &desired) {
  auto known = ByModel.find(desired.Model);
  if (known == ByModel.end())
    return nullptr;
  for (DesiredVersion &it : known->second)
    if (it.Version == desired.Version)
      return &it;
  return nullptr;
}

} // namespace daisytack::direct
