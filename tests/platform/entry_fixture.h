/// Entries without a network: each decodes the platform's records into its own
/// catalog and selects servers from it.
#pragma once

#include "direct/placement.h"
#include "platform/record_format.h"

#include <memory>
#include <string>
#include <vector>

namespace daisytack::platform {

using namespace std::chrono_literals;

inline const TimePoint Start{Duration(1'000'000'000)};

inline direct::StoreRecord record(std::string key, std::string value,
                                  uint64_t revision) {
  return {std::move(key), std::move(value), revision, false};
}

inline direct::StoreRecord deletedRecord(std::string key, uint64_t revision) {
  return {std::move(key), "", revision, true};
}

/// Configures a service of engines that tolerate 17 requests per second while
/// they are cold, and a plain service whose servers are never cold.
inline direct::StoreRecord configRecord(uint64_t revision) {
  return record("op/config",
                R"({"version":1,"routes":[
      {"name":"draft","host":"h","path-prefix":"/d/","kind":"streaming",
       "service":"engines","target-latency-ms":800,"sticky":true},
      {"name":"call","host":"h","path-prefix":"/c/","kind":"safe",
       "service":"plain","attempts":2,"target-latency-ms":120}],
      "services":[
      {"name":"engines","cold-start-s":3.0,"cold-per-s":17.0,
       "engine":{"slots":128,"kv-capacity-tokens":142129,"kv-token-bytes":1,
                 "link-mbps":1000.0,"managed":true,"models":[{"name":"m"}]}},
      {"name":"plain","cold-start-s":0.0,"cold-per-s":0.0}]})",
                revision);
}

inline direct::StoreRecord serverRecord(const std::string &id,
                                        const std::string &service,
                                        const std::string &domain, int coldMs,
                                        uint64_t revision) {
  std::string models = service == "engines"
                           ? R"(,"models":[{"name":"m","version":1}])"
                           : std::string();
  return record("servers/" + id,
                R"({"service":")" + service +
                    R"(","address":"10.1.0.1:80","zone":")" + domain +
                    R"(","version":"v1","slots":128,"state":"ready",)" +
                    R"("cold-remaining-ms":)" + std::to_string(coldMs) +
                    R"(,"sequence":1)" + models + "}",
                revision);
}

inline direct::StoreRecord registrationRecord(int entry, uint64_t revision) {
  std::string address = "10.0.0." + std::to_string(entry + 1) + ":7000";
  return record("daisytack/registered/" + address,
                R"({"peer":")" + address + R"("})", revision);
}

/// The part of an entry that selects servers, with its own address.
class Entry {
public:
  explicit Entry(int number = 0, direct::Locality locality = {"a"})
      : ColdServers(slowStart(), addressOf(number), Start - 10s),
        Limits({}, addressOf(number), Start - 10s),
        Placer(direct::PlacementSettings{}, std::move(locality),
               direct::PlacementInputs{Loads, Links, Ejections, Rates, Kept,
                                       ColdServers, Limits}) {}

  static Endpoint addressOf(int number) {
    return {"10.0.0." + std::to_string(number + 1), 7000};
  }

  static balancing::SlowStartSettings slowStart() {
    balancing::SlowStartSettings out;
    out.Overshoot = 1.5;
    out.Slack = 5;
    return out;
  }

  static direct::CatalogHooks hooks() {
    direct::CatalogHooks out;
    out.SubjectOf = subjectOf;
    out.Decode = decodeRecord;
    out.Changed = [](const auto &...) {};
    out.Unreadable = [](const auto &...) {};
    return out;
  }

  static direct::ForwardRequest promptRequest(const std::string &session) {
    direct::ForwardRequest out;
    out.Head.RequestId = "r" + session;
    out.Head.Model = "m";
    out.Head.PromptTokens = 300;
    out.Head.Parts = {{"system", 100}, {session, 100}, {"own", 100}};
    out.Service = "engines";
    out.MatchedRoute.Kind = direct::RouteKind::Stream;
    out.MatchedRoute.TargetLatency = 800ms;
    return out;
  }

  static direct::ForwardRequest plainRequest(const std::string &id) {
    direct::ForwardRequest out;
    out.Head.RequestId = id;
    out.Service = "plain";
    out.MatchedRoute.Kind = direct::RouteKind::Idempotent;
    out.MatchedRoute.TargetLatency = 120ms;
    return out;
  }

  /// The id of the server selected for one attempt; empty when there is no
  /// eligible server, with the cause in Reason.
  std::string send(direct::ForwardRequest request, TimePoint now,
                   const std::vector<std::string> &tried = {}) {
    request.Arrived = now;
    request.Deadline = now + 12s;
    Reason = {};
    auto choice = Placer.choose(request, *Catalog.view(), {tried}, std::nullopt,
                                now, Reason);
    return choice ? choice->Order.ServerId : std::string();
  }

  balancing::ServerLoads Loads{{}};
  direct::StoreLinks Links{{}};
  balancing::PrefillRate Rates{{}};
  Ejector Ejections{{1, 4, 5s, 300s, 60s, 600s, true}};
  direct::KeptContext Kept{{}};
  direct::CatalogKeeper Catalog{{}, hooks()};
  balancing::SlowStart ColdServers;
  balancing::RequestLimits Limits;
  direct::Placement Placer;
  Error Reason;
};

} // namespace daisytack::platform
