/// Catalog hooks for test records whose keys and values are plain text.
#pragma once

#include "direct/catalog.h"

#include <string>
#include <vector>

namespace daisytack::direct {

using namespace std::chrono_literals;

inline const TimePoint CatalogStart{Duration(1'000'000'000)};

inline RecordSubject textSubject(std::string_view key) {
  size_t colon = key.find(':');
  std::string name(colon == std::string_view::npos ? ""
                                                   : key.substr(colon + 1));
  if (key.starts_with("server:"))
    return {RecordKind::Server, name};
  if (key.starts_with("weights:"))
    return {RecordKind::Weights, name};
  if (key.starts_with("entry:"))
    return {RecordKind::Entry, name};
  if (key.starts_with("registered:"))
    return {RecordKind::Registration, name};
  if (key == "holder")
    return {RecordKind::Holder, ""};
  if (key == "rollout-times")
    return {RecordKind::RolloutTimes, ""};
  if (key == "retired")
    return {RecordKind::Retired, ""};
  return {key == "config" ? RecordKind::Config : RecordKind::Other, ""};
}

/// Hooks that decode records written as KEY=VALUE below, and append changes and
/// unreadable records to the log:
/// - "server:ID=VERSION": a server with this version of the weights of "model";
///   0 for none. Suffixes: "!" for draining, "@SERVICE" for a service other
///   than "service", "#TIME" for the start time.
/// - "weights:MODEL=VERSION": the desired version.
/// - "config=VERSION": a configuration with the services "service" and
///   "engines"; the latter has engines. The suffix "@SERVICE" adds a third
///   service.
/// - "rollout-times=TIME": since when version 2 of "model" has been desired.
/// - "entry:NAME" with any value, "holder=NAME".
/// - "registered:NAME=PORT".
///
/// The value "bad" can't be decoded under any key.
inline CatalogHooks textHooks(std::vector<std::string> *log = nullptr) {
  CatalogHooks out;
  out.SubjectOf = textSubject;
  out.Decode = [](const StoreRecord &record,
                  Error &reason) -> std::optional<RecordValue> {
    RecordSubject subject = textSubject(record.Key);
    if (record.Value == "bad") {
      reason = {ErrorKind::BadValue, "bad"};
      return std::nullopt;
    }
    if (subject.Kind == RecordKind::Entry)
      return EntryPeer{subject.Name, {"10.0.0.1", 1}};
    if (subject.Kind == RecordKind::Holder)
      return OrderLeaseHolder{record.Value};
    if (subject.Kind == RecordKind::Registration)
      return EntryRegistration{
          {"10.0.0.1", static_cast<uint16_t>(std::stoul(record.Value))}};
    if (subject.Kind == RecordKind::RolloutTimes)
      return RolloutTimesRecord{{{{"model", 2}, std::stoll(record.Value)}}};
    bool isDraining = record.Value.ends_with('!');
    uint64_t version = std::stoull(record.Value);
    size_t at = record.Value.find('@');
    std::string other =
        at == std::string::npos ? "" : record.Value.substr(at + 1);
    if (subject.Kind == RecordKind::Weights)
      return DesiredWeights{{subject.Name, version}};
    if (subject.Kind == RecordKind::Config) {
      ServingConfig config;
      config.Version = version;
      config.Services.resize(3);
      config.Services[0].Name = "service";
      config.Services[1].Name = "engines";
      config.Services[1].Engine = EngineTraits{};
      config.Services[2].Name = other;
      return config;
    }
    BackendServer server;
    server.Id = subject.Name;
    server.Service = other.empty() ? "service" : other;
    server.IsDraining = isDraining;
    if (size_t started = record.Value.find('#'); started != std::string::npos)
      server.StartedMs = std::stoull(record.Value.substr(started + 1));
    if (version > 0)
      server.Weights = {{"model", version}};
    return server;
  };
  out.Changed = [log](const RecordSubject &subject, std::string_view change,
                      uint64_t, TimePoint) {
    if (log)
      log->push_back(subject.Name + " " + std::string(change));
  };
  out.Unreadable = [log](const StoreRecord &record, const Error &, TimePoint) {
    if (log)
      log->push_back(record.Key + " unreadable");
  };
  return out;
}

inline StoreRecord put(std::string key, std::string value, uint64_t revision) {
  return {std::move(key), std::move(value), revision, false};
}
inline StoreRecord deletion(std::string key, uint64_t revision) {
  return {std::move(key), "", revision, true};
}

/// Ids of the servers of "service" that take new requests.
inline std::vector<std::string> idsOf(const CatalogKeeper &keeper) {
  std::vector<std::string> out;
  for (const BackendServer &it : keeper.view()->serversOf("service"))
    out.push_back(it.Id);
  return out;
}

using Ids = std::vector<std::string>;

} // namespace daisytack::direct
