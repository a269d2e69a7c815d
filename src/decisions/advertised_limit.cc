// SPDX-License-Identifier: MIT
#include "decisions/advertised_limit.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

// The order of reports whose times differ by less than this is unknown.
constexpr std::chrono::milliseconds kMaxReportDelay{500};

limit_change Withdraw(limit_view& known, base::time_point when) {
  known.limit.reset();
  known.withdrawn = when;
  return limit_change::kWithdrawn;
}

limit_change SetRate(advertised_limit& limit,
                     double rate,
                     base::time_point received) {
  const bool same = limit.rate == rate;
  limit.rate = rate;
  limit.received = std::max(limit.received, received);
  return same ? limit_change::kNone : limit_change::kChanged;
}

}  // namespace

limit_change Observe(limit_view& known, const limit_observation& seen) {
  if (!known.limit) {
    if (!seen.rate)
      return limit_change::kNone;
    known.limit = {*seen.rate, seen.received};
    return limit_change::kAdvertised;
  }
  const bool is_newer = seen.sent > known.limit->received;
  if (!seen.rate) {
    return is_newer ? Withdraw(known, seen.received) : limit_change::kNone;
  }
  const double rate =
      is_newer ? *seen.rate : std::min(known.limit->rate, *seen.rate);
  return SetRate(*known.limit, rate, seen.received);
}

limit_change Merge(limit_view& known, const limit_report& report) {
  if (!known.limit) {
    const bool is_older =
        known.withdrawn && report.received <= *known.withdrawn;
    if (!report.rate || is_older)
      return limit_change::kNone;
    known.limit = {*report.rate, report.received};
    return limit_change::kAdvertised;
  }
  advertised_limit& limit = *known.limit;
  const bool is_newer = report.received > limit.received + kMaxReportDelay;
  if (!report.rate) {
    return is_newer ? Withdraw(known, report.received) : limit_change::kNone;
  }
  if (report.received + kMaxReportDelay < limit.received)
    return limit_change::kNone;
  const double rate =
      is_newer ? *report.rate : std::min(limit.rate, *report.rate);
  return SetRate(limit, rate, report.received);
}

}  // namespace valeledge::decisions
