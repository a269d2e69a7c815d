// SPDX-License-Identifier: MIT
// How certain a host is that no key it takes for good has been taken away, and
// what follows for a request with a key.
//
// "The store answered somebody 300 ms ago" proves nothing here: such news may
// wait in a queue while its receiver is frozen, cut off or slow, and what the
// answer held may not have come along. A host is certain as of the moment at
// which it asked for a reading of the store that was sent after it had asked,
// by whomever, once it has everything up to the revision which that reading
// found. Both moments are of its own clock.
#ifndef VALELEDGE_DECISIONS_KEY_FRESHNESS_H_
#define VALELEDGE_DECISIONS_KEY_FRESHNESS_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/boot_clock.h"

namespace valeledge::decisions {

using boot_time = base::boot_clock::time_point;

// A reading of the store, as the host that asked for it sees it.
struct store_read {
  // When the host asked; the reading was sent later.
  boot_time requested_at;
  // The store's revision then.
  std::int64_t revision = 0;
};

// Changed only by the functions below.
struct key_freshness {
  // All that the store held then is known here.
  std::optional<boot_time> complete_as_of;
  // Readings that found a revision which is not here yet, the oldest first.
  std::deque<store_read> pending_reads;
};

// A reading has been made; everything up to `known_revision` is here. Readings
// asked for in the future are of another clock, and tell nothing.
void RecordStoreRead(key_freshness& freshness,
                     const store_read& read,
                     std::int64_t known_revision,
                     boot_time now);

// Everything up to `known_revision` is here now.
void RecordRevision(key_freshness& freshness, std::int64_t known_revision);

// How old what is certainly complete here is; nothing if nothing is.
std::optional<std::chrono::milliseconds> DataAge(const key_freshness& freshness,
                                                 boot_time now);

// What operators want of keys.
struct key_bounds {
  // Later than this after it was taken away, no host takes a key, in touch or
  // not; nothing if a host that is cut off may go by what it knows.
  std::optional<std::chrono::milliseconds> revoked_within;
  // Later than this after it was added, no host calls a key unknown.
  std::chrono::milliseconds known_within{2000};
};

// What becomes of a request with a key.
enum class key_verdict {
  kValid,
  kUnknown,
  // Another host may know.
  kNotFresh,
};

// `is_known`: whether the configuration here has the key.
key_verdict CheckKey(bool is_known,
                     std::optional<std::chrono::milliseconds> age,
                     const key_bounds& bounds);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_KEY_FRESHNESS_H_
