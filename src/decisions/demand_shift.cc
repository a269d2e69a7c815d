// SPDX-License-Identifier: MIT
#include "decisions/demand_shift.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace valeledge::decisions {

namespace {

// A shift takes 4 to 9 s; demand is compared with samples of up to this age.
constexpr std::chrono::milliseconds kComparisonWindow{9000};

// About an eighth of the shortest shift.
constexpr std::chrono::milliseconds kSampleInterval{500};

// The largest step that is detected, and the largest that is expected before
// the first shift: shifts by one and by two positions occur.
constexpr std::size_t kMaxStep = 4;
constexpr std::size_t kLikelyStep = 2;

// Minimum difference between two distributions of demand that counts as a
// shift, from 0 (equal) to 1 (nothing in common). Over 9 s, demand differs by
// 0.12 to 0.25 without a shift, and by 0.31 to 0.46 with one.
constexpr double kMinDifference = 0.3;
// A step explains a shift if at most this share of the difference remains
// after it: 0.35 to 0.73 remains after the actual step, 0.8 to 1.1 after
// others.
constexpr double kMaxRemainingShare = 0.75;

double Sum(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0);
}

// Returns the difference between `now` and `before` shifted by `step`
// positions, as a share of all demand.
double DifferenceAfter(const std::vector<double>& before,
                       const std::vector<double>& now,
                       std::size_t step) {
  const double total_before = Sum(before);
  const double total_now = Sum(now);
  double difference = 0;
  for (std::size_t i = 0; i < now.size(); ++i) {
    const double shifted = i >= step ? before[i - step] / total_before : 0;
    difference += std::abs(now[i] / total_now - shifted);
  }
  return difference / 2;
}

std::optional<std::size_t> StepBetween(const std::vector<double>& before,
                                       const std::vector<double>& now) {
  const double unshifted = DifferenceAfter(before, now, 0);
  if (unshifted < kMinDifference)
    return std::nullopt;
  std::optional<std::size_t> best;
  double smallest = kMaxRemainingShare * unshifted;
  for (std::size_t step = 1; step <= kMaxStep; ++step) {
    const double remaining = DifferenceAfter(before, now, step);
    if (remaining < smallest) {
      best = step;
      smallest = remaining;
    }
  }
  return best;
}

}  // namespace

void RecordDemand(demand_shift& shift,
                  base::time_point now,
                  const std::vector<double>& demand) {
  const bool list_changed =
      !shift.samples.empty() &&
      shift.samples.front().demand.size() != demand.size();
  if (list_changed)
    shift.samples.clear();
  const bool due = shift.samples.empty() ||
                   now - shift.samples.back().time >= kSampleInterval;
  if (!due || Sum(demand) <= 0)
    return;
  shift.samples.push_back({now, demand});
  while (now - shift.samples.front().time > kComparisonWindow)
    shift.samples.pop_front();
  // The oldest sample serves as the reference, even if the window is not full.
  const auto step = StepBetween(shift.samples.front().demand, demand);
  if (step)
    shift.step = step;
}

std::vector<double> DemandAfterShift(const demand_shift& shift,
                                     const std::vector<double>& demand) {
  const std::size_t first = shift.step.value_or(1);
  const std::size_t last = shift.step.value_or(kLikelyStep);
  std::vector<double> out(demand.size());
  for (std::size_t i = 0; i < demand.size(); ++i) {
    for (std::size_t step = first; step <= std::min(last, i); ++step)
      out[i] = std::max(out[i], demand[i - step]);
  }
  return out;
}

}  // namespace valeledge::decisions
