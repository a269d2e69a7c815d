// SPDX-License-Identifier: MIT
// Whether a host sends one more snapshot of the key-value service on request.
//
// If 21 hosts receive over one narrow link at the same time, none has a
// snapshot until all are complete: 12.6 s for 750 KB at 10 Mbit/s, in virtual
// time. Sent to one or two hosts at a time, each of which serves others in
// turn, the same takes 3.7 s.
#ifndef VALELEDGE_DECISIONS_SNAPSHOT_SERVING_H_
#define VALELEDGE_DECISIONS_SNAPSHOT_SERVING_H_

#include <chrono>
#include <cstdint>

namespace valeledge::decisions {

// A snapshot is sent if the send queue drains within this time: half of the
// transfer time of a snapshot of 750 KB at 10 Mbit/s, and enough for eight
// hosts on such links served by a host with twenty times the bandwidth.
inline constexpr std::chrono::milliseconds kMaxDrainTime{300};

// Assumed for a link of unknown bandwidth.
inline constexpr double kDefaultLinkBytesPerSecond = 100e6 / 8;

// Returns whether a snapshot may be sent now. `queued`: bytes waiting to be
// sent to all hosts; `link_bytes_per_second`: bandwidth, 0 if it is not known.
bool MaySendSnapshot(std::int64_t queued, double link_bytes_per_second);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_SNAPSHOT_SERVING_H_
