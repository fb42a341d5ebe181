/// Fair shares of organisations, alone and under loads that exceed the capacity
/// of a service.
#include "admission/organisation_shares.h"

#include "direct/rendezvous.h"

#include <gtest/gtest.h>

#include <limits>
#include <map>
#include <memory>
#include <numeric>
#include <random>

namespace daisytack::admission {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{Duration(1'000'000'000)};

TEST(MaxMinShare, CutsOnlyTheHighestRates) {
  EXPECT_EQ(maxMinShare({10, 10, 40}, 40), 20);
  EXPECT_EQ(maxMinShare({10, 40, 40}, 40), 15);
  EXPECT_EQ(maxMinShare({30, 30}, 20), 10);
  EXPECT_EQ(maxMinShare({30, 30}, 0), 0);
  EXPECT_EQ(maxMinShare({10, 20}, 30), std::numeric_limits<double>::infinity());
  EXPECT_EQ(maxMinShare({}, 0), std::numeric_limits<double>::infinity());
}

TEST(OrganisationShares, LimitsNobodyWithoutAShortage) {
  OrganisationShares shares({});
  for (int i = 0; i < 100; ++i)
    shares.onDecision("engines", "large", 1000, AdmissionOutcome::Admitted,
                      Start);
  shares.onDecision("engines", "small", 1000, AdmissionOutcome::Admitted,
                    Start);
  EXPECT_EQ(shares.factor("engines", "large", Start), 1);
  EXPECT_EQ(shares.servicesInShortage(Start).size(), 0U);
  EXPECT_TRUE(shares.takeReports("entry", 1, Start).empty());
}

TEST(OrganisationShares, LimitsOnlyTheServiceInShortage) {
  OrganisationShares shares({});
  for (int i = 0; i < 100; ++i)
    for (const char *service : {"engines", "others"})
      shares.onDecision(service, "large", 1000,
                        i % 2 == 0 ? AdmissionOutcome::Admitted
                                   : AdmissionOutcome::Refused,
                        Start);
  for (int i = 0; i < 10; ++i)
    shares.onDecision("engines", "small", 1000, AdmissionOutcome::Admitted,
                      Start);
  EXPECT_DOUBLE_EQ(shares.factor("engines", "large", Start), 0.75); // 1.5 / 2.
  EXPECT_EQ(shares.factor("engines", "small", Start), 1);
  EXPECT_EQ(shares.factor("idle", "large", Start), 1);
  EXPECT_EQ(shares.factor("engines", "large", Start + 1s), 1);
}

/// Guards against entries that keep one another in a shortage by reporting it.
TEST(OrganisationShares, DoesNotProlongAShortageByReports) {
  OrganisationShares refusing({});
  OrganisationShares other({});
  other.onDecision("engines", "large", 1000, AdmissionOutcome::Admitted, Start);
  refusing.onDecision("engines", "large", 1000, AdmissionOutcome::Refused,
                      Start);
  for (TimePoint now = Start; now < Start + 10s; now += 100ms) {
    for (const OrganisationUse &it : refusing.takeReports("a", 1, now))
      other.onPeerReport(it, now);
    for (const OrganisationUse &it : other.takeReports("b", 1, now))
      refusing.onPeerReport(it, now);
  }
  EXPECT_EQ(refusing.servicesInShortage(Start + 10s).size(), 0U);
  EXPECT_EQ(other.servicesInShortage(Start + 10s).size(), 0U);
}

TEST(OrganisationShares, ReportsTheLargestAndSumsUpTheRest) {
  OrganisationShareSettings settings;
  settings.MaxReported = 2;
  OrganisationShares shares(settings);
  shares.onDecision("engines", "a", 1000, AdmissionOutcome::Refused, Start);
  shares.onDecision("engines", "b", 3000, AdmissionOutcome::Admitted, Start);
  shares.onDecision("engines", "c", 2000, AdmissionOutcome::Admitted, Start);
  auto reports = shares.takeReports("entry", 1, Start);
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].Rates.size(), 2U);
  EXPECT_EQ(reports[0].Rates[0].Organisation,
            static_cast<uint32_t>(direct::stableHash("b")));
  EXPECT_EQ(reports[0].OtherPerSecond, 500);
  EXPECT_EQ(reports[0].AdmittedPerSecond, 2500);
  EXPECT_TRUE(reports[0].HasRefused);
  EXPECT_TRUE(shares.takeReports("entry", 1, Start + 499ms).empty());
  EXPECT_FALSE(shares.takeReports("entry", 1, Start + 500ms).empty());
}

/// Guards against a factor that lowers the share that it follows from: what it
/// withholds counts as capacity, and does not prolong the shortage.
TEST(OrganisationShares, DoesNotCountWithheldRequestsAsAShortage) {
  OrganisationShares shares({});
  for (int i = 0; i < 100; ++i)
    shares.onDecision("engines", "large", 1000, AdmissionOutcome::Withheld,
                      Start);
  EXPECT_EQ(shares.servicesInShortage(Start).size(), 0U);
  shares.onDecision("engines", "large", 1000, AdmissionOutcome::Refused, Start);
  EXPECT_EQ(shares.factor("engines", "large", Start), 1); // 1% is refused.
}

/// Guards against a fair share of nothing where more organisations request than
/// a report holds.
TEST(OrganisationShares, ServesOrganisationsThatReportsLeaveOut) {
  OrganisationShares sender({});
  OrganisationShares receiver({});
  for (int i = 0; i < 1000; ++i)
    sender.onDecision("engines", "organisation" + std::to_string(i), 1000,
                      i % 2 == 0 ? AdmissionOutcome::Admitted
                                 : AdmissionOutcome::Refused,
                      Start);
  receiver.onDecision("engines", "small", 100, AdmissionOutcome::Admitted,
                      Start);
  for (const OrganisationUse &it : sender.takeReports("sender", 1, Start))
    receiver.onPeerReport(it, Start);
  EXPECT_EQ(receiver.servicesInShortage(Start).size(), 1U);
  EXPECT_EQ(receiver.factor("engines", "small", Start), 1);
}

TEST(OrganisationShares, BoundsTheOrganisationsThatItTracks) {
  OrganisationShareSettings settings;
  settings.MaxTracked = 3;
  OrganisationShares shares(settings);
  for (const char *it : {"a", "b", "c", "d"})
    shares.onDecision("engines", it, 1000, AdmissionOutcome::Refused, Start);
  EXPECT_EQ(shares.takeReports("entry", 1, Start)[0].Rates.size(), 3U);
  shares.forgetIdle(Start + 10s);
  shares.onDecision("engines", "d", 1000, AdmissionOutcome::Refused,
                    Start + 11s);
  EXPECT_EQ(shares.takeReports("entry", 1, Start + 11s)[0].Rates.size(), 1U);
}

/// Callers of several organisations at several entries before a service with
/// one queue. Each entry admits a request while the queue is within the limit.
class ContendedService {
public:
  ContendedService(size_t entries, double lostReports)
      : LostReports(lostReports) {
    for (size_t i = 0; i < entries; ++i)
      Entries.push_back(
          std::make_unique<OrganisationShares>(OrganisationShareSettings{}));
  }

