#include "admission/organisation_shares.h"

#include "direct/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace daisytack::admission {

namespace {

uint32_t organisationKey(std::string_view organisation) {
  return static_cast<uint32_t>(direct::stableHash(organisation));
}

double secondsOf(Duration time) {
  return std::chrono::duration<double>(time).count();
}

/// Whether all rates of the report are numbers that a rate can be.
bool hasValidRates(const OrganisationUse &report) {
  auto isRate = [](float it) { return std::isfinite(it) && it >= 0; };
  return isRate(report.AdmittedPerSecond) && isRate(report.OtherPerSecond) &&
         std::all_of(report.Rates.begin(), report.Rates.end(),
                     [&](const OrganisationRate &it) {
                       return isRate(it.TokensPerSecond);
                     });
}

int64_t microsecondsOf(TimePoint at) { return at.time_since_epoch().count(); }

} // namespace

double maxMinShare(std::vector<double> rates, double capacity) {
  std::sort(rates.begin(), rates.end());
  double left = capacity;
  for (size_t i = 0; i < rates.size(); ++i) {
    double level = left / static_cast<double>(rates.size() - i);
    if (rates[i] > level)
      return std::max(level, 0.0);
    left -= rates[i];
  }
  return std::numeric_limits<double>::infinity();
}

double OrganisationShares::at(const Rate &rate, TimePoint now) const {
  if (now <= rate.At)
    return rate.PerSecond;
  return rate.PerSecond *
         std::exp(-secondsOf(now - rate.At) / secondsOf(Settings.RateTime));
}

void OrganisationShares::add(Rate &rate, double tokens, TimePoint now) const {
  rate = {at(rate, now) + tokens / secondsOf(Settings.RateTime), now};
}

void OrganisationShares::beginShortage(ServiceState &state, TimePoint now) {
  if (now >= state.ShortUntil)
    state.ShortSince = now;
  state.ShortUntil = std::max(state.ShortUntil, now + Settings.ShortageTime);
  int64_t until = microsecondsOf(state.ShortUntil);
  if (ShortUntil.load(std::memory_order_relaxed) < until)
    ShortUntil.store(until, std::memory_order_relaxed);
}

void OrganisationShares::onDecision(std::string_view service,
                                    std::string_view organisation,
                                    uint64_t tokens, AdmissionOutcome outcome,
                                    TimePoint now) {
  uint32_t key = organisationKey(organisation);
  std::lock_guard guard(Lock);
  ServiceState &state = Services[direct::stableHash(service)];
  if (state.Name.empty())
    state.Name = service;
  auto it = state.Requested.find(key);
  if (it == state.Requested.end() && Tracked < Settings.MaxTracked) {
    it = state.Requested.emplace(key, Rate{0, now}).first;
    ++Tracked;
  }
  if (it != state.Requested.end())
    add(it->second, static_cast<double>(tokens), now);
  if (outcome != AdmissionOutcome::Refused)
    return add(state.Admitted, static_cast<double>(tokens), now);
  state.RefusedUntil = now + Settings.ShortageTime;
  beginShortage(state, now);
}

void OrganisationShares::onPeerReport(const OrganisationUse &report,
                                      TimePoint now) {
  if (!hasValidRates(report))
    return;
  Duration period = std::clamp(Duration(report.Period), Duration::zero(),
                               Duration(10'000'000));
  std::lock_guard guard(Lock);
  auto known = Services.find(report.Service);
  bool isKnown =
      known != Services.end() && known->second.Reports.contains(report.Entry);
  if (!isKnown && Reported >= Settings.MaxPeerReports)
    return;
  ServiceState &state = Services[report.Service];
  PeerReport &kept = state.Reports[report.Entry];
  kept = {report, now + period * Settings.ReportTtlPeriods};
  std::string().swap(kept.Use.Entry); // It is the key.
  Reported += isKnown ? 0 : 1;
  if (report.HasRefused)
    beginShortage(state, now);
}

void OrganisationShares::dropReports(ServiceState &state, TimePoint expiredBy) {
  Reported -= std::erase_if(state.Reports, [&](const auto &it) {
    return expiredBy >= it.second.ExpiresAt;
  });
}

