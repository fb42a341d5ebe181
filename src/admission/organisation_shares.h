/// Fair shares of organisations while a service has less capacity than callers
/// request.
///
/// All entries together estimate how many prompt tokens each organisation
/// requests and how many are admitted. The fair share is the max-min share: the
/// rate at which, if every organisation gets at most that, the admitted rate is
/// used up. An organisation that requests more is accepted behind shorter
/// queues only, so that the others find room first, and it uses what they
/// leave.
/// Requests that were refused by the factor alone count as capacity, so that
/// the factor does not lower the share that it follows from.
///
/// Without a shortage the factor is 1 and costs one atomic read. Decisions need
/// no message: an entry that hears from no other judges by what it gets itself.
#pragma once

#include "daisytack/types.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace daisytack::admission {

struct OrganisationShareSettings {
  bool IsEnabled = true; ///< If not, all factors are 1.
  /// Lowest factor on the queue limit of an organisation. Lower values would
  /// leave engines idle between two of its prompts.
  double MinFactor = 0.5;
  /// An organisation is limited above this multiple of the fair share.
  /// Organisations of nearly equal rates would otherwise be served in the order
  /// of small differences, as a shorter queue limit is a lower priority.
  double Tolerance = 1.5;
  /// A service is in shortage for this time after a refusal.
  Duration ShortageTime{1'000'000};
  /// Time constant of the estimated rates. Short enough to notice a burst
  /// within its first second.
  Duration RateTime{2'000'000};
  /// How often the fair share is computed anew.
  Duration UpdateInterval{100'000};
  Duration ReportInterval{500'000};
  /// A report counts for this number of its periods, as datagrams are lost.
  int64_t ReportTtlPeriods = 5;
  /// Maximum number of organisations in one report, those that request most.
  size_t MaxReported = 32;
  /// Maximum number of organisations for which rates are kept, over all
  /// services; further ones have the factor 1.
  size_t MaxTracked = 16'384;
  /// Maximum number of other entries' reports that are kept, over all services.
  /// They come by datagrams, which anybody can send.
  size_t MaxPeerReports = 4096;
  bool operator==(const OrganisationShareSettings &) const = default;
};

/// Rate of prompt tokens that an organisation requests at one entry.
struct OrganisationRate {
  uint32_t Organisation = 0; ///< Low half of stableHash(name).
  float TokensPerSecond = 0;
  auto operator<=>(const OrganisationRate &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Organisation, TokensPerSecond);
  }
};

/// What organisations request of one service at one entry. Sent as a datagram
/// during a shortage.
struct OrganisationUse {
  std::string Entry;    ///< Name of the sender.
  int64_t Period = 0;   ///< Microseconds until the next report.
  uint64_t Service = 0; ///< stableHash(name).
  /// Whether the sender itself refused a request recently. Entries that only
  /// heard of a shortage report too, but don't prolong it.
  bool HasRefused = false;
  /// Prompt tokens of requests that servers had room for.
  float AdmittedPerSecond = 0;
  /// Prompt tokens requested by organisations that are not listed.
  float OtherPerSecond = 0;
  std::vector<OrganisationRate> Rates;
  bool operator==(const OrganisationUse &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Entry, Period, Service, HasRefused, AdmittedPerSecond, OtherPerSecond,
       Rates);
  }
};

/// Highest rate that each organisation may use, so that the sum of
/// min(rate, result) is the capacity: the max-min share. Infinite when the
/// capacity covers all rates.
double maxMinShare(std::vector<double> rates, double capacity);

/// What became of a request, as evidence of demand and capacity.
enum class AdmissionOutcome : uint8_t {
  Admitted,
  /// Refused by its organisation's factor or for reserved capacity only: the
  /// servers had room for it.
  Withheld,
  Refused, ///< No server had room.
};

/// Thread-safe.
class OrganisationShares {
public:
  explicit OrganisationShares(OrganisationShareSettings settings)
      : Settings(settings) {}

  /// A request for this many prompt tokens was admitted or refused for load.
  /// Only AdmissionOutcome::Refused begins or prolongs a shortage.
  void onDecision(std::string_view service, std::string_view organisation,
                  uint64_t tokens, AdmissionOutcome outcome, TimePoint now);
  /// Ignores a report with a rate that is negative or no finite number.
  void onPeerReport(const OrganisationUse &report, TimePoint now);

  /// Factor on the queue limit of the organisation's requests, from MinFactor
  /// to 1.
  double factor(std::string_view service, std::string_view organisation,
                TimePoint now);
  /// How long the service has been in shortage; zero if it is not.
  Duration shortageAge(std::string_view service, TimePoint now) const;
  /// Names of the services in shortage that this entry got requests for.
  std::vector<std::string> servicesInShortage(TimePoint now) const;
  /// Reports that are due, for other entries; one per service in shortage. Each
  /// is due in `rounds` calls in a row, as a message reaches only some entries.
  std::vector<OrganisationUse> takeReports(const std::string &entry,
                                           size_t rounds, TimePoint now);
  void forgetIdle(TimePoint usedBefore);

private:
  /// Exponentially decaying rate of tokens per second.
  struct Rate {
    double PerSecond = 0;
    TimePoint At;
  };
  struct PeerReport {
    OrganisationUse Use;
    TimePoint ExpiresAt;
  };
  struct ServiceState {
    std::string Name;       ///< Empty until a request for it was decided on.
    TimePoint ShortSince;   ///< Of the latest shortage.
    TimePoint ShortUntil;   ///< By refusals of all entries.
    TimePoint RefusedUntil; ///< By refusals of this entry.
    Rate Admitted;
    std::unordered_map<uint32_t, Rate> Requested; ///< By organisation.
    std::map<std::string, PeerReport> Reports;    ///< By entry.
    /// Organisations above the fair share.
    std::unordered_map<uint32_t, double> Factors;
    TimePoint FactorsAt;
    TimePoint NextReportAt;
    size_t ReportsLeft = 0; ///< Messages that the current report is due in.
  };

  void add(Rate &rate, double tokens, TimePoint now) const;
  double at(const Rate &rate, TimePoint now) const;
  void updateFactors(ServiceState &state, TimePoint now);
  /// Drops the reports that have expired by then.
  void dropReports(ServiceState &state, TimePoint expiredBy);
  void beginShortage(ServiceState &state, TimePoint now);

  const OrganisationShareSettings Settings;
  /// End of the latest shortage of any service, in microseconds of the
  /// monotonic clock.
  std::atomic<int64_t> ShortUntil{INT64_MIN / 2};
  mutable std::mutex Lock;
  std::unordered_map<uint64_t, ServiceState> Services; ///< By stableHash(name).
  size_t Tracked = 0;  ///< Organisations with rates, over all services.
  size_t Reported = 0; ///< Reports of other entries, over all services.
};

} // namespace daisytack::admission
