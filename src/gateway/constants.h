// SPDX-License-Identifier: MIT
// Names and limits that the gateway keeps to.
#ifndef VALELEDGE_GATEWAY_CONSTANTS_H_
#define VALELEDGE_GATEWAY_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <string_view>

namespace valeledge::gateway {

// Header fields towards callers.
inline constexpr std::string_view kDeadlineField = "Valeledge-Deadline";
inline constexpr std::string_view kPriorityField = "Valeledge-Priority";
inline constexpr std::string_view kOutcomeField = "Valeledge-Outcome";
inline constexpr std::string_view kReasonField = "Valeledge-Reason";
inline constexpr std::string_view kRequestField = "Valeledge-Request";
inline constexpr std::string_view kReplayedField = "Valeledge-Replayed";
inline constexpr std::string_view kServerField = "Valeledge-Server";
inline constexpr std::string_view kKeyField = "Idempotency-Key";

// Header field towards backend servers.
inline constexpr std::string_view kAttemptField = "Valeledge-Attempt";

// Longest idempotency key.
inline constexpr std::size_t kMaxKeyLength = 200;

// Characters of a conversation that count as its prefix.
inline constexpr std::size_t kPrefixCharacters = 512;

// Tokens expected of an answer that sets no max_tokens.
inline constexpr int kDefaultMaxTokens = 128;

// How long a gateway goes on avoiding a scheduler that it could not reach.
inline constexpr std::chrono::microseconds kSchedulerAvoidance =
    std::chrono::seconds(2);

// How long a call of a plain service may wait for its turn.
inline constexpr std::chrono::microseconds kServiceGrantTimeout =
    std::chrono::seconds(3);

// A cell's load as its scheduler answered it counts for so long; then what
// gossip says does.
inline constexpr std::chrono::microseconds kReportedLoadLifetime =
    std::chrono::seconds(1);

// Extra wait for a grant beyond the time in which it could be of use.
inline constexpr std::chrono::microseconds kGrantGracePeriod =
    std::chrono::milliseconds(200);

// A recorded answer is waited for so long before the caller is answered.
inline constexpr std::chrono::microseconds kClaimUpdateTimeout =
    std::chrono::milliseconds(500);

// Attempts in flight are repeated to their cells' owners this often.
inline constexpr std::chrono::microseconds kInFlightReportInterval =
    std::chrono::seconds(2);

// Time to come back when nothing better is known.
inline constexpr std::chrono::milliseconds kDefaultRetryAfter =
    std::chrono::milliseconds(1000);

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_CONSTANTS_H_
