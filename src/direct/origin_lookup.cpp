#include "direct/origin_lookup.h"

#include <algorithm>
#include <utility>

namespace daisytack::direct {

std::string_view originSourceName(OriginAnswer::Source source) {
  switch (source) {
  case OriginAnswer::Source::Own:
    return "own";
  case OriginAnswer::Source::Told:
    return "told";
  case OriginAnswer::Source::Owner:
    return "owner";
  case OriginAnswer::Source::OnlyVersion:
    return "only_version";
  }
  return "unknown";
}

OriginLookup::OriginLookup(StreamOriginRequest request,
                           std::vector<Endpoint> owners,
                           const SeenVersions &own, Duration maxAge,
                           OriginLookupSettings settings, TimePoint now)
    : Request(std::move(request)), Settings(settings), MaxAge(maxAge),
      StartedAt(now), EndsAt(now + settings.Timeout),
      HasOwnHistory(Duration(own.HistoryUs) >= maxAge),
      Unanswered(std::move(owners)),
      Versions(own.Versions.begin(), own.Versions.end()), NextSendAt(now) {}

std::vector<Endpoint> OriginLookup::takeDue(TimePoint now) {
  if (now < NextSendAt)
    return {};
  NextSendAt = std::min(now + Settings.ResendInterval, EndsAt);
  return Unanswered;
}

void OriginLookup::onResponse(const Endpoint &owner,
                              const StreamOriginResponse &response) {
  std::erase(Unanswered, owner);
  if (response.Origin)
    Origin = response.Origin;
  const SeenVersions &seen = response.Seen;
  Versions.insert(seen.Versions.begin(), seen.Versions.end());
  if (Duration(seen.HistoryUs) >= MaxAge)
    Witnesses.push_back(owner);
}

bool OriginLookup::needsState(TimePoint now) const {
  // The service is asked only if no owner that answers in time knows more.
  bool haveOwnersAnswered =
      Unanswered.empty() || now >= StartedAt + Settings.ResendInterval;
  return !Origin && !IsComplete && Versions.size() == 1 && haveOwnersAnswered;
}

bool OriginLookup::needsOwnState(TimePoint now) const {
  return HasOwnHistory && needsState(now);
}

std::vector<Endpoint> OriginLookup::takeStateDue(TimePoint now) {
  if (!needsState(now))
    return {};
  // The service usually confirms this entry's own state before that.
  if (!NextStateAt)
    NextStateAt = HasOwnHistory ? now + Settings.ResendInterval : now;
  if (now < *NextStateAt)
    return {};
  NextStateAt = now + Settings.ResendInterval;
  return Witnesses;
}

void OriginLookup::onState(const SeenVersions &seen, TimePoint completeAt,
                           TimePoint now) {
  Versions.insert(seen.Versions.begin(), seen.Versions.end());
  bool isRecent = completeAt >= StartedAt;
  bool reachesBack = now - Duration(seen.HistoryUs) <= StartedAt - MaxAge;
  IsComplete |= isRecent && reachesBack;
}

bool OriginLookup::isDecided(TimePoint now) const {
  if (Origin || now >= EndsAt)
    return true;
  bool canBeCompleted = !IsComplete && Versions.size() == 1 &&
                        (HasOwnHistory || !Witnesses.empty());
  return Unanswered.empty() && !canBeCompleted;
}

std::optional<OriginAnswer> OriginLookup::result(Error &reason) const {
  if (Origin)
    return OriginAnswer{*Origin, OriginAnswer::Source::Owner, {}};
  if (Versions.size() == 1 && IsComplete)
    return OriginAnswer{{Request.Service, *Versions.begin()},
                        OriginAnswer::Source::OnlyVersion,
                        {}};
  reason = {
      ErrorKind::StreamVersionUnknown,
      "no entry knows which software version of " + Request.Service +
          " began the stream; seen: " + std::to_string(Versions.size()) +
          ", owners without an answer: " + std::to_string(Unanswered.size()) +
          (IsComplete ? "" : ", others may have served"),
      Settings.RetryAfter};
  return std::nullopt;
}

} // namespace daisytack::direct
