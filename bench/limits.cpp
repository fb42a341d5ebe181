/// Messages that shared quotas cost and the bound on the requests that all
/// entries admit at once, for several static shares and bucket depths.
/// Simulates one of 1,300 entries with 7,900 organisations that send at their
/// usual rate. The simulation is deterministic.
#include "decide/limits.h"
#include "base/digest.h"
#include "wire/codec.h"

#include <cmath>
#include <cstdio>
#include <string>
#include <variant>
#include <vector>

namespace daisytack {

namespace {

constexpr size_t Entries = 1'300;
constexpr size_t OrganisationCount = 7'900;
constexpr double RequestsPerSecond = 138; // at one entry
constexpr double SizeExponent = 1.0; // sizes fall with the rank to this power
constexpr double LimitFactor = 2;
constexpr double RunSeconds = 600;

struct Counts {
  uint64_t Requests = 0;
  uint64_t OwnerRequests = 0;
  uint64_t Refused = 0;
};

class RequestStream {
public:
  RequestStream() {
    double sum = 0;
    for (size_t i = 1; i <= OrganisationCount; ++i)
      CumulativeShares.push_back(sum += std::pow(i, -SizeExponent));
    for (double &it : CumulativeShares)
      it /= sum;
  }
  double share(size_t organisation) const {
    return CumulativeShares[organisation] -
           (organisation ? CumulativeShares[organisation - 1] : 0);
  }
  double nextGap() { return -std::log(uniform()) / RequestsPerSecond; }
  size_t nextOrganisation() {
    auto it = std::lower_bound(CumulativeShares.begin(), CumulativeShares.end(),
                               uniform());
    return std::min<size_t>(it - CumulativeShares.begin(),
                            OrganisationCount - 1);
  }

private:
  double uniform() {
    return (static_cast<double>(mix64(++RandomCalls) >> 11U) + 1) * 0x1p-53;
  }
  std::vector<double> CumulativeShares;
  uint64_t RandomCalls = 0;
};

/// Simulates one entry. All quota requests are granted in full, since the quota
/// owner has tokens for every organisation that stays below its limit.
Counts run(const LimitSettings &settings) {
  RequestStream stream;
  std::vector<Organisation> all(OrganisationCount);
  for (size_t i = 0; i < all.size(); ++i) {
    all[i].Name = "organisation" + std::to_string(i);
    all[i].RequestsPerSecond =
        RequestsPerSecond * Entries * stream.share(i) * LimitFactor;
    all[i].Burst =
        static_cast<uint32_t>(std::ceil(all[i].RequestsPerSecond * 10));
  }
  OrganisationLimits limits(1, settings);
  Counts out;
  for (double t = stream.nextGap(); t < RunSeconds; t += stream.nextGap()) {
    const Organisation &organisation = all[stream.nextOrganisation()];
    TimePoint now(Duration(static_cast<int64_t>((1'000 + t) * 1e6)));
    LimitDecision decision = limits.admit(organisation, Entries, now);
    ++out.Requests;
    if (decision.OwnerRequest) {
      ++out.OwnerRequests;
      QuotaGrant grant;
      grant.Organisation = decision.OwnerRequest->Organisation;
      grant.Sequence = decision.OwnerRequest->Sequence;
      grant.Requests = decision.OwnerRequest->Requests;
      grant.Rate = decision.OwnerRequest->Rate;
      grant.Slots = decision.OwnerRequest->Slots;
      grant.ValidMicros = static_cast<uint64_t>(settings.GrantValidity.count());
      limits.apply(grant, now);
    }
    if (decision.Verdict == LimitVerdict::AwaitGrant)
      decision = limits.admit(organisation, Entries, now);
    if (decision.Verdict == LimitVerdict::Admitted)
      limits.releaseSlot(hashName(organisation.Name));
    else
      ++out.Refused;
  }
  return out;
}

void measure(double staticShare, double depth) {
  LimitSettings settings;
  settings.StaticShare = staticShare;
  settings.MinDepth = depth;
  Counts counts = run(settings);
  size_t bytes = wire::encode(std::variant<QuotaRequest>()).size() +
                 wire::encode(std::variant<QuotaGrant>()).size();
  Organisation organisation;
  organisation.RequestsPerSecond = 46;
  organisation.Burst = 460;
  double excess = admissionBound(organisation, Entries, Duration{0}, settings);
  std::printf("| %6.2f | %5.0f | %8.2f | %8.0f | %8.3f | %10.0f |\n",
              staticShare, depth,
              static_cast<double>(counts.OwnerRequests) / RunSeconds,
              static_cast<double>(counts.OwnerRequests * bytes) / RunSeconds,
              100.0 * static_cast<double>(counts.Refused) /
                  static_cast<double>(counts.Requests),
              excess);
}

} // namespace

} // namespace daisytack

int main() {
  std::printf("| static | depth | asks/s   | bytes/s  | refused%% | at once    "
              "|\n|---|---|---|---|---|---|\n");
  for (double share : {0.5, 0.75, 0.9})
    for (double depth : {1.0, 2.0, 3.0, 4.0, 6.0})
      daisytack::measure(share, depth);
  return 0;
}
