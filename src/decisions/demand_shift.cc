// SPDX-License-Identifier: MIT
#include "decisions/demand_shift.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace valeledge::decisions {

namespace {

// A move takes 4 to 9 s: demand is compared with what it was so long ago.
constexpr std::chrono::milliseconds kCompared{9000};

// Samples are this far apart: a tenth of the shortest move and more.
constexpr std::chrono::milliseconds kSampleInterval{500};

// Steps that are looked for; moves by one and by two have been seen.
constexpr std::size_t kMostStep = 4;
constexpr std::size_t kLikelyStep = 2;

// Two shares of demand differ by 0 (the same) to 1 (nothing in common). In
// trials, demand nine seconds apart differed by 0.12 to 0.25 without a move,
// and by 0.31 to 0.46 with one.
constexpr double kMoved = 0.3;
// A step explains a move if it leaves at most this part of the difference:
// moves seen in trials leave 0.35 to 0.73 by their own step, and 0.8 to 1.1
// by others.
constexpr double kExplained = 0.75;

double Sum(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0);
}

// How far `now` differs from `before` moved on by `step` places, as a share of
// all demand.
double DifferenceAfter(const std::vector<double>& before,
                       const std::vector<double>& now,
                       std::size_t step) {
  const double all_before = Sum(before);
  const double all_now = Sum(now);
  double difference = 0;
  for (std::size_t i = 0; i < now.size(); ++i) {
    const double moved = i >= step ? before[i - step] / all_before : 0;
    difference += std::abs(now[i] / all_now - moved);
  }
  return difference / 2;
}

std::optional<std::size_t> StepBetween(const std::vector<double>& before,
                                       const std::vector<double>& now) {
  const double unmoved = DifferenceAfter(before, now, 0);
  if (unmoved < kMoved)
    return std::nullopt;
  std::optional<std::size_t> best;
  double least = kExplained * unmoved;
  for (std::size_t step = 1; step <= kMostStep; ++step) {
    const double left = DifferenceAfter(before, now, step);
    if (left < least) {
      best = step;
      least = left;
    }
  }
  return best;
}

}  // namespace

void NoteDemand(demand_shift& shift,
                base::time_point now,
                const std::vector<double>& demand) {
  const bool listed_anew =
      !shift.past.empty() && shift.past.front().demand.size() != demand.size();
  if (listed_anew)
    shift.past.clear();
  const bool due =
      shift.past.empty() || now - shift.past.back().at >= kSampleInterval;
  if (!due || Sum(demand) <= 0)
    return;
  shift.past.push_back({now, demand});
  while (now - shift.past.front().at > kCompared)
    shift.past.pop_front();
  // A move shows against whatever was before it, however short it was.
  const auto step = StepBetween(shift.past.front().demand, demand);
  if (step)
    shift.step = step;
}

std::vector<double> DemandAfterMove(const demand_shift& shift,
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
