// SPDX-License-Identifier: MIT
#include "host/process/store_update_handler.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "base/logging.h"
#include "host/process/response_updates.h"
#include "store/constants.h"

namespace valeledge::host {

namespace {

using base::log_event;
using std::chrono::milliseconds;

constexpr std::string_view kCategory = "host";

// Returns the availability zone whose evacuation a key requests, or nothing for
// other keys.
std::optional<std::string> EvacuatedZone(const store_keys& keys,
                                         const std::string& key) {
  const std::string& prefix = keys.evacuation_prefix;
  if (prefix.empty() || !key.starts_with(prefix) || key.size() == prefix.size())
    return std::nullopt;
  return key.substr(prefix.size());
}

void LogInvalidValue(const std::string& key, const base::error& error) {
  base::Log(kCategory, log_event::kStoredValueBroken,
            {{"key", key}, {"reason", error.message}});
}

}  // namespace

store_update_handler::store_update_handler(host_core& core,
                                           store_update_callbacks callbacks)
    : core_(core),
      callbacks_(std::move(callbacks)),
      keys_(core.protocol.keys) {}

void store_update_handler::ApplyConfiguration(catalog::configuration newer) {
  const bool stale = core_.configuration != nullptr &&
                     newer.version <= core_.configuration->version;
  if (stale) {
    if (newer.version < core_.configuration->version) {
      base::Log(kCategory, log_event::kRevisionWentBack,
                {{"platform", newer.version},
                 {"here", core_.configuration->version}});
    }
    return;
  }
  callbacks_.configuration_changed(newer);
  base::Log(kCategory, log_event::kTableApplied,
            {{"version", newer.version},
             {"routes", static_cast<std::int64_t>(newer.routes.size())}});
  core_.configuration =
      std::make_shared<const catalog::configuration>(std::move(newer));
}

void store_update_handler::Put(const std::string& key,
                               const std::string& value) {
  if (key == keys_.configuration) {
    auto decoded = core_.protocol.decode_configuration(value);
    if (decoded)
      ApplyConfiguration(std::move(*decoded));
    else
      LogInvalidValue(key, decoded.error());
    return;
  }
  if (key == store::kLeaderKey) {
    if (const auto holder = base::ParseEndpoint(value))
      callbacks_.lease_holder_changed(*holder);
    return;
  }
  if (const auto zone = EvacuatedZone(keys_, key)) {
    core_.servers.Evacuate(*zone);
    base::Log(kCategory, log_event::kZoneEvacuated, {{"zone", *zone}});
    return;
  }
  if (!callbacks_.quarantine_key_put(key) &&
      key.starts_with(keys_.server_prefix))
    PutServer(key, value);
}

void store_update_handler::PutServer(const std::string& key,
                                     const std::string& value) {
  const std::string instance = key.substr(keys_.server_prefix.size());
  auto entry = core_.protocol.decode_server(instance, value);
  if (!entry) {
    LogInvalidValue(key, entry.error());
    return;
  }
  if (const auto server = core_.servers.Find(instance);
      server != nullptr && entry->started_at == server->entry.started_at &&
      entry->heartbeats > server->entry.heartbeats) {
    ConfirmByHeartbeat(core_, *server, entry->heartbeats,
                       std::chrono::steady_clock::now());
  }
  const bool draining = entry->draining;
  const std::string software = entry->software;
  const bool changed =
      core_.servers.Put(std::move(*entry), std::chrono::steady_clock::now());
  if (changed) {
    base::Log(
        kCategory, draining ? log_event::kServerLeaving : log_event::kServerUp,
        {{"server", instance}, {"source", "entry"}, {"software", software}});
  }
}

void store_update_handler::Remove(
    const std::string& key,
    std::optional<base::time_point> lapsed_until) {
  const auto now = std::chrono::steady_clock::now();
  if (const auto zone = EvacuatedZone(keys_, key)) {
    core_.servers.EndEvacuation(*zone, now);
    base::Log(kCategory, log_event::kZoneTakenBack, {{"zone", *zone}});
    return;
  }
  if (callbacks_.quarantine_key_removed(key, lapsed_until.has_value()) ||
      !key.starts_with(keys_.server_prefix)) {
    return;
  }
  const std::string instance = key.substr(keys_.server_prefix.size());
  const auto grace = lapsed_until
                         ? std::chrono::ceil<milliseconds>(*lapsed_until - now)
                         : milliseconds(0);
  base::Log(kCategory, log_event::kServerDown,
            {{"server", instance},
             {"lapsed", std::int64_t{lapsed_until.has_value()}},
             {"grace_ms", grace.count()}});
  core_.servers.Remove(instance, lapsed_until.has_value(), grace, now);
}

}  // namespace valeledge::host
