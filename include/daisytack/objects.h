/// Configuration objects. Operators create them, the key-value service stores
/// each under one key, and every process merges them by revision.
#pragma once

#include "daisytack/types.h"

#include <compare>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace daisytack {

/// A customer of the operators: the unit of isolation, limits and fair sharing.
struct Organisation {
  std::string Name;
  std::string KeyHash; ///< SHA-256 of the bearer key, 64 hexadecimal digits.
  uint32_t Weight = 1; ///< Fair share relative to other organisations, 1..1000.
  double RequestsPerSecond = 100; ///< Rate limit over all entries.
  uint32_t Burst = 100; ///< Requests admitted at once over all entries.
  uint32_t MaxConcurrent = 1000; ///< Maximum number of running and waiting
                                 ///< requests over all entries.
  uint64_t KeptBytes = 1ULL
                       << 30; ///< Quota of kept context, bytes over all stores.
  auto operator<=>(const Organisation &) const = default;
};

/// A model and the weight version that its servers converge on.
struct Model {
  std::string Name;
  std::string Version; ///< Desired version; only it serves new requests.
  std::string Adapter; ///< Adapter loaded over the weights; empty for none.
  uint32_t MinServers =
      1; ///< Minimum number of servers in service during a swap.
  auto operator<=>(const Model &) const = default;
};

/// When context is exported from the engine to the stores. SecondSight: not
/// before the second sighting of a piece.
enum class KeepRule : uint8_t { Never, SecondSight, Always };

/// A class of requests: its priority, its deadline and whether a failed attempt
/// may be repeated.
struct RequestClass {
  std::string Name;
  uint32_t Priority = 5;         ///< 0 is shed first, 9 last.
  Duration Deadline{60'000'000}; ///< Default for callers that set no deadline,
                                 ///< and the longest accepted.
  bool Idempotent = true; ///< False: runs at most once and is never repeated.
  KeepRule Keep = KeepRule::SecondSight;
  std::optional<WallTime>
      ReleaseAt; ///< When set, answers are held back until this time.
  auto operator<=>(const RequestClass &) const = default;
};

/// Whether and how long the kept context of one organisation in one class ("*"
/// for all classes) may be reused, and how much of it is kept.
struct ReusePolicy {
  std::string Organisation;
  std::string Class = "*";
  bool Reuse = true;
  Duration KeepFor{7LL * 24 * 3600 * 1'000'000};
  uint64_t MaxBytes = 1ULL << 30;
  uint32_t Epoch = 0; ///< Part of every piece key. A purge raises it, so that
                      ///< older pieces can no longer be addressed.
  auto operator<=>(const ReusePolicy &) const = default;
};

/// A plain service to which calls are routed.
struct PlainService {
  std::string Name;
  bool Idempotent = false; ///< True: every call may be repeated.
  Duration Deadline{10'000'000};
  auto operator<=>(const PlainService &) const = default;
};

/// Operator settings of one backend server; without them the defaults apply.
struct ServerOverride {
  std::string Name;
  bool Drained = false;
  bool ChecksFencing = false; ///< False: the server does not check fencing
                              ///< tokens; only its agent rejects stale orders.
  auto operator<=>(const ServerOverride &) const = default;
};

/// Permissions of an operator's key.
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

/// Role of a process in the fleet.
enum class MemberRole : uint8_t { Entry, Agent };
/// Ordered: of two reports about the same incarnation the higher state takes
/// precedence.
enum class MemberState : uint8_t { Live, Leaving, Gone };

/// One instance as in the platform's list, updated by later reports of peers.
struct Member {
  std::string Name; ///< Unique; a replacement instance has another name.
  MemberRole Role = MemberRole::Agent;
  MemberState State = MemberState::Live;
  std::string Region;
  std::string FailureDomain;
  std::string Serves; ///< Model or plain service of an agent's backend server;
                      ///< empty for an entry.
  bool IsService = false;
  Endpoint Work; ///< TCP: offers (agent) or callers' HTTP (entry).
  Endpoint Peer; ///< UDP and TCP: control messages.
  auto operator<=>(const Member &) const = default;
};

} // namespace daisytack
