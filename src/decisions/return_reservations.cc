// SPDX-License-Identifier: MIT
#include "decisions/return_reservations.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace valeledge::decisions {

namespace {

using detail::reserved_flow;
using detail::reserved_return;
using milliseconds = std::chrono::duration<double, std::milli>;

// Sums are kept so that a forecast does not read each reservation.
void UpdateSums(reserved_flow& flow) {
  flow.sums.clear();
  milliseconds sum{0};
  for (const reserved_return& each : flow.reservations)
    flow.sums.push_back(sum += each.read_time);
}

// Removes the flow and the unit if they are empty.
void RemoveIfEmpty(return_reservations& reservations,
                   const std::string& unit,
                   std::int64_t priority,
                   const std::string& workspace) {
  const auto found = reservations.units.find(unit);
  const auto flow = found->second.find({priority, workspace});
  if (flow->second.reservations.empty())
    found->second.erase(flow);
  if (found->second.empty())
    reservations.units.erase(found);
}

}  // namespace

namespace detail {

std::chrono::duration<double, std::milli> ReservedUntil(
    const reserved_flow& flow,
    base::time_point until) {
  const auto end = std::ranges::upper_bound(flow.reservations, until, {},
                                            &reserved_return::returns_at);
  const auto count = std::distance(flow.reservations.begin(), end);
  return count == 0 ? milliseconds(0)
                    : flow.sums[static_cast<std::size_t>(count - 1)];
}

}  // namespace detail

void AddReservation(return_reservations& reservations,
                    const return_reservation& added) {
  reserved_flow& flow =
      reservations.units[added.unit][{added.priority, added.workspace}];
  const auto after = std::ranges::upper_bound(
      flow.reservations, added.returns_at, {}, &reserved_return::returns_at);
  flow.reservations.insert(
      after, {added.returns_at, added.read_time, added.caller_deadline});
  UpdateSums(flow);
  reservations.earliest = std::min(reservations.earliest, added.returns_at);
}

bool RedeemReservation(return_reservations& reservations,
                       const return_reservation& returning) {
  const auto found = reservations.units.find(returning.unit);
  if (found == reservations.units.end())
    return false;
  const auto flow =
      found->second.find({returning.priority, returning.workspace});
  if (flow == found->second.end())
    return false;
  auto& expected = flow->second.reservations;
  const auto due = std::ranges::upper_bound(expected, returning.returns_at, {},
                                            &reserved_return::returns_at);
  const auto difference = [&](const reserved_return& each) {
    return std::chrono::abs(each.caller_deadline - returning.caller_deadline);
  };
  const auto own =
      std::ranges::min_element(expected.begin(), due, {}, difference);
  if (own == due || difference(*own) > kDeadlineTolerance)
    return false;
  expected.erase(own);
  UpdateSums(flow->second);
  RemoveIfEmpty(reservations, returning.unit, returning.priority,
                returning.workspace);
  return true;
}

std::optional<base::time_point> LastReservation(
    const return_reservations& reservations,
    const std::string& unit,
    std::int64_t priority,
    const std::string& workspace,
    base::time_point until) {
  const auto found = reservations.units.find(unit);
  if (found == reservations.units.end())
    return std::nullopt;
  const auto flow = found->second.find({priority, workspace});
  if (flow == found->second.end())
    return std::nullopt;
  const auto& expected = flow->second.reservations;
  const auto end = std::ranges::upper_bound(expected, until, {},
                                            &reserved_return::returns_at);
  if (end == expected.begin())
    return std::nullopt;
  return std::prev(end)->returns_at;
}

std::int64_t DropLapsed(return_reservations& reservations,
                        base::time_point now) {
  if (reservations.earliest >= now - kReturnTolerance)
    return 0;
  reservations.earliest = base::time_point::max();
  std::int64_t dropped = 0;
  for (auto& [unit, flows] : reservations.units) {
    for (auto& [key, flow] : flows) {
      const auto count =
          std::erase_if(flow.reservations, [&](const auto& each) {
            return now - each.returns_at > kReturnTolerance;
          });
      if (count > 0)
        UpdateSums(flow);
      dropped += static_cast<std::int64_t>(count);
      // They are ordered by time.
      if (!flow.reservations.empty())
        reservations.earliest = std::min(reservations.earliest,
                                         flow.reservations.front().returns_at);
    }
    std::erase_if(flows, [](const auto& each) {
      return each.second.reservations.empty();
    });
  }
  std::erase_if(reservations.units,
                [](const auto& each) { return each.second.empty(); });
  return dropped;
}

std::chrono::duration<double, std::milli> ReservedReadTime(
    const return_reservations& reservations,
    const std::string& unit,
    std::int64_t priority,
    base::time_point until) {
  milliseconds sum{0};
  const auto found = reservations.units.find(unit);
  if (found == reservations.units.end())
    return sum;
  for (const auto& [key, flow] : found->second) {
    if (key.first <= priority)
      sum += detail::ReservedUntil(flow, until);
  }
  return sum;
}

std::int64_t CountReservations(const return_reservations& reservations) {
  std::size_t count = 0;
  for (const auto& [unit, flows] : reservations.units) {
    for (const auto& [key, flow] : flows)
      count += flow.reservations.size();
  }
  return static_cast<std::int64_t>(count);
}

}  // namespace valeledge::decisions
