/// Decides which of the signatures that crashed attempts share is the one that
/// crashes servers.
///
/// All requests of a server end as it crashes, so that sound signatures gather
/// evidence beside the culprit's. A signature is convicted only if no other one
/// explains the same crashes as well:
/// - Crashes under a quarantined signature count against no other, unless the
///   other one has conclusive evidence with them, part of which is its own.
/// - Of signatures with crashes in common, the one with the most evidence is
///   convicted. A whole request goes before its parts if they have the same
///   evidence, as its quarantine refuses less.
/// - Signatures with equal evidence wait for the next crash, which most often
///   tells them apart, until the evidence is conclusive.
/// - A signature whose requests were answered lately needs conclusive evidence,
///   and so does one with crashes that are disputed.
#pragma once

#include "direct/crash_evidence.h"

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace daisytack::direct {

struct CrashVerdictSettings {
  /// Number of servers that must have crashed under a signature.
  size_t Servers = 3;
  /// Further servers that make the evidence conclusive.
  size_t FurtherServers = 2;
  bool operator==(const CrashVerdictSettings &) const = default;
};

/// Whether a request with the signature was answered lately.
using AnsweredLatelyQuery = std::function<bool(const Id128 &signature)>;

/// Whether a signature may be convicted at all.
using ConvictableQuery = std::function<bool(const Id128 &signature)>;

/// A signature to quarantine; nullopt if there is none.
std::optional<Id128> findCulprit(const CrashSuspectMap &suspects,
                                 const CrashVerdictSettings &settings,
                                 const AnsweredLatelyQuery &isAnswered,
                                 const ConvictableQuery &mayBeConvicted);

/// Whether the evidence against the signature suffices, regardless of others.
bool isConvictable(const CrashSuspectMap &suspects, const Id128 &signature,
                   const CrashVerdictSettings &settings,
                   const AnsweredLatelyQuery &isAnswered);

/// The quarantined signatures that the culprit's evidence covers and exceeds.
std::vector<Id128> coveredBy(const CrashSuspectMap &suspects,
                             const Id128 &culprit);

/// Whether a request with the signatures may be harmless although this one of
/// them is quarantined, because quarantined signatures that the request doesn't
/// hold explain all of its crashes.
bool mayBeHarmless(const CrashSuspectMap &suspects, const Id128 &signature,
                   std::span<const Id128> request);

} // namespace daisytack::direct
