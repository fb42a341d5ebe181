/// The order in which one backend server runs what its agent accepted, and what
/// that order promises. See docs/ACCEPTANCE.md.
#pragma once

#include "daisytack/types.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace daisytack {

/// Runs at once that a queue can plan for.
constexpr size_t MaxRunSlots = 64;

/// Priorities of request classes: 0 is shed first, 9 last.
constexpr uint8_t MaxPriority = 9;

/// One request as the queue sees it. Times are absolute: Deadline already has
/// the reserve for a re-run taken off.
struct RunRequest {
  RequestId Id;
  Attempt Try = 0;
  uint64_t Organisation = 0; ///< hashName of the organisation.
  uint32_t Weight = 1;       ///< Organisation's fair share.
  uint8_t Priority = 0;
  bool Preemptible = false; ///< May be suspended and resumed while running.
  TimePoint Deadline;       ///< The whole answer must be there by then.
  TimePoint Ready;          ///< Its fetched context is there from then on.
  Duration Prefill{0};      ///< Predicted, at a high percentile.
  Duration Decode{0};       ///< Predicted, at a high percentile.

  Duration service() const { return Prefill + Decode; }
  bool operator==(const RunRequest &) const = default;
};

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
  /// Recent demand of an organisation, or of all others together, as a share of
  /// what the slots can do; above 1 when it is more.
  double demandOf(uint64_t organisation, TimePoint now) const;
  double demandOfOthers(uint64_t organisation, TimePoint now) const;
  /// Share of the slots that is due to an organisation of the weight among
  /// those that asked for something recently.
  double fairShare(uint64_t organisation, uint32_t weight) const;

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

  /// Work asked for, decayed exponentially.
  struct Demand {
    double Micros = 0;
    TimePoint At;
    uint32_t Weight = 0;
    double decayed(TimePoint now) const;
    void add(Duration work, TimePoint now);
  };

  class SlotTimes;
  SlotTimes slotTimes(TimePoint now) const;
  std::vector<WaitingRun>::iterator firstStartable(TimePoint now);
  static TimePoint finishWithout(SlotTimes slots,
                                 std::vector<WaitingRun>::const_iterator first,
                                 size_t last);
  uint64_t presentRound(uint8_t priority) const;
  double startTag(const RunRequest &request) const;
  Place placeOf(const RunRequest &request) const;
  void noteDemand(const RunRequest &request, TimePoint now);
  /// Nothing waits any more: what organisations got until now no longer counts.
  void endBusyPeriod();

  RunQueueSettings Settings;
  std::vector<WaitingRun> Waiting; ///< Sorted by place.
  std::vector<ActiveRun> Running;
  std::array<double, MaxPriority + 1> VirtualTime{};
  std::map<ShareKey, double> FinishTags;
  std::map<uint64_t, Demand> DemandBy; ///< By organisation.
  Demand DemandOfAll;
  double ActiveWeight = 0; ///< Of all in DemandBy.
  TimePoint ForgotAt;
  uint64_t NextSequence = 1;
};

} // namespace daisytack
