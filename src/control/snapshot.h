/// Immutable snapshot of configuration and membership, read while a request is
/// handled.
#pragma once

#include "daisytack/objects.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace daisytack {

/// The backend servers of one model or plain service, sorted by name. A
/// ServerHandle is an index into Snapshot::Servers.
struct Pool {
  std::string Name;
  bool IsService = false;
  std::vector<ServerHandle> Servers; ///< Live, not leaving, not drained.
};

/// The properties of one backend server that routing uses.
struct Server {
  std::string Name; ///< Instance name, unique.
  std::string Serves;
  std::string Region;
  std::string FailureDomain;
  Endpoint Work;
  Endpoint Peer;
  uint64_t NameHash = 0; ///< hashName(Name).
  MemberState State = MemberState::Live;
  bool Drained = false;
  bool ChecksFencing = false;
  bool IsService = false;
};

/// Immutable after finish(). Built by SnapshotBuilder whenever configuration or
/// membership changes.
class Snapshot {
public:
  uint64_t ConfigRevision = 0;
  uint64_t MemberVersion = 0;
  std::vector<Organisation> Organisations; ///< Sorted by name.
  std::vector<Model> Models;
  std::vector<RequestClass> Classes;
  std::vector<ReusePolicy> Policies;
  std::vector<PlainService> Services;
  std::vector<OperatorAccount> Operators;
  std::vector<Server> Servers; ///< All known, sorted by name.
  std::vector<Pool> Pools;     ///< Sorted by (IsService, Name).
  std::vector<Member> Entries; ///< Live entries, sorted by name.

  const Organisation *organisation(std::string_view name) const;
  /// Looks the key up by its hash, so that the time taken reveals nothing about
  /// the key; null if no organisation has it.
  const Organisation *organisationByKey(std::string_view bearerKey) const;
  const OperatorAccount *operatorByKey(std::string_view bearerKey) const;
  const Model *model(std::string_view name) const;
  /// The class with the name; null if there is none. For an empty name, the
  /// configured class "default" or the built-in one.
  const RequestClass *requestClass(std::string_view name) const;
  const PlainService *service(std::string_view name) const;
  /// The most specific policy: (organisation, class), then (organisation, "*"),
  /// then the defaults. Its epoch is the highest of all the organisation's
  /// policies.
  ReusePolicy policy(std::string_view organisation,
                     std::string_view requestClass) const;
  const Pool *pool(std::string_view name, bool isService) const;
  const Server *server(std::string_view name) const;

  /// Indices built by finish(), from raw key hash to position.
  std::unordered_map<std::string, uint32_t> OrganisationKeys;
  std::unordered_map<std::string, uint32_t> OperatorKeys;
  /// Sorts the tables and builds pools and indices. Called once, before
  /// publishing.
  void finish();
};

} // namespace daisytack
