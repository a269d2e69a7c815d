// SPDX-License-Identifier: MIT
#include "decisions/engine_queue_order.h"

#include <algorithm>
#include <utility>

namespace valeledge::decisions::detail {

std::chrono::duration<double, std::milli> ReadTime(
    const queued_request& request) {
  return request.weight.time_per_token *
         static_cast<double>(request.weight.prompt_tokens);
}

bool IsAvoided(const queued_request& request, const std::string& engine) {
  return std::ranges::find(request.avoid, engine) != request.avoid.end();
}

bool IsEarlier(const queued_request& one, const queued_request& other) {
  if (one.is_expected != other.is_expected)
    return one.is_expected;
  return std::tie(one.deadline, one.arrived, one.number) <
         std::tie(other.deadline, other.arrived, other.number);
}

void Insert(unit_queue& unit, queued_request request) {
  request_flow& flow = unit.flows[{request.priority, request.workspace}];
  flow.read_time += ReadTime(request);
  const auto after =
      std::ranges::upper_bound(flow.requests, request, IsEarlier);
  flow.requests.insert(after, std::move(request));
}

std::optional<queued_request> Take(engine_queue& queue,
                                   const std::string& unit,
                                   flow_key key,
                                   std::int64_t number) {
  unit_queue& of = queue.units.at(unit);
  request_flow& flow = of.flows.at(key);
  const auto found =
      std::ranges::find(flow.requests, number, &queued_request::number);
  if (found == flow.requests.end())
    return std::nullopt;
  queued_request taken = std::move(*found);
  flow.requests.erase(found);
  flow.read_time -= ReadTime(taken);
  if (flow.requests.empty())
    of.flows.erase(key);
  return taken;
}

double StartTag(const known_engine& engine, const flow_key& flow) {
  const auto shares = engine.shares.find(flow.first);
  if (shares == engine.shares.end())
    return 0;
  const auto finish = shares->second.finish.find(flow.second);
  // A workspace that has been idle starts at the present virtual time.
  return finish == shares->second.finish.end()
             ? shares->second.virtual_time
             : std::max(shares->second.virtual_time, finish->second);
}

void RecordShare(known_engine& engine, const queued_request& request) {
  const double start = StartTag(engine, {request.priority, request.workspace});
  fair_shares& shares = engine.shares[request.priority];
  shares.virtual_time = start;
  shares.finish[request.workspace] =
      start + ReadTime(request).count() / request.share;
  // A workspace without a tag starts at the virtual time as well.
  std::erase_if(shares.finish,
                [&](const auto& each) { return each.second <= start; });
}

}  // namespace valeledge::decisions::detail
