// SPDX-License-Identifier: MIT
// Keys and limits of what the platform keeps for us.
#ifndef VALELEDGE_STORE_CONSTANTS_H_
#define VALELEDGE_STORE_CONSTANTS_H_

#include <chrono>
#include <cstdint>
#include <string_view>

namespace valeledge::store {

inline constexpr std::string_view kTablePrefix = "valeledge/table/";
inline constexpr std::string_view kRevisionKey = "valeledge/table/revision";
inline constexpr std::string_view kRowPrefix = "valeledge/table/rows/";
inline constexpr std::string_view kHistoryPrefix = "valeledge/table/history/";
inline constexpr std::string_view kHolderPrefix = "valeledge/controller/";
inline constexpr std::string_view kLeaderKey = "valeledge/controller/leader";
// Written by every holder of the lease, and never deleted: it tells whether
// there has been one before.
inline constexpr std::string_view kFormerLeaderKey =
    "valeledge/controller/former";
// Requests that are held back by all hosts, by their digests.
inline constexpr std::string_view kHeldPrefix = "valeledge/held/";
inline constexpr std::string_view kReservationPrefix =
    "valeledge/reservations/";
inline constexpr std::string_view kClaimPrefix = "valeledge/claims/";

// Accepted changes that stay in the history.
inline constexpr std::int64_t kHistoryLength = 1000;

// Times one edit is rebased on others' before its operator is told to retry.
inline constexpr int kEditAttempts = 100;

// Before each further attempt at an edit: up to this long times the number of
// the attempt, but at most this many times.
inline constexpr std::chrono::microseconds kEditPause =
    std::chrono::milliseconds(5);
inline constexpr int kEditPauseSteps = 20;

// Largest value that the platform's service holds.
inline constexpr std::size_t kMaxValueBytes = 1024 * 1024;

}  // namespace valeledge::store

#endif  // VALELEDGE_STORE_CONSTANTS_H_
