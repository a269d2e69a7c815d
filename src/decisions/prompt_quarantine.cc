// SPDX-License-Identifier: MIT
#include "decisions/prompt_quarantine.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <set>
#include <utility>

#include <boost/container_hash/hash.hpp>

namespace valeledge::decisions {

namespace {

using detail::kept_crash;
using detail::part_crash;
using detail::quarantined_combination;
using detail::suspect_part;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

bool Includes(const prompt_parts& all, const prompt_parts& some) {
  return std::ranges::includes(all, some);
}

bool IsSameCrash(const part_crash& one, const part_crash& other) {
  const auto interval =
      one.at > other.at ? one.at - other.at : other.at - one.at;
  return one.server == other.server && interval < kSameCrashWindow;
}

bool Contains(const auto& crashes, const part_crash& crash) {
  return std::ranges::any_of(crashes, [&crash](const part_crash& each) {
    return IsSameCrash(each, crash);
  });
}

bool IsActive(const quarantined_combination& each, base::time_point now) {
  return each.since && now < *each.since + kQuarantineDuration;
}

std::size_t CountSeparate(const std::vector<part_crash>& crashes) {
  std::size_t count = 0;
  base::time_point counted;
  for (const part_crash& each : crashes) {
    if (count > 0 && each.at - counted < kMinCrashInterval)
      continue;
    counted = each.at;
    ++count;
  }
  return count;
}

// Removes the suspect with the oldest last event if the limit is reached.
void EvictIfFull(prompt_quarantine& state) {
  if (state.suspects.size() < kMaxSuspects)
    return;
  state.suspects.erase(std::ranges::min_element(
      state.suspects, {},
      [](const auto& each) { return each.second.last_event_at; }));
}

suspect_part& FindOrAdd(prompt_quarantine& state, std::uint64_t part) {
  const auto found = state.suspects.find(part);
  if (found != state.suspects.end())
    return found->second;
  EvictIfFull(state);
  return state.suspects[part];
}

void AddCrash(suspect_part& suspect,
              const part_crash& crash,
              const prompt_parts& parts,
              base::time_point now) {
  if (suspect.cleared_at && crash.at <= *suspect.cleared_at)
    return;
  if (suspect.crashes.empty()) {
    suspect.companions = parts;
  } else {
    prompt_parts common;
    std::ranges::set_intersection(suspect.companions, parts,
                                  std::back_inserter(common));
    suspect.companions = std::move(common);
  }
  suspect.last_event_at = std::max(suspect.last_event_at, crash.at);
  if (Contains(suspect.crashes, crash))
    return;
  const auto place =
      std::ranges::upper_bound(suspect.crashes, crash.at, {}, &part_crash::at);
  suspect.crashes.insert(place, crash);
  if (suspect.crashes.size() > kMaxCrashesPerPart)
    suspect.crashes.erase(suspect.crashes.begin());
  if (!suspect.repeated_since && CountSeparate(suspect.crashes) > 1)
    suspect.repeated_since = now;
}

// Removes the crashes up to `at`, which the part has not caused.
void Forget(suspect_part& suspect, base::time_point at) {
  std::erase_if(suspect.crashes,
                [at](const part_crash& each) { return each.at <= at; });
  if (CountSeparate(suspect.crashes) < 2)
    suspect.repeated_since.reset();
  suspect.cleared_at = std::max(suspect.cleared_at.value_or(at), at);
}

// Whether a part was in flight at each of the crashes.
bool HasAllCrashes(const prompt_quarantine& state,
                   std::uint64_t part,
                   const std::vector<part_crash>& crashes) {
  const auto found = state.suspects.find(part);
  return found != state.suspects.end() &&
         std::ranges::all_of(crashes, [&found](const part_crash& each) {
           return Contains(found->second.crashes, each);
         });
}

// The part with those that came with it at each crash and that no request has
// cleared since.
prompt_parts CombinationOf(const prompt_quarantine& state,
                           std::uint64_t part,
                           const suspect_part& suspect) {
  prompt_parts combination{part};
  for (const std::uint64_t each : suspect.companions) {
    if (combination.size() < kMaxCombinationParts && each != part &&
        HasAllCrashes(state, each, suspect.crashes))
      combination.push_back(each);
  }
  std::ranges::sort(combination);
  return combination;
}

double ShareOf(const prompt_quarantine& state,
               const prompt_parts& combination) {
  const auto count = std::ranges::count_if(
      state.recent,
      [&](const prompt_parts& parts) { return Includes(parts, combination); });
  return static_cast<double>(count) /
         static_cast<double>(std::max<std::size_t>(state.recent.size(), 1));
}

// The share of recent requests that have the part and that no crash has broken:
// requests that crash their servers do not show how common a part is.
double UnbrokenShare(const prompt_quarantine& state, std::uint64_t part) {
  const auto has = [part](const prompt_parts& parts) {
    return std::ranges::binary_search(parts, part);
  };
  const auto sent = std::ranges::count_if(state.recent, has);
  const auto broken = std::ranges::count_if(
      state.outcomes, [&has](const detail::request_outcome& each) {
        return each.crashed && has(each.parts);
      });
  return static_cast<double>(std::max<std::ptrdiff_t>(sent - broken, 0)) /
         static_cast<double>(std::max<std::size_t>(state.recent.size(), 1));
}

// Mean number of different prompts in flight at the crashes of a part.
double PromptsPerCrash(const prompt_quarantine& state,
                       const suspect_part& suspect) {
  std::size_t crashes = 0;
  std::size_t prompts = 0;
  for (const kept_crash& each : state.crashes) {
    if (!Contains(suspect.crashes, each))
      continue;
    ++crashes;
    prompts += std::max<std::size_t>(each.prompts.size(), 1);
  }
  return static_cast<double>(std::max<std::size_t>(prompts, 1)) /
         static_cast<double>(std::max<std::size_t>(crashes, 1));
}

// Whether the engine has crashed without the part, so that its crashes say
// little about it: engines that end by turns crash several times.
bool CrashesWithout(const prompt_quarantine& state,
                    const suspect_part& suspect,
                    std::int32_t engine) {
  return std::ranges::any_of(state.crashes, [&](const kept_crash& each) {
    return each.engine == engine && !Contains(suspect.crashes, each) &&
           !Contains(state.explained, each);
  });
}

// Whether servers have run enough other requests since the first crash. If they
// run few, the parts that many requests share say nothing about the cause.
bool AreOthersServed(const prompt_quarantine& state,
                     const prompt_parts& combination,
                     base::time_point since) {
  const auto served = std::ranges::count_if(
      state.outcomes, [&](const detail::request_outcome& each) {
        return !each.crashed && each.at >= since &&
               !Includes(each.parts, combination);
      });
  const double share = ShareOf(state, combination);
  if (share < kCommonShare)
    return served > 0;
  return std::pow(1 - share, static_cast<double>(served)) <= kMaxChanceUnserved;
}

// Removes the crash from all suspects that are not in the combination.
void Explain(prompt_quarantine& state,
             const part_crash& crash,
             const prompt_parts& combination) {
  if (!Contains(state.explained, crash)) {
    state.explained.push_back(crash);
    if (state.explained.size() > kMaxExplainedCrashes)
      state.explained.pop_front();
  }
  for (auto& [part, suspect] : state.suspects) {
    if (!std::ranges::binary_search(combination, part)) {
      std::erase_if(suspect.crashes, [&crash](const part_crash& each) {
        return IsSameCrash(each, crash);
      });
      if (CountSeparate(suspect.crashes) < 2)
        suspect.repeated_since.reset();
    }
  }
}

// Whether a part that never came with the combination was in flight at the same
// crashes.
bool HasRival(const prompt_quarantine& state,
              const suspect_part& suspect,
              const prompt_parts& combination) {
  return std::ranges::any_of(state.suspects, [&](const auto& each) {
    return !std::ranges::binary_search(combination, each.first) &&
           HasAllCrashes(state, each.first, suspect.crashes);
  });
}

// Counts the separate crashes that all hosts have reported. An engine counts
// once if it crashes without the part as well, or if so many requests have the
// part that it is in flight at most crashes.
std::size_t CountSettled(const prompt_quarantine& state,
                         std::uint64_t part,
                         base::time_point now) {
  const suspect_part& suspect = state.suspects.at(part);
  const bool is_common = ShareOf(state, {part}) >= kCommonShare;
  std::set<std::int32_t> engines;
  std::vector<part_crash> settled;
  for (const part_crash& each : suspect.crashes) {
    if (now - each.at < kCrashSettleTime)
      continue;
    const bool is_repeated = !engines.insert(each.engine).second;
    if (is_repeated &&
        (is_common || CrashesWithout(state, suspect, each.engine)))
      continue;
    settled.push_back(each);
  }
  return CountSeparate(settled);
}

// The other crashes since shortly before the first one of a part.
struct other_crashes {
  std::size_t count = 0;
  std::chrono::duration<double> observed{0};
};

other_crashes OtherCrashes(const prompt_quarantine& state,
                           const suspect_part& suspect,
                           base::time_point now) {
  auto since = suspect.crashes.front().at - kExposureTime;
  // Earlier crashes are no longer known.
  if (state.crashes.size() >= kMaxKeptCrashes)
    since = std::max(since, state.crashes.front().at);
  const auto count =
      std::ranges::count_if(state.crashes, [&](const part_crash& each) {
        return each.at >= since && !Contains(suspect.crashes, each) &&
               !Contains(state.explained, each);
      });
  return {static_cast<std::size_t>(count),
          std::max<base::time_point::duration>(now - since, kExposureTime)};
}

// The share of this host's requests since the first crash that crashes broke.
double BrokenShare(const prompt_quarantine& state,
                   const suspect_part& suspect) {
  std::size_t broken = 0;
  std::size_t count = 0;
  for (const detail::request_outcome& each : state.outcomes) {
    if (each.at < suspect.crashes.front().at)
      continue;
    ++count;
    broken += each.crashed ? 1 : 0;
  }
  return static_cast<double>(broken) /
         (static_cast<double>(count) + kAssumedRuns);
}

// The probability that a request with the part is in flight when a server
// crashes for another reason.
double CrashExposure(const prompt_quarantine& state,
                     std::uint64_t part,
                     const suspect_part& suspect,
                     const judged_fleet& fleet,
                     base::time_point now) {
  const other_crashes others = OtherCrashes(state, suspect, now);
  const std::chrono::duration<double> exposed = kExposureTime;
  const double expected =
      static_cast<double>(others.count) * (exposed / others.observed) /
      static_cast<double>(std::max<std::size_t>(fleet.servers, 1));
  // If many crashes are not due to this part, the requests that they break may
  // not be either.
  double broken = BrokenShare(state, suspect);
  const std::size_t tolerated = broken > kOutageShare
                                    ? suspect.crashes.size() / kOutageRatio
                                    : suspect.crashes.size();
  if (others.count <= tolerated)
    broken = 0;
  const double present = 1 - std::pow(1 - UnbrokenShare(state, part),
                                      PromptsPerCrash(state, suspect));
  return std::max({kMinCrashExposure, expected, broken, present});
}

// Whether too many crashes happened without a part that many requests have.
bool CrashesWithoutCommonPart(const prompt_quarantine& state,
                              std::uint64_t part,
                              const suspect_part& suspect,
                              base::time_point now) {
  if (ShareOf(state, {part}) < kCommonShare)
    return false;
  const auto without =
      static_cast<double>(OtherCrashes(state, suspect, now).count);
  const auto with = static_cast<double>(suspect.crashes.size());
  return without > (with + without) * kMaxShareWithout;
}

// Number of crashes from which on the combination is quarantined.
std::size_t RequiredCrashes(const prompt_quarantine& state,
                            const prompt_parts& combination) {
  const auto found = state.acquittals.find(combination);
  if (found == state.acquittals.end())
    return kCrashesToQuarantine;
  std::size_t required = kCrashesToQuarantine;
  for (std::size_t i = 0; i < found->second.count; ++i)
    required = std::min(required * 2, kMaxCrashesRequired);
  return required;
}

bool MayBeCoincidence(double exposure, std::size_t crashes) {
  return std::pow(std::min(exposure, 1.0), static_cast<double>(crashes)) >
         kMaxCoincidence;
}

// Returns the combination to quarantine for the crashes of a part, if any.
std::optional<prompt_parts> Judge(const prompt_quarantine& state,
                                  std::uint64_t part,
                                  const judged_fleet& fleet,
                                  base::time_point now) {
  const suspect_part& suspect = state.suspects.at(part);
  const std::size_t crashes = CountSettled(state, part, now);
  if (crashes < kCrashesToQuarantine || !suspect.repeated_since ||
      now - *suspect.repeated_since < fleet.evidence_time)
    return std::nullopt;
  if (MayBeCoincidence(CrashExposure(state, part, suspect, fleet, now),
                       crashes) ||
      CrashesWithoutCommonPart(state, part, suspect, now))
    return std::nullopt;
  prompt_parts combination = CombinationOf(state, part, suspect);
  if (crashes < RequiredCrashes(state, combination))
    return std::nullopt;
  if (crashes < kMaxCrashesToTellApart && HasRival(state, suspect, combination))
    return std::nullopt;
  if (!AreOthersServed(state, combination, suspect.crashes.front().at))
    return std::nullopt;
  return combination;
}

// Parts that enough crashes speak against, those with the most crashes first.
std::vector<std::uint64_t> Candidates(const prompt_quarantine& state,
                                      base::time_point now) {
  std::vector<std::pair<std::size_t, std::uint64_t>> counted;
  for (const auto& [part, suspect] : state.suspects) {
    const std::size_t crashes = CountSettled(state, part, now);
    if (crashes >= kCrashesToQuarantine)
      counted.emplace_back(crashes, part);
  }
  std::ranges::sort(counted, std::greater());
  std::vector<std::uint64_t> parts;
  for (const auto& [crashes, part] : counted)
    parts.push_back(part);
  return parts;
}

// A released combination under which a server crashes again.
std::optional<prompt_parts> FindReleased(const prompt_quarantine& state,
                                         const prompt_crash& crash) {
  for (const auto& [combination, each] : state.combinations) {
    if (each.released_at && crash.at > *each.released_at &&
        Includes(crash.parts, combination)) {
      return combination;
    }
  }
  return std::nullopt;
}

void KeepCrash(prompt_quarantine& state,
               const part_crash& crash,
               const prompt_parts& parts) {
  auto found = std::ranges::find_if(
      state.crashes,
      [&crash](const kept_crash& each) { return IsSameCrash(each, crash); });
  if (found == state.crashes.end()) {
    state.crashes.push_back({crash, {}});
    if (state.crashes.size() > kMaxKeptCrashes)
      state.crashes.pop_front();
    found = std::prev(state.crashes.end());
  }
  std::uint64_t hash = parts.size();
  for (const std::uint64_t part : parts)
    boost::hash_combine(hash, part);
  if (found->prompts.size() < kMaxRequestsPerCrash &&
      std::ranges::find(found->prompts, hash) == found->prompts.end())
    found->prompts.push_back(hash);
}

void EndQuarantine(quarantined_combination& each, base::time_point now) {
  each.since.reset();
  each.released_at = now;
}

// The crashes so far do not begin the quarantine again.
void ForgetCrashes(prompt_quarantine& state,
                   const prompt_parts& combination,
                   base::time_point now) {
  for (const std::uint64_t part : combination) {
    const auto found = state.suspects.find(part);
    if (found == state.suspects.end())
      continue;
    Forget(found->second, now);
  }
}

}  // namespace

std::optional<prompt_parts> RecordPromptCrash(prompt_quarantine& state,
                                              const prompt_crash& crash,
                                              base::time_point now) {
  // A host that does not state the engine knows only its run.
  const part_crash one{crash.server, crash.at,
                       crash.engine == 0 ? crash.server : crash.engine};
  KeepCrash(state, one, crash.parts);
  if (const auto released = FindReleased(state, crash)) {
    Explain(state, one, *released);
    return RecordCombination(state, *released, now) ? released : std::nullopt;
  }
  if (const auto known = FindQuarantine(state, crash.parts, now)) {
    Explain(state, one, known->combination);
    return std::nullopt;
  }
  if (Contains(state.explained, one))
    return std::nullopt;
  for (const std::uint64_t part : crash.parts)
    AddCrash(FindOrAdd(state, part), one, crash.parts, now);
  return std::nullopt;
}

std::vector<prompt_parts> JudgeSuspects(prompt_quarantine& state,
                                        const judged_fleet& fleet,
                                        base::time_point now) {
  std::vector<prompt_parts> quarantined;
  for (const std::uint64_t part : Candidates(state, now)) {
    const auto combination = Judge(state, part, fleet, now);
    if (!combination || !RecordCombination(state, *combination, now))
      continue;
    const std::vector<part_crash> crashes = state.suspects.at(part).crashes;
    for (const part_crash& each : crashes)
      Explain(state, each, *combination);
    quarantined.push_back(*combination);
  }
  return quarantined;
}

void RecordPrompt(prompt_quarantine& state, const prompt_parts& parts) {
  state.recent.push_back(parts);
  if (state.recent.size() > kMaxRecentRequests)
    state.recent.pop_front();
}

void RecordOutcome(prompt_quarantine& state,
                   const prompt_parts& parts,
                   std::optional<std::int32_t> crashed,
                   base::time_point now) {
  state.outcomes.push_back({now, parts, crashed});
  if (state.outcomes.size() > kMaxOutcomes)
    state.outcomes.pop_front();
}

prompt_parts ClearParts(prompt_quarantine& state,
                        const prompt_parts& parts,
                        base::time_point at) {
  prompt_parts cleared;
  for (const std::uint64_t part : parts) {
    const auto found = state.suspects.find(part);
    if (found == state.suspects.end())
      continue;
    suspect_part& suspect = found->second;
    if (!suspect.crashes.empty())
      cleared.push_back(part);
    Forget(suspect, at);
    suspect.last_event_at = std::max(suspect.last_event_at, at);
  }
  return cleared;
}

std::vector<prompt_parts> RefutedCombinations(const prompt_quarantine& state,
                                              const prompt_parts& parts,
                                              base::time_point now) {
  std::vector<prompt_parts> refuted;
  for (const auto& [combination, each] : state.combinations) {
    if (IsActive(each, now) && Includes(parts, combination))
      refuted.push_back(combination);
  }
  return refuted;
}

bool AcquitCombination(prompt_quarantine& state,
                       const prompt_parts& combination,
                       base::time_point now) {
  const auto found = state.combinations.find(combination);
  if (found == state.combinations.end() || !IsActive(found->second, now))
    return false;
  state.combinations.erase(found);
  ForgetCrashes(state, combination, now);
  detail::acquittal& acquitted = state.acquittals[combination];
  ++acquitted.count;
  acquitted.at = now;
  return true;
}

bool RecordCombination(prompt_quarantine& state,
                       const prompt_parts& combination,
                       base::time_point now) {
  // A combination that is quarantined already may be part of it.
  if (combination.empty() || FindQuarantine(state, combination, now))
    return false;
  const auto acquitted = state.acquittals.find(combination);
  if (acquitted != state.acquittals.end() &&
      now - acquitted->second.at < kAcquittalTime)
    return false;
  const auto found = state.combinations.find(combination);
  if (found == state.combinations.end() &&
      state.combinations.size() >= kMaxCombinations)
    return false;
  quarantined_combination& each = state.combinations[combination];
  each.since = now;
  each.released_at.reset();
  return true;
}

void ReleaseCombination(prompt_quarantine& state,
                        const prompt_parts& combination,
                        base::time_point now) {
  const auto found = state.combinations.find(combination);
  if (found == state.combinations.end() || !found->second.since)
    return;
  EndQuarantine(found->second, now);
  ForgetCrashes(state, combination, now);
}

std::optional<prompt_verdict> FindQuarantine(const prompt_quarantine& state,
                                             const prompt_parts& parts,
                                             base::time_point now,
                                             const prompt_parts& except) {
  for (const auto& [combination, each] : state.combinations) {
    if (!IsActive(each, now) || !Includes(parts, combination) ||
        combination == except)
      continue;
    return prompt_verdict{
        combination,
        duration_cast<milliseconds>(*each.since + kQuarantineDuration - now)};
  }
  return std::nullopt;
}

std::optional<base::time_point> QuarantinedSince(
    const prompt_quarantine& state,
    const prompt_parts& combination,
    base::time_point now) {
  const auto found = state.combinations.find(combination);
  if (found == state.combinations.end() || !IsActive(found->second, now))
    return std::nullopt;
  return found->second.since;
}

quarantine_evidence EvidenceOf(const prompt_quarantine& state,
                               const prompt_parts& combination) {
  if (combination.empty())
    return {};
  const auto found = state.suspects.find(combination.front());
  if (found == state.suspects.end())
    return {};
  std::set<std::int32_t> engines;
  for (const part_crash& each : found->second.crashes)
    engines.insert(each.engine);
  return {CountSeparate(found->second.crashes), engines.size()};
}

std::vector<std::int32_t> CrashedEngines(const prompt_quarantine& state,
                                         std::chrono::milliseconds period,
                                         base::time_point now) {
  std::vector<std::int32_t> engines;
  for (const kept_crash& each : state.crashes) {
    if (now - each.at < period)
      engines.push_back(each.engine);
  }
  return engines;
}

prompt_parts RefutedParts(const prompt_quarantine& state,
                          const prompt_crash& crash) {
  prompt_parts refuted;
  for (const std::uint64_t part : crash.parts) {
    const auto found = state.suspects.find(part);
    const bool is_cleared = found != state.suspects.end() &&
                            found->second.cleared_at &&
                            crash.at <= *found->second.cleared_at;
    const bool has_run = std::ranges::any_of(
        state.outcomes, [&](const detail::request_outcome& each) {
          return !each.crashed && each.at >= crash.at &&
                 std::ranges::binary_search(each.parts, part);
        });
    if (is_cleared || has_run)
      refuted.push_back(part);
  }
  return refuted;
}

std::size_t CountCrashes(const prompt_quarantine& state, std::uint64_t part) {
  const auto found = state.suspects.find(part);
  return found == state.suspects.end() ? 0
                                       : CountSeparate(found->second.crashes);
}

std::vector<prompt_parts> QuarantinedCombinations(
    const prompt_quarantine& state,
    base::time_point now) {
  std::vector<prompt_parts> out;
  for (const auto& [combination, each] : state.combinations) {
    if (IsActive(each, now))
      out.push_back(combination);
  }
  return out;
}

void Sweep(prompt_quarantine& state, base::time_point now) {
  for (auto& [combination, each] : state.combinations) {
    if (each.since && !IsActive(each, now)) {
      EndQuarantine(each, now);
      ForgetCrashes(state, combination, now);
    }
  }
  std::erase_if(state.combinations, [now](const auto& each) {
    return !each.second.since &&
           now - *each.second.released_at >= kQuarantineDuration;
  });
  std::erase_if(state.acquittals, [now](const auto& each) {
    return now - each.second.at >= kQuarantineDuration;
  });
  for (auto& [part, suspect] : state.suspects) {
    std::erase_if(suspect.crashes, [now](const part_crash& each) {
      return now - each.at >= kQuarantineDuration;
    });
  }
  std::erase_if(state.suspects, [now](const auto& each) {
    return now - each.second.last_event_at >= kQuarantineDuration;
  });
}

}  // namespace valeledge::decisions
