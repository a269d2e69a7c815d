// SPDX-License-Identifier: MIT
#include "host/process/engine_queue_groups.h"

#include <algorithm>
#include <utility>

#include "decisions/engine_queue.h"
#include "host/load_features.h"

namespace valeledge::host {

namespace {

// Subject for choosing the owner host, followed by the service and the group.
constexpr std::string_view kQueueSubject = "queue/";

}  // namespace

engine_queue_groups::engine_queue_groups(host_core& core, owner_choice owners)
    : core_(core), owners_(std::move(owners)) {}

const catalog::service* engine_queue_groups::ServiceWithEngines(
    const std::string& name) const {
  const catalog::service* service =
      core_.configuration ? core_.configuration->FindService(name) : nullptr;
  return service != nullptr && service->HasModels() ? service : nullptr;
}

const catalog::service* engine_queue_groups::EnabledService(
    const std::string& name) const {
  const catalog::service* service = ServiceWithEngines(name);
  const bool enabled =
      service != nullptr &&
      IsEnabled(core_.settings.features.engine_queues, *service);
  return enabled ? service : nullptr;
}

std::int64_t engine_queue_groups::GroupsOf(const std::string& service) {
  const auto found = groups_.find(service);
  if (found != groups_.end())
    return found->second;
  const auto engines = std::ranges::count_if(
      core_.servers.servers(),
      [&](const auto& each) { return each.second->entry.service == service; });
  return groups_[service] = decisions::CountGroups(engines);
}

std::vector<base::endpoint> engine_queue_groups::Candidates(
    const std::string& service,
    std::int64_t group) const {
  return owners_(std::string(kQueueSubject) + service + "/" +
                 std::to_string(group));
}

void engine_queue_groups::Recount() {
  groups_.clear();
}

}  // namespace valeledge::host
