/// Which engines are to load which version of their weights, and how far each
/// has come. Without a socket, clock or thread.
///
/// An engine that is asked to load first finishes its runs and turns new
/// requests away, so few load at a time, and they are spread over the failure
/// domains. An order names the number of orders that the engine has accepted,
/// so that one which arrives late, after a newer one, has no effect. That
/// number begins anew when the engine starts anew, so what is known of a load
/// holds for one start of the engine.
#pragma once

#include "direct/catalog.h"
#include "direct/weight_order.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisytack::direct {

struct WeightPlanSettings {
  /// Engines that load at a time; more of them load slower. Of a large fleet
  /// at least this share: its weights are served by more at once in proportion,
  /// and what is out leaves room for the others.
  uint32_t ConcurrentLoads = 2;
  double ConcurrentShare = 1.0 / 6;
  /// An engine that is chosen gets no new requests for so long before its
  /// order: what still waits there would be turned away by it. Most waits are
  /// shorter.
  Duration PrepareTime{300'000};
  /// From the wish for a version until every server must have it; and how long
  /// one load takes with the runs that end before it, when it is known that not
  /// all will be done in time. More load at a time then.
  Duration RolloutLimit{11'000'000};
  Duration UsualLoadTime{2'200'000};
  /// A report or an order without an answer is given up after this.
  Duration CallTimeout{700'000};
  /// Between looks at an engine that should be loading; its reports are some
  /// hundred milliseconds old.
  Duration CheckInterval{250'000};
  /// Before the first look after an order: no load takes less.
  Duration FirstCheckDelay{900'000};
  /// A load that takes longer is begun again: several times the usual one.
  Duration LoadTimeout{6'000'000};
  /// After an engine refused, before it is asked again.
  Duration RefusalRetryDelay{300'000};
  bool operator==(const WeightPlanSettings &) const = default;
};

struct RequestReport {
  std::string ServerId;
  Endpoint Address;
  bool operator==(const RequestReport &) const = default;
};
struct SendWeightOrder {
  std::string ServerId;
  Endpoint Address;
  ModelVersion Wanted;
  uint64_t OrdersTaken = 0;
  uint64_t StartedMs = 0; ///< Of the start whose report asked for the order.
  bool operator==(const SendWeightOrder &) const = default;
};
/// The server has taken the version since this start.
struct NoteLoaded {
  std::string ServerId;
  ModelVersion LoadedVersion;
  uint64_t StartedMs = 0;
  bool operator==(const NoteLoaded &) const = default;
};
using WeightAction = std::variant<RequestReport, SendWeightOrder, NoteLoaded>;

/// What an engine answered to an order.
enum class OrderAnswer : uint8_t {
  Accepted,    ///< Being carried out, or it holds already.
  Conflict,    ///< Another order is under way, or the count differs.
  Fenced,      ///< Another holder has given orders since: this one must stop.
  Impossible,  ///< The engine can't carry it out now.
  OtherServer, ///< The address belongs to another server.
  Unknown,     ///< No answer: it may be carried out later.
};

/// Not thread-safe.
class WeightPlan {
public:
  explicit WeightPlan(WeightPlanSettings settings) : Settings(settings) {}

  /// What to do now: begins loads while there is room, and looks after those
  /// under way.
  std::vector<WeightAction> next(const Catalog &catalog, TimePoint now);
  std::vector<WeightAction> onReport(const std::string &server,
                                     const std::optional<EngineReport> &report,
                                     TimePoint now);
  /// The answer to an order that was given to this start of the server.
  void onAnswer(ServerRef server, OrderAnswer answer, TimePoint now);
  /// This process may not give orders any more.
  void clear() { Loads.clear(); }

  /// Servers that are loading, or about to.
  std::vector<ServerStart> loadingServers() const;
  bool isIdle() const { return Loads.empty(); }

private:
  enum class Phase : uint8_t { Asking, Ordering, Loading };
  struct Load {
    uint64_t StartedMs = 0;
    Endpoint Address;
    ModelVersion Wanted;
    Phase CurrentPhase = Phase::Asking;
    TimePoint Since;       ///< When it was chosen.
    TimePoint NextCheckAt; ///< Next look, unless an answer comes before.
  };
  struct OutdatedServer {
    const BackendServer *Server = nullptr;
    ModelVersion Wanted;
    TimePoint Since; ///< Since when it has been behind.
  };

  size_t minConcurrency(const Catalog &catalog) const;
  std::vector<OutdatedServer> outdatedServers(const Catalog &catalog) const;
  void dropFinishedLoads(const Catalog &catalog, TimePoint now);
  /// Chooses engines while there is room for them.
  void startLoads(const Catalog &catalog, TimePoint now);
  size_t concurrency(const Catalog &catalog,
                     const std::vector<OutdatedServer> &outdated,
                     TimePoint now) const;
  const OutdatedServer *pickNext(const std::vector<OutdatedServer> &outdated,
                                 const Catalog &catalog) const;

  WeightPlanSettings Settings;
  std::map<std::string, Load> Loads;
};

} // namespace daisytack::direct
