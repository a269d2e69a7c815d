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
  if (now < due || trial.failed.size() + trial.open.size() >= kMaxFailedTrials)
    return false;
  trial.next_at = now + kMinTrialInterval;
  trial.open.push_back(now);
  return true;
}

void RecordFailedTrial(trial_schedule& schedule,
                       const server_trial& failed,
                       base::time_point now) {
  detail::trial_record& trial = schedule.trials[failed.combination];
  if (!trial.failed.insert(failed.server).second)
    return;
  if (!trial.open.empty())
    trial.open.erase(trial.open.begin());
  trial.next_at = now + kFailedTrialDelay * trial.failed.size();
}

std::vector<server_trial> FailedTrials(const trial_schedule& schedule,
                                       const prompt_parts& combination) {
  std::vector<server_trial> failed;
  const auto found = schedule.trials.find(combination);
  if (found == schedule.trials.end())
    return failed;
  for (const std::int32_t server : found->second.failed)
    failed.push_back({combination, server});
  return failed;
}

void EndTrials(trial_schedule& schedule, const prompt_parts& combination) {
  schedule.trials.erase(combination);
}

}  // namespace valeledge::decisions
