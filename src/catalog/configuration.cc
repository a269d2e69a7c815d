// SPDX-License-Identifier: MIT
#include "catalog/configuration.h"

#include <algorithm>
#include <map>

namespace valeledge::catalog {

const model* engine::Find(std::string_view name) const {
  const auto found = std::ranges::find(models, name, &model::name);
  return found == models.end() ? nullptr : &*found;
}

const route* configuration::FindRoute(std::string_view authority,
                                      std::string_view path) const {
  const route* best = nullptr;
  for (const route& each : routes) {
    const bool fits =
        each.authority == authority && path.starts_with(each.path_prefix);
    if (!fits)
      continue;
    if (best == nullptr || each.path_prefix.size() > best->path_prefix.size())
      best = &each;
  }
  return best;
}

const workspace* configuration::FindWorkspace(std::string_view key) const {
  const auto found = keys.Find(key);
  return found ? &workspaces[*found] : nullptr;
}

const service* configuration::FindService(std::string_view name) const {
  const auto found = std::ranges::find(services, name, &service::name);
  return found == services.end() ? nullptr : &*found;
}

void SetMixedUrgency(configuration& configuration) {
  struct objectives {
    std::chrono::milliseconds shortest = std::chrono::milliseconds::max();
    std::chrono::milliseconds longest{0};
  };
  std::map<std::string_view, objectives> by_service;
  for (const route& each : configuration.routes) {
    if (each.kind != route_kind::kStream || each.objective.count() <= 0)
      continue;
    for (const weighted_service& target : each.services) {
      objectives& of = by_service[target.service];
      of.shortest = std::min(of.shortest, each.objective);
      of.longest = std::max(of.longest, each.objective);
    }
  }
  for (service& each : configuration.services) {
    const auto found = by_service.find(each.name);
    each.mixed_urgency =
        found != by_service.end() &&
        found->second.longest > found->second.shortest * kMixedUrgencyRatio;
  }
}

}  // namespace valeledge::catalog
