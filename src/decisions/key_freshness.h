// SPDX-License-Identifier: MIT
// How current a host's knowledge of revoked keys is, and the resulting verdict
// for a request with a key.
//
// A report that the store responded to another host 300 ms ago is not
// sufficient: it may have been queued while its receiver was suspended,
// partitioned or slow, and the data of that response may not have arrived. A
// host's data is fresh as of the time at which the host requested a store read,
// if that read was sent after the request, by any host, and the host has all
// data up to the revision that the read returned. Both times are taken from the
// host's own clock.
#ifndef VALELEDGE_DECISIONS_KEY_FRESHNESS_H_
#define VALELEDGE_DECISIONS_KEY_FRESHNESS_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/boot_clock.h"

namespace valeledge::decisions {

using boot_time = base::boot_clock::time_point;

// A store read, as seen by the host that requested it.
struct store_read {
  // Time of the request; the read was sent later.
  boot_time requested_at;
  // The store's revision at the time of the read.
  std::int64_t revision = 0;
};

// Modified only by the functions below.
struct key_freshness {
  // All data that the store held at this time is present.
  std::optional<boot_time> complete_as_of;
  // Reads whose revision has not been reached yet, the oldest first.
  std::deque<store_read> pending_reads;
};

// Records a completed store read; all data up to `known_revision` is present.
// Reads without a revision, or with a request time in the future, which stems
// from another clock, are ignored.
void RecordStoreRead(key_freshness& freshness,
                     const store_read& read,
                     std::int64_t known_revision,
                     boot_time now);

// Records that all data up to `known_revision` is present.
void RecordRevision(key_freshness& freshness, std::int64_t known_revision);

// Returns the age of the data that is known to be complete; empty if none is.
std::optional<std::chrono::milliseconds> DataAge(const key_freshness& freshness,
                                                 boot_time now);

// Time limits for key changes, set by operators.
struct key_bounds {
  // No host accepts a key later than this after it was revoked, connected to
  // the store or not; empty if a disconnected host may use the keys it knows.
  std::optional<std::chrono::milliseconds> revoked_within;
  // No host reports a key as unknown later than this after it was added.
  std::chrono::milliseconds known_within{2000};
};

// Verdict on a request with a key.
enum class key_verdict {
  kValid,
  kUnknown,
  // Another host may have more recent data.
  kNotFresh,
};

// `is_known`: whether the local configuration contains the key.
key_verdict CheckKey(bool is_known,
                     std::optional<std::chrono::milliseconds> age,
                     const key_bounds& bounds);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_KEY_FRESHNESS_H_
