// SPDX-License-Identifier: MIT
// What a load run has shown: attainment per accelerator, moves, shares,
// goodput, refusals, percentiles.
#ifndef VALELEDGE_TOOLS_LOAD_REPORT_H_
#define VALELEDGE_TOOLS_LOAD_REPORT_H_

#include <map>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "tools/load/caller.h"

namespace valeledge::load {

// The figures of one run.
struct run_summary {
  std::int64_t requests = 0;
  std::int64_t whole = 0;
  std::int64_t met = 0;
  std::int64_t broken = 0;
  // Requests that met their targets, a second.
  double goodput = 0;
  // Requests that met their targets, for each accelerator.
  double attainment_per_accelerator = 0;
  std::int64_t moves = 0;
  std::int64_t tokens = 0;
  std::map<std::string, std::int64_t> tokens_by_partner;
  std::map<int, std::int64_t> refusals;
  std::map<std::string, std::chrono::microseconds> percentiles;
};

run_summary Summarise(const load_plan& plan,
                      const std::vector<sample>& samples,
                      std::int64_t moves);

// The value below which `share` of the values lie.
std::chrono::microseconds Percentile(std::vector<std::chrono::microseconds> of,
                                     double share);

boost::json::object ToJson(const run_summary& summary);

// A line a request.
std::string ToCsv(const load_plan& plan, const std::vector<sample>& samples);

}  // namespace valeledge::load

#endif  // VALELEDGE_TOOLS_LOAD_REPORT_H_
