// SPDX-License-Identifier: MIT
// Whether a host that others ask for its copy of the key-value service gives
// one more. 21 hosts that share one narrow link have nothing until all of them
// have everything: 12.6 s for 750 KB at 10 Mbit/s, in virtual time. Given to
// one or two at a time, each of which gives it to others, the same takes 3.7 s.
#ifndef VALELEDGE_DECISIONS_SNAPSHOT_SERVING_H_
#define VALELEDGE_DECISIONS_SNAPSHOT_SERVING_H_

#include <chrono>
#include <cstdint>

namespace valeledge::decisions {

// A copy is given if what waits to be sent has left after so long: half of
// what a copy of 750 KB takes on a link of 10 Mbit/s, and time for eight hosts
// on such links beside a source with twenty times as much.
inline constexpr std::chrono::milliseconds kMaxDrainTime{300};

// A link of which nothing is known.
inline constexpr double kDefaultLinkBytesPerSecond = 100e6 / 8;

// Whether a copy may be given now to one who asks. `queued` bytes wait to be
// sent to all hosts over a link of so many bytes a second (0: not known).
bool MaySendSnapshot(std::int64_t queued, double link_bytes_per_second);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_SNAPSHOT_SERVING_H_
