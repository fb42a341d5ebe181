/// The queue of requests that an agent has accepted for its backend server,
/// with predictions of when each of them starts and ends. See
/// docs/ACCEPTANCE.md.
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
  uint32_t Slots = 8; ///< Maximum number of concurrent runs, at most
                      ///< MaxRunSlots.
  /// Maximum number of runs that the engine has started but that have no first
  /// token yet; 0 for no limit except Slots. The value 1 suits an engine that
  /// prefills one run after another: the other runs stay in this queue, which
  /// can still reorder them. With a limit, markPrefilled() must be called, and
  /// a run whose context has not been fetched yet can be overtaken by later
  /// ones.
  uint32_t MaxPrefills = 0;
  Duration MaxWait{30'000'000}; ///< Longest predicted wait of a request.
  /// Work that an organisation of weight 1 gets done in one round of fair
  /// sharing.
  Duration Quantum{500'000};
  bool operator==(const RunQueueSettings &) const = default;
};

/// The predicted schedule of a request if it were accepted now.
struct RunPlan {
  TimePoint Start;      ///< A slot is free and the context has been fetched.
  TimePoint FirstToken; ///< Start plus the duration of the prefill.
  TimePoint Finish;     ///< End of the whole answer.
  /// The request's organisation has used up its part of the current round of
  /// fair sharing, and its demand exceeds its fair share of the server.
  bool ExceedsFairShare = false;
  /// An accepted request would miss its deadline because of this one.
  bool MakesAcceptedLate = false;
  RequestId LateRequest; ///< The first such request; invalid if there is none.
  bool operator==(const RunPlan &) const = default;
};

/// Requests waiting and running on one server. Waiting requests are ordered by
/// priority, then by round of fair sharing among organisations, then by
/// deadline. A waiting request is moved back only by requests that were checked
/// not to make it late. Not thread-safe.
class RunQueue {
public:
  explicit RunQueue(RunQueueSettings settings);

  /// Predicts the schedule of a request, without queueing it.
  RunPlan plan(const RunRequest &request, TimePoint now) const;
  /// Predicted wait of a request that is queued now behind all waiting ones.
  Duration backlog(TimePoint now) const;
  /// The first waiting request that is predicted to miss its deadline and
  /// should be run on another server; nullopt if there is none.
  std::optional<RunRequest> firstAtRisk(TimePoint now) const;
  /// A running request whose RunRequest::Deadline has passed; nullopt if there
  /// is none. The re-run reserve that is left until the caller's deadline is
  /// only enough for one run on another server.
  std::optional<RunRequest> firstOverdue(TimePoint now) const;
  /// The running request to suspend so that the given one can start now;
  /// nullopt if there is none. It must be preemptible, of lower priority, and
  /// able to start again from the beginning and still meet its deadline. Among
  /// several, the one with the lowest priority is chosen, then the one with
  /// most time to spare.
  std::optional<RunRequest> preemptionVictim(const RunRequest &request,
                                             TimePoint now) const;
  size_t waiting() const { return Waiting.size(); }
  size_t running() const { return Running.size(); }
  bool hasFreeSlot() const { return Running.size() < Settings.Slots; }
  /// Predicted work of the organisation's waiting requests.
  Duration waitingWork(uint64_t organisation) const;
  /// Predicted work of all waiting requests.
  Duration waitingWork() const;
  /// Recent demand of organisations on this server.
  const DemandTracker &demand() const { return Demand; }
  /// Server time that a request uses: its service time divided by the number of
  /// slots or, if Settings.MaxPrefills limits prefills, its prefill time if
  /// that is longer.
  Duration serverTime(const RunRequest &request) const;

  /// Queues an accepted request. The caller must have checked its plan.
  void push(const RunRequest &request, TimePoint now);
  /// Records a refused request: its work counts as demand of its organisation.
  void recordRefused(const RunRequest &request, TimePoint now);
  /// Moves the next waiting request to a free slot and returns it; nullopt if
  /// no request can start now.
  std::optional<RunRequest> start(TimePoint now);
  /// Records that the engine has produced the first token of a running request.
  void markPrefilled(const RequestId &id, Attempt attempt);
  /// Frees the slot of a running request. Returns false if it is not running.
  bool finish(const RequestId &id, Attempt attempt);
  /// Removes a waiting request. Returns false if it is not waiting.
  bool cancel(const RequestId &id, Attempt attempt);
  /// Queues a running request again, to be run from the beginning. Returns
  /// false if it is not running.
  bool suspend(const RequestId &id, Attempt attempt, TimePoint now);
  /// Updates the time until which the context of a waiting request is being
  /// fetched. Returns false if the request is not waiting.
  bool setContextReady(const RequestId &id, Attempt attempt, TimePoint ready);
  /// Updates the predicted prefill time of a waiting request, once it is known
  /// how much context can be reused. Returns false if it is not waiting.
  bool setPrefill(const RequestId &id, Attempt attempt, Duration prefill);

private:
  /// Sort key of waiting requests, which run in ascending order.
  struct OrderKey {
    int Priority = 0;   ///< Negated, so that high priorities come first.
    uint64_t Round = 0; ///< Round of fair sharing.
    TimePoint Deadline;
    uint64_t Sequence = 0; ///< Order of arrival.
    auto operator<=>(const OrderKey &) const = default;
  };
  struct WaitingRun {
    OrderKey Order;
    double StartTag = 0; ///< Start tag of fair queueing: virtual time, in
                         ///< microseconds of work per unit of weight.
    RunRequest Request;
  };
  struct ActiveRun {
    RunRequest Request;
    TimePoint Start;
    TimePoint Finish;       ///< Predicted.
    bool Prefilled = false; ///< Whether the first token has been produced.
  };
  /// Key of FinishTags: organisations share the server fairly per priority.
  struct FlowKey {
    uint8_t Priority = 0;
    uint64_t Organisation = 0;
    auto operator<=>(const FlowKey &) const = default;
  };

  /// The slots as the running requests occupy them.
  SlotTimes slotTimes(TimePoint now) const;
  std::vector<WaitingRun>::iterator firstStartable(TimePoint now);
  /// Whether the number of runs without a first token is at its limit.
  bool isPrefillLimitReached() const;
  bool mayOvertake(const WaitingRun &run, TimePoint now) const;
  static TimePoint finishWithout(SlotTimes slots,
                                 std::vector<WaitingRun>::const_iterator first,
                                 size_t offset);
  /// The round of fair sharing that the priority has reached.
  uint64_t currentRound(uint8_t priority) const;
  /// Virtual time at which the request starts in fair queueing: the current
  /// one, or the end of its organisation's last queued request if that is
  /// later.
  double startTag(const RunRequest &request) const;
  /// Sort key of the request if it were queued now.
  OrderKey orderKeyOf(const RunRequest &request) const;
  /// Resets fair sharing when the queue becomes empty, so that earlier work of
  /// an organisation is not held against it.
  void endBusyPeriod();

  RunQueueSettings Settings;
  std::vector<WaitingRun> Waiting; ///< Sorted by WaitingRun::Order.
  std::vector<ActiveRun> Running;
  /// Virtual time of fair queueing, by priority: the largest start tag of a
  /// started run.
  std::array<double, MaxPriority + 1> VirtualTime{};
  /// Virtual time at which the organisation's last queued request ends.
  std::map<FlowKey, double> FinishTags;
  DemandTracker Demand;
  uint64_t NextSequence = 1;
};

} // namespace daisytack
