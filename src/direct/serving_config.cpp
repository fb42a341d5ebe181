#include "direct/serving_config.h"

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
  for (size_t i = 0; i < Config.Organisations.size(); ++i)
    for (const std::string &key : Config.Organisations[i].Keys)
      Keys.emplace(key, i);
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

Duration ConfigIndex::minTargetLatency(std::string_view service) const {
  auto it = MinTargetLatencies.find(service);
  return it == MinTargetLatencies.end() ? Duration::zero() : it->second;
}

const Service *ConfigIndex::findService(std::string_view name) const {
  auto it = Services.find(name);
  return it == Services.end() ? nullptr : &Config.Services[it->second];
}

} // namespace daisytack::direct
