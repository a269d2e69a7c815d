// SPDX-License-Identifier: MIT
// Header fields, limits and timeouts of the gateway.
#ifndef VALELEDGE_GATEWAY_CONSTANTS_H_
#define VALELEDGE_GATEWAY_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <string_view>

namespace valeledge::gateway {

// Header fields of requests and responses between callers and the gateway.
inline constexpr std::string_view kDeadlineField = "Valeledge-Deadline";
inline constexpr std::string_view kPriorityField = "Valeledge-Priority";
inline constexpr std::string_view kOutcomeField = "Valeledge-Outcome";
inline constexpr std::string_view kReasonField = "Valeledge-Reason";
inline constexpr std::string_view kRequestField = "Valeledge-Request";
inline constexpr std::string_view kReplayedField = "Valeledge-Replayed";
inline constexpr std::string_view kServerField = "Valeledge-Server";
inline constexpr std::string_view kKeyField = "Idempotency-Key";

// Maximum length of an idempotency key in bytes.
inline constexpr std::size_t kMaxKeyLength = 200;

// Number of bytes of a conversation that are hashed as its prefix.
inline constexpr std::size_t kPrefixCharacters = 512;

// Estimated tokens of the response to a request without max_tokens.
inline constexpr int kDefaultMaxTokens = 128;

// Time for which an unreachable scheduler is not queried.
inline constexpr std::chrono::microseconds kSchedulerAvoidance =
    std::chrono::seconds(2);

// Maximum wait of a plain service call for a grant.
inline constexpr std::chrono::microseconds kServiceGrantTimeout =
    std::chrono::seconds(3);

// Time for which the load that a cell's scheduler reported takes precedence
// over the load received by gossip.
inline constexpr std::chrono::microseconds kReportedLoadLifetime =
    std::chrono::seconds(1);

// Additional wait for a scheduler's reply beyond the grant timeout.
inline constexpr std::chrono::microseconds kGrantGracePeriod =
    std::chrono::milliseconds(200);

// Timeout of a claim update at one scheduler. The caller receives the response
// only after the update.
inline constexpr std::chrono::microseconds kClaimUpdateTimeout =
    std::chrono::milliseconds(500);

// Interval at which attempts in flight are reported to the owners of their
// cells.
inline constexpr std::chrono::microseconds kInFlightReportInterval =
    std::chrono::seconds(2);

// Retry-after delay of refusals that do not set one.
inline constexpr std::chrono::milliseconds kDefaultRetryAfter =
    std::chrono::milliseconds(1000);

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_CONSTANTS_H_
