// SPDX-License-Identifier: MIT
#include "host/process/server_registry.h"

#include <algorithm>
#include <utility>

#include "decisions/stream_origin.h"

namespace valeledge::host {

namespace {

// The software of a run does not change.
bool IsOtherRun(const catalog::backend_server& entry,
                const catalog::backend_server& known) {
  const bool is_newer = entry.started_at && known.started_at &&
                        *entry.started_at > *known.started_at;
  return is_newer || entry.software != known.software;
}

}  // namespace

bool server_registry::Put(catalog::backend_server entry, base::time_point now) {
  auto& slot = servers_[entry.instance];
  // Nothing that is known of the earlier run applies to this one.
  if (slot != nullptr && IsOtherRun(entry, slot->entry)) {
    RecordListedVersion({slot->entry.service, slot->entry.software}, now);
    slot.reset();
  }
  if (slot == nullptr) {
    slot = std::make_shared<known_server>();
    slot->key = KeyOf(entry.instance);
    by_key_[slot->key] = slot;
    slot->leaving = entry.draining;
    slot->entry = std::move(entry);
    slot->evacuated = evacuated_zones_.contains(slot->entry.zone);
    const auto region = regions_.find(slot->entry.zone);
    slot->region = region == regions_.end() ? "" : region->second;
    decisions::MarkCold(slot->cold, slot->entry.cold_for, now);
    loads_.AddTo(*slot);
    return true;
  }
  const bool changed = slot->leaving != entry.draining || slot->expires_at;
  // An instance that has started draining does not stop doing so, but one whose
  // entry merely expired may reappear.
  const bool left = slot->leaving && slot->entry.draining;
  if (slot->entry.address != entry.address)
    slot->notices.replaced_at.reset();
  decisions::ObserveEntry(slot->notices, now);
  slot->entry = std::move(entry);
  slot->evacuated = evacuated_zones_.contains(slot->entry.zone);
  slot->reinstated_at.reset();
  decisions::MarkCold(slot->cold, slot->entry.cold_for, now);
  slot->entry.draining = slot->entry.draining || left;
  slot->leaving = slot->entry.draining;
  slot->expires_at.reset();
  return changed;
}

void server_registry::Remove(const std::string& instance,
                             bool expired,
                             std::chrono::milliseconds grace,
                             base::time_point now) {
  const auto found = servers_.find(instance);
  if (found == servers_.end())
    return;
  known_server& server = *found->second;
  if (expired && !server.leaving) {
    if (!server.expires_at)
      server.expires_at = now + grace;
    any_expiring_ = true;
    return;
  }
  server.leaving = true;
  RecordListedVersion({server.entry.service, server.entry.software}, now);
  by_key_.erase(server.key);
  // Requests in flight keep the object alive.
  servers_.erase(found);
}

void server_registry::RemoveExpired(base::time_point now) {
  if (!any_expiring_)
    return;
  any_expiring_ = false;
  std::vector<std::string> expired;
  for (const auto& [instance, server] : servers_) {
    if (!server->expires_at)
      continue;
    if (now >= *server->expires_at)
      expired.push_back(instance);
    else
      any_expiring_ = true;
  }
  for (const std::string& instance : expired)
    Remove(instance, false, {}, now);
}

void server_registry::RecordListedVersion(const service_version& version,
                                          base::time_point now) {
  std::erase_if(listed_versions_, [now](const auto& each) {
    return now - each.second > decisions::kOriginLifetime;
  });
  listed_versions_[version] = now;
}

std::set<server_registry::service_version> server_registry::VersionsSince(
    base::time_point since) const {
  std::set<service_version> out;
  for (const auto& [instance, server] : servers_)
    out.emplace(server->entry.service, server->entry.software);
  for (const auto& [version, listed_at] : listed_versions_) {
    if (listed_at >= since)
      out.insert(version);
  }
  return out;
}

std::set<std::string> server_registry::SoftwareSince(
    std::string_view service,
    base::time_point since) const {
  std::set<std::string> out;
  for (const auto& [instance, server] : servers_) {
    if (server->entry.service == service)
      out.insert(server->entry.software);
  }
  for (const auto& [version, listed_at] : listed_versions_) {
    if (version.first == service && listed_at >= since)
      out.insert(version.second);
  }
  return out;
}

void server_registry::Evacuate(const std::string& zone) {
  evacuated_zones_.insert(zone);
  for (const auto& [instance, server] : servers_) {
    if (server->entry.zone == zone)
      server->evacuated = true;
  }
}

void server_registry::EndEvacuation(const std::string& zone,
                                    base::time_point now) {
  evacuated_zones_.erase(zone);
  for (const auto& [instance, server] : servers_) {
    if (server->entry.zone != zone)
      continue;
    server->evacuated = false;
    server->reinstated_at = now;
  }
}

std::vector<wire::server_load> server_registry::OwnLoads() const {
  std::vector<wire::server_load> out;
  for (const auto& [instance, server] : servers_) {
    if (server->own.running != 0 || server->own.queued_tokens != 0)
      out.push_back(OwnLoad(*server));
  }
  return out;
}

std::shared_ptr<known_server> server_registry::Find(
    std::string_view instance) const {
  const auto found = servers_.find(instance);
  return found == servers_.end() ? nullptr : found->second;
}

std::int64_t server_registry::Count(bool (known_server::*matches)()
                                        const) const {
  return std::ranges::count_if(servers_, [matches](const auto& each) {
    return (*each.second.*matches)();
  });
}

}  // namespace valeledge::host
