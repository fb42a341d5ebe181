/// Election of the processes that read the platform's services. Each process
/// decides from its own member table. Differing decisions are harmless because
/// the state that is read is merged by revision.
#pragma once

#include "daisytack/objects.h"

#include <map>
#include <optional>
#include <string>

namespace daisytack::control {

/// Rank of a member among the live members of its failure domain, ordered by
/// the hash of their names; nullopt if it is not a live member.
std::optional<size_t> readerRank(const std::map<std::string, Member> &members,
                                 const Member &self);

/// Decides whether one process is a reader. Not thread-safe.
class ReaderElection {
public:
  /// Sets the readerRank; to be called after a change of members.
  void setRank(std::optional<size_t> rank) { Rank = rank; }

  /// Whether to read now. The first ReadersPerDomain members of each failure
  /// domain do. The others become readers in the order of their rank when no
  /// reader has called the platform for a timeout: then all readers have
  /// failed, and no process would be informed of it by the instance list, which
  /// only readers poll. lastTry is the last call of any reader that this
  /// process knows of.
  bool shouldRead(TimePoint lastTry, TimePoint now);

private:
  std::optional<size_t> Rank;
  TimePoint FallbackUntil;
};

} // namespace daisytack::control
