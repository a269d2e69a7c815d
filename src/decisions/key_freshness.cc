// SPDX-License-Identifier: MIT
#include "decisions/key_freshness.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

// Limit on store reads waiting for their revision. Several arrive per second,
// and each is useful only for as long as the key bounds last.
constexpr std::size_t kMaxPendingReads = 16;

// Allows for clock drift between machines.
constexpr std::chrono::milliseconds kClockMargin{100};

void SetCompleteAsOf(key_freshness& freshness, boot_time as_of) {
  if (!freshness.complete_as_of || as_of > *freshness.complete_as_of)
    freshness.complete_as_of = as_of;
}

bool IsWithin(std::optional<std::chrono::milliseconds> age,
              std::chrono::milliseconds bound) {
  return age && *age + kClockMargin <= bound;
}

}  // namespace

void RecordStoreRead(key_freshness& freshness,
                     const store_read& read,
                     std::int64_t known_revision,
                     boot_time now) {
  if (read.requested_at > now || read.revision <= 0)
    return;
  if (read.revision <= known_revision) {
    SetCompleteAsOf(freshness, read.requested_at);
    return;
  }
  freshness.pending_reads.push_back(read);
  if (freshness.pending_reads.size() > kMaxPendingReads)
    freshness.pending_reads.pop_front();
}

void RecordRevision(key_freshness& freshness, std::int64_t known_revision) {
  const auto is_here = [&](const store_read& each) {
    return each.revision <= known_revision;
  };
  for (const store_read& each : freshness.pending_reads) {
    if (is_here(each))
      SetCompleteAsOf(freshness, each.requested_at);
  }
  std::erase_if(freshness.pending_reads, is_here);
}

std::optional<std::chrono::milliseconds> DataAge(const key_freshness& freshness,
                                                 boot_time now) {
  if (!freshness.complete_as_of)
    return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(
      now - *freshness.complete_as_of);
}

key_verdict CheckKey(bool is_known,
                     std::optional<std::chrono::milliseconds> age,
                     const key_bounds& bounds) {
  if (!is_known) {
    return IsWithin(age, bounds.known_within) ? key_verdict::kUnknown
                                              : key_verdict::kNotFresh;
  }
  if (bounds.revoked_within && !IsWithin(age, *bounds.revoked_within))
    return key_verdict::kNotFresh;
  return key_verdict::kValid;
}

}  // namespace valeledge::decisions
