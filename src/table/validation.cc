// SPDX-License-Identifier: MIT
#include "table/validation.h"

#include <algorithm>
#include <map>

namespace valeledge::table {

namespace {

using faults = std::vector<std::string>;

void CheckReference(const snapshot& candidate,
                    const row& from,
                    row_kind kind,
                    const std::string& name,
                    faults& out) {
  if (candidate.Find(kind, name) != nullptr)
    return;
  out.push_back(KeyOf(from) + ": there is no " + std::string(ToString(kind)) +
                " row \"" + name + "\"");
}

void CheckReferences(const snapshot& candidate, faults& out) {
  for (const row* model : candidate.All(row_kind::kModel))
    CheckReference(candidate, *model, row_kind::kPartner, model->partner, out);
  for (const row* service : candidate.All(row_kind::kService)) {
    CheckReference(candidate, *service, row_kind::kPartner, service->partner,
                   out);
  }
  for (const row* adapter : candidate.All(row_kind::kAdapter))
    CheckReference(candidate, *adapter, row_kind::kModel, adapter->base, out);
  for (const row* server : candidate.All(row_kind::kServer)) {
    if (!server->base.empty())
      CheckReference(candidate, *server, row_kind::kService, server->base, out);
  }
}

void CheckServers(const snapshot& candidate, faults& out) {
  std::map<std::string, std::string> owners;
  for (const row* server : candidate.All(row_kind::kServer)) {
    if (server->address.empty())
      out.push_back(KeyOf(*server) + ": the address is missing");
    if (server->zone.empty())
      out.push_back(KeyOf(*server) + ": the availability zone is missing");
    const auto [earlier, fresh] = owners.emplace(server->address, server->name);
    if (!fresh && !server->address.empty()) {
      out.push_back(KeyOf(*server) + ": server/" + earlier->second +
                    " has the address " + server->address + " already");
    }
  }
}

std::int64_t ReplicaMemory(const snapshot& candidate, const row& model) {
  std::int64_t needed = model.memory_mb;
  const auto found = candidate.adapters.find(model.name);
  if (found == candidate.adapters.end())
    return needed;
  for (const row* adapter : found->second)
    needed += adapter->memory_mb;
  return needed;
}

// Every replica must find a place (largest first, into the emptiest backend
// server, at most one replica of a model on each), and afterwards the largest
// model must still fit somewhere, so that a swap can load before it unloads.
void CheckMemory(const snapshot& candidate, faults& out) {
  std::vector<std::pair<std::int64_t, std::string>> free;
  for (const row* server : candidate.All(row_kind::kServer)) {
    if (server->base.empty())
      free.emplace_back(server->memory_mb, server->name);
  }
  std::vector<std::pair<std::int64_t, const row*>> models;
  for (const row* model : candidate.All(row_kind::kModel))
    models.emplace_back(ReplicaMemory(candidate, *model), model);
  std::ranges::stable_sort(models, std::ranges::greater(),
                           [](const auto& each) { return each.first; });
  if (models.empty())
    return;
  for (const auto& [needed, model] : models) {
    std::ranges::sort(free, std::ranges::greater());
    for (std::int64_t i = 0; i < model->replicas; ++i) {
      const auto index = static_cast<std::size_t>(i);
      if (index >= free.size() || free[index].first < needed) {
        out.push_back(KeyOf(*model) + ": no backend server has " +
                      std::to_string(needed) + " MB left for replica " +
                      std::to_string(i + 1));
        return;
      }
      free[index].first -= needed;
    }
  }
  const auto roomiest = std::ranges::max_element(free);
  const auto& [largest, model] = models.front();
  if (roomiest->first < largest) {
    out.push_back("no room to swap: " + KeyOf(*model) + " needs " +
                  std::to_string(largest) +
                  " MB, but no backend server has "
                  "more than " +
                  std::to_string(roomiest->first) +
                  " MB left when every replica is placed");
  }
}

}  // namespace

std::vector<std::string> CheckTable(const snapshot& candidate) {
  faults out;
  CheckReferences(candidate, out);
  CheckServers(candidate, out);
  if (out.empty())
    CheckMemory(candidate, out);
  return out;
}

}  // namespace valeledge::table
