/// Plans the rollout of new weights: which engines load which version, and how
/// far each has got. Uses no sockets, clocks or threads.
///
/// An engine that is ordered to load first finishes its current runs and
/// rejects new requests. So only a few engines load at a time, spread over the
/// failure domains. An order carries the number of orders that the engine has
/// accepted so far, so an order that arrives after a newer one has no effect.
/// The engine resets this number when it restarts, so a load is tracked for one
/// start of the engine.
///
/// An engine that doesn't report, answer or accept its order is postponed: its
/// load slot goes to another one. The order may still be carried out later.
/// A report, rather than a timeout, shows that an order was lost. Once every
/// outdated engine has had its turn, lost orders are repeated within a turn.
#pragma once

#include "direct/catalog.h"
#include "direct/weight_order.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisytack::direct {

/// Timing and concurrency of a rollout.
struct WeightPlanSettings {
  /// Number of engines that load at a time in a small fleet. Few, because
  /// concurrent loads slow each other down.
  uint32_t ConcurrentLoads = 2;
  /// Share of all engines that load at a time in a large fleet, which can serve
  /// weights to more engines at once and has more capacity left.
  double ConcurrentShare = 1.0 / 6;
  /// A selected engine gets no new requests for this time before its order, so
  /// that requests already queued there can start: the engine would reject
  /// them. Most of them wait less.
  Duration PrepareTime{300'000};
  /// Time from when a version becomes desired until every server must have it.
  /// More engines load at a time if the limit would be exceeded otherwise.
  Duration RolloutLimit{11'000'000};
  /// Usual duration of a load, including the runs that finish before it.
  Duration UsualLoadTime{2'200'000};
  /// Timeout of a request for a report and of an order.
  Duration CallTimeout{700'000};
  /// Time between checks of an engine that should be loading. Its reports are a
  /// few hundred milliseconds old.
  Duration CheckInterval{250'000};
  /// Time from an order to the first check; no load is faster.
  Duration FirstCheckDelay{900'000};
  /// An engine whose load takes longer is postponed. Several times the usual
  /// duration.
  Duration LoadTimeout{6'000'000};
  /// Time until the next check of an engine whose order met another one, or
  /// whose report is of another start.
  Duration RefusalRetryDelay{300'000};
  /// Maximum age of a report. An engine whose report is idle this long after an
  /// order without an answer is not carrying it out, so its slot is freed.
  Duration MaxReportAge{400'000};
  /// An order or a request for a report without a response is repeated after
  /// this time, but before a load only once every outdated engine has had its
  /// turn. Responses take a few milliseconds.
  Duration RepeatInterval{100'000};
  /// Maximum number of orders that an engine gets in one turn. They carry the
  /// same number of accepted orders, so the engine accepts one at most.
  uint32_t OrdersPerTurn = 5;
  bool operator==(const WeightPlanSettings &) const = default;
};

/// Request a report from the engine.
struct RequestReport {
  std::string ServerId;
  Endpoint Address;
  bool operator==(const RequestReport &) const = default;
};
/// Order the engine to load the version.
struct SendWeightOrder {
  std::string ServerId;
  Endpoint Address;
  ModelVersion Desired;
  uint64_t OrdersTaken = 0; ///< Orders that the engine has accepted so far.
  uint64_t StartedMs = 0;   ///< The start whose report led to the order.
  bool operator==(const SendWeightOrder &) const = default;
};
/// Note that this start of the server has loaded the version.
struct NoteLoaded {
  std::string ServerId;
  ModelVersion LoadedVersion;
  uint64_t StartedMs = 0;
  bool operator==(const NoteLoaded &) const = default;
};
/// Why an engine was postponed.
enum class PostponeReason : uint8_t {
  NoReport, ///< No response to the request for a report before the order.
  NoAnswer, ///< No response to the order, and no sign that it is carried out.
  Refused,  ///< The engine can't carry out the order now.
  TooSlow,  ///< The load exceeded LoadTimeout.
};

/// Stable lower-case name of the reason, such as "no_answer".
std::string_view postponeReasonName(PostponeReason reason);

/// Note that this start of the server was postponed.
struct NotePostponed {
  std::string ServerId;
  uint64_t StartedMs = 0;
  ModelVersion Desired;
  PostponeReason Reason = PostponeReason::NoAnswer;
  uint32_t Failures = 0; ///< Times that this start was postponed.
  bool operator==(const NotePostponed &) const = default;
};
using WeightAction =
    std::variant<RequestReport, SendWeightOrder, NoteLoaded, NotePostponed>;

/// An engine's response to an order.
enum class OrderAnswer : uint8_t {
  Accepted,    ///< The engine is loading the version or already has it.
  Conflict,    ///< Another order is under way, or the number of orders differs.
  Fenced,      ///< Rejected for its fencing token: there is a newer holder.
  Impossible,  ///< The engine can't carry out the order now.
  OtherServer, ///< The address belongs to another server.
  Unknown,     ///< No response; the order may still be carried out later.
};

/// The state of the rollout at the holder of the order lease. Not thread-safe.
class WeightPlan {
public:
  explicit WeightPlan(WeightPlanSettings settings) : Settings(settings) {}

  /// What to do now: starts loads up to the limit and checks those under way.
  /// Call several times a second.
  std::vector<WeightAction> next(const Catalog &catalog, TimePoint now);
  /// The report of an engine, or nothing if the request for it failed. Returns
  /// what to do next.
  std::vector<WeightAction> onReport(const std::string &server,
                                     const std::optional<EngineReport> &report,
                                     TimePoint now);
  /// The response to an order that was sent to this start of the server.
  /// Returns what to do next.
  std::vector<WeightAction> onAnswer(ServerRef server, OrderAnswer answer,
                                     TimePoint now);
  /// Forgets all loads, because this process no longer holds the order lease.
  void clear();

  /// Servers that are loading or are about to.
  std::vector<ServerStart> loadingServers() const;
  bool isIdle() const { return Loads.empty(); }

private:
  /// What a load waits for: the engine's report, the response to an order, or
  /// the end of the load itself.
  enum class Phase : uint8_t { Asking, Ordering, Loading };
  /// One engine's load of new weights, from its selection on.
  struct Load {
    uint64_t StartedMs = 0; ///< The start of the engine that the load is for.
    Endpoint Address;
    ModelVersion Desired;
    Phase CurrentPhase = Phase::Asking;
    TimePoint Since;         ///< When the engine was selected.
    TimePoint NextCheckAt;   ///< Next check, unless a response arrives earlier.
    TimePoint AskedAt;       ///< When this phase of asking began.
    TimePoint NextRequestAt; ///< When a request for a report is repeated.
    uint32_t OpenRequests = 0;   ///< Requests for a report without a response.
    uint64_t OrderedVersion = 0; ///< Of the latest order; 0: none was sent.
    uint64_t OrdersTaken = 0;    ///< Number that the latest order carries.
    uint32_t OrdersSent = 0;     ///< Since the latest report.
    uint32_t OrdersFailed = 0;   ///< Those of them whose call has failed.
    TimePoint NextOrderAt;       ///< When the latest order may be repeated.
    /// The latest order has got no response so far.
    bool IsOrderUnanswered = false;
    /// The engine accepted an order or reported that it carries one out.
    bool IsOrderAccepted = false;
  };
  using LoadMap = std::map<std::string, Load>;
  /// A server with older weights than desired.
  struct OutdatedServer {
    const BackendServer *Server = nullptr;
    uint64_t LoadedVersion = 0;
    ModelVersion Desired;
    TimePoint Since; ///< Since when its weights have been outdated.
  };

  /// How often a server was postponed while it was to load a version.
  struct FailureHistory {
    uint64_t Version = 0;
    uint32_t Count = 0;
    bool HasUnansweredOrder = false; ///< One of its orders got no answer.
  };

  /// Engines that may load at a time in any case.
  size_t minConcurrency(const Catalog &catalog) const;
  std::vector<OutdatedServer> outdatedServers(const Catalog &catalog) const;
  /// Drops loads that have finished, or whose server has left or restarted.
  void dropFinishedLoads(const Catalog &catalog);
  /// Postpones engines whose loads take too long.
  std::vector<WeightAction> postponeSlowLoads(TimePoint now);
  /// Frees the slot of a load that makes no progress.
  NotePostponed postpone(LoadMap::iterator load, PostponeReason reason);
  /// Forgets the failures of servers that are not outdated any more.
  void forgetFailures(const std::vector<OutdatedServer> &outdated);
  /// Failures of this start of the server to load its desired version; null if
  /// there were none.
  const FailureHistory *failuresOf(const OutdatedServer &server) const;
  /// Selects outdated servers until concurrency() loads are under way.
  void startLoads(const Catalog &catalog, TimePoint now);
  /// Engines that may load at a time now.
  size_t concurrency(const Catalog &catalog,
                     const std::vector<OutdatedServer> &outdated,
                     TimePoint now) const;
  /// Whether every outdated server was ordered to load its desired version, or
  /// was postponed.
  bool haveAllHadTurn(const Catalog &catalog) const;
  /// Whether the latest order of the load is to be repeated now.
  bool isRepetitionDue(const Load &load, TimePoint now) const;
  /// The next order of the load, with the number from its latest report.
  SendWeightOrder sendOrder(const std::string &server, Load &load,
                            TimePoint now) const;
  /// The outdated server to load next; null if all are loading.
  const OutdatedServer *pickNext(const std::vector<OutdatedServer> &outdated,
                                 const Catalog &catalog) const;

  WeightPlanSettings Settings;
  LoadMap Loads; ///< By server id.
  /// Of outdated servers that were postponed.
  std::map<ServerStart, FailureHistory> Failures;
};

} // namespace daisytack::direct
