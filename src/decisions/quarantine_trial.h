// SPDX-License-Identifier: MIT
// Trials of quarantined prompt parts.
//
// Crashes show only which requests were in flight, so that a combination of
// parts may be quarantined wrongly; nothing would then run that could show it.
// Now and then one request with the combination is sent after all. If its
// server runs it, the quarantine ends at all hosts. Trials are granted by one
// host, so that together they cost only a few servers.
#ifndef VALELEDGE_DECISIONS_QUARANTINE_TRIAL_H_
#define VALELEDGE_DECISIONS_QUARANTINE_TRIAL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/duration.h"
#include "decisions/prompt_quarantine.h"

namespace valeledge::decisions {

// Time from the beginning of a quarantine to the first trial: reports of
// requests that were in flight arrive first.
inline constexpr std::chrono::milliseconds kFirstTrialDelay{500};

// Minimum time between two trials: most end within it.
inline constexpr std::chrono::milliseconds kMinTrialInterval{1500};

// A trial whose server has closed its connection has failed if nothing shows
// within this time that the server has not crashed.
inline constexpr std::chrono::milliseconds kTrialJudgementTime{4000};

// Time for which a trial without a result counts as one that may have crashed
// its server: it is sent within two seconds, may wait in the server's queue and
// is then judged.
inline constexpr std::chrono::milliseconds kTrialLifetime{8000};

// Time from a failed trial to the next one; grows with each.
inline constexpr std::chrono::milliseconds kFailedTrialDelay{2000};

// Failed trials after which a quarantine gets no more: one cause may crash at
// most three servers once it is known, and one of its requests may already be
// on its way when the quarantine begins.
inline constexpr std::size_t kMaxFailedTrials = 2;

// Time for which a host may begin a trial that was granted to it, and within
// which a request that is a trial must be sent: a trial that waits for longer
// would overlap with the next one.
inline constexpr std::chrono::milliseconds kTrialValidity{1000};

// Engines that have crashed within this time are not used for trials: they may
// crash again for the same reason, whatever they run.
inline constexpr std::chrono::milliseconds kTrialCrashPeriod{10'000};

namespace detail {

struct trial_record {
  base::time_point next_at;
  // The servers that crashed under trials.
  std::set<std::int32_t> failed;
  // When the trials without a result were granted.
  std::vector<base::time_point> open;
};

}  // namespace detail

struct trial_schedule {
  std::map<prompt_parts, detail::trial_record> trials;
};

// A trial that was sent to a server.
struct server_trial {
  prompt_parts combination;
  // The server, as in a prompt_crash; 0 if another host does not state it.
  std::int32_t server = 0;
};

// Returns whether a trial of the combination, quarantined since `since`, may
// begin now. Trials that have failed and those that may still fail are at most
// kMaxFailedTrials together.
bool TryGrantTrial(trial_schedule& schedule,
                   const prompt_parts& combination,
                   base::time_point since,
                   base::time_point now);

// Records that the server crashed under the trial. Reports of the same trial,
// which hosts repeat, count once.
void RecordFailedTrial(trial_schedule& schedule,
                       const server_trial& failed,
                       base::time_point now);

// Returns the failed trials of the combination that this host knows of.
std::vector<server_trial> FailedTrials(const trial_schedule& schedule,
                                       const prompt_parts& combination);

// The quarantine of the combination has ended.
void EndTrials(trial_schedule& schedule, const prompt_parts& combination);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_QUARANTINE_TRIAL_H_
