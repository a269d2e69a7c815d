// SPDX-License-Identifier: MIT
#include "decisions/reservation.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace valeledge::decisions {

namespace {

namespace json = boost::json;

// Returns whether the order was fenced off in the present run and cannot reach
// a later one: an order that its sender may still send could reach a later run
// before that run is known here.
bool IsFencedOff(const server_reservation& record, const order& each) {
  return !each.fenced_off_in.empty() &&
         each.fenced_off_in == record.incarnation &&
         each.resolves_after == record.incarnation;
}

// Returns how often the order may still allocate memory.
std::int64_t Deliveries(const server_reservation& record, const order& each) {
  if (each.kind == order_kind::kUnload || IsFencedOff(record, each))
    return 0;
  const bool twice = record.redelivery && !each.responded;
  return twice ? 2 : 1;
}

std::int64_t PossibleLoads(const server_reservation& record,
                           std::string_view artifact) {
  std::int64_t loads = 0;
  for (const order& each : record.unresolved) {
    if (each.artifact == artifact)
      loads += Deliveries(record, each);
  }
  return loads;
}

std::int64_t MaxCopies(const server_reservation& record,
                       std::string_view artifact,
                       const held_artifact& held) {
  const std::int64_t copies = held.present + PossibleLoads(record, artifact);
  return record.doubled_load ? copies : std::min<std::int64_t>(copies, 1);
}

void EraseIfUnused(server_reservation& record, const std::string& artifact) {
  const auto found = record.held.find(artifact);
  if (found != record.held.end() &&
      MaxCopies(record, artifact, found->second) == 0) {
    record.held.erase(found);
  }
}

// After accepting an order, a fencing engine refuses all orders with lower
// numbers. Only a report shows which of them were executed before.
void DecideEarlierOrders(server_reservation& record,
                         std::int64_t fence,
                         std::int64_t version) {
  // Without change counts a report cannot be distinguished from an older one.
  if (!record.fencing || version == 0)
    return;
  for (order& each : record.unresolved) {
    const bool open =
        each.decided_at < 0 && each.fenced_off_in != record.incarnation;
    if (each.fence < fence && open)
      each.decided_at = version;
  }
}

// Resolves, for this run, the orders that a report with this change count
// decides. Excludes orders whose artifact has a later response, because the
// report's copies of that artifact are not applied.
bool ResolveDecided(server_reservation& record, std::int64_t version) {
  bool changed = false;
  for (order& each : record.unresolved) {
    const auto held = record.held.find(each.artifact);
    const bool newer =
        held != record.held.end() && held->second.version > version;
    const bool decided =
        each.decided_at >= 0 && each.decided_at <= version && !newer;
    if (!decided)
      continue;
    each.decided_at = -1;
    each.fenced_off_in = record.incarnation;
    changed = true;
  }
  // An order with a response belongs to the run that sent the response.
  std::erase_if(record.unresolved, [](const order& each) {
    return each.responded && !each.fenced_off_in.empty();
  });
  return changed;
}

// Returns whether no load followed an executed unload. Responses arrive in any
// order.
bool UnloadTakesEffect(const server_reservation& record,
                       const held_artifact& held,
                       const order& unload,
                       std::int64_t version) {
  if (version != 0)
    return version > held.version;
  // The engine does not count its changes: the responses to all loads must have
  // arrived before the unload was recorded.
  return held.loaded_at < unload.fence &&
         PossibleLoads(record, unload.artifact) == 0;
}

void ApplyCompleted(server_reservation& record,
                    const order& done,
                    std::int64_t version) {
  DecideEarlierOrders(record, done.fence, version);
  if (record.redelivery) {
    order kept = done;
    kept.responded = true;
    kept.finished = true;
    kept.resolves_after = record.incarnation;
    record.unresolved.push_back(std::move(kept));
  }
  // An earlier report includes the change already.
  if (version != 0 && version <= record.version)
    return;
  held_artifact& held = record.held[done.artifact];
  const bool load = done.kind == order_kind::kLoad;
  if (load)
    held.memory_mb = std::max(held.memory_mb, done.memory_mb);
  if (load) {
    if (held.present == 0 || record.doubled_load)
      ++held.present;
    held.loaded_at = record.last_fence;
  } else if (UnloadTakesEffect(record, held, done, version)) {
    held.present = 0;
  }
  held.version = std::max(held.version, version);
}

json::object EncodeOrder(const order& each) {
  return {{"id", each.id},
          {"kind", each.kind == order_kind::kLoad ? "load" : "unload"},
          {"artifact", each.artifact},
          {"memory_mb", each.memory_mb},
          {"fence", each.fence},
          {"sender", each.sender},
          {"sender_incarnation", each.sender_incarnation},
          {"finished", each.finished},
          {"settles_after", each.resolves_after},
          {"answered", each.responded},
          {"decided_at", each.decided_at},
          {"dead_in", each.fenced_off_in}};
}

order DecodeOrder(const json::object& object) {
  const bool load = base::StringField(object, "kind") == "load";
  return {base::StringField(object, "id"),
          load ? order_kind::kLoad : order_kind::kUnload,
          base::StringField(object, "artifact"),
          base::IntegerField(object, "memory_mb"),
          base::IntegerField(object, "fence"),
          base::StringField(object, "sender"),
          base::IntegerField(object, "sender_incarnation"),
          base::BoolField(object, "finished"),
          base::StringField(object, "settles_after"),
          base::BoolField(object, "answered"),
          base::IntegerField(object, "decided_at", -1),
          base::StringField(object, "dead_in")};
}

void BeginRun(server_reservation& record, const engine_report& report) {
  std::map<std::string, std::int64_t> sizes;
  for (const auto& [artifact, held] : record.held)
    sizes[artifact] = held.memory_mb;
  record.incarnation = report.incarnation;
  record.version = report.version;
  record.held.clear();
  for (const auto& [artifact, copies] : report.loaded)
    record.held[artifact] = {sizes[artifact], copies, 0, 0};
  for (order& each : record.unresolved) {
    each.decided_at = -1;
    if (each.kind == order_kind::kLoad)
      record.held[each.artifact].memory_mb = each.memory_mb;
  }
}

bool ResolveReported(server_reservation& record, const engine_report& report) {
  bool changed = false;
  for (const std::string& id : report.orders_done) {
    const auto found = std::ranges::find(record.unresolved, id, &order::id);
    if (found == record.unresolved.end() || found->responded)
      continue;
    const order done = *found;
    record.unresolved.erase(found);
    ApplyCompleted(record, done, report.version);
    changed = true;
  }
  return changed;
}

// Applies the loaded copies of a report, except for artifacts with a response
// later than `version`.
bool ApplyLoaded(server_reservation& record,
                 const engine_report& report,
                 std::int64_t version) {
  bool changed = ResolveDecided(record, version);
  std::vector<std::string> names;
  for (const auto& [artifact, held] : record.held)
    names.push_back(artifact);
  for (const auto& [artifact, copies] : report.loaded) {
    if (!record.held.contains(artifact))
      names.push_back(artifact);
  }
  for (const std::string& artifact : names) {
    const auto reported = report.loaded.find(artifact);
    const std::int64_t copies =
        reported == report.loaded.end() ? 0 : reported->second;
    held_artifact& held = record.held[artifact];
    if (held.version <= version) {
      changed |= held.present != copies;
      held.present = copies;
    }
    EraseIfUnused(record, artifact);
  }
  return changed;
}

}  // namespace

