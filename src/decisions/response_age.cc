// SPDX-License-Identifier: MIT
#include "decisions/response_age.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

// Older responses are removed; the process that received them has stopped or no
// longer follows the service.
constexpr std::chrono::seconds kResponseExpiry{30};

void RecordNewest(response_ages& ages, base::time_point at) {
  if (ages.newest_at && at <= *ages.newest_at)
    return;
  if (ages.newest_at && at - *ages.newest_at >= kMinOutage)
    ages.last_outage = {*ages.newest_at, at};
  ages.newest_at = at;
}

}  // namespace

void RecordOwnResponse(response_ages& ages, bool chosen, base::time_point now) {
  ++ages.own.count;
  ages.own.chosen = chosen;
  ages.own_at = now;
  RecordNewest(ages, now);
}

void RecordReportedResponse(response_ages& ages,
                            const reported_response& reported,
                            base::time_point now) {
  if (reported.stamp.origin == ages.own.origin ||
      reported.age >= kResponseExpiry)
    return;
  std::erase_if(ages.received, [&](const auto& each) {
    return now - each.second.at >= kResponseExpiry;
  });
  auto& known = ages.received[reported.stamp.origin];
  if (known.stamp.count >= reported.stamp.count)
    return;
  known = {reported.stamp, now - reported.age};
  RecordNewest(ages, known.at);
}

std::optional<base::time_point> NewestResponseTime(const response_ages& ages) {
  std::optional<base::time_point> newest = ages.own_at;
  for (const auto& [origin, each] : ages.received) {
    if (!newest || each.at > *newest)
      newest = each.at;
  }
  return newest;
}

std::optional<reported_response> ReportNewest(const response_ages& ages,
                                              base::time_point now) {
  const auto newest = NewestResponseTime(ages);
  if (!newest)
    return std::nullopt;
  reported_response out;
  out.stamp = ages.own;
  // Rounded up, so that an age never decreases in transit.
  out.age = std::chrono::ceil<std::chrono::milliseconds>(now - *newest);
  for (const auto& [origin, each] : ages.received) {
    if (each.at == *newest)
      out.stamp = each.stamp;
  }
  return out;
}

bool OthersRespondedWithin(const response_ages& ages,
                           std::chrono::milliseconds span,
                           base::time_point now) {
  return std::ranges::any_of(ages.received, [&](const auto& each) {
    return now - each.second.at < span;
  });
}

std::optional<base::time_point> LapsedUntil(const response_ages& ages,
                                            base::time_point now) {
  // The response that ends the outage has not been reported yet.
  const bool is_out = !ages.newest_at || now - *ages.newest_at >= kMinOutage;
  if (is_out)
    return now + kLapseGrace;
  if (!ages.last_outage || now - ages.last_outage->ended_at >= kLapseGrace)
    return std::nullopt;
  return ages.last_outage->ended_at + kLapseGrace;
}

bool MayStopFallbackRead(const response_ages& ages,
                         std::chrono::milliseconds span,
                         base::time_point now) {
  return std::ranges::any_of(ages.received, [&](const auto& each) {
    const auto& [stamp, at] = each.second;
    const bool before = stamp.chosen || stamp.origin < ages.own.origin;
    return before && now - at < span;
  });
}

}  // namespace valeledge::decisions
