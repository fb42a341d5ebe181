/// Carries one command through the key-value service: compare-and-swap, and
/// after a lost answer a read that finds out what became of it.
///
/// A write is sent again only with the same compare and the same command id
/// after a read found the object unchanged: of several such writes at most one
/// can ever take effect.
#pragma once

#include "control/command.h"
#include "control/replica.h"
#include "edge/kv.h"

#include <optional>

namespace daisytack::control {

/// What the shell has to do next.
struct CommandStep {
  enum class Kind : uint8_t { Commit, Read, Wait, Done };
  Kind Action = Kind::Done;
  edge::KvTransaction Transaction; ///< Commit.
  edge::KvRange Range;             ///< Read.
  Duration Delay{0};               ///< Wait.
  CommandResult Result;            ///< Done.
};

/// One use each. Not thread-safe.
class CommandRun {
public:
  /// Base is the object's state in force in this process, when it has one.
  CommandRun(Command command, std::optional<ReplicaEntry> base,
             TimePoint deadline);

  CommandStep begin();
  CommandStep onCommitted(const edge::KvTransactionResult &result,
                          TimePoint now);
  CommandStep onRead(const edge::KvRangeResult &result, TimePoint now);
  CommandStep onWaited();

private:
  CommandStep prepare();
  CommandStep commit();
  CommandStep read() const;
  CommandStep waitOrGiveUp(const Error &why, TimePoint now);
  CommandStep checkBase(const edge::KvRangeResult &result, TimePoint now);
  CommandStep resolveOutcome(const edge::KvEntry &current, TimePoint now);
  bool trailCoversBase(const StoredObject &stored,
                       const edge::KvEntry &current) const;
  CommandStep conflict(const edge::KvEntry &current) const;
  std::optional<StoredObject> decode(std::string_view value,
                                     Error &reason) const;

  Command Requested;
  std::optional<ReplicaEntry> Base;
  TimePoint Deadline;
  StoredObject BaseObject;
  std::string EncodedValue;
  bool MayBeApplied = false; ///< A write was sent and its answer lost.
  uint32_t WaitCount = 0;
};

} // namespace daisytack::control
