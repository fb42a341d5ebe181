/// What the platform's store says, decoded: typed facts, each with the revision
/// at which the store holds it. The revision orders two facts of the same
/// subject, whoever tells them and however often.
#pragma once

#include "direct/server_start.h"
#include "direct/serving_config.h"

#include <compare>
#include <string>
#include <variant>
#include <vector>

namespace daisytack::direct {

struct ModelVersion {
  std::string Model;
  uint64_t Version = 0;
  auto operator<=>(const ModelVersion &) const = default;
};

/// One start of a backend server, as its record describes it. A restart is
/// another one, under the same id or another.
struct BackendServer {
  std::string Id;
  std::string Service;
  Endpoint Address;
  std::string FailureDomain;
  uint32_t Slots = 1;
  bool IsDraining = false;
  std::vector<ModelVersion> Weights; ///< That it has loaded.
  uint64_t StartedMs = 0;            ///< See ServerStart.
  /// Rises with what this start writes of itself; may stay the same.
  uint64_t Sequence = 0;
  /// How much longer it was cold when it wrote the record.
  Duration ColdFor{0};
  /// Until when it counts as cold; the catalog sets it.
  TimePoint ColdUntil{};
  auto operator<=>(const BackendServer &) const = default;

  ServerRef ref() const { return {Id, StartedMs}; }

  /// 0 when the server does not have the model.
  uint64_t versionOf(std::string_view model) const {
    for (const ModelVersion &it : Weights)
      if (it.Model == model)
        return it.Version;
    return 0;
  }
};

/// An entry process of this system.
struct EntryPeer {
  std::string Name;
  Endpoint Peer;               ///< Where it answers other entries.
  std::string FailureDomain{}; ///< Empty in records that don't name it.
  auto operator<=>(const EntryPeer &) const = default;
};

/// An address at which a process may name stores as sources. Written with each
/// announcement of an entry, it outlasts the lease of that.
struct EntryRegistration {
  Endpoint Peer;
  auto operator<=>(const EntryRegistration &) const = default;
};

/// The operator wants the model's servers on this version of the weights.
struct DesiredWeights {
  ModelVersion Wanted;
  auto operator<=>(const DesiredWeights &) const = default;
};

/// The one entry that may give orders to servers and free kept context, and
/// its instance: another one may bear its name later.
struct OrderLeaseHolder {
  std::string Entry;
  Endpoint Peer{}; ///< Port 0 in records that don't name it.
  auto operator<=>(const OrderLeaseHolder &) const = default;
};

/// Kept context that is not named as a source any more: of weights before a
/// version.
struct Retirement {
  uint64_t BelowVersion = 0;
  double Share = 0; ///< Of the parts, the same ones in every process.
  auto operator<=>(const Retirement &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(BelowVersion, Share);
  }

  bool covers(std::string_view scope, std::string_view part) const;
};

/// All that is retired, for good: each record covers those before it.
struct RetiredContext {
  std::vector<Retirement> Retirements;
  auto operator<=>(const RetiredContext &) const = default;
};

/// A request that is not passed on, as servers ended under it; the record goes
/// with its lease.
struct QuarantinedRequest {
  Id128 Request; ///< requestIdentity
  auto operator<=>(const QuarantinedRequest &) const = default;
};

/// Nothing is to be sent to the servers of a failure domain, for as long as the
/// operator's record stands. The key names the domain, the value says nothing.
struct EvacuatedDomain {
  std::string FailureDomain;
  auto operator<=>(const EvacuatedDomain &) const = default;
};

/// What a key of the store is about.
enum class RecordKind : uint8_t {
  Config,
  Server,
  Weights,
  Entry,
  Registration, ///< Of an entry's address.
  Holder,       ///< Of the right to give orders.
  Retired,
  Quarantine, ///< Of a request.
  Evacuation, ///< Of a failure domain.
  Other
};

struct RecordSubject {
  RecordKind Kind = RecordKind::Other;
  std::string Name; ///< Server id, model, entry, failure domain; else empty.
  auto operator<=>(const RecordSubject &) const = default;
};

using RecordValue =
    std::variant<std::monostate, ServingConfig, BackendServer, DesiredWeights,
                 EntryPeer, OrderLeaseHolder, RetiredContext, EntryRegistration,
                 QuarantinedRequest, EvacuatedDomain>;

/// One key of the store as it was read: opaque to all but the decoder, so that
/// entries can pass it on as it is.
struct StoreRecord {
  std::string Key;
  std::string Value;
  uint64_t Revision = 0;
  bool IsDeleted = false;
  auto operator<=>(const StoreRecord &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Key, Value, Revision, IsDeleted);
  }
};

} // namespace daisytack::direct
