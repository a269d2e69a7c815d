// SPDX-License-Identifier: MIT
// Ways to keep a limit over many hosts, compared in virtual time: a table for
// docs/design/SHIFTED-WORK.md.
#include <cstdio>
#include <string>
#include <vector>

#include "limit_simulation.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;

struct way {
  std::string name;
  limit_outcome (*play)(const limit_day& day);
};

std::string NameOf(limit_trouble trouble) {
  switch (trouble) {
    case limit_trouble::kNone:
      return "none";
    case limit_trouble::kCutThird:
      return "a third cut off";
    case limit_trouble::kOwnerKilled:
      return "owner killed";
    case limit_trouble::kOwnerFrozen:
      return "owner frozen";
    case limit_trouble::kAllRestarted:
      return "all restarted";
  }
  return "";
}

}  // namespace

int main() {
  const std::vector<way> ways = {
      {"equal parts", PlayEqualParts},
      {"counts told, 1 s",
       [](const limit_day& day) { return PlaySpreadCounts(day, 1.0); }},
      {"counts told, 0.25 s",
       [](const limit_day& day) { return PlaySpreadCounts(day, 0.25); }},
      {"an owner", PlayOwner},
  };
  std::puts(
      "| hosts | rate | trouble | way | worst window | used when hot | "
      "refused below | messages a request |");
  std::puts("| --- | --- | --- | --- | --- | --- | --- | --- |");
  for (const int hosts : {69, 300}) {
    for (const double rate : {5000.0, 300'000.0}) {
      for (const limit_trouble trouble :
           {limit_trouble::kNone, limit_trouble::kCutThird,
            limit_trouble::kOwnerKilled, limit_trouble::kOwnerFrozen,
            limit_trouble::kAllRestarted}) {
        for (const way& each : ways) {
          limit_day day;
          day.hosts = hosts;
          day.limit.unit = catalog::limit_unit::kTokens;
          day.limit.rate = rate;
          day.limit.burst = rate;
          day.trouble = trouble;
          const limit_outcome seen = each.play(day);
          std::printf("| %d | %.0f | %s | %s | %.2f | %.3f | %.4f | %.1f |\n",
                      hosts, rate, NameOf(trouble).c_str(), each.name.c_str(),
                      seen.worst_overrun, seen.used_when_hot,
                      seen.refused_below, seen.messages);
        }
      }
    }
  }
}
