#include "control/snapshot.h"

#include "base/digest.h"

#include <algorithm>
#include <tuple>

namespace daisytack {

namespace {

/// Finds a row in a table that is sorted by Name.
template <class T>
const T *findByName(const std::vector<T> &table, std::string_view name) {
  auto it = std::lower_bound(
      table.begin(), table.end(), name,
      [](const T &row, std::string_view n) { return row.Name < n; });
  return it != table.end() && it->Name == name ? &*it : nullptr;
}

template <class T> void sortByName(std::vector<T> &table) {
  std::sort(table.begin(), table.end(),
            [](const T &a, const T &b) { return a.Name < b.Name; });
}

std::string rawDigest(const Digest256 &digest) {
  return {reinterpret_cast<const char *>(digest.data()), digest.size()};
}

/// Maps raw key hashes to positions. Rows with an invalid hash are skipped.
template <class T>
std::unordered_map<std::string, uint32_t>
indexKeys(const std::vector<T> &table) {
  std::unordered_map<std::string, uint32_t> out;
  out.reserve(table.size());
  for (uint32_t i = 0; i < table.size(); ++i)
    if (std::optional<PieceKey> hash = parsePieceKey(table[i].KeyHash))
      out.emplace(rawDigest(hash->Bytes), i);
  return out;
}

/// Looks a bearer key up by its digest, so that the time taken reveals nothing
/// about the key.
template <class T>
const T *findByKey(const std::vector<T> &table,
                   const std::unordered_map<std::string, uint32_t> &index,
                   std::string_view bearerKey) {
  auto it = index.find(rawDigest(sha256(bearerKey)));
  return it != index.end() ? &table[it->second] : nullptr;
}

const ReusePolicy *findPolicy(const std::vector<ReusePolicy> &table,
                              std::string_view organisation,
                              std::string_view requestClass) {
  auto before = [](const ReusePolicy &row, const auto &key) {
    return std::tuple<std::string_view, std::string_view>(row.Organisation,
                                                          row.Class) < key;
  };
  std::tuple key(organisation, requestClass);
  auto it = std::lower_bound(table.begin(), table.end(), key, before);
  bool found = it != table.end() && it->Organisation == organisation &&
               it->Class == requestClass;
  return found ? &*it : nullptr;
}

/// Highest epoch of an organisation's policies. It applies to all of them, so
/// that a purge also covers a policy that is written at the same time.
uint32_t highestEpoch(const std::vector<ReusePolicy> &table,
                      std::string_view organisation) {
  auto before = [](const ReusePolicy &row, std::string_view name) {
    return row.Organisation < name;
  };
  uint32_t out = 0;
  auto it = std::lower_bound(table.begin(), table.end(), organisation, before);
  for (; it != table.end() && it->Organisation == organisation; ++it)
    out = std::max(out, it->Epoch);
  return out;
}

bool poolBefore(const Pool &pool,
                const std::tuple<bool, std::string_view> &key) {
  return std::tuple<bool, std::string_view>(pool.IsService, pool.Name) < key;
}

bool isRoutable(const Server &server) {
  return server.State == MemberState::Live && !server.Drained;
}

} // namespace

const Organisation *Snapshot::organisation(std::string_view name) const {
  return findByName(Organisations, name);
}

const Organisation *
Snapshot::organisationByKey(std::string_view bearerKey) const {
  return findByKey(Organisations, OrganisationKeys, bearerKey);
}

const OperatorAccount *
Snapshot::operatorByKey(std::string_view bearerKey) const {
  return findByKey(Operators, OperatorKeys, bearerKey);
}

const Model *Snapshot::model(std::string_view name) const {
  return findByName(Models, name);
}

const RequestClass *Snapshot::requestClass(std::string_view name) const {
  static const RequestClass BuiltIn = [] {
    RequestClass out;
    out.Name = "default";
    return out;
  }();
  if (!name.empty() && name != BuiltIn.Name)
    return findByName(Classes, name);
  const RequestClass *configured = findByName(Classes, BuiltIn.Name);
  return configured ? configured : &BuiltIn;
}

const PlainService *Snapshot::service(std::string_view name) const {
  return findByName(Services, name);
}

ReusePolicy Snapshot::policy(std::string_view organisation,
                             std::string_view requestClass) const {
  const ReusePolicy *found = findPolicy(Policies, organisation, requestClass);
  if (!found)
    found = findPolicy(Policies, organisation, "*");
  ReusePolicy out = found ? *found : ReusePolicy{};
  out.Organisation = organisation;
  out.Epoch = highestEpoch(Policies, organisation);
  return out;
}

const Pool *Snapshot::pool(std::string_view name, bool isService) const {
  std::tuple key(isService, name);
  auto it = std::lower_bound(Pools.begin(), Pools.end(), key, poolBefore);
  bool found =
      it != Pools.end() && it->IsService == isService && it->Name == name;
  return found ? &*it : nullptr;
}

const Server *Snapshot::server(std::string_view name) const {
  return findByName(Servers, name);
}

void Snapshot::finish() {
  sortByName(Organisations);
  sortByName(Models);
  sortByName(Classes);
  sortByName(Services);
  sortByName(Operators);
  sortByName(Servers);
  sortByName(Entries);
  std::sort(Policies.begin(), Policies.end(),
            [](const ReusePolicy &a, const ReusePolicy &b) {
              return std::tie(a.Organisation, a.Class) <
                     std::tie(b.Organisation, b.Class);
            });
  OrganisationKeys = indexKeys(Organisations);
  OperatorKeys = indexKeys(Operators);
  Pools.clear();
  for (uint32_t i = 0; i < Servers.size(); ++i) {
    const Server &server = Servers[i];
    if (server.Serves.empty())
      continue;
    std::tuple<bool, std::string_view> key(server.IsService, server.Serves);
    auto it = std::lower_bound(Pools.begin(), Pools.end(), key, poolBefore);
    if (it == Pools.end() || it->IsService != server.IsService ||
        it->Name != server.Serves)
      it = Pools.insert(it, {server.Serves, server.IsService, {}});
    if (isRoutable(server))
      it->Servers.push_back(ServerHandle{i});
  }
}

} // namespace daisytack
