/// What the users were promised, as checks over what the fakes saw. Each check
/// has a name; a broken one is kept with what broke it.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::matrix {

enum class Promise : uint8_t {
  FreedOrTornNeverRead,
  OrganisationsStayApart,
  VersionsStayApart,
  AnswersAreWholeAndOwn,
  NotRunIsTrue,
  AtMostOnce,
  LeavingGetsNothingNew,
  ShutdownCutsNothingOff,
  ConfigurationStands,
  Count,
};
constexpr size_t Promises = static_cast<size_t>(Promise::Count);
std::string_view promiseName(Promise promise);

/// One call of one caller.
struct CallerCall {
  uint64_t Number = 0; ///< Stands in the body, so that runs can be counted.
  std::string Organisation;
  std::string Expected; ///< Text of the whole answer.
  bool Idempotent = true;
  TimePoint Deadline;
  bool EntryLost = false;   ///< Its entry died: no final answer can be told.
  bool EntryPaused = false; ///< Its entry stood still: answers may be late.
};

class PromiseCheck {
public:
  void broken(Promise promise, std::string what);
  /// The first one that broke, as "NAME: WHAT"; empty when all hold.
  std::string verdict() const;
  bool isBroken(Promise promise) const {
    return !What[static_cast<size_t>(promise)].empty();
  }

  // What callers see. A submission is one HTTP request of one call.
  void submitted(uint64_t submission, const CallerCall &call);
  void toldPart(uint64_t submission, std::string_view text);
  void toldEnd(uint64_t submission, TimePoint now);
  void toldError(uint64_t submission, const Error &reason, Outcome ran,
                 TimePoint now);
  /// Its entry died; the caller may resume elsewhere from what it has.
  void entryLost(uint64_t submission);
  void entryPaused(uint64_t submission);

  // What backend servers see.
  void ran(uint64_t call, uint64_t submission, TimePoint now);

  // Leaving and shutdown.
  void leaving(const std::string &server, TimePoint now);
  /// A request that was offered at the time is run.
  void acceptedNew(const std::string &server, TimePoint offered);
  void returned(const std::string &server) { LeavingSince.erase(server); }
  void exited(const std::string &process, size_t unfinished);

  // Configuration.
  void inForce(const std::string &process, const std::string &key,
               uint64_t revision);
  void processStarted(const std::string &process) { InForce.erase(process); }

  /// Every submission got one final answer, in time.
  void checkAnswered(TimePoint now);

  size_t completed() const { return Completed; }
  size_t submissions() const { return Calls.size(); }

private:
  struct Told {
    CallerCall Call;
    std::string Text;
    uint32_t Finals = 0;
    bool Completed = false;
    std::optional<Outcome> Refused;
  };

  std::array<std::string, Promises> What;
  std::map<uint64_t, Told> Calls; ///< By submission.
  std::map<uint64_t, uint32_t> RunsOfCall;
  std::set<uint64_t> RanSubmissions;
  std::map<std::string, TimePoint> LeavingSince;
  std::map<std::string, std::map<std::string, uint64_t>> InForce;
  size_t Completed = 0;
};

} // namespace daisytack::matrix