std::int64_t ReservedMemory(const server_reservation& record) {
  std::int64_t sum = 0;
  for (const auto& [artifact, held] : record.held)
    sum += held.memory_mb * MaxCopies(record, artifact, held);
  return sum;
}

std::int64_t ReservedCopies(const server_reservation& record,
                            std::string_view artifact) {
  const auto found = record.held.find(artifact);
  return found == record.held.end()
             ? 0
             : MaxCopies(record, artifact, found->second);
}

std::int64_t AddedMemory(const server_reservation& record,
                         std::string_view artifact,
                         std::int64_t memory_mb) {
  const auto found = record.held.find(artifact);
  const bool known = found != record.held.end();
  const std::int64_t copies =
      known ? MaxCopies(record, artifact, found->second) : 0;
  const std::int64_t size =
      known ? std::max(found->second.memory_mb, memory_mb) : memory_mb;
  const std::int64_t grown = known ? size - found->second.memory_mb : 0;
  std::int64_t added = record.redelivery ? 2 : 1;
  if (!record.doubled_load)
    added = copies == 0 ? 1 : 0;
  return added * size + copies * grown;
}

bool CanLoad(const server_reservation& record,
             std::string_view artifact,
             std::int64_t memory_mb) {
  if (record.incarnation.empty())
    return false;
  return ReservedMemory(record) + AddedMemory(record, artifact, memory_mb) <=
         record.capacity_mb;
}

order RecordLoad(server_reservation& record,
                 std::string id,
                 std::string artifact,
                 std::int64_t memory_mb) {
  order sent{std::move(id),
             order_kind::kLoad,
             std::move(artifact),
             memory_mb,
             ++record.last_fence,
             {},
             0,
             false,
             {},
             false,
             -1,
             {}};
  held_artifact& held = record.held[sent.artifact];
  held.memory_mb = std::max(held.memory_mb, memory_mb);
  record.unresolved.push_back(sent);
  return sent;
}

order RecordUnload(server_reservation& record,
                   std::string id,
                   std::string artifact) {
  order sent{std::move(id),
             order_kind::kUnload,
             std::move(artifact),
             0,
             ++record.last_fence,
             {},
             0,
             false,
             {},
             false,
             -1,
             {}};
  record.unresolved.push_back(sent);
  return sent;
}

void Resolve(server_reservation& record,
             std::string_view order_id,
             order_response response,
             std::int64_t version) {
  const auto found = std::ranges::find(record.unresolved, order_id, &order::id);
  if (found == record.unresolved.end() || found->responded)
    return;
  const order resolved = *found;
  record.unresolved.erase(found);
  if (response == order_response::kDone)
    ApplyCompleted(record, resolved, version);
  EraseIfUnused(record, resolved.artifact);
}

