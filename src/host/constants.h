// SPDX-License-Identifier: MIT
// Times and limits of a host that are no settings.
#ifndef VALELEDGE_HOST_CONSTANTS_H_
#define VALELEDGE_HOST_CONSTANTS_H_

#include <chrono>
#include <cstdint>

namespace valeledge::host {

// A connection to a backend server is made within a few milliseconds unless
// the server or the way to it is down.
inline constexpr std::chrono::milliseconds kConnectTimeout{250};

// A request that no server may take now is looked at again after so long.
inline constexpr std::chrono::milliseconds kSelectionRetryInterval{15};

// A refusal within a quarter of the objective costs the caller least; a fifth
// leaves time for the way back.
inline constexpr double kRefusalObjectiveFraction = 0.2;

// A refused caller should come back within a third of its time.
inline constexpr double kRetryAfterDeadlineFraction = 0.33;

// A caller that has come back has less than this part of its route's time.
inline constexpr double kFirstAttemptDeadlineFraction = 0.95;

// What a refused caller waits when nothing better is known: a replica that is
// loaded from a server's disk is there after about two seconds.
inline constexpr std::chrono::milliseconds kDefaultRetryAfter{2000};
// The same when a server frees itself within some steps.
inline constexpr std::chrono::milliseconds kShortRetryAfter{150};

// The longest pause between events where a route states none.
inline constexpr std::chrono::milliseconds kDefaultEventGap{300};

// Attempts of one request, those that certainly did not run included.
inline constexpr int kMaxAttempts = 4;

// Without a sign of life for this part of the objective, an idempotent
// request is given up at one server and sent to another.
inline constexpr double kHeaderTimeoutFraction = 0.7;
inline constexpr std::chrono::milliseconds kMaxHeaderTimeout{2000};

// The first event comes after a few steps of the batch.
inline constexpr std::chrono::milliseconds kFirstEventOverhead{35};

// What reading one prompt token takes until it has been measured.
inline constexpr std::chrono::duration<double, std::milli> kInitialTokenCost{
    0.055};

// What a plain service takes until it has been measured.
inline constexpr std::chrono::duration<double, std::milli> kInitialServiceTime{
    30};

// How often a host tells the others what it has under way.
inline constexpr std::chrono::milliseconds kLoadReportInterval{250};

// Hosts that are told directly at a time: each costs some 10 microseconds to
// send to and as much to receive from.
inline constexpr std::size_t kMaxReportRecipients = 16;

// Engines in one datagram of news: each has a few models and their adapters.
inline constexpr std::size_t kMaxEnginesPerUpdate = 100;

// How often gossip is given the time.
inline constexpr std::chrono::milliseconds kGossipTickInterval{50};

// Arrival rates are smoothed over about this time: demand moves within five
// seconds.
inline constexpr std::chrono::milliseconds kArrivalRateWindow{1000};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_CONSTANTS_H_
