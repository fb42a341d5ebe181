#include "direct/desired_versions.h"

#include <algorithm>

namespace daisytack::direct {

namespace {

/// Desired versions that are kept per model. More than servers can lag behind,
/// because each version is in force everywhere within seconds.
constexpr size_t VersionsRemembered = 16;
constexpr int64_t MicrosPerMs = 1000;
/// Each process learns the servers' clock late by the delay of a store's
/// answer, so that a time just recorded may appear to be in the future.
constexpr int64_t ClockToleranceMs = 1000;

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

bool isNamed(const DesiredVersionMap &versions, const ModelVersion &desired) {
  return desired.Version > 0 &&
         desired.Version <= newestVersion(versions, desired.Model);
}

std::optional<int64_t> ageOf(const DesiredVersionTime &recorded,
                             int64_t clockMs) {
  constexpr int64_t MaxAgeMs = MaxVersionAge.count() / MicrosPerMs;
  // Compared without subtracting from the recorded time, which may be any
  // number.
  bool isCredible = recorded.SinceMs >= 0 &&
                    recorded.SinceMs <= clockMs + ClockToleranceMs &&
                    recorded.SinceMs >= clockMs - MaxAgeMs;
  if (!isCredible)
    return std::nullopt;
  return std::max<int64_t>(clockMs - recorded.SinceMs, 0) * MicrosPerMs;
}

std::vector<DesiredVersionTime>
timesToRecord(const std::vector<DesiredVersionAge> &ages,
              const std::vector<DesiredVersionTime> &recorded,
              int64_t clockMs) {
  std::vector<DesiredVersionTime> out;
  bool isMissing = false;
  for (const DesiredVersionAge &it : ages) {
    if (out.size() >= MaxVersionAges)
      break;
    int64_t since = std::max<int64_t>(clockMs - it.Age / MicrosPerMs, 0);
    auto known = std::find_if(
        recorded.begin(), recorded.end(), [&](const DesiredVersionTime &time) {
          return time.Desired == it.Desired && ageOf(time, clockMs);
        });
    if (known == recorded.end())
      isMissing = true;
    else
      since = std::min(since, known->SinceMs);
    out.push_back({it.Desired, since});
  }
  return isMissing ? out : std::vector<DesiredVersionTime>();
}

void DesiredVersions::note(const ModelVersion &desired, TimePoint since,
                           bool isSinceAssumed) {
  std::vector<DesiredVersion> &known = ByModel[desired.Model];
  if (!known.empty() && known.back().Version >= desired.Version)
    return;
  known.push_back({desired.Version, since, isSinceAssumed});
  dropOldest(known);
}

void DesiredVersions::dropOldest(std::vector<DesiredVersion> &known) {
  if (known.size() <= VersionsRemembered)
    return;
  // Weights that are older than all remembered versions keep their age.
  known[1].Since = std::min(known[0].Since, known[1].Since);
  known.erase(known.begin());
}

std::vector<DesiredVersionAge>
DesiredVersions::correct(const std::vector<DesiredVersionAge> &ages,
                         Duration tolerance, TimePoint now) {
  std::vector<DesiredVersionAge> out;
  for (const DesiredVersionAge &it : ages) {
    bool isCredible = it.Age >= 0 && it.Age <= MaxVersionAge.count();
    if (!isCredible || !isNamed(ByModel, it.Desired))
      continue;
    TimePoint since = now - Duration(it.Age);
    DesiredVersion *known = find(it.Desired);
    if (!known) {
      if (addEarlier(it.Desired, since))
        out.push_back(it);
      continue;
    }
    bool isEarlier = since + tolerance < known->Since;
    if (!isEarlier && !known->IsSinceAssumed)
      continue;
    known->Since = since;
    known->IsSinceAssumed = false;
    out.push_back(it);
  }
  return out;
}

bool DesiredVersions::addEarlier(const ModelVersion &desired, TimePoint since) {
  std::vector<DesiredVersion> &known = ByModel[desired.Model];
  DesiredVersion &oldest = known.front();
  if (known.size() >= VersionsRemembered && desired.Version < oldest.Version) {
    oldest.Since = std::min(oldest.Since, since);
    return false;
  }
  auto next =
      std::find_if(known.begin(), known.end(), [&](const DesiredVersion &it) {
        return it.Version > desired.Version;
      });
  known.insert(next, {desired.Version, since, false});
  dropOldest(known);
  return true;
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
