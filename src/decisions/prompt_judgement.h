// SPDX-License-Identifier: MIT
// Judgement of suspected prompt parts: which combinations the crashes so far
// are due to, and are not a coincidence.
#ifndef VALELEDGE_DECISIONS_PROMPT_JUDGEMENT_H_
#define VALELEDGE_DECISIONS_PROMPT_JUDGEMENT_H_

#include <chrono>
#include <cstddef>
#include <vector>

#include "base/duration.h"
#include "decisions/prompt_quarantine.h"

namespace valeledge::decisions {

// A crash is judged after this time, by when all hosts have reported the
// requests that they had in flight there.
inline constexpr std::chrono::milliseconds kCrashSettleTime{200};

// A part is quarantined if chance would bring it to all its crashes, without a
// request in between that a server runs, with at most this probability.
inline constexpr double kMaxCoincidence = 2e-6;

// The number of crashes after which a combination is quarantined again doubles
// each time its quarantine is lifted, up to this number.
inline constexpr std::size_t kMaxCrashesRequired = 12;

// Crashes without a part speak against it as the cause: of a part that many
// requests have, at most this share of the crashes may be without it.
inline constexpr double kMaxShareWithout = 0.2;

// Lowest probability assumed for a request to be in flight at a crash.
inline constexpr double kMinCrashExposure = 0.01;

// Time for which a request is in flight before it shows that it does not crash
// its server, unless the server is congested.
inline constexpr std::chrono::milliseconds kExposureTime{1000};

// If two parts were in flight at the same crashes, in different requests, the
// decision waits for another crash. After this number of crashes both are
// quarantined.
inline constexpr std::size_t kMaxCrashesToTellApart = 5;

// Maximum number of parts in a combination, so that its key in the store is not
// too long.
inline constexpr std::size_t kMaxCombinationParts = 8;

// While crashes break more than this share of all requests, a part must be in
// flight at this many times as many crashes as there are others.
inline constexpr double kOutageShare = 0.5;
inline constexpr std::size_t kOutageRatio = 4;

// A part that this share of requests has is in flight at most crashes. It is
// quarantined only if servers have run so many other requests since the first
// crash that they would have run one with this part as well, but for this
// probability.
inline constexpr double kCommonShare = 0.15;
inline constexpr double kMaxChanceUnserved = 1e-3;

// Number of requests that are assumed to have been run in addition to those
// whose outcomes are kept: a few broken requests alone show little.
inline constexpr double kAssumedRuns = 2;

// The fleet that crashes are judged for.
struct judged_fleet {
  // Number of servers that requests with prompts may reach.
  std::size_t servers = 1;
  // Time for which other hosts can clear a part after its second crash.
  std::chrono::milliseconds evidence_time{0};
};

// Quarantines the combinations that the crashes so far are due to, and returns
// them. Call several times a second.
std::vector<prompt_parts> JudgeSuspects(prompt_quarantine& state,
                                        const judged_fleet& fleet,
                                        base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_PROMPT_JUDGEMENT_H_
