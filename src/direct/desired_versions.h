/// The versions of models' weights that the operator has named, and for how
/// long each has been desired.
#pragma once

#include "daisytack/types.h"
#include "direct/records.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::direct {

/// A desired version of a model's weights.
struct DesiredVersion {
  uint64_t Version = 0;
  /// When it became desired, as far as this process knows.
  TimePoint Since;
  /// Learned before the end of the first read, so that Since is an assumption.
  bool IsSinceAssumed = false;
  auto operator<=>(const DesiredVersion &) const = default;
};

/// By model: the desired versions in increasing order, the newest last. Each
/// keeps the time at which it became known.
using DesiredVersionMap =
    std::map<std::string, std::vector<DesiredVersion>, std::less<>>;

/// By model: the oldest version of its weights that a usable server has.
using OldestVersionMap = std::map<std::string, uint64_t, std::less<>>;

/// Maximum number of ages that an entry tells the others. They fit into one
/// datagram if names of models are shorter than 70 bytes.
constexpr size_t MaxVersionAges = 16;
/// Larger ages are not credible.
constexpr Duration MaxVersionAge = std::chrono::hours(24 * 365);

/// The newest desired version of the model; 0 if none is known.
uint64_t newestVersion(const DesiredVersionMap &versions,
                       std::string_view model);
/// When the first version newer than this one became desired; empty if this
/// version is up to date.
std::optional<TimePoint> outdatedSince(const DesiredVersionMap &versions,
                                       std::string_view model,
                                       uint64_t version);
/// Ages of the desired versions that servers have yet to load, except for ages
/// that are only assumed; MaxVersionAges at most.
std::vector<DesiredVersionAge> rolloutAges(const DesiredVersionMap &versions,
                                           const OldestVersionMap &oldest,
                                           TimePoint now);

/// Whether the version is the newest desired one, or may have been desired
/// before it.
bool isNamed(const DesiredVersionMap &versions, const ModelVersion &desired);

/// The age of the version in microseconds when the servers' clock shows
/// `clockMs`; empty if the recorded time is not credible: in the future, or
/// more than MaxVersionAge ago.
std::optional<int64_t> ageOf(const DesiredVersionTime &recorded,
                             int64_t clockMs);
/// The times to record, MaxVersionAges at most; empty if the record already has
/// a credible time of every version with a known age. A time that was recorded
/// is kept if it is the earlier one.
std::vector<DesiredVersionTime>
timesToRecord(const std::vector<DesiredVersionAge> &ages,
              const std::vector<DesiredVersionTime> &recorded, int64_t clockMs);

/// Notes desired versions and corrects their ages. Not thread-safe.
class DesiredVersions {
public:
  /// Notes the version unless the same or a newer one is known.
  void note(const ModelVersion &desired, TimePoint since, bool isSinceAssumed);
  /// Replaces ages that are only assumed, and those that are smaller by more
  /// than the tolerance. Adds versions that were desired before the newest one,
  /// which a process that has just started can't read any more. Returns the
  /// ages that were taken over.
  std::vector<DesiredVersionAge>
  correct(const std::vector<DesiredVersionAge> &ages, Duration tolerance,
          TimePoint now);

  const DesiredVersionMap &byModel() const { return ByModel; }

private:
  /// The known desired version; null if it is not known.
  DesiredVersion *find(const ModelVersion &desired);
  /// Adds a version that was desired before the newest one. Returns false if it
  /// is older than all versions that can be remembered; their oldest one then
  /// takes over its age.
  bool addEarlier(const ModelVersion &desired, TimePoint since);
  /// Drops the oldest version beyond the number that is remembered.
  static void dropOldest(std::vector<DesiredVersion> &known);

  DesiredVersionMap ByModel;
};

} // namespace daisytack::direct
