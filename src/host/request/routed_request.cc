// SPDX-License-Identifier: MIT
#include "host/request/routed_request.h"

#include <algorithm>

#include <boost/beast/http.hpp>

#include "decisions/stream_patience.h"
#include "host/constants.h"
#include "host/prompt_parts.h"

namespace valeledge::host {

namespace {

namespace http = boost::beast::http;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Selects one of the route's services at random, by weight.
const catalog::weighted_service& ChooseService(const catalog::route& route,
                                               std::mt19937_64& random) {
  double total = 0;
  for (const auto& each : route.services)
    total += each.weight;
  std::uniform_real_distribution<double> any(0, total);
  double at = any(random);
  for (const auto& each : route.services) {
    at -= each.weight;
    if (at < 0)
      return each;
  }
  return route.services.back();
}

bool FindRoute(host_core& core,
               const net::http_request& request,
               routed_request& routed) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  const std::string_view path = target.substr(0, target.find('?'));
  const auto authority = request[http::field::host];
  routed.route = routed.configuration->FindRoute(
      std::string_view(authority.data(), authority.size()), path);
  if (routed.route == nullptr || routed.route->services.empty())
    return false;
  routed.service = routed.configuration->FindService(
      ChooseService(*routed.route, core.random).service);
  return routed.service != nullptr;
}

}  // namespace

bool RouteRequest(host_core& core,
                  const net::http_request& request,
                  routed_request& routed) {
  if (!FindRoute(core, request, routed))
    return false;
  routed.metadata = core.protocol.read_request(request);
  routed.shared_parts = SharedPromptParts(routed.metadata);
  const request_metadata& metadata = routed.metadata;
  milliseconds allowed = routed.route->timeout;
  if (metadata.deadline)
    allowed = std::min(allowed, *metadata.deadline);
  routed.caller_deadline = routed.arrived + allowed;
  routed.deadline = routed.caller_deadline;
  const bool of_model = !metadata.model.empty();
  routed.demand =
      of_model
          ? &core.demand.DemandFor(metadata.model, kInitialTokenCost)
          : &core.demand.DemandFor(routed.service->name, kInitialServiceTime);
  routed.demand->objective =
      std::min(routed.demand->objective, routed.route->objective);
  if (!routed.is_relayed) {
    ++routed.demand->arrivals;
    routed.demand->tokens += metadata.prompt_tokens;
  }
  if (of_model) {
    routed.weight.prompt_tokens = metadata.prompt_tokens;
    const auto length = core.stream_lengths.find(routed.route->name);
    if (length != core.stream_lengths.end())
      routed.expected_events = length->second.events;
    routed.weight.held_tokens =
        metadata.prompt_tokens + metadata.expected_tokens;
    routed.weight.time_per_token =
        core.servers.SharesEstimates(*routed.service)
            ? kReferenceTokenCost *
                  decisions::CostRatio(routed.demand->relative_cost)
            : routed.demand->cost;
  } else {
    routed.weight.service_time = routed.demand->cost;
  }
  return true;
}

std::int64_t PriorityOf(const routed_request& routed) {
  const bool ranked =
      routed.workspace != nullptr && routed.workspace->priority.has_value();
  return ranked ? *routed.workspace->priority : routed.route->priority;
}

std::string WorkspaceName(const routed_request& routed) {
  return routed.workspace == nullptr ? std::string() : routed.workspace->name;
}

std::optional<base::error> CheckStopDeadline(const host_core& core,
                                             const routed_request& routed) {
  if (!core.stop)
    return std::nullopt;
  const bool must_end = routed.route->kind == catalog::route_kind::kOnce;
  const bool is_taken =
      decisions::TakesRequest(*core.stop, routed.caller_deadline, must_end,
                              std::chrono::steady_clock::now());
  if (is_taken)
    return std::nullopt;
  return LeavingError();
}

base::error LeavingError() {
  auto leaving =
      base::MakeError(base::result_code::kLeaving, base::outcome::kNotRun,
                      "this host is shutting down");
  leaving.retry_after = milliseconds(0);
  return leaving;
}

void BoundByStop(const host_core& core, routed_request& routed) {
  if (core.stop)
    routed.deadline = std::min(routed.deadline, core.stop->responds_at);
}

base::error NoRouteError(const host_core& core) {
  if (!core.is_stale()) {
    return base::MakeError(base::result_code::kUnknownPath,
                           base::outcome::kNotRun,
                           "no route matches this host and path");
  }
  auto early = base::MakeError(
      base::result_code::kNoBackendServer, base::outcome::kNotRun,
      "no route matches this host and path in a stale configuration");
  early.retry_after = kShortRetryAfter;
  return early;
}

base::error NotSentInTimeError() {
  auto late = base::MakeError(
      base::result_code::kDeadlineUnreachable, base::outcome::kNotRun,
      "no backend server was available before the deadline");
  late.retry_after = kDefaultRetryAfter;
  return late;
}

base::time_point DueOf(const routed_request& routed) {
  return std::min(routed.arrived + routed.route->objective, routed.deadline);
}

milliseconds MaxLateWait(const routed_request& routed) {
  const milliseconds patience = decisions::CallerPatience(
      routed.route->objective, routed.route->event_gap);
  const auto allowed =
      duration_cast<milliseconds>(routed.deadline - routed.arrived);
  return std::min(patience, allowed) / 2;
}

milliseconds MaxResumeWait(const routed_request& routed) {
  const milliseconds patience = decisions::CallerPatience(
      routed.route->objective, routed.route->event_gap);
  const auto limit = std::min<base::time_point::duration>(
      patience, routed.deadline - routed.waiting_since);
  return decisions::MaxResumeWait(std::chrono::ceil<milliseconds>(limit));
}

base::time_point ResumeCutoff(const routed_request& routed) {
  return routed.waiting_since + MaxResumeWait(routed);
}

milliseconds RemainingTime(const routed_request& routed) {
  return duration_cast<milliseconds>(routed.deadline -
                                     std::chrono::steady_clock::now());
}

decisions::request_time TimeOf(const routed_request& routed,
                               base::time_point now) {
  const decisions::request_weight& weight = routed.weight;
  decisions::request_time time;
  time.objective = routed.route->objective;
  time.until_objective = duration_cast<milliseconds>(
      routed.arrived + routed.token_wait + time.objective - now);
  time.until_deadline = duration_cast<milliseconds>(routed.deadline - now);
  time.work =
      routed.metadata.model.empty()
          ? weight.service_time
          : weight.time_per_token * static_cast<double>(weight.prompt_tokens) +
                decisions::kFirstEventOverhead;
  return time;
}

std::int64_t MillisecondsSince(base::time_point begun) {
  return duration_cast<milliseconds>(std::chrono::steady_clock::now() - begun)
      .count();
}

}  // namespace valeledge::host
