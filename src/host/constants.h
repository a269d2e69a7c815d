// SPDX-License-Identifier: MIT
// Time spans and limits of a host that cannot be configured.
#ifndef VALELEDGE_HOST_CONSTANTS_H_
#define VALELEDGE_HOST_CONSTANTS_H_

#include <chrono>
#include <cstdint>
#include <string_view>

#include "decisions/engine_admission.h"

namespace valeledge::host {

// Connecting to a backend server takes a few milliseconds unless the server or
// the network path to it is down.
inline constexpr std::chrono::milliseconds kConnectTimeout{250};

// Header fields between hosts begin with this.
inline constexpr std::string_view kRelayFieldPrefix = "Valeledge-Relay-";

// Connecting to another host of the fleet, on the same terms.
inline constexpr std::chrono::milliseconds kRelayConnectTimeout{100};

// Interval at which server selection is repeated for a request that no server
// can accept yet.
inline constexpr std::chrono::milliseconds kSelectionRetryInterval =
    decisions::kAdmissionRecheckInterval;

// Interval at which a request looks whether the path to the servers is known.
inline constexpr std::chrono::milliseconds kPathRecheckInterval{5};

// Retry-after delay if there is no better estimate: loading a replica from a
// server's disk takes about two seconds.
inline constexpr std::chrono::milliseconds kDefaultRetryAfter{2000};
// Retry-after delay if a server is expected to become available within a few
// decoding steps.
inline constexpr std::chrono::milliseconds kShortRetryAfter{150};

// Retry-after delay if no backend server can be reached. Lost paths are probed
// more often.
inline constexpr std::chrono::milliseconds kPathRetryAfter{500};

// Parts of the process's memory that requests, responses of servers, responses
// of the store and frames between hosts may hold, each over all that are under
// way. The rest is for what the host knows, and for copies that do not last.
inline constexpr std::int64_t kRequestMemoryDivisor = 8;
inline constexpr std::int64_t kResponseMemoryDivisor = 4;
inline constexpr std::int64_t kStoreMemoryDivisor = 8;
inline constexpr std::int64_t kPeerMemoryDivisor = 8;

// Maximum gap between events for routes that do not define one.
inline constexpr std::chrono::milliseconds kDefaultEventGap{300};

// Attempts per request, including those that certainly did not run.
inline constexpr int kAttemptLimit = 4;

// Hosts through which one request is sent. Each that has lost the path as well
// says so, and is not used again soon.
inline constexpr int kMaxRelays = 5;

// If a server has not sent the response header within this fraction of the
// objective, an idempotent request is abandoned there and sent to another
// server.
inline constexpr double kHeaderTimeoutFraction = 0.7;
inline constexpr std::chrono::milliseconds kMaxHeaderTimeout{2000};

// Initial estimate of the prefill time per prompt token, used until there are
// measurements.
inline constexpr std::chrono::duration<double, std::milli> kInitialTokenCost{
    0.055};

// Prefill time per prompt token of a usual model, used where estimates of
// engines are shared. It is the same at all hosts, so that their observations
// can be compared, and close to the actual time (about 40 tokens per ms), since
// the factor of an engine also scales the parts of the expected wait that do
// not depend on tokens.
inline constexpr std::chrono::duration<double, std::milli> kReferenceTokenCost{
    0.025};

// Initial estimate of the service time of a plain service.
inline constexpr std::chrono::duration<double, std::milli> kInitialServiceTime{
    30};

// Interval at which a host reports its requests in flight to other hosts.
inline constexpr std::chrono::milliseconds kLoadReportInterval{250};

// Hosts that receive one report directly. Sending to a host costs about 10
// microseconds, and so does receiving from it.
inline constexpr std::size_t kMaxReportRecipients = 16;

// Engines in one update datagram; each has a few models with their adapters.
inline constexpr std::size_t kMaxEnginesPerUpdate = 100;

// Interval at which the gossip state machine runs.
inline constexpr std::chrono::milliseconds kGossipTickInterval{50};

// Smoothing window for arrival rates. Over a shorter one, a rate follows single
// requests.
inline constexpr std::chrono::milliseconds kArrivalRateWindow{1000};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_CONSTANTS_H_