void MarkFinished(server_reservation& record, std::string_view order_id) {
  const auto found = std::ranges::find(record.unresolved, order_id, &order::id);
  if (found != record.unresolved.end())
    found->finished = true;
}

bool ApplyReport(server_reservation& record, const engine_report& report) {
  const bool same_run =
      !report.incarnation.empty() && report.incarnation == record.incarnation;
  if (!same_run || report.version == 0 || report.version <= record.version)
    return false;
  bool changed = ResolveReported(record, report);
  changed |= ApplyLoaded(record, report, report.version);
  record.version = report.version;
  return changed;
}

bool ApplyRequestedReport(server_reservation& record,
                          const engine_report& report) {
  if (report.incarnation.empty())
    return false;
  bool changed = std::erase_if(record.unresolved, [&](const order& each) {
                   return each.finished && !each.resolves_after.empty() &&
                          each.resolves_after != report.incarnation;
                 }) != 0;
  for (order& each : record.unresolved) {
    if (!each.finished || !each.resolves_after.empty())
      continue;
    each.resolves_after = report.incarnation;
    changed = true;
  }
  if (report.incarnation != record.incarnation) {
    BeginRun(record, report);
    return true;
  }
  if (report.version == 0 || report.version < record.version)
    return changed;
  changed |= ResolveReported(record, report);
  changed |= ApplyLoaded(record, report, report.version);
  record.version = report.version;
  return changed;
}

bool NeedsReport(const server_reservation& record,
                 const engine_report& newest) {
  const bool other_run =
      !newest.incarnation.empty() && newest.incarnation != record.incarnation;
  return other_run ||
         std::ranges::any_of(record.unresolved, [](const order& each) {
           return each.decided_at >= 0 ||
                  (each.finished && each.resolves_after.empty());
         });
}

bool IsSteady(const server_reservation& record, std::string_view artifact) {
  const auto found = record.held.find(artifact);
  if (found == record.held.end() || found->second.present == 0)
    return false;
  return std::ranges::none_of(record.unresolved, [&](const order& each) {
    return each.kind == order_kind::kUnload && each.artifact == artifact &&
           !IsFencedOff(record, each);
  });
}

bool IsLoading(const server_reservation& record, std::string_view artifact) {
  return std::ranges::any_of(record.unresolved, [&](const order& each) {
    return each.kind == order_kind::kLoad && each.artifact == artifact &&
           !each.responded && !IsFencedOff(record, each);
  });
}

std::string EncodeReservation(const server_reservation& record) {
  json::object held;
  for (const auto& [artifact, each] : record.held) {
    held[artifact] = {{"memory_mb", each.memory_mb},
                      {"present", each.present},
                      {"version", each.version},
                      {"loaded_at", each.loaded_at}};
  }
  json::array unresolved;
  for (const order& each : record.unresolved)
    unresolved.push_back(EncodeOrder(each));
  json::object object;
  object["server"] = record.server;
  object["capacity_mb"] = record.capacity_mb;
  object["fencing"] = record.fencing;
  object["doubled_load"] = record.doubled_load;
  object["redelivery"] = record.redelivery;
  object["incarnation"] = record.incarnation;
  object["version"] = record.version;
  object["last_fence"] = record.last_fence;
  object["held"] = std::move(held);
  object["unsettled"] = std::move(unresolved);
  return json::serialize(object);
}

base::result<server_reservation> DecodeReservation(std::string_view text) {
  const auto object = base::ParseJsonObject(text);
  const json::object* held =
      object ? base::ObjectField(*object, "held") : nullptr;
  const json::array* unresolved =
      object ? base::ArrayField(*object, "unsettled") : nullptr;
  if (held == nullptr || unresolved == nullptr) {
    return base::NotRun(base::result_code::kTableInvalid,
                        "cannot read the reservation record");
  }
  server_reservation record;
  record.server = base::StringField(*object, "server");
  record.capacity_mb = base::IntegerField(*object, "capacity_mb");
  record.fencing = base::BoolField(*object, "fencing");
  record.doubled_load = base::BoolField(*object, "doubled_load", true);
  record.redelivery = base::BoolField(*object, "redelivery");
  record.incarnation = base::StringField(*object, "incarnation");
  record.version = base::IntegerField(*object, "version");
  record.last_fence = base::IntegerField(*object, "last_fence");
  for (const auto& [artifact, value] : *held) {
    if (!value.is_object())
      continue;
    const json::object& each = value.get_object();
    record.held[std::string(artifact)] = {
        base::IntegerField(each, "memory_mb"),
        base::IntegerField(each, "present"),
        base::IntegerField(each, "version"),
        base::IntegerField(each, "loaded_at")};
  }
  for (const json::value& each : *unresolved) {
    if (each.is_object())
      record.unresolved.push_back(DecodeOrder(each.get_object()));
  }
  return record;
}

}  // namespace valeledge::decisions
