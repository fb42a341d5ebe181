#include "direct/serving_config.h"

#include "direct/context_group.h"

#include <algorithm>
#include <utility>

namespace daisytack::direct {

namespace {

char lowerCase(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string hostName(std::string_view host) {
  std::string out(host.substr(0, host.find(':')));
  std::transform(out.begin(), out.end(), out.begin(), lowerCase);
  return out;
}

} // namespace

ConfigIndex::ConfigIndex(ServingConfig config) : Config(std::move(config)) {
  for (size_t i = 0; i < Config.Routes.size(); ++i) {
    const Route &route = Config.Routes[i];
    RoutesByHost[hostName(route.Host)].emplace(route.PathPrefix, i);
    if (!route.HasPrompt || route.TargetLatency <= Duration::zero())
      continue;
    for (const TrafficShare &share : route.Shares) {
      auto [it, isNew] =
          MinTargetLatencies.emplace(share.Service, route.TargetLatency);
      it->second = std::min(it->second, route.TargetLatency);
    }
  }
  for (size_t i = 0; i < Config.Organisations.size(); ++i) {
    const OrganisationAccess &access = Config.Organisations[i];
    for (const std::string &key : access.Keys)
      Keys.emplace(key, i);
    Isolation[access.Organisation] |= access.IsIsolated;
  }
  std::vector<std::string> isolated;
  for (const auto &[organisation, isIsolated] : Isolation)
    if (isIsolated)
      isolated.push_back(organisation);
  CommonGroup = commonContextGroup(std::move(isolated));
  for (size_t i = 0; i < Config.Services.size(); ++i)
    Services.emplace(Config.Services[i].Name, i);
}

const Route *ConfigIndex::findRoute(std::string_view host,
                                    std::string_view path) const {
  auto routes = RoutesByHost.find(hostName(host));
  if (routes == RoutesByHost.end())
    return nullptr;
  for (size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    auto it = routes->second.find(path.substr(0, end + 1));
    if (it != routes->second.end())
      return &Config.Routes[it->second];
  }
  return nullptr;
}

const OrganisationAccess *ConfigIndex::findKey(std::string_view key) const {
  auto it = Keys.find(key);
  return it == Keys.end() ? nullptr : &Config.Organisations[it->second];
}

std::string ConfigIndex::contextGroup(std::string_view organisation) const {
  if (organisation.empty())
    return CommonGroup;
  auto it = Isolation.find(organisation);
  bool isAlone = it == Isolation.end() || it->second;
  return isAlone ? isolatedContextGroup(organisation) : CommonGroup;
}

Duration ConfigIndex::minTargetLatency(std::string_view service) const {
  auto it = MinTargetLatencies.find(service);
  return it == MinTargetLatencies.end() ? Duration::zero() : it->second;
}

const Service *ConfigIndex::findService(std::string_view name) const {
  auto it = Services.find(name);
  return it == Services.end() ? nullptr : &Config.Services[it->second];
}

} // namespace daisytack::direct
