/// Answers of a class that are held whole and let go at one moment.
#pragma once

#include "daisytack/error.h"
#include "daisytack/objects.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisytack {

/// What an entry does with a whole answer.
enum class ReleaseStep : uint8_t {
  SendNow,  ///< The class has no release time.
  SendLate, ///< The release time has passed: the answer is late for it.
  HoldUntil,
};

struct ReleaseDecision {
  ReleaseStep Step = ReleaseStep::SendNow;
  WallTime At;      ///< With HoldUntil.
  Duration Late{0}; ///< With SendLate.
  bool operator==(const ReleaseDecision &) const = default;
};

ReleaseDecision decideRelease(const RequestClass &requestClass, WallTime now);

/// Whether a request of the class can be both held until its release and
/// answered before its deadline: None, or DeadlineTooShort. The deadline is the
/// time left from now.
Error checkRelease(const RequestClass &requestClass, Duration remaining,
                   WallTime now);

/// One answer held by an entry.
struct HeldAnswer {
  RequestId Id;
  std::string Class;
  WallTime HeldSince;
  auto operator<=>(const HeldAnswer &) const = default;
};

/// The answers that one entry holds. When a release time is moved, the answers
/// move with it; when it is taken away, they are due at once. Not thread-safe.
class ReleaseGate {
public:
  void hold(const HeldAnswer &answer);
  /// The caller has gone.
  bool forget(const RequestId &id);
  /// Takes out what is due now by the classes' present release times. A class
  /// that is no longer configured counts as released.
  std::vector<HeldAnswer> takeDue(const std::vector<RequestClass> &classes,
                                  WallTime now);
  /// When takeDue should next be called, unless the configuration changes.
  std::optional<WallTime>
  nextDue(const std::vector<RequestClass> &classes) const;
  size_t held() const;

private:
  std::map<std::string, std::vector<HeldAnswer>, std::less<>> ByClass;
};

} // namespace daisytack
