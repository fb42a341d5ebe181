#include "control/readers.h"

#include "base/digest.h"

#include <algorithm>
#include <utility>

namespace daisytack::control {

namespace {

constexpr Duration FallbackDelay{10'000'000};
constexpr Duration FallbackDelayPerRank{1'000'000};
constexpr Duration FallbackDuration{30'000'000};
/// Highest rank that lengthens the delay. Processes that are not live members
/// in the member table wait as long as this rank.
constexpr size_t MaxRank = 60;

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

bool ReaderElection::shouldRead(TimePoint lastTry, TimePoint now) {
  if (Rank && *Rank < ReadersPerDomain)
    return true;
  size_t rank = std::min(Rank.value_or(MaxRank), MaxRank);
  Duration timeout =
      FallbackDelay + FallbackDelayPerRank * static_cast<int64_t>(rank);
  if (now - lastTry > timeout)
    FallbackUntil = now + FallbackDuration;
  return now < FallbackUntil;
}

} // namespace daisytack::control
