// SPDX-License-Identifier: MIT
// Times that the node library keeps to.
#ifndef VALELEDGE_NODE_CONSTANTS_H_
#define VALELEDGE_NODE_CONSTANTS_H_

#include <chrono>
#include <cstddef>

namespace valeledge::node {

// The gossip state is ticked this often.
inline constexpr std::chrono::microseconds kTickInterval =
    std::chrono::milliseconds(50);

// A process without a table asks this many peers before it serves.
inline constexpr std::size_t kFirstTablePeers = 3;

// A process without a table waits this long for peers before it reads the
// platform itself.
inline constexpr std::chrono::microseconds kPeersFirst =
    std::chrono::milliseconds(800);

// A watch is renewed, and the table read once, after this long.
inline constexpr std::chrono::microseconds kWatchLength =
    std::chrono::seconds(30);

// Pauses after the platform failed: the first, and the longest.
inline constexpr std::chrono::microseconds kFirstPlatformPause =
    std::chrono::milliseconds(200);
inline constexpr std::chrono::microseconds kLongestPlatformPause =
    std::chrono::seconds(4);

// Notices queued before a stop get this many rounds, each bounded.
inline constexpr int kFlushHops = 3;
inline constexpr std::chrono::microseconds kFlushLimit =
    std::chrono::milliseconds(200);

}  // namespace valeledge::node

#endif  // VALELEDGE_NODE_CONSTANTS_H_
