// SPDX-License-Identifier: MIT
#include "decisions/retry_window.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

// Requests are counted in steps of this length.
constexpr auto kBucket = std::chrono::milliseconds(500);

// The part of the shared budget that hosts use: the rest covers hosts that
// were counted wrongly while they come and go.
constexpr double kUsedRatio = 0.8;
constexpr double kUsedSlack = 0.5;

retry_window::bucket& Current(retry_window& window, base::time_point now) {
  auto& buckets = window.buckets;
  if (buckets.empty() || now >= buckets.back().begin + kBucket)
    buckets.push_back({now});
  return buckets.back();
}

void Forget(retry_window& window, base::time_point before) {
  while (!window.buckets.empty() &&
         window.buckets.front().begin + kBucket < before) {
    window.buckets.pop_front();
  }
}

}  // namespace

void NoteRequest(retry_window& window, base::time_point now) {
  ++Current(window, now).requests;
}

bool TakeRepeat(retry_window& window,
                const retry_limits& limits,
                base::time_point now) {
  Forget(window, now - limits.window);
  double requests = 0;
  double repeats = 0;
  for (const auto& each : window.buckets) {
    requests += static_cast<double>(each.requests);
    repeats += static_cast<double>(each.repeats);
  }
  const auto hosts =
      static_cast<double>(std::max<std::int64_t>(limits.hosts, 1));
  const double allowed =
      kUsedRatio * limits.ratio * requests + kUsedSlack * limits.slack / hosts;
  if (repeats + 1 > allowed)
    return false;
  ++Current(window, now).repeats;
  return true;
}

}  // namespace valeledge::decisions
