#include "control/readers.h"

#include "base/digest.h"

#include <algorithm>
#include <utility>

namespace daisytack::control {

namespace {

constexpr Duration SilenceBeforeStandIn{10'000'000};
constexpr Duration SilencePerRank{1'000'000};
constexpr Duration StandInTime{30'000'000};
/// Processes that the list does not show wait like this one.
constexpr size_t LastRank = 60;

std::pair<uint64_t, std::string_view> orderOf(const std::string &name) {
  return {hashName(name), name};
}

} // namespace

std::optional<size_t> readerRank(const std::map<std::string, Member> &members,
                                 const Member &self) {
  auto own = members.find(self.Name);
  if (own == members.end() || own->second.State != MemberState::Live)
    return std::nullopt;
  auto before = [&](const auto &row) {
    const Member &member = row.second;
    return member.FailureDomain == self.FailureDomain &&
           member.State == MemberState::Live &&
           orderOf(member.Name) < orderOf(self.Name);
  };
  return static_cast<size_t>(
      std::count_if(members.begin(), members.end(), before));
}

bool ReaderChoice::shouldRead(TimePoint lastTry, TimePoint now) {
  if (Rank && *Rank < ReadersPerDomain)
    return true;
  size_t place = std::min(Rank.value_or(LastRank), LastRank);
  Duration patience =
      SilenceBeforeStandIn + SilencePerRank * static_cast<int64_t>(place);
  if (now - lastTry > patience)
    StandInUntil = now + StandInTime;
  return now < StandInUntil;
}

} // namespace daisytack::control
