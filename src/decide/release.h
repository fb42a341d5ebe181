/// Scheduled release: the answers of a request class can be held until a
/// configured time and are then sent together.
#pragma once

#include "daisytack/error.h"
#include "daisytack/objects.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisytack {

/// What an entry does with a complete answer.
enum class ReleaseStep : uint8_t {
  SendNow,   ///< Send it at once: the class has no release time.
  SendLate,  ///< Send it at once: the release time has already passed.
  HoldUntil, ///< Hold it until the release time.
};

struct ReleaseDecision {
  ReleaseStep Step = ReleaseStep::SendNow;
  WallTime At;      ///< The release time; unset with SendNow.
  Duration Late{0}; ///< Time since the release time, with SendLate; else zero.
  bool operator==(const ReleaseDecision &) const = default;
};

/// Decides what to do with a complete answer of the class.
ReleaseDecision decideRelease(const RequestClass &requestClass, WallTime now);

/// Checks that the release time of the class is not after a request's deadline.
/// The remaining time is that from now to the deadline. Returns an error of
/// kind None, or DeadlineTooShort if the answer would have to be held past the
/// deadline.
Error checkRelease(const RequestClass &requestClass, Duration remaining,
                   WallTime now);

/// One answer held by an entry.
struct HeldAnswer {
  RequestId Id;
  std::string Class;
  WallTime HeldSince;
  auto operator<=>(const HeldAnswer &) const = default;
};

/// The answers that one entry holds until their release. They follow changes of
/// their class: if its release time is changed, so is theirs, and if it is
/// removed, they are due at once. Not thread-safe.
class ReleaseQueue {
public:
  void hold(const HeldAnswer &answer);
  /// Drops the answer to the request, for example because its caller has
  /// disconnected. Returns false if no such answer is held.
  bool forget(const RequestId &id);
  /// Removes and returns the answers that are due now by the release times of
  /// the given classes. The answers of a class that is not among them are due.
  std::vector<HeldAnswer> takeDue(const std::vector<RequestClass> &classes,
                                  WallTime now);
  /// Time at which takeDue should be called next, unless the configuration
  /// changes before; nullopt if no answer is held.
  std::optional<WallTime>
  nextDue(const std::vector<RequestClass> &classes) const;
  /// Number of answers held.
  size_t held() const;

private:
  std::map<std::string, std::vector<HeldAnswer>, std::less<>> ByClass;
};

} // namespace daisytack
