/// Executes one command against the key-value service: a compare-and-swap and,
/// if its answer is lost, a read to determine whether the write was applied.
///
/// A write is resent only with the same compare and the same command id, and
/// only after a read found the object unchanged. At most one of these writes
/// can take effect.
#pragma once

#include "control/command.h"
#include "control/replica.h"
#include "edge/kv.h"

#include <optional>

namespace daisytack::control {

/// The next action for the caller, which performs the I/O.
struct CommandStep {
  enum class Kind : uint8_t { Commit, Read, Wait, Done };
  Kind Action = Kind::Done;
  edge::KvTransaction Transaction; ///< For Commit.
  edge::KvRange Range;             ///< For Read.
  Duration Delay{0};               ///< For Wait.
  CommandResult Result;            ///< For Done.
};

/// State machine of one command; each object runs one command. Not thread-safe.
class CommandRun {
public:
  /// Base is the object's state in this process's replica, if it has one.
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
  bool MayBeApplied = false; ///< A write was sent and its answer was lost.
  uint32_t WaitCount = 0;
};

} // namespace daisytack::control
