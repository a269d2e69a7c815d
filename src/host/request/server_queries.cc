// SPDX-License-Identifier: MIT
#include "host/request/server_queries.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "host/constants.h"

namespace valeledge::host {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Maximum gap between events that the request's route accepts.
milliseconds EventGapOf(const routed_request& routed) {
  const milliseconds gap = routed.route->event_gap;
  return gap.count() > 0 ? gap : kDefaultEventGap;
}

}  // namespace

server_query QueryOf(const routed_request& routed) {
  server_query query;
  query.service = routed.service->name;
  query.model = routed.metadata.model;
  query.adapter = routed.metadata.adapter;
  query.head = &routed.metadata;
  query.weight = routed.weight;
  query.avoid =
      routed.trial.empty() ? &routed.failed_instances : &routed.not_for_trial;
  if (routed.origin)
    query.software = &routed.origin->software;
  query.route_regions = &routed.route->homes;
  query.max_event_gap = EventGapOf(routed);
  query.expected_events = routed.expected_events;
  query.due = DueOf(routed);
  if (routed.workspace != nullptr)
    query.workspace_regions = &routed.workspace->homes;
  return query;
}

server_query UntriedQueryOf(const routed_request& routed) {
  static const std::vector<std::string> none;
  server_query query = QueryOf(routed);
  query.avoid = &none;
  return query;
}

server_query WithoutAdapter(server_query query) {
  query.adapter = {};
  return query;
}

decisions::engine_candidate TurnOf(const routed_request& routed,
                                   const server_choice& choice,
                                   bool first_attempt,
                                   base::time_point now) {
  decisions::engine_candidate turn;
  turn.waited = duration_cast<milliseconds>(now - routed.arrived);
  turn.objective = routed.route->objective;
  turn.response_in = choice.expected;
  turn.prompt_backlog = choice.prefill_ahead;
  turn.max_event_gap = EventGapOf(routed);
  turn.recheck_interval = kSelectionRetryInterval;
  turn.refusable = first_attempt && !routed.origin &&
                   decisions::CanRetryInTime(TimeOf(routed, now));
  turn.patience = MaxLateWait(routed);
  return turn;
}

decisions::unavailable_model AbsentModelOf(host_core& core,
                                           const routed_request& routed,
                                           const server_query& query,
                                           base::time_point now) {
  decisions::unavailable_model out;
  out.waited = duration_cast<milliseconds>(now - routed.arrived);
  out.objective =
      std::min(routed.route->objective,
               duration_cast<milliseconds>(routed.deadline - routed.arrived));
  if (const auto due = core.servers.EarliestLoadDue(query, now))
    out.ready_in =
        std::max(duration_cast<milliseconds>(*due - now), milliseconds(0));
  out.local_load_time = core.servers.FastestLocalLoad(query, *routed.service);
  return out;
}

std::vector<std::string> ExcludedInstances(const host_core& core,
                                           const routed_request& routed,
                                           base::time_point now,
                                           health_check& is_usable) {
  std::vector<std::string> out = routed.failed_instances;
  const server_query query = QueryOf(routed);
  for (const auto& [instance, server] : core.servers.servers()) {
    const bool unusable = !is_usable(server->trust, now) ||
                          server->SendBlock(now) != send_block::kNone ||
                          decisions::IsPaused(server->notices, now) ||
                          server->IsLimited() ||
                          !IsInAllowedRegion(query, server->region) ||
                          !HasRequiredSoftware(query, server->entry);
    if (server->entry.service == routed.service->name && unusable)
      out.push_back(instance);
  }
  return out;
}

}  // namespace valeledge::host
