#include "direct/store_uptime.h"

#include "direct/revision.h"

#include <algorithm>
#include <utility>

namespace daisytack::direct {

bool StoreUptime::onAnswer(TimePoint at, uint64_t revision) {
  return note({at}, revision);
}

bool StoreUptime::note(UncertainTime at, uint64_t revision) {
  if (Latest && at.Earliest <= Latest->Earliest)
    return false;
  std::optional<UncertainTime> before = std::exchange(Latest, at);
  // A delayed message must not hide an outage.
  if (before && at.latest() <= before->Earliest + MinOutage)
    return false;
  Period = AnswerPeriod{at.latest(), revision};
  OutageSince = before ? std::optional(before->Earliest) : std::nullopt;
  return true;
}

bool StoreUptime::onPeerAnswers(const PeerAnswers &peer) {
  bool isNew = note(peer.Latest, peer.LatestRevision);
  bool isAdopted = adoptPeriod(peer);
  return isNew || isAdopted;
}

bool StoreUptime::adoptPeriod(const PeerAnswers &peer) {
  // If an outage fits between the other entry's latest answer and this period,
  // the other entry may not have noticed it yet.
  bool isSamePeriod = Period && peer.Period.Since < Period->Since &&
                      Period->Since <= peer.Latest.Earliest + MinOutage &&
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
  if (!Latest || Latest->Earliest < at)
    Latest = UncertainTime{at};
  Period = AnswerPeriod{at, revision};
  // Other entries may have noticed the restore earlier, but none can show that
  // there was none.
  OutageSince = TimePoint::min();
}

std::optional<AnswerPeriod> StoreUptime::periodAfterOutage() const {
  return OutageSince ? Period : std::nullopt;
}

} // namespace daisytack::direct
