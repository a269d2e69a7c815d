// SPDX-License-Identifier: MIT
#include "decisions/prompt_quarantine.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include <boost/container_hash/hash.hpp>

namespace valeledge::decisions {

namespace {

using detail::Contains;
using detail::CountSeparate;
using detail::Explain;
using detail::IsSameCrash;
using detail::kept_crash;
using detail::part_crash;
using detail::quarantined_combination;
using detail::suspect_part;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

bool Includes(const prompt_parts& all, const prompt_parts& some) {
  return std::ranges::includes(all, some);
}

bool IsActive(const quarantined_combination& each, base::time_point now) {
  return each.since && now < *each.since + kQuarantineDuration;
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

namespace detail {

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

}  // namespace detail

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

std::vector<prompt_parts> QuarantinedWithin(const prompt_quarantine& state,
                                            const prompt_parts& parts,
                                            base::time_point now) {
  std::vector<prompt_parts> refuted;
  for (const auto& [combination, each] : state.combinations) {
    if (IsActive(each, now) && Includes(parts, combination))
      refuted.push_back(combination);
  }
  return refuted;
}

bool LiftQuarantine(prompt_quarantine& state,
                    const prompt_parts& combination,
                    base::time_point now) {
  const auto found = state.combinations.find(combination);
  if (found == state.combinations.end() || !IsActive(found->second, now))
    return false;
  state.combinations.erase(found);
  ForgetCrashes(state, combination, now);
  detail::lifted_quarantine& lifted_before = state.lifted[combination];
  ++lifted_before.count;
  lifted_before.at = now;
  return true;
}

bool RecordCombination(prompt_quarantine& state,
                       const prompt_parts& combination,
                       base::time_point now) {
  // A combination that is quarantined already may be part of it.
  if (combination.empty() || FindQuarantine(state, combination, now))
    return false;
  const auto lifted_before = state.lifted.find(combination);
  if (lifted_before != state.lifted.end() &&
      now - lifted_before->second.at < kLiftedTime)
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

// The parts may have been in flight at other crashes as well; the one with the
// fewest shows those of the combination.
quarantine_evidence EvidenceOf(const prompt_quarantine& state,
                               const prompt_parts& combination) {
  const std::vector<part_crash>* fewest = nullptr;
  for (const std::uint64_t part : combination) {
    const auto found = state.suspects.find(part);
    if (found == state.suspects.end())
      continue;
    const auto& crashes = found->second.crashes;
    if (fewest == nullptr || crashes.size() < fewest->size())
      fewest = &crashes;
  }
  if (fewest == nullptr)
    return {};
  std::set<std::int32_t> engines;
  for (const part_crash& each : *fewest)
    engines.insert(each.engine);
  return {CountSeparate(*fewest), engines.size()};
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
  std::erase_if(state.lifted, [now](const auto& each) {
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
