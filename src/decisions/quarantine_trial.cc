// SPDX-License-Identifier: MIT
#include "decisions/quarantine_trial.h"

#include <algorithm>

namespace valeledge::decisions {

bool TryGrantTrial(trial_schedule& schedule,
                   const prompt_parts& combination,
                   base::time_point since,
                   base::time_point now) {
  detail::trial_record& trial = schedule.trials[combination];
  const base::time_point due =
      std::max(trial.next_at, since + kFirstTrialDelay);
  std::erase_if(trial.open, [now](base::time_point granted_at) {
    return now - granted_at >= kTrialLifetime;
  });
  if (now < due || trial.failed + trial.open.size() >= kMaxFailedTrials)
    return false;
  trial.next_at = now + kMinTrialInterval;
  trial.open.push_back(now);
  return true;
}

void RecordFailedTrial(trial_schedule& schedule,
                       const prompt_parts& combination,
                       base::time_point now) {
  detail::trial_record& trial = schedule.trials[combination];
  ++trial.failed;
  if (!trial.open.empty())
    trial.open.erase(trial.open.begin());
  trial.next_at = now + kFailedTrialDelay * trial.failed;
}

void EndTrials(trial_schedule& schedule, const prompt_parts& combination) {
  schedule.trials.erase(combination);
}

}  // namespace valeledge::decisions
