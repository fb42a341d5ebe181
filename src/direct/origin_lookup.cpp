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
                           const SeenVersions &seen, Duration maxAge,
                           OriginLookupSettings settings, TimePoint now)
    : Request(std::move(request)), Settings(settings), MaxAge(maxAge),
      EndsAt(now + settings.Timeout), Unanswered(std::move(owners)),
      NextSendAt(now) {
  learn(seen);
}

void OriginLookup::learn(const SeenVersions &seen) {
  Versions.insert(seen.Versions.begin(), seen.Versions.end());
  History = std::max(History, Duration(seen.HistoryUs));
}

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
  learn(response.Seen);
}

bool OriginLookup::isDecided(TimePoint now) const {
  return Origin || Unanswered.empty() || now >= EndsAt;
}

std::optional<OriginAnswer> OriginLookup::result(Error &reason) const {
  if (Origin)
    return OriginAnswer{*Origin, OriginAnswer::Source::Owner, {}};
  if (Versions.size() == 1 && History >= MaxAge)
    return OriginAnswer{{Request.Service, *Versions.begin()},
                        OriginAnswer::Source::OnlyVersion,
                        {}};
  reason = {
      ErrorKind::StreamVersionUnknown,
      "no entry knows which software version of " + Request.Service +
          " began the stream; seen: " + std::to_string(Versions.size()) +
          ", owners without an answer: " + std::to_string(Unanswered.size()),
      Settings.RetryAfter};
  return std::nullopt;
}

} // namespace daisytack::direct
