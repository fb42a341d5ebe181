/// Which processes read the platform's services. Each decides for itself from
/// its own view of the members; two that differ do no harm, since what they
/// read is merged by revision.
#pragma once

#include "daisytack/objects.h"

#include <map>
#include <optional>
#include <string>

namespace daisytack::control {

/// Position of the member among the live ones of its failure domain in the
/// order of a hash of their names; nothing when it is not among them.
std::optional<size_t> readerRank(const std::map<std::string, Member> &members,
                                 const Member &self);

/// The state of one process's decision. Not thread-safe.
class ReaderChoice {
public:
  /// Position after a change of members.
  void setRank(std::optional<size_t> rank) { Rank = rank; }

  /// Whether to read now. The first ReadersPerDomain of each domain do. The
  /// others follow one after the other when no reader anywhere has tried for
  /// long: then all of them are gone, and with them the news that they are.
  /// LastTry: of any reader, as far as known here.
  bool shouldRead(TimePoint lastTry, TimePoint now);

private:
  std::optional<size_t> Rank;
  TimePoint FallbackUntil;
};

} // namespace daisytack::control
