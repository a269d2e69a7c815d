// SPDX-License-Identifier: MIT
// Compares strategies for a limit across many hosts in simulated time. Prints a
// table for docs/design/SHIFTED-WORK.md.
#include <cstdio>
#include <string>
#include <vector>

#include "limit_simulation.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;

struct strategy {
  std::string name;
  limit_outcome (*simulate)(const limit_scenario& scenario);
};

std::string NameOf(limit_fault fault) {
  switch (fault) {
    case limit_fault::kNone:
      return "none";
    case limit_fault::kThirdPartitioned:
      return "a third partitioned";
    case limit_fault::kOwnerKilled:
      return "owner killed";
    case limit_fault::kOwnerFrozen:
      return "owner frozen";
    case limit_fault::kAllHostsRestarted:
      return "all restarted";
  }
  return "";
}

}  // namespace

int main() {
  const std::vector<strategy> strategies = {
      {"equal shares", SimulateEqualShares},
      {"counts exchanged, 1 s",
       [](const limit_scenario& scenario) {
         return SimulateCountExchange(scenario, 1.0);
       }},
      {"counts exchanged, 0.25 s",
       [](const limit_scenario& scenario) {
         return SimulateCountExchange(scenario, 0.25);
       }},
      {"an owner", SimulateOwner},
  };
  std::puts(
      "| hosts | rate | fault | strategy | worst window | "
      "used when overloaded | refused below the limit | "
      "messages per request |");
  std::puts("| --- | --- | --- | --- | --- | --- | --- | --- |");
  for (const int hosts : {69, 300}) {
    for (const double rate : {5000.0, 300'000.0}) {
      for (const limit_fault fault :
           {limit_fault::kNone, limit_fault::kThirdPartitioned,
            limit_fault::kOwnerKilled, limit_fault::kOwnerFrozen,
            limit_fault::kAllHostsRestarted}) {
        for (const strategy& each : strategies) {
          limit_scenario scenario;
          scenario.hosts = hosts;
          scenario.limit.unit = catalog::limit_unit::kTokens;
          scenario.limit.rate = rate;
          scenario.limit.burst = rate;
          scenario.fault = fault;
          const limit_outcome outcome = each.simulate(scenario);
          std::printf("| %d | %.0f | %s | %s | %.2f | %.3f | %.4f | %.1f |\n",
                      hosts, rate, NameOf(fault).c_str(), each.name.c_str(),
                      outcome.worst_overrun, outcome.used_when_overloaded,
                      outcome.refused_below_limit, outcome.messages);
        }
      }
    }
  }
}
