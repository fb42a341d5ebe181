/// Configuration objects. Operators create them, the key-value service holds
/// one key for each, and every process merges them by the service's revision.
#pragma once

#include "daisytack/types.h"

#include <compare>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisytack {

/// A customer of the operators: the unit of isolation, limits and fair share.
struct Organisation {
  std::string Name;
  std::string KeyHash; ///< SHA-256 of the bearer key, 64 hexadecimal digits.
  uint32_t Weight = 1; ///< Fair share relative to other organisations, 1..1000.
  double RequestsPerSecond = 100; ///< Over all entries.
  uint32_t Burst = 100; ///< Requests admitted at once over all entries.
  uint32_t MaxConcurrent = 1000; ///< Running and waiting over all entries.
  uint64_t KeptBytes = 1ULL
                       << 30; ///< Quota of kept context, bytes over all stores.
  auto operator<=>(const Organisation &) const = default;
};

/// A model and the weight version that its servers converge on.
struct Model {
  std::string Name;
  std::string Version; ///< Desired version; new requests see only this one.
  std::string Adapter; ///< Adapter loaded over the weights; empty for none.
  uint32_t MinServers =
      1; ///< Servers that must stay in service while a swap runs.
  auto operator<=>(const Model &) const = default;
};

/// When kept context is exported from the engine to the stores.
enum class KeepRule : uint8_t { Never, SecondSight, Always };

/// A class of requests: its priority, deadline and what may be done when an
/// attempt fails.
struct RequestClass {
  std::string Name;
  uint32_t Priority = 5; ///< 0 is shed first, 9 last.
  Duration Deadline{
      60'000'000}; ///< For callers that name none; also the longest accepted.
  bool Idempotent = true; ///< False: at most once, never repeated.
  KeepRule Keep = KeepRule::SecondSight;
  std::optional<WallTime>
      ReleaseAt; ///< Answers are held and let go at this moment.
  auto operator<=>(const RequestClass &) const = default;
};

/// What one organisation may reuse in one class ("*" for all classes).
struct ReusePolicy {
  std::string Organisation;
  std::string Class = "*";
  bool Reuse = true;
  Duration KeepFor{7LL * 24 * 3600 * 1'000'000};
  uint64_t MaxBytes = 1ULL << 30;
  uint32_t Epoch = 0; ///< Part of every piece key; a purge raises it, so older
                      ///< pieces can't be named.
  auto operator<=>(const ReusePolicy &) const = default;
};

/// A plain service that the system routes to.
struct PlainService {
  std::string Name;
  bool Idempotent = false; ///< True: every call may be repeated.
  Duration Deadline{10'000'000};
  auto operator<=>(const PlainService &) const = default;
};

/// What operators say of one backend server; absent means the defaults.
struct ServerOverride {
  std::string Name;
  bool Drained = false;
  bool ChecksFencing =
      false; ///< False: its agent is the only guard against stale orders.
  auto operator<=>(const ServerOverride &) const = default;
};

/// What an operator's key may do.
enum class OperatorRole : uint8_t { Viewer, Operator, Administrator };

struct OperatorAccount {
  std::string Name;
  std::string KeyHash; ///< SHA-256 of the bearer key, 64 hexadecimal digits.
  OperatorRole Role = OperatorRole::Viewer;
  auto operator<=>(const OperatorAccount &) const = default;
};

using ConfigObject =
    std::variant<Organisation, Model, RequestClass, ReusePolicy, PlainService,
                 ServerOverride, OperatorAccount>;

/// What a process is to the fleet.
enum class MemberRole : uint8_t { Entry, Agent };
/// Ordered: of two reports on one incarnation the higher one holds.
enum class MemberState : uint8_t { Live, Leaving, Gone };

/// One instance as the platform lists it, with what peers have said since.
struct Member {
  std::string Name; ///< Unique per instance; a replacement has another one.
  MemberRole Role = MemberRole::Agent;
  MemberState State = MemberState::Live;
  std::string Region;
  std::string FailureDomain;
  std::string
      Serves; ///< Model or plain service behind an agent; empty for an entry.
  bool IsService = false;
  Endpoint Work; ///< TCP: offers (agent) or callers' HTTP (entry).
  Endpoint Peer; ///< UDP and TCP: control messages.
  auto operator<=>(const Member &) const = default;
};

} // namespace daisytack