void OrganisationShares::updateFactors(ServiceState &state, TimePoint now) {
  state.FactorsAt = now;
  state.Factors.clear();
  std::unordered_map<uint32_t, double> requested;
  double admitted = at(state.Admitted, now);
  double others = 0;
  for (const auto &[key, rate] : state.Requested)
    requested[key] += at(rate, now);
  dropReports(state, now);
  for (const auto &[entry, report] : state.Reports) {
    admitted += report.Use.AdmittedPerSecond;
    others += report.Use.OtherPerSecond;
    for (const OrganisationRate &it : report.Use.Rates)
      requested[it.Organisation] += it.TokensPerSecond;
  }
  std::vector<double> rates;
  rates.reserve(requested.size());
  for (const auto &[key, rate] : requested)
    rates.push_back(rate);
  // Organisations that reports leave out request less than those listed. They
  // count as served like the average.
  double total = std::accumulate(rates.begin(), rates.end(), others);
  double servedOthers =
      total > 0 ? others * std::min(1.0, admitted / total) : 0;
  double share = maxMinShare(std::move(rates), admitted - servedOthers);
  for (const auto &[key, rate] : requested)
    if (rate > share * Settings.Tolerance)
      state.Factors[key] =
          std::max(Settings.MinFactor, share * Settings.Tolerance / rate);
}

double OrganisationShares::factor(std::string_view service,
                                  std::string_view organisation,
                                  TimePoint now) {
  if (!Settings.IsEnabled ||
      microsecondsOf(now) >= ShortUntil.load(std::memory_order_relaxed))
    return 1;
  std::lock_guard guard(Lock);
  auto found = Services.find(direct::stableHash(service));
  if (found == Services.end() || now >= found->second.ShortUntil)
    return 1;
  ServiceState &state = found->second;
  if (now >= state.FactorsAt + Settings.UpdateInterval)
    updateFactors(state, now);
  auto it = state.Factors.find(organisationKey(organisation));
  return it == state.Factors.end() ? 1 : it->second;
}

Duration OrganisationShares::shortageAge(std::string_view service,
                                         TimePoint now) const {
  std::lock_guard guard(Lock);
  auto it = Services.find(direct::stableHash(service));
  if (it == Services.end() || now >= it->second.ShortUntil)
    return Duration::zero();
  return now - it->second.ShortSince;
}

std::vector<std::string>
OrganisationShares::servicesInShortage(TimePoint now) const {
  std::vector<std::string> out;
  if (microsecondsOf(now) >= ShortUntil.load(std::memory_order_relaxed))
    return out;
  std::lock_guard guard(Lock);
  for (const auto &[key, state] : Services)
    if (now < state.ShortUntil && !state.Name.empty())
      out.push_back(state.Name);
  std::sort(out.begin(), out.end());
  return out;
}

std::vector<OrganisationUse>
OrganisationShares::takeReports(const std::string &entry, size_t rounds,
                                TimePoint now) {
  std::vector<OrganisationUse> out;
  if (!Settings.IsEnabled ||
      microsecondsOf(now) >= ShortUntil.load(std::memory_order_relaxed))
    return out;
  std::lock_guard guard(Lock);
  for (auto &[service, state] : Services) {
    if (now >= state.ShortUntil)
      continue;
    if (now >= state.NextReportAt) {
      state.NextReportAt = now + Settings.ReportInterval;
      state.ReportsLeft = std::max<size_t>(rounds, 1);
    }
    if (state.ReportsLeft == 0)
      continue;
    --state.ReportsLeft;
    OrganisationUse use;
    use.Entry = entry;
    use.Period = Settings.ReportInterval.count();
    use.Service = service;
    use.HasRefused = now < state.RefusedUntil;
    use.AdmittedPerSecond = static_cast<float>(at(state.Admitted, now));
    for (const auto &[key, rate] : state.Requested)
      use.Rates.push_back({key, static_cast<float>(at(rate, now))});
    std::sort(use.Rates.begin(), use.Rates.end(),
              [](const auto &a, const auto &b) {
                return a.TokensPerSecond > b.TokensPerSecond;
              });
    for (size_t i = Settings.MaxReported; i < use.Rates.size(); ++i)
      use.OtherPerSecond += use.Rates[i].TokensPerSecond;
    use.Rates.resize(std::min(use.Rates.size(), Settings.MaxReported));
    out.push_back(std::move(use));
  }
  return out;
}

void OrganisationShares::forgetIdle(TimePoint usedBefore) {
  std::lock_guard guard(Lock);
  for (auto &[service, state] : Services) {
    Tracked -= std::erase_if(state.Requested, [&](const auto &it) {
      return it.second.At < usedBefore;
    });
    dropReports(state, usedBefore);
  }
  std::erase_if(Services, [&](const auto &it) {
    return it.second.Requested.empty() && it.second.Reports.empty() &&
           it.second.ShortUntil < usedBefore;
  });
}

} // namespace daisytack::admission
