// SPDX-License-Identifier: MIT
#include "decisions/demand_shift.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace valeledge::decisions {

namespace {

// A move takes 4 to 9 s: demand is compared with what it was so long ago.
constexpr std::chrono::milliseconds kComparisonWindow{9000};

// Samples are this far apart: a tenth of the shortest move and more.
constexpr std::chrono::milliseconds kSampleInterval{500};

// Steps that are looked for; moves by one and by two have been seen.
constexpr std::size_t kMaxStep = 4;
constexpr std::size_t kLikelyStep = 2;

// Two shares of demand differ by 0 (the same) to 1 (nothing in common). In
// trials, demand nine seconds apart differed by 0.12 to 0.25 without a move,
// and by 0.31 to 0.46 with one.
constexpr double kMinDifference = 0.3;
// A step explains a move if it leaves at most this part of the difference:
// moves seen in trials leave 0.35 to 0.73 by their own step, and 0.8 to 1.1
// by others.
constexpr double kMaxRemainingShare = 0.75;

double Sum(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0);
}

// How far `now` differs from `before` moved on by `step` places, as a share of
// all demand.
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
  // A move shows against whatever was before it, however short it was.
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
