/// What the path of a request reads: one immutable snapshot of configuration
/// and membership.
#pragma once

#include "daisytack/objects.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace daisytack {

/// Backend servers of one model or plain service, sorted by name; index is
/// ServerHandle within the snapshot.
struct Pool {
  std::string Name;
  bool IsService = false;
  std::vector<ServerHandle> Servers; ///< Live, not leaving, not drained.
};

/// One backend server as routing sees it.
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

/// Immutable. Built by SnapshotBuilder whenever configuration or membership
/// changes.
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
  std::vector<Server> Servers; ///< All known ones, sorted by name.
  std::vector<Pool> Pools;     ///< Sorted by (IsService, Name).
  std::vector<Member> Entries; ///< Live entries, sorted by name.

  const Organisation *organisation(std::string_view name) const;
  /// Constant-time over the hashes; nothing when no organisation has the key.
  const Organisation *organisationByKey(std::string_view bearerKey) const;
  const OperatorAccount *operatorByKey(std::string_view bearerKey) const;
  const Model *model(std::string_view name) const;
  /// The class of that name; for an empty name the class "default" or the
  /// built-in one.
  const RequestClass *requestClass(std::string_view name) const;
  const PlainService *service(std::string_view name) const;
  /// Most specific policy: (organisation, class), then (organisation, "*"),
  /// then the defaults. The epoch is the highest of the organisation's.
  ReusePolicy policy(std::string_view organisation,
                     std::string_view requestClass) const;
  const Pool *pool(std::string_view name, bool isService) const;
  const Server *server(std::string_view name) const;

  /// Indices made by finish(); key hash (raw) to position.
  std::unordered_map<std::string, uint32_t> OrganisationKeys;
  std::unordered_map<std::string, uint32_t> OperatorKeys;
  /// Sorts the tables and builds pools and indices. Called once, before
  /// publishing.
  void finish();
};

} // namespace daisytack
