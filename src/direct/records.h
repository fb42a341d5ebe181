/// Records of the platform's key-value service ("the store"), raw and decoded.
/// The revision of a record orders it among the records of the same key,
/// regardless of which process passes it on and how often.
#pragma once

#include "direct/server_start.h"
#include "direct/serving_config.h"

#include <compare>
#include <string>
#include <variant>
#include <vector>

namespace daisytack::direct {

/// A version of a model's weights.
struct ModelVersion {
  std::string Model;
  uint64_t Version = 0;
  auto operator<=>(const ModelVersion &) const = default;
};

/// One start of a backend server, as described by its record. A restarted
/// server is another BackendServer, under the same id or a different one.
struct BackendServer {
  std::string Id;
  std::string Service;
  Endpoint Address;
  std::string FailureDomain;
  uint32_t Slots = 1; ///< Requests that run at once.
  /// Version of the server's software, not of its weights. Has no order. What
  /// servers of two versions write does not fit together in one stream.
  std::string SoftwareVersion{};
  bool IsDraining = false;
  std::vector<ModelVersion> Weights; ///< Loaded weights; empty: none.
  uint64_t StartedMs = 0;            ///< See ServerStart; 0: not reported.
  /// Never decreases over the records that one start writes; successive records
  /// may have the same number.
  uint64_t Sequence = 0;
  /// How much longer the server was going to be cold when it wrote the record.
  Duration ColdFor{0};
  /// Until when the server counts as cold. Set by the catalog, not stored.
  TimePoint ColdUntil{};
  auto operator<=>(const BackendServer &) const = default;

  ServerRef ref() const { return {Id, StartedMs}; }

  /// The loaded version of the model; 0 if the server does not have the model.
  uint64_t versionOf(std::string_view model) const {
    for (const ModelVersion &it : Weights)
      if (it.Model == model)
        return it.Version;
    return 0;
  }
};

/// The announcement of an entry process. The record expires with its lease.
struct EntryPeer {
  std::string Name;
  Endpoint Peer;               ///< Address for messages from other entries.
  std::string FailureDomain{}; ///< Empty if the record doesn't name it.
  uint32_t LinkMbps = 0;       ///< Bandwidth of its link; 0: not known.
  auto operator<=>(const EntryPeer &) const = default;
};

/// The registration of an entry's address. A process at this address may name
/// context stores as sources. Written with each announcement; has no lease, so
/// it remains after the announcement has expired.
struct EntryRegistration {
  Endpoint Peer;
  auto operator<=>(const EntryRegistration &) const = default;
};

/// The version of a model's weights that the operator has set for its servers.
struct DesiredWeights {
  ModelVersion Desired;
  auto operator<=>(const DesiredWeights &) const = default;
};

/// How long a version of a model's weights has been desired, as passed on
/// between entries.
struct DesiredVersionAge {
  ModelVersion Desired;
  int64_t Age = 0; ///< In microseconds.
  auto operator<=>(const DesiredVersionAge &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Desired.Model, Desired.Version, Age);
  }
};

/// Since when a version of a model's weights has been desired, as recorded for
/// later processes.
struct DesiredVersionTime {
  ModelVersion Desired;
  int64_t SinceMs = 0; ///< By the servers' clock, in milliseconds.
  auto operator<=>(const DesiredVersionTime &) const = default;
};

/// The times of the desired versions that servers had yet to load when the
/// holder of the order lease wrote the record.
struct RolloutTimesRecord {
  std::vector<DesiredVersionTime> Versions;
  auto operator<=>(const RolloutTimesRecord &) const = default;
};

/// The holder of the order lease: the one entry that may send orders to backend
/// servers and free kept context. The address identifies its instance, because
/// the same name may later be used on another instance.
struct OrderLeaseHolder {
  std::string Entry; ///< Name of the entry.
  Endpoint Peer{};   ///< Port 0 if the record doesn't name it.
  auto operator<=>(const OrderLeaseHolder &) const = default;
};

/// Kept context that must not be named as a source any more, so that it can be
/// freed: a share of the prompt parts computed with old weights.
struct Retirement {
  uint64_t BelowVersion = 0; ///< Covers weights older than this version.
  /// Fraction of the parts, from 0 to 1. Every process selects the same parts.
  double Share = 0;
  auto operator<=>(const Retirement &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(BelowVersion, Share);
  }

  /// Whether this part of the context scope is covered.
  bool covers(std::string_view scope, std::string_view part) const;
};

/// All retired context. Retirement is permanent: each new record covers
/// everything in the previous one.
struct RetiredContext {
  std::vector<Retirement> Retirements;
  auto operator<=>(const RetiredContext &) const = default;
};

/// Requests that are not forwarded because backend servers crashed while
/// running them. The record expires with its lease.
struct QuarantineRecord {
  /// What these requests share (direct/request_signatures.h).
  Id128 Signature;
  /// The servers that crashed (ServerRef::key).
  std::vector<uint64_t> CrashedServers;
  auto operator<=>(const QuarantineRecord &) const = default;
};

/// A failure domain whose servers get no requests while the operator's record
/// exists. The key names the domain; the value carries no data.
struct EvacuatedDomain {
  std::string FailureDomain;
  auto operator<=>(const EvacuatedDomain &) const = default;
};

/// An epoch of a context store, which began long enough ago that no fetch
/// ordered by knowledge of an earlier epoch can run any more.
struct SettledEpoch {
  std::string Store; ///< Name of its service.
  uint64_t Epoch = 0;
  auto operator<=>(const SettledEpoch &) const = default;
};

/// Settled epochs, so that a process that starts can have context saved at
/// once, see direct/kept_context.h.
struct SettledEpochsRecord {
  std::vector<SettledEpoch> Epochs;
  auto operator<=>(const SettledEpochsRecord &) const = default;
};

/// What a key of the store is about.
enum class RecordKind : uint8_t {
  Config,
  Server,
  Weights,       ///< Desired weights of a model.
  Entry,         ///< Announcement of an entry.
  Registration,  ///< Registration of an entry's address.
  Holder,        ///< Holder of the order lease.
  Retired,       ///< Retired context.
  RolloutTimes,  ///< Since when versions of weights have been desired.
  SettledEpochs, ///< Epochs of context stores.
  Quarantine,    ///< Quarantine of requests with a signature.
  Evacuation,    ///< Evacuation of a failure domain.
  Other          ///< Anything else, which the catalog ignores.
};

/// What a key of the store is about.
struct RecordSubject {
  RecordKind Kind = RecordKind::Other;
  /// The rest of the key: server id, model, entry name, address, signature
  /// or failure domain. Empty for kinds with a single key.
  std::string Name;
  auto operator<=>(const RecordSubject &) const = default;
};

/// The decoded value of a record; std::monostate if it could not be decoded.
using RecordValue =
    std::variant<std::monostate, ServingConfig, BackendServer, DesiredWeights,
                 EntryPeer, OrderLeaseHolder, RetiredContext, EntryRegistration,
                 QuarantineRecord, EvacuatedDomain, RolloutTimesRecord,
                 SettledEpochsRecord>;

/// One key of the store with its raw value. Only the decoder interprets the
/// value, so entries can pass records on unchanged.
struct StoreRecord {
  std::string Key;
  std::string Value;     ///< Empty for a deletion.
  uint64_t Revision = 0; ///< Monotonic revision (direct/revision.h).
  bool IsDeleted = false;
  auto operator<=>(const StoreRecord &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Key, Value, Revision, IsDeleted);
  }
};

} // namespace daisytack::direct
