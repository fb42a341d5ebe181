/// WeightPlan with an engine that restarts under the same id, while records,
/// reports, responses and orders are late or lost.
#include "direct/weight_plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <utility>

namespace daisytack::direct {
namespace {

using namespace std::chrono_literals;

constexpr Duration LoadTime = 1300ms;
constexpr uint64_t Desired = 3;

/// An engine that carries out orders and resets their number at each start.
struct ModelEngine {
  uint64_t StartedMs = 1000;
  uint64_t Version = 1;
  uint64_t OrdersTaken = 0;
  /// Version that is being loaded, and when the load ends; empty: none.
  std::optional<std::pair<uint64_t, TimePoint>> Loading;

  void run(TimePoint now) {
    if (!Loading || now < Loading->second)
      return;
    Version = Loading->first;
    Loading.reset();
  }
  /// The start time may be earlier than the previous one, as after the engine's
  /// clock was set back.
  void restart(uint64_t startedMs) {
    *this = {startedMs, Version, 0, std::nullopt};
  }
  OrderAnswer take(const SendWeightOrder &order, TimePoint now) {
    if (Loading || order.OrdersTaken != OrdersTaken)
      return OrderAnswer::Conflict;
    if (order.Desired.Version == Version)
      return OrderAnswer::Accepted;
    ++OrdersTaken;
    Loading = {order.Desired.Version, now + LoadTime};
    return OrderAnswer::Accepted;
  }
  EngineReport report() const {
    return {{{"model", Version}}, Loading.has_value(), OrdersTaken, StartedMs};
  }
};

/// One engine, its record and the plan, on a simulated clock.
class RestartModel {
public:
  RestartModel() { Known.DesiredVersions["model"] = {{Desired, Now}}; }

  /// Advances by 100 ms. With faults, each step may have some.
  void step(bool hasFaults) {
    Now += 100ms;
    Engine.run(Now);
    if (hasFaults && *rc::gen::inRange(0, 12) == 0)
      Engine.restart(*rc::gen::inRange<uint64_t>(1, 5000));
    bool writes = !hasFaults || *rc::gen::inRange(0, 4) == 0;
    if (writes)
      writeRecord();
    deliverLate(hasFaults);
    perform(Plan.next(Known, Now), hasFaults);
  }

  bool isDone() const {
    return Engine.Version == Desired && !Engine.Loading && Plan.isIdle() &&
           LateOrders.empty();
  }

private:
  void writeRecord() {
    BackendServer server;
    server.Id = "a";
    server.Service = "engines";
    server.StartedMs = Engine.StartedMs;
    server.Weights = {{"model", Engine.Version}};
    Known.AllServers = {server};
  }

  void perform(const std::vector<WeightAction> &actions, bool hasFaults) {
    for (const WeightAction &action : actions) {
      if (std::holds_alternative<RequestReport>(action)) {
        EngineReport report = Engine.report();
        if (hasFaults && *rc::gen::inRange(0, 3) == 0)
          LateReports.push_back(report);
        else
          perform(Plan.onReport("a", report, Now), hasFaults);
      } else if (const auto *order = std::get_if<SendWeightOrder>(&action)) {
        sendOrder(*order, hasFaults);
      }
    }
  }

  void sendOrder(const SendWeightOrder &order, bool hasFaults) {
    int outcome = hasFaults ? *rc::gen::inRange(0, 4) : 0;
    ServerStart to{order.ServerId, order.StartedMs};
    if (outcome == 1) // Carried out late, without an answer.
      LateOrders.push_back({order, Now + *rc::gen::inRange(2, 12) * 1s});
    if (outcome == 0)
      Plan.onAnswer(to, Engine.take(order, Now), Now);
    else
      Plan.onAnswer(to, OrderAnswer::Unknown, Now);
  }

  void deliverLate(bool hasFaults) {
    for (const EngineReport &report : std::exchange(LateReports, {}))
      perform(Plan.onReport("a", report, Now), hasFaults);
    std::erase_if(LateOrders, [this](const auto &it) {
      if (Now < it.second)
        return false;
      Engine.take(it.first, Now);
      return true;
    });
  }

  TimePoint Now{Duration(1'000'000'000)};
  ModelEngine Engine;
  Catalog Known;
  WeightPlan Plan{{}};
  std::vector<EngineReport> LateReports;
  std::vector<std::pair<SendWeightOrder, TimePoint>> LateOrders;
};

/// However often the engine restarts, it gets the desired weights once the
/// faults end.
RC_GTEST_PROP(RestartedEngineModel, GetsItsWeightsOnceTheFaultsEnd, ()) {
  RestartModel model;
  for (int i = 0; i < 80; ++i)
    model.step(true);
  // The latest order arrives after 12 s; a load times out after 6 s.
  int steps = 0;
  while (!model.isDone() && steps < 250) {
    model.step(false);
    ++steps;
  }
  RC_ASSERT(model.isDone());
}

} // namespace
} // namespace daisytack::direct
