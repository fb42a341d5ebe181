/// Timeline of all processes: events in causal order, spans between them, and
/// missing events.
#pragma once

#include "query/answer.h"

#include <array>
#include <string>
#include <vector>

namespace daisytack::query {

struct TimelineEvent {
  WallTime At;         ///< Wall part of the hybrid logical clock.
  int64_t Logical = 0; ///< Logical part of the hybrid logical clock.
  std::string Instance;
  int64_t Sequence = 0;
  std::string Name;
  std::string Request;
  int64_t Attempt = 0;
  std::string Reason;
  std::string Subject;
  std::array<int64_t, 4> Scores{};
  auto operator<=>(const TimelineEvent &) const = default;
};

struct Timeline {
  std::vector<TimelineEvent> Events; ///< Ordered by hybrid time.
  std::vector<EventGap> Gaps;
  std::vector<QueryFailure> Failures;
};

/// Merges the pages of "show events". Gaps that ended before `since` are
/// omitted.
Timeline timelineOf(const std::vector<Answer> &pages, WallTime since);

/// An operation with a start and an end in one process.
struct Span {
  std::string Instance;
  std::string Name; ///< "request", "wait", "run", "fetch" or "load".
  std::string Request;
  int64_t Attempt = 0;
  WallTime Start;
  WallTime End;
  bool IsOpen = false; ///< Not finished yet; End is the time of the last event.
  std::string Reason;  ///< Reason of the event that ended it.
  auto operator<=>(const Span &) const = default;
};

/// Finds the spans of a timeline, ordered by start.
std::vector<Span> spansOf(const Timeline &timeline);

/// Formats one line per event, with gaps between events by time and failed
/// queries at the end.
std::string timelineText(const Timeline &timeline, bool colours);

/// Encodes the timeline in the Trace Event Format (JSON) of Chrome's trace
/// viewer, with one trace process per instance.
std::string timelineChrome(const Timeline &timeline);

} // namespace daisytack::query
