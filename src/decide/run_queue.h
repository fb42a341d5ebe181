/// The order in which one backend server runs what its agent accepted, and what
/// that order promises. See docs/ACCEPTANCE.md.
#pragma once

#include "daisytack/types.h"
#include "decide/demand.h"
#include "decide/run_request.h"
#include "decide/slot_times.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace daisytack {

struct RunQueueSettings {
  uint32_t Slots = 8; ///< Runs at once, at most MaxRunSlots.
  /// Runs handed to the engine whose first token is not there yet; 0 for as
  /// many as there are slots. An engine prefills one after another, so 1 keeps
  /// the order of what waits in this queue's hands; prefilled() has to be
  /// called then, and a run that waits for its context is passed over.
  uint32_t Prefills = 0;
  Duration MaxWait{30'000'000}; ///< Bound of the queue in predicted time.
  Duration Quantum{500'000};    ///< Work of an organisation of weight 1 in one
                                ///< round of fair sharing.
  bool operator==(const RunQueueSettings &) const = default;
};

/// Where a request would stand if it were accepted now.
struct RunPlan {
  TimePoint Start;      ///< Its slot is free and its context is there.
  TimePoint FirstToken; ///< Start and prefill.
  TimePoint Finish;
  bool OverShare = false; ///< Its organisation has used its part of this round,
                          ///< and asks for more than its fair share.
  bool BreaksAccepted = false; ///< An accepted request would finish after its
                               ///< deadline because of this one.
  RequestId Broken;            ///< The first such request.
  bool operator==(const RunPlan &) const = default;
};

/// Requests waiting and running on one server. Waiting ones are ordered by
/// priority, then by round of fair sharing among organisations, then by
/// deadline. The place of an accepted request changes only when one that was
/// checked against it is put before it. Not thread-safe.
class RunQueue {
public:
  explicit RunQueue(RunQueueSettings settings);

  /// Queries.
  RunPlan plan(const RunRequest &request, TimePoint now) const;
  /// Predicted wait of a request of middle priority that arrives now.
  Duration backlog(TimePoint now) const;
  /// An accepted, waiting request that will miss its deadline as things stand:
  /// it should be run elsewhere.
  std::optional<RunRequest> firstAtRisk(TimePoint now) const;
  /// A running request that has used up its time without the reserve: what is
  /// left is enough for one run elsewhere, and no more.
  std::optional<RunRequest> firstOverdue(TimePoint now) const;
  /// The running request to suspend so that this one can start now: of lower
  /// priority, preemptible, able to start over and still meet its deadline;
  /// among these the one of lowest priority, then of most time to spare.
  std::optional<RunRequest> preemptionVictim(const RunRequest &request,
                                             TimePoint now) const;
  size_t waiting() const { return Waiting.size(); }
  size_t running() const { return Running.size(); }
  bool hasFreeSlot() const { return Running.size() < Settings.Slots; }
  /// Predicted work that the organisation has waiting.
  Duration waitingWork(uint64_t organisation) const;
  Duration waitingWork() const;
  /// Recent demand on this server.
  const DemandTracker &demand() const { return Asked; }
  /// Part of the server's time that a request takes up: of the slots, or of an
  /// engine that prefills one after another, whichever is more.
  Duration serverTime(const RunRequest &request) const;

  /// Commands. The caller has checked the plan.
  void push(const RunRequest &request, TimePoint now);
  /// The request was refused; its work counts as its organisation's demand.
  void noteRefused(const RunRequest &request, TimePoint now);
  /// Starts the first waiting request if a slot is free.
  std::optional<RunRequest> start(TimePoint now);
  /// The first token of a running request is there.
  void prefilled(const RequestId &id, Attempt attempt);
  /// Frees the slot of a running request; false when it is not running.
  bool finish(const RequestId &id, Attempt attempt);
  /// Removes a waiting request; false when it is not waiting.
  bool cancel(const RequestId &id, Attempt attempt);
  /// Puts a running request back to wait, with its whole service still to do.
  bool suspend(const RequestId &id, Attempt attempt, TimePoint now);
  /// Its fetch will take until then.
  bool setReady(const RequestId &id, Attempt attempt, TimePoint ready);
  /// Its prefill will take so long, now that it is known what can be reused.
  bool setPrefill(const RequestId &id, Attempt attempt, Duration prefill);

private:
  /// Waiting requests run in ascending order of this.
  struct Place {
    int Priority = 0; ///< Negated.
    uint64_t Round = 0;
    TimePoint Deadline;
    uint64_t Sequence = 0;
    auto operator<=>(const Place &) const = default;
  };
  struct WaitingRun {
    Place At;
    double Tag = 0; ///< Start tag of fair queueing, microseconds of weight 1.
    RunRequest Request;
  };
  struct ActiveRun {
    RunRequest Request;
    TimePoint Start;
    TimePoint Finish; ///< Predicted.
    bool Prefilled = false;
  };
  struct ShareKey {
    uint8_t Priority = 0;
    uint64_t Organisation = 0;
    auto operator<=>(const ShareKey &) const = default;
  };

  SlotTimes slotTimes(TimePoint now) const;
  std::vector<WaitingRun>::iterator firstStartable(TimePoint now);
  bool isPrefilling() const;
  bool mayPass(const WaitingRun &run, TimePoint now) const;
  static TimePoint finishWithout(SlotTimes slots,
                                 std::vector<WaitingRun>::const_iterator first,
                                 size_t last);
  uint64_t presentRound(uint8_t priority) const;
  double startTag(const RunRequest &request) const;
  Place placeOf(const RunRequest &request) const;
  /// Nothing waits any more: what organisations got until now no longer counts.
  void endBusyPeriod();

  RunQueueSettings Settings;
  std::vector<WaitingRun> Waiting; ///< Sorted by place.
  std::vector<ActiveRun> Running;
  std::array<double, MaxPriority + 1> VirtualTime{};
  std::map<ShareKey, double> FinishTags;
  DemandTracker Asked;
  uint64_t NextSequence = 1;
};

} // namespace daisytack
