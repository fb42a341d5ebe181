#include "direct/store_uptime.h"

#include "direct/revision.h"

#include <algorithm>
#include <utility>

namespace daisytack::direct {

bool StoreUptime::onAnswer(TimePoint at, uint64_t revision) {
  if (Latest && at <= *Latest)
    return false;
  std::optional<TimePoint> before = std::exchange(Latest, at);
  if (before && at <= *before + MinOutage)
    return false;
  Period = AnswerPeriod{at, revision};
  OutageSince = before;
  return true;
}

bool StoreUptime::onPeerAnswers(const PeerAnswers &peer) {
  bool isNew = onAnswer(peer.Latest, peer.LatestRevision);
  bool isAdopted = adoptPeriod(peer);
  return isNew || isAdopted;
}

bool StoreUptime::adoptPeriod(const PeerAnswers &peer) {
  // If an outage fits between the other entry's latest answer and this period,
  // the other entry may not have noticed it yet.
  bool isSamePeriod = Period && peer.Period.Since < Period->Since &&
                      Period->Since <= peer.Latest + MinOutage &&
                      eraOf(peer.Period.Revision) == eraOf(Period->Revision);
  if (!isSamePeriod)
    return false;
  Period = AnswerPeriod{peer.Period.Since,
                        std::min(peer.Period.Revision, Period->Revision)};
  // The store has answered the other entry all the time.
  if (OutageSince && Period->Since <= *OutageSince)
    OutageSince.reset();
  return true;
}

void StoreUptime::onRestored(TimePoint at, uint64_t revision) {
  Latest = std::max(Latest.value_or(at), at);
  Period = AnswerPeriod{at, revision};
  // Other entries may have noticed the restore earlier, but none can show that
  // there was none.
  OutageSince = TimePoint::min();
}

std::optional<AnswerPeriod> StoreUptime::periodAfterOutage() const {
  return OutageSince ? Period : std::nullopt;
}

} // namespace daisytack::direct
