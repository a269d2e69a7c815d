// SPDX-License-Identifier: MIT
#include "decisions/quarantine_update.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

wire::server_end ToWire(std::uint64_t digest,
                        const server_crash& crash,
                        base::time_point now) {
  wire::server_end out;
  out.request = static_cast<std::int64_t>(digest);
  out.server = crash.server;
  out.age_us = duration_cast<microseconds>(now - crash.at).count();
  out.took_us = duration_cast<microseconds>(crash.at - crash.sent).count();
  return out;
}

server_crash FromWire(const wire::server_end& crash, base::time_point now) {
  const auto at = now - microseconds(crash.age_us);
  return {crash.server, at - microseconds(crash.took_us), at};
}

}  // namespace

void AddObservation(quarantine_observations& observations,
                    const quarantine_observation& observation) {
  std::erase_if(
      observations, [&observation](const quarantine_observation& each) {
        return each.digest == observation.digest &&
               each.crash.has_value() != observation.crash.has_value();
      });
  observations.push_back(observation);
  if (observations.size() > kMaxObservations)
    observations.pop_front();
}

void DropCleared(quarantine_observations& observations,
                 const wire::end_news& update) {
  for (const std::int64_t cleared : update.cleared) {
    std::erase_if(observations, [cleared](const quarantine_observation& each) {
      return each.crash && static_cast<std::int64_t>(each.digest) == cleared;
    });
  }
}

wire::end_news MakeUpdate(const quarantine_observations& observations,
                          base::time_point now) {
  wire::end_news update;
  const std::size_t first =
      observations.size() -
      std::min(observations.size(), kMaxObservationsPerMessage);
  for (std::size_t i = first; i < observations.size(); ++i) {
    const quarantine_observation& each = observations[i];
    if (each.crash)
      update.ends.push_back(ToWire(each.digest, *each.crash, now));
    else
      update.cleared.push_back(static_cast<std::int64_t>(each.digest));
  }
  return update;
}

std::vector<std::uint64_t> ApplyUpdate(quarantine& state,
                                       const wire::end_news& update,
                                       base::time_point now) {
  std::vector<std::uint64_t> quarantined;
  for (const std::int64_t each : update.cleared)
    RecordCompleteResponse(state, static_cast<std::uint64_t>(each));
  for (const wire::server_end& each : update.ends) {
    const auto digest = static_cast<std::uint64_t>(each.request);
    if (RecordCrash(state, digest, FromWire(each, now), now))
      quarantined.push_back(digest);
  }
  return quarantined;
}

}  // namespace valeledge::decisions
