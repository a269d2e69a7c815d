// SPDX-License-Identifier: MIT
#include "decisions/key_freshness.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

// Readings that wait for their revision: several a second, for as long as what
// they prove is worth anything.
constexpr std::size_t kMostAwaited = 16;

// Clocks of machines do not run exactly alike.
constexpr std::chrono::milliseconds kClockMargin{100};

void NoteComplete(key_certainty& certainty, boot_time as_of) {
  if (!certainty.complete_as_of || as_of > *certainty.complete_as_of)
    certainty.complete_as_of = as_of;
}

bool IsYounger(std::optional<std::chrono::milliseconds> age,
               std::chrono::milliseconds bound) {
  return age && *age + kClockMargin <= bound;
}

}  // namespace

void NoteReading(key_certainty& certainty,
                 const store_reading& reading,
                 std::int64_t known_revision,
                 boot_time now) {
  if (reading.asked > now || reading.revision <= 0)
    return;
  if (reading.revision <= known_revision) {
    NoteComplete(certainty, reading.asked);
    return;
  }
  certainty.awaited.push_back(reading);
  if (certainty.awaited.size() > kMostAwaited)
    certainty.awaited.pop_front();
}

void NoteRevision(key_certainty& certainty, std::int64_t known_revision) {
  const auto is_here = [&](const store_reading& each) {
    return each.revision <= known_revision;
  };
  for (const store_reading& each : certainty.awaited) {
    if (is_here(each))
      NoteComplete(certainty, each.asked);
  }
  std::erase_if(certainty.awaited, is_here);
}

std::optional<std::chrono::milliseconds> AgeOf(const key_certainty& certainty,
                                               boot_time now) {
  if (!certainty.complete_as_of)
    return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(
      now - *certainty.complete_as_of);
}

key_verdict JudgeKey(bool is_known,
                     std::optional<std::chrono::milliseconds> age,
                     const key_bounds& bounds) {
  if (!is_known) {
    return IsYounger(age, bounds.known_within) ? key_verdict::kUnknown
                                               : key_verdict::kNotCertain;
  }
  if (bounds.revoked_within && !IsYounger(age, *bounds.revoked_within))
    return key_verdict::kNotCertain;
  return key_verdict::kGood;
}

}  // namespace valeledge::decisions
