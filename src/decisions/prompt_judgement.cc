// SPDX-License-Identifier: MIT
#include "decisions/prompt_judgement.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <utility>

#include "decisions/quarantine.h"

namespace valeledge::decisions {

namespace {

using detail::Contains;
using detail::CountSeparate;
using detail::kept_crash;
using detail::part_crash;
using detail::suspect_part;

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
  const auto count =
      std::ranges::count_if(state.recent, [&](const prompt_parts& parts) {
        return std::ranges::includes(parts, combination);
      });
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
bool EngineCrashesWithout(const prompt_quarantine& state,
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
               !std::ranges::includes(each.parts, combination);
      });
  const double share = ShareOf(state, combination);
  if (share < kCommonShare)
    return served > 0;
  return std::pow(1 - share, static_cast<double>(served)) <= kMaxChanceUnserved;
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
        (is_common || EngineCrashesWithout(state, suspect, each.engine)))
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
bool IsAbsentAtOtherCrashes(const prompt_quarantine& state,
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
  const auto found = state.lifted.find(combination);
  if (found == state.lifted.end())
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
      IsAbsentAtOtherCrashes(state, part, suspect, now))
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

}  // namespace

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
      detail::Explain(state, each, *combination);
    quarantined.push_back(*combination);
  }
  return quarantined;
}

}  // namespace valeledge::decisions