  struct Result {
    size_t Requests = 0;
    size_t Refused = 0;
    double refusedShare() const {
      return static_cast<double>(Refused) / static_cast<double>(Requests);
    }
  };

  /// Sends requests at these rates a second, by organisation, for a time.
  void run(const std::map<std::string, double> &rates, Duration time) {
    std::exponential_distribution<double> gap(std::accumulate(
        rates.begin(), rates.end(), 0.0,
        [](double sum, const auto &it) { return sum + it.second; }));
    std::vector<double> weights;
    for (const auto &[name, rate] : rates)
      weights.push_back(rate);
    std::discrete_distribution<size_t> pick(weights.begin(), weights.end());
    TimePoint end = Now + time;
    while (Now < end) {
      advance(Duration(static_cast<int64_t>(gap(Random) * 1e6)));
      request(std::next(rates.begin(), static_cast<long>(pick(Random)))->first);
    }
  }

  std::map<std::string, Result> Results;
  double IdleMs = 0; ///< Time in which the queue was empty.
  double LowestFactor = 1;

private:
  static constexpr uint64_t Tokens = 10'000;
  static constexpr double TokensPerMs = 1000; ///< 100 requests a second.
  static constexpr double QueueLimitMs = 300;

  void advance(Duration time) {
    Now += time;
    double ms = static_cast<double>(time.count()) / 1000;
    IdleMs += std::max(0.0, ms - QueueMs);
    QueueMs = std::max(0.0, QueueMs - ms);
    while (NextReport <= Now) {
      NextReport += 100ms;
      for (size_t i = 0; i < Entries.size(); ++i)
        for (const OrganisationUse &it :
             Entries[i]->takeReports(std::to_string(i), 1, Now))
          for (size_t j = 0; j < Entries.size(); ++j)
            if (i != j && !std::bernoulli_distribution(LostReports)(Random))
              Entries[j]->onPeerReport(it, Now);
    }
  }

