// SPDX-License-Identifier: MIT
#include "catalog/configuration.h"

#include <algorithm>

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

}  // namespace valeledge::catalog
