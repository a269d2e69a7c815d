// SPDX-License-Identifier: MIT
// Quarantine of prompt parts under which backend servers crash.
//
// Requests that crash their servers may have nothing in common but one part of
// their prompts. A crash shows only that connections closed: of all requests in
// flight there, one at least is the cause. The parts that crashes have in
// common are therefore looked for among the parts of all these requests. A
// request that a server runs shows that none of its parts is the cause.
//
// This is the state with its updates; prompt_judgement decides on suspects.
//
// What is quarantined is a combination: a part that was in flight at several
// crashes in a row, with all parts that came with it each time. It is the
// smallest set that the evidence supports, so that requests which share only
// some of these parts are still served.
#ifndef VALELEDGE_DECISIONS_PROMPT_QUARANTINE_H_
#define VALELEDGE_DECISIONS_PROMPT_QUARANTINE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "base/duration.h"
#include "decisions/quarantine.h"

namespace valeledge::decisions {

// Ids of prompt parts, sorted and without duplicates.
using prompt_parts = std::vector<std::uint64_t>;

// Crashes closer together than this count as one: when a zone or a rack is
// lost, parts that many requests share are in flight at all servers there.
inline constexpr std::chrono::milliseconds kMinCrashInterval{100};

// Time after the end of a quarantine within which messages about it, which
// hosts repeat for two seconds, are ignored.
inline constexpr std::chrono::milliseconds kLiftedTime{3000};

// Maximum number of different requests counted at one crash.
inline constexpr std::size_t kMaxRequestsPerCrash = 16;

// Maximum number of crashes kept for a part.
inline constexpr std::size_t kMaxCrashesPerPart = 16;

// Maximum number of quarantined combinations, each of which has taken several
// crashes.
inline constexpr std::size_t kMaxCombinations = 256;

// Number of requests of this host that are kept to know how many have a part,
// and number of requests whose outcomes are kept.
inline constexpr std::size_t kMaxRecentRequests = 64;
inline constexpr std::size_t kMaxOutcomes = 64;

// Crashes kept whose cause is known, and all crashes kept.
inline constexpr std::size_t kMaxExplainedCrashes = 64;
inline constexpr std::size_t kMaxKeptCrashes = 1024;

// A crash of one server, identified by a hash, with a request in flight that
// had received no response, or only the first part of one.
struct prompt_crash {
  std::int32_t server = 0;
  base::time_point at;
  // The shared parts of the request's prompt.
  prompt_parts parts;
  // The engine, a hash of its address, which outlasts its restarts; 0: unknown.
  std::int32_t engine = 0;
};

// A quarantine that a request is subject to.
struct prompt_verdict {
  prompt_parts combination;
  std::chrono::milliseconds remaining{0};
};

namespace detail {

struct part_crash {
  std::int32_t server = 0;
  base::time_point at;
  std::int32_t engine = 0;
};

// A crash with hashes of the different prompts that were in flight there.
struct kept_crash : part_crash {
  std::vector<std::uint64_t> prompts;
};

// How often the quarantine of a combination was lifted, because a server ran a
// request with it or by an operator.
struct lifted_quarantine {
  std::size_t count = 0;
  base::time_point at;
};

struct suspect_part {
  // In order of time.
  std::vector<part_crash> crashes;
  // The parts of all requests with this part at these crashes.
  prompt_parts companions;
  // Earlier crashes were not caused by this part.
  std::optional<base::time_point> cleared_at;
  // Since when it has been suspected of more than one crash.
  std::optional<base::time_point> repeated_since;
  base::time_point last_event_at;
};

struct quarantined_combination {
  std::optional<base::time_point> since;
  // Set after an earlier quarantine: a single later crash quarantines the
  // combination again.
  std::optional<base::time_point> released_at;
};

struct request_outcome {
  base::time_point at;
  prompt_parts parts;
  // The server that crashed; empty if a server has run the request.
  std::optional<std::int32_t> crashed;
};

}  // namespace detail

struct prompt_quarantine {
  std::map<std::uint64_t, detail::suspect_part> suspects;
  std::map<prompt_parts, detail::quarantined_combination> combinations;
  // Parts of recent requests of this host.
  std::deque<prompt_parts> recent;
  // Outcomes of recent requests of this host.
  std::deque<detail::request_outcome> outcomes;
  // Crashes under requests with a quarantined combination.
  std::deque<detail::part_crash> explained;
  // All recent crashes.
  std::deque<detail::kept_crash> crashes;
  std::map<prompt_parts, detail::lifted_quarantine> lifted;
};

namespace detail {

// Whether both are reports of one crash.
inline bool IsSameCrash(const part_crash& one, const part_crash& other) {
  const auto interval =
      one.at > other.at ? one.at - other.at : other.at - one.at;
  return one.server == other.server && interval < kSameCrashWindow;
}

// Whether one of the crashes is the same as `crash`.
bool Contains(const auto& crashes, const part_crash& crash) {
  return std::ranges::any_of(crashes, [&crash](const part_crash& each) {
    return IsSameCrash(each, crash);
  });
}

// Number of crashes, given in order of time, of which those closer together
// than kMinCrashInterval count as one.
std::size_t CountSeparate(const std::vector<part_crash>& crashes);

// Removes the crash from all suspects that are not in the combination.
void Explain(prompt_quarantine& state,
             const part_crash& crash,
             const prompt_parts& combination);

}  // namespace detail

// Records a server crash with the request in flight, seen by this or another
// host. Returns the combination that this quarantines again, if any.
std::optional<prompt_parts> RecordPromptCrash(prompt_quarantine& state,
                                              const prompt_crash& crash,
                                              base::time_point now);

// Records a request of this host with these parts, which may be empty.
void RecordPrompt(prompt_quarantine& state, const prompt_parts& parts);

// Records that a server has run a request of this host with these parts, or
// that it crashed before (`crashed`).
void RecordOutcome(prompt_quarantine& state,
                   const prompt_parts& parts,
                   std::optional<std::int32_t> crashed,
                   base::time_point now);

// Records that a server has run a request with these parts, and had not crashed
// at `at`. Returns the parts that were suspects.
prompt_parts ClearParts(prompt_quarantine& state,
                        const prompt_parts& parts,
                        base::time_point at);

// Returns the quarantined combinations of which a request with these parts has
// all.
std::vector<prompt_parts> QuarantinedWithin(const prompt_quarantine& state,
                                            const prompt_parts& parts,
                                            base::time_point now);

// Ends a quarantine, since a server has run a request with the combination or
// an operator has lifted it. Returns true if it was quarantined. More crashes
// than before are needed to quarantine it again.
bool LiftQuarantine(prompt_quarantine& state,
                    const prompt_parts& combination,
                    base::time_point now);

// Records that all hosts quarantine the combination. Returns true if it was not
// quarantined before, and has not just been lifted_before.
bool RecordCombination(prompt_quarantine& state,
                       const prompt_parts& combination,
                       base::time_point now);

// Ends a quarantine. A single later crash begins it again.
void ReleaseCombination(prompt_quarantine& state,
                        const prompt_parts& combination,
                        base::time_point now);

// Returns the quarantine that a request with these parts is subject to; empty
// if there is none. `except`: a combination that does not count.
std::optional<prompt_verdict> FindQuarantine(const prompt_quarantine& state,
                                             const prompt_parts& parts,
                                             base::time_point now,
                                             const prompt_parts& except = {});

// Returns since when the combination is quarantined; empty if it is not.
std::optional<base::time_point> QuarantinedSince(
    const prompt_quarantine& state,
    const prompt_parts& combination,
    base::time_point now);

// What a quarantine is based on.
struct quarantine_evidence {
  std::size_t crashes = 0;
  std::size_t engines = 0;
};

// Returns the crashes under the combination that this host knows of.
quarantine_evidence EvidenceOf(const prompt_quarantine& state,
                               const prompt_parts& combination);

// Returns the engines that have crashed within `period`.
std::vector<std::int32_t> CrashedEngines(const prompt_quarantine& state,
                                         std::chrono::milliseconds period,
                                         base::time_point now);

// Returns the parts of a reported crash that servers have run since, as far as
// this host knows.
prompt_parts RefutedParts(const prompt_quarantine& state,
                          const prompt_crash& crash);

// Returns the number of separate crashes that a part is suspected of.
std::size_t CountCrashes(const prompt_quarantine& state, std::uint64_t part);

// Returns the combinations that are quarantined now.
std::vector<prompt_parts> QuarantinedCombinations(
    const prompt_quarantine& state,
    base::time_point now);

// Removes expired crashes, quarantines and suspects.
void Sweep(prompt_quarantine& state, base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_PROMPT_QUARANTINE_H_
