// SPDX-License-Identifier: MIT
#include "host/process/known_server.h"

#include <algorithm>

#include "base/identifier.h"

namespace valeledge::host {

namespace {

// How long updates of the lease holder and refusals of a server take precedence
// over its entry: entries are written about every second and read a little
// later.
constexpr auto kOverrideLifetime = std::chrono::seconds(5);

// Longer, since loading an adapter does not make a server update its entry.
constexpr auto kAdapterOverrideLifetime = std::chrono::seconds(60);

// Time and heartbeats after which an update of a server's entry shows that its
// run had not crashed: entries are read some time after they were written, and
// the first one may have been written before.
constexpr std::chrono::milliseconds kHeartbeatMargin{2000};
constexpr std::int64_t kConfirmingHeartbeats = 2;

const catalog::held_model* FindModel(const catalog::backend_server& entry,
                                     std::string_view name) {
  const auto found =
      std::ranges::find(entry.models, name, &catalog::held_model::name);
  return found == entry.models.end() ? nullptr : &*found;
}

}  // namespace

unit_key KeyOf(std::string_view name) {
  return static_cast<unit_key>(base::StableHash(name));
}

std::string AdapterUnit(std::string_view model, std::string_view adapter) {
  std::string unit(model);
  if (!adapter.empty())
    unit.append("/").append(adapter);
  return unit;
}

bool HasOutlived(std::int64_t heartbeats,
                 std::int64_t heartbeats_then,
                 base::time_point at,
                 base::time_point now) {
  return now - at >= kHeartbeatMargin &&
         heartbeats >= heartbeats_then + kConfirmingHeartbeats;
}

bool known_server::Holds(std::string_view model,
                         std::string_view adapter,
                         base::time_point now) const {
  const auto override_of = [&](const std::string& unit, auto lifetime) {
    const auto found = residency_overrides.find(KeyOf(unit));
    const bool fresh = found != residency_overrides.end() &&
                       now - found->second.updated_at < lifetime;
    return fresh ? std::optional<bool>(found->second.holds) : std::nullopt;
  };
  const catalog::held_model* held = FindModel(entry, model);
  const bool has_model = override_of(std::string(model), kOverrideLifetime)
                             .value_or(held != nullptr);
  if (!has_model || adapter.empty())
    return has_model;
  const bool listed =
      held != nullptr &&
      std::ranges::find(held->adapters, adapter) != held->adapters.end();
  return override_of(AdapterUnit(model, adapter), kAdapterOverrideLifetime)
      .value_or(listed);
}

bool known_server::IsCold(const catalog::service& service,
                          base::time_point now) const {
  if (service.cold_rate <= 0)
    return false;
  const bool may_be = reinstated_at && now < *reinstated_at + service.cold_time;
  return may_be || decisions::IsCold(cold, now);
}

send_block known_server::SendBlock(base::time_point now) const {
  if (leaving || IsExpired(now) || decisions::HasLeft(notices))
    return send_block::kLeaving;
  if (evacuated)
    return send_block::kEvacuated;
  return decisions::IsBackingOff(notices, now) ? send_block::kBackoff
                                               : send_block::kNone;
}

}  // namespace valeledge::host
