/// The time line over all processes: events in causal order, spans between
/// them, and what is missing.
#pragma once

#include "query/answer.h"

#include <array>
#include <string>
#include <vector>

namespace daisytack::query {

struct TimelineEvent {
  WallTime At; ///< Hybrid time, with Logical.
  int64_t Logical = 0;
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
  std::vector<TimelineEvent> Events; ///< In hybrid time.
  std::vector<EventGap> Gaps;
  std::vector<QueryFailure> Failures;
};

/// Joins the pages of "show events". Gaps that ended before since are left out.
Timeline timelineOf(const std::vector<Answer> &pages, WallTime since);

/// What took time in one process.
struct Span {
  std::string Instance;
  std::string Name; ///< "request", "wait", "run", "fetch" or "load".
  std::string Request;
  int64_t Attempt = 0;
  WallTime Start;
  WallTime End;
  bool IsOpen = false; ///< Not ended yet; End is the last event's time.
  std::string Reason;  ///< Of its end.
  auto operator<=>(const Span &) const = default;
};

/// In order of their start.
std::vector<Span> spansOf(const Timeline &timeline);

/// One line per event, gaps and silent instances between them.
std::string timelineText(const Timeline &timeline, bool colours);

/// Trace event format (JSON), for trace viewers: one process per instance.
std::string timelineChrome(const Timeline &timeline);

} // namespace daisytack::query
