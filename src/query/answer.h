/// Answers to queries, and their JSON encoding between processes and to the
/// operators' client.
#pragma once

#include "daisytack/error.h"
#include "query/cell.h"

#include <string>
#include <string_view>
#include <vector>

namespace daisytack::query {

/// An instance whose answer is missing, because it didn't respond or returned
/// an error.
struct QueryFailure {
  std::string Name; ///< Name of the instance.
  std::string Reason;
  auto operator<=>(const QueryFailure &) const = default;
};

/// Events of an instance that were overwritten in its ring buffer before they
/// were read.
struct EventGap {
  std::string Instance;
  uint64_t Lost = 0; ///< Number of overwritten events.
  WallTime Until;    ///< Time of the oldest event still available.
  auto operator<=>(const EventGap &) const = default;
};

/// Maximum number of failures listed in an answer. The difference of Queried
/// and Answered is the total number.
constexpr size_t MaxListedFailures = 20;

struct Answer {
  Table Rows;
  uint64_t Queried = 0;  ///< Number of processes that the query was sent to.
  uint64_t Answered = 0; ///< Number of processes that returned an answer.
  std::vector<QueryFailure> Failures; ///< At most MaxListedFailures.
  std::vector<EventGap> Gaps;
  /// The limit left out rows of some process or of the merged answer.
  bool Truncated = false;
  /// Page token: the next page is the same query with "after NEXT". Empty on
  /// the last page.
  std::string Next;
  bool operator==(const Answer &) const = default;
};

/// Encodes an answer as JSON. Durations are whole microseconds, times are RFC
/// 3339, unknown cells are null.
std::string toJson(const Answer &answer);
/// Inverse of toJson. Returns nothing and sets the reason when the text isn't
/// an encoded answer.
std::optional<Answer> parseAnswer(std::string_view json, Error &reason);

} // namespace daisytack::query