  void request(const std::string &organisation) {
    OrganisationShares &entry = *Entries[Random() % Entries.size()];
    double factor = entry.factor("engines", organisation, Now);
    bool isAdmitted = QueueMs <= QueueLimitMs * factor;
    AdmissionOutcome outcome = AdmissionOutcome::Admitted;
    if (!isAdmitted)
      outcome = QueueMs <= QueueLimitMs ? AdmissionOutcome::Withheld
                                        : AdmissionOutcome::Refused;
    entry.onDecision("engines", organisation, Tokens, outcome, Now);
    LowestFactor = std::min(LowestFactor, factor);
    Result &result = Results[organisation];
    ++result.Requests;
    if (isAdmitted)
      QueueMs += static_cast<double>(Tokens) / TokensPerMs;
    else
      ++result.Refused;
  }

  std::vector<std::unique_ptr<OrganisationShares>> Entries;
  double LostReports;
  std::mt19937 Random{1};
  TimePoint Now = Start;
  TimePoint NextReport = Start;
  double QueueMs = 0;
};

/// One organisation sends a third of all requests beside 23 others, and the
/// service has a quarter less capacity than they request. Guards against
/// refusing all at the same rate, so that 23 small organisations lose answers
/// to the load of one.
TEST(OrganisationShares, RefusesSmallOrganisationsLessThanTheLargeOne) {
  for (size_t entries : {1U, 4U, 20U}) {
    ContendedService service(entries, 1.0 / 3);
    std::map<std::string, double> rates{{"large", 44}};
    for (int i = 0; i < 23; ++i)
      rates["small" + std::to_string(i)] = 89.0 / 23;
    service.run(rates, 30s);
    ContendedService::Result others;
    for (const auto &[name, it] : service.Results)
      if (name != "large") {
        others.Requests += it.Requests;
        others.Refused += it.Refused;
      }
    EXPECT_LT(others.refusedShare(),
              service.Results["large"].refusedShare() / 2)
        << entries;
    EXPECT_LT(service.LowestFactor, 1);
    EXPECT_LT(service.IdleMs, 30'000 * 0.02) << entries;
  }
}

/// The large organisation requests more than the service can bear while the
/// others pause. Guards against shares that leave capacity idle.
TEST(OrganisationShares, LeavesAllCapacityToOneOrganisationAlone) {
  ContendedService service(4, 0);
  service.run({{"large", 133}, {"small", 60}}, 10s);
  EXPECT_LT(service.LowestFactor, 1);
  service.Results.clear();
  service.IdleMs = 0;
  service.run({{"large", 133}}, 20s);
  EXPECT_LT(service.IdleMs, 20'000 * 0.02);
  EXPECT_LT(service.Results["large"].refusedShare(), 0.27);
}

/// All organisations request the same. Guards against a factor that favours
/// some of them.
TEST(OrganisationShares, RefusesEqualOrganisationsAlike) {
  ContendedService service(4, 0);
  std::map<std::string, double> rates;
  for (int i = 0; i < 4; ++i)
    rates["organisation" + std::to_string(i)] = 133.0 / 4;
  service.run(rates, 30s);
  for (const auto &[name, it] : service.Results)
    EXPECT_NEAR(it.refusedShare(), 0.25, 0.05) << name;
}

} // namespace
} // namespace daisytack::admission
