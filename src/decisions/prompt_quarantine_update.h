// SPDX-License-Identifier: MIT
// Updates that hosts send each other about prompt parts suspected of crashing
// servers.
#ifndef VALELEDGE_DECISIONS_PROMPT_QUARANTINE_UPDATE_H_
#define VALELEDGE_DECISIONS_PROMPT_QUARANTINE_UPDATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "base/duration.h"
#include "decisions/prompt_quarantine.h"
#include "decisions/quarantine_trial.h"
#include "wire/generated/messages_types.h"

namespace valeledge::decisions {

// Maximum number of crash reports that a host keeps to repeat them: several
// crashes with all requests in flight at each. The newest are kept.
inline constexpr std::size_t kMaxKeptPromptCrashes = 256;

// Maximum number of part ids in one message, of about 10 bytes each, so that it
// fits into one datagram.
inline constexpr std::size_t kMaxPartsPerMessage = 80;

// What a host reports.
struct prompt_observations {
  std::deque<prompt_crash> crashes;
  prompt_parts cleared;
  std::vector<prompt_parts> quarantined;
  // Combinations whose quarantine has ended.
  std::vector<prompt_parts> lifted;
  // Trials under which the server crashed.
  std::vector<server_trial> failed_trials;
};

// Returns the observations as messages, with ages at `now` instead of times,
// since clocks differ.
std::vector<wire::prompt_quarantine_update> MakePromptUpdates(
    const prompt_observations& observations,
    base::time_point now);

// Returns the crashes that another host reports.
std::vector<prompt_crash> ReportedCrashes(
    const wire::prompt_quarantine_update& update,
    base::time_point now);

// Returns the failed trials that another host reports.
std::vector<server_trial> ReportedFailedTrials(
    const wire::prompt_quarantine_update& update);

// What an update of another host has changed.
struct applied_prompt_update {
  std::vector<prompt_parts> quarantined;
  std::vector<prompt_parts> lifted;
};

// Applies an update of another host.
applied_prompt_update ApplyPromptUpdate(
    prompt_quarantine& state,
    const wire::prompt_quarantine_update& update,
    base::time_point now);

// A trial of a combination and the host that asks for it or may begin it, by a
// hash of its name.
struct prompt_trial {
  prompt_parts combination;
  std::int64_t host = 0;
};

// Converts trials to and from their wire representation.
std::vector<wire::quarantine_trial> TrialsToWire(
    const std::vector<prompt_trial>& trials);
std::vector<prompt_trial> TrialsFromWire(
    const std::vector<wire::quarantine_trial>& trials);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_PROMPT_QUARANTINE_UPDATE_H_
