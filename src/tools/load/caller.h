// SPDX-License-Identifier: MIT
// Sends the requests of a load run, each at its time whatever became of the
// others, and notes how they ended.
#ifndef VALELEDGE_TOOLS_LOAD_CALLER_H_
#define VALELEDGE_TOOLS_LOAD_CALLER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "tools/load/demand.h"

namespace valeledge::load {

// How one request ended.
struct sample {
  std::size_t demand = 0;
  std::chrono::microseconds at{0};
  // The answer was whole.
  bool whole = false;
  // The numbered reason of a refusal; 0 for none, -1 for a broken answer.
  int code = 0;
  std::string outcome;
  std::chrono::microseconds first_token{0};
  std::chrono::microseconds worst_gap{0};
  std::chrono::microseconds mean_gap{0};
  std::chrono::microseconds took{0};
  std::int64_t tokens = 0;
  // When a refusal said to come back.
  std::chrono::milliseconds come_back{0};
};

// Whether a request met its targets.
bool MetTarget(const load_plan& plan, const sample& each);

// Runs the whole plan; returns when every request has ended.
std::vector<sample> SendAll(boost::asio::io_context& context,
                            const load_plan& plan,
                            const std::vector<arrival>& arrivals);

// Loads and unloads that controllers have ordered so far.
std::int64_t CountMoves(boost::asio::io_context& context,
                        const load_plan& plan);

}  // namespace valeledge::load

#endif  // VALELEDGE_TOOLS_LOAD_CALLER_H_
