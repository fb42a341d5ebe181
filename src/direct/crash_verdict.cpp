#include "direct/crash_verdict.h"

#include "direct/request_signatures.h"

#include <algorithm>
#include <tuple>

namespace daisytack::direct {

namespace {

using Item = CrashSuspectMap::value_type;

using Quarantined = std::vector<const CrashSuspect *>;

/// The quarantined suspects, which are few.
Quarantined quarantinedOf(const CrashSuspectMap &suspects) {
  Quarantined out;
  for (const auto &[signature, suspect] : suspects)
    if (suspect.isQuarantined())
      out.push_back(&suspect);
  return out;
}

/// The crashes under the suspect that are under no other one of these.
std::vector<CrashedServer> unexplainedCrashes(const Quarantined &quarantined,
                                              const CrashSuspect &suspect) {
  auto isExplained = [&](uint64_t server) {
    return std::any_of(quarantined.begin(), quarantined.end(),
                       [&](const CrashSuspect *it) {
                         return it != &suspect && it->hasCrashed(server);
                       });
  };
  std::vector<CrashedServer> out;
  for (const CrashedServer &crashed : suspect.CrashedServers)
    if (!isExplained(crashed.Key))
      out.push_back(crashed);
  return out;
}

/// Whether all servers that crashed under the first crashed under the second.
bool isCovered(const CrashSuspect &first, const CrashSuspect &second) {
  return std::all_of(first.CrashedServers.begin(), first.CrashedServers.end(),
                     [&](const CrashedServer &crashed) {
                       return second.hasCrashed(crashed.Key);
                     });
}

/// A suspect beside the others, with its unexplained crashes.
struct Candidate {
  const Item *Suspect = nullptr;
  std::vector<CrashedServer> Crashes;
  bool IsAnswered = false;

  auto evidence() const {
    return std::tuple(Crashes.size(), Suspect->second.CrashedServers.size());
  }
  size_t undisputed() const {
    return static_cast<size_t>(
        std::count_if(Crashes.begin(), Crashes.end(),
                      [](const CrashedServer &it) { return !it.IsDisputed; }));
  }
  bool competesWith(const Candidate &other) const {
    return std::any_of(Crashes.begin(), Crashes.end(),
                       [&](const CrashedServer &it) {
                         return other.Suspect->second.hasCrashed(it.Key);
                       });
  }
};

Candidate makeCandidate(const Quarantined &quarantined, const Item &suspect,
                        const AnsweredLatelyQuery &isAnswered) {
  return {&suspect, unexplainedCrashes(quarantined, suspect.second),
          isAnswered(suspect.first)};
}

bool hasEnoughEvidence(const Candidate &it,
                       const CrashVerdictSettings &settings) {
  const CrashSuspect &suspect = it.Suspect->second;
  if (suspect.IncidentsKnownAt.size() < MinIncidents)
    return false;
  size_t conclusive = settings.Servers + settings.FurtherServers;
  if (it.Crashes.size() >= conclusive)
    return true;
  if (it.IsAnswered)
    return false;
  // It explains more than the quarantined signatures do.
  bool isBeyondQuarantined = suspect.CrashedServers.size() >= conclusive &&
                             it.Crashes.size() >= settings.FurtherServers;
  return it.undisputed() >= settings.Servers || isBeyondQuarantined;
}

/// How the evidence against a rival compares.
enum class Comparison : uint8_t { Weaker, Equal, Stronger };

Comparison compare(const Candidate &rival, const Candidate &it) {
  if (rival.evidence() != it.evidence())
    return rival.evidence() < it.evidence() ? Comparison::Weaker
                                            : Comparison::Stronger;
  bool isRivalPart = isPartSignature(rival.Suspect->first);
  if (isRivalPart == isPartSignature(it.Suspect->first))
    return Comparison::Equal;
  return isRivalPart ? Comparison::Weaker : Comparison::Stronger;
}

/// Whether the candidate is convicted beside all its rivals.
bool prevails(const Candidate &it, const std::vector<Candidate> &all,
              const CrashVerdictSettings &settings) {
  bool isConclusive =
      it.Crashes.size() >= settings.Servers + settings.FurtherServers;
  return std::none_of(all.begin(), all.end(), [&](const Candidate &rival) {
    bool isRival = rival.Suspect != it.Suspect && rival.competesWith(it) &&
                   (!rival.IsAnswered || it.IsAnswered);
    if (!isRival)
      return false;
    Comparison rivalIs = compare(rival, it);
    return rivalIs == Comparison::Stronger ||
           (rivalIs == Comparison::Equal && !isConclusive);
  });
}

} // namespace

std::optional<Id128> findCulprit(const CrashSuspectMap &suspects,
                                 const CrashVerdictSettings &settings,
                                 const AnsweredLatelyQuery &isAnswered,
                                 const ConvictableQuery &mayBeConvicted) {
  Quarantined quarantined = quarantinedOf(suspects);
  std::vector<Candidate> all;
  for (const Item &it : suspects)
    if (!it.second.isQuarantined() &&
        it.second.CrashedServers.size() >= settings.FurtherServers)
      all.push_back(makeCandidate(quarantined, it, isAnswered));
  for (const Candidate &it : all)
    if (mayBeConvicted(it.Suspect->first) && hasEnoughEvidence(it, settings) &&
        prevails(it, all, settings))
      return it.Suspect->first;
  return std::nullopt;
}

bool isConvictable(const CrashSuspectMap &suspects, const Id128 &signature,
                   const CrashVerdictSettings &settings,
                   const AnsweredLatelyQuery &isAnswered) {
  auto it = suspects.find(signature);
  return it != suspects.end() &&
         hasEnoughEvidence(
             makeCandidate(quarantinedOf(suspects), *it, isAnswered), settings);
}

std::vector<Id128> coveredBy(const CrashSuspectMap &suspects,
                             const Id128 &culprit) {
  std::vector<Id128> out;
  auto self = suspects.find(culprit);
  if (self == suspects.end() || !self->second.isQuarantined())
    return out;
  const CrashSuspect &evidence = self->second;
  for (const auto &[signature, suspect] : suspects) {
    bool isCandidate = signature != culprit && suspect.isQuarantined() &&
                       !suspect.CrashedServers.empty();
    bool hasLess =
        suspect.CrashedServers.size() < evidence.CrashedServers.size();
    if (isCandidate && hasLess && isCovered(suspect, evidence))
      out.push_back(signature);
  }
  return out;
}

bool mayBeHarmless(const CrashSuspectMap &suspects, const Id128 &signature,
                   std::span<const Id128> request) {
  auto self = suspects.find(signature);
  if (self == suspects.end() || self->second.CrashedServers.empty())
    return false;
  auto isExplained = [&](const CrashedServer &crashed) {
    return std::any_of(suspects.begin(), suspects.end(), [&](const Item &it) {
      return it.second.isQuarantined() && it.second.hasCrashed(crashed.Key) &&
             std::find(request.begin(), request.end(), it.first) ==
                 request.end();
    });
  };
  return std::all_of(self->second.CrashedServers.begin(),
                     self->second.CrashedServers.end(), isExplained);
}

} // namespace daisytack::direct
