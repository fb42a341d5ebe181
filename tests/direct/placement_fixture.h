/// Six engines in two failure domains, one context store, and the state that an
/// entry keeps of them.
#pragma once

#include "direct/placement.h"

#include <gtest/gtest.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace daisytack::direct {

using namespace std::chrono_literals;

inline const TimePoint Start{Duration(1'000'000'000)};
inline constexpr int64_t ClockMs = 5'000'000;

/// Placement by an entry in the failure domain d1.
class PlacementTest : public testing::Test {
protected:
  PlacementTest() {
    Service engines;
    engines.Name = "engines";
    engines.Engine = EngineTraits{};
    engines.Engine->HasManagedContext = true;
    engines.Engine->TokenBytes = 1000;
    Service store;
    store.Name = "store";
    store.Store = ContextStoreTraits{
        {"10.9.0.1", 80}, "d1", 100'000, 100'000, 0ms, true, 4};
    Service plain;
    plain.Name = "plain";
    ServingConfig config;
    config.Services = {engines, store, plain};
    Route route;
    route.Shares = {{"engines", 1}};
    route.HasPrompt = true;
    route.TargetLatency = 400ms;
    config.Routes = {route};
    config.Organisations = {{"org", {"key"}, std::nullopt, false}};
    Catalog.Config = std::make_shared<const ConfigIndex>(config);
    Kept.setStores(config.Services);
    Kept.apply("store", PartChanges{1, 0, false, ClockMs, {}}, {}, Start - 1h);
    for (int i = 0; i < 6; ++i)
      addServer("engines", "e" + std::to_string(i), i < 3 ? "d1" : "d2");
    for (int i = 0; i < 2; ++i)
      addServer("plain", "p" + std::to_string(i), i == 0 ? "d1" : "d2");
  }

  void setIsolated(bool isIsolated) {
    ServingConfig config = Catalog.Config->config();
    config.Organisations[0].IsIsolated = isIsolated;
    Catalog.Config = std::make_shared<const ConfigIndex>(config);
  }

  void addServer(const std::string &service, const std::string &id,
                 const std::string &domain) {
    BackendServer server;
    server.Id = id;
    server.Service = service;
    server.Address = {"10.1.0.1", 80};
    server.FailureDomain = domain;
    if (service == "engines")
      server.Weights = {{"model", 1}};
    Catalog.Servers[service].push_back(server);
    Catalog.AllServers.push_back(server);
  }

  BackendServer &server(const std::string &id) {
    for (auto &[service, servers] : Catalog.Servers)
      for (BackendServer &it : servers)
        if (it.Id == id)
          return it;
    throw std::out_of_range(id);
  }

  static ForwardRequest prompt(const std::string &session) {
    ForwardRequest out;
    out.Head.RequestId = "r" + session;
    out.Head.Model = "model";
    out.Head.PromptTokens = 3000;
    out.Head.Parts = {{"system", 500}, {session, 2000}, {"own", 500}};
    out.Service = "engines";
    out.Organisation = "org";
    out.MatchedRoute.Kind = RouteKind::Stream;
    out.MatchedRoute.TargetLatency = 800ms;
    out.Arrived = Start;
    out.Deadline = Start + 15s;
    return out;
  }

  AttemptOrder choose(const ForwardRequest &request,
                      const std::vector<std::string> &tried = {},
                      TimePoint now = Start) {
    Error reason;
    auto choice = Place.choose(request, Catalog, {tried}, ClockMs, now, reason);
    if (!choice)
      return {};
    return choice->Order;
  }

  balancing::ServerLoads Loads{{}};
  StoreLinks Links{{}};
  balancing::PrefillRate Rates{{}};
  Ejector Ejected{{1, 4, 5s, 300s, 60s, 600s, true}};
  KeptContext Kept{{}};
  balancing::SlowStart ColdServers{{}, {"10.0.0.1", 7000}, TimePoint()};
  balancing::RequestLimits Limits{{}, {"10.0.0.1", 7000}, TimePoint()};
  direct::Catalog Catalog;
  /// Settings without a queue limit, so that each test sees only the cost that
  /// it is about.
  static PlacementSettings unboundedQueues() {
    PlacementSettings out;
    out.Queue.QueueShare = 0;
    return out;
  }

  Placement Place{unboundedQueues(),
                  {"d1"},
                  {Loads, Links, Ejected, Rates, Kept, ColdServers, Limits}};
  Placement BoundedPlace{
      {}, {"d1"}, {Loads, Links, Ejected, Rates, Kept, ColdServers, Limits}};
};

} // namespace daisytack::direct
