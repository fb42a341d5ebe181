/// Answers to queries as JSON, as processes send them to each other and to the
/// operators' client.
#pragma once

#include "daisytack/error.h"
#include "query/cell.h"

#include <string>
#include <string_view>
#include <vector>

namespace daisytack::query {

/// An instance that should have answered and didn't.
struct QueryFailure {
  std::string Name;
  std::string Reason;
  auto operator<=>(const QueryFailure &) const = default;
};

/// Events of an instance that were overwritten before they were read.
struct EventGap {
  std::string Instance;
  uint64_t Lost = 0; ///< Events.
  WallTime Until;    ///< Time of the oldest one still there.
  auto operator<=>(const EventGap &) const = default;
};

/// Silent instances that an answer names; the counts tell of more.
constexpr size_t MaxListedFailures = 20;

struct Answer {
  Table Rows;
  uint64_t Queried = 0;  ///< Processes that the query concerned and was put to.
  uint64_t Answered = 0; ///< Of these.
  std::vector<QueryFailure> Failures; ///< At most MaxListedFailures.
  std::vector<EventGap> Gaps;
  /// Some process had more rows than the limit.
  bool Truncated = false;
  /// There are more instances to ask: go on with "after NEXT". Empty at the
  /// end.
  std::string Next;
  bool operator==(const Answer &) const = default;
};

/// Durations are whole microseconds, times RFC 3339, unknown cells null.
std::string toJson(const Answer &answer);
/// Inverse of toJson; nothing with the reason when the text is no answer.
std::optional<Answer> parseAnswer(std::string_view json, Error &reason);

} // namespace daisytack::query
