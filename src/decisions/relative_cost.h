// SPDX-License-Identifier: MIT
// How much longer engines take for a prompt token of one model than for one of
// a usual model, as learned by one host.
//
// Shared estimates of engines contain how fast engines are, so that the cost of
// a model must not contain that as well: a host sends few requests for most of
// its models, and each host would learn another cost. It therefore starts from
// the same value at all hosts and changes only as far as several responses
// deviate from the shared estimates.
#ifndef VALELEDGE_DECISIONS_RELATIVE_COST_H_
#define VALELEDGE_DECISIONS_RELATIVE_COST_H_

#include <chrono>

namespace valeledge::decisions {

struct relative_cost {
  // Mean logarithm of the ratio, and the number of responses that it is based
  // on.
  double log_mean = 0;
  double weight = 0;
};

// Cost of the model relative to that of a usual one.
double CostRatio(const relative_cost& cost);

// Records when a response started, and when that was expected with this cost
// and the engine's factor.
void RecordCost(relative_cost& cost,
                std::chrono::duration<double, std::milli> actual,
                std::chrono::duration<double, std::milli> expected);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_RELATIVE_COST_H_
