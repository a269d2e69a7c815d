// SPDX-License-Identifier: MIT
// Capacity that is reserved for refused callers of an engine queue until their
// Retry-After time.
//
// Handles bursts after which refused callers return while new requests keep the
// engines busy: without a reservation the new requests use the capacity that
// was expected at the Retry-After time, and the responses of the callers that
// return are late.
#ifndef VALELEDGE_DECISIONS_RETURN_RESERVATIONS_H_
#define VALELEDGE_DECISIONS_RETURN_RESERVATIONS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/duration.h"

namespace valeledge::decisions {

// A caller states the time that it has left with each request. What passes
// until its host and the owner have read it differs by up to this.
inline constexpr std::chrono::milliseconds kDeadlineTolerance{100};

// A caller that has not returned this long after its time is no longer
// expected: callers add only their own network latency to the delay.
inline constexpr std::chrono::milliseconds kReturnTolerance{500};

struct return_reservation {
  // Model or adapter.
  std::string unit;
  // 0 is the most urgent.
  std::int64_t priority = 0;
  std::string workspace;
  // When the caller returns.
  base::time_point returns_at;
  // Time in which an engine reads its prompt.
  std::chrono::duration<double, std::milli> read_time{0};
  // When the caller gives up, by which it is recognized.
  base::time_point caller_deadline;
};

namespace detail {

// A reservation of a flow.
struct reserved_return {
  base::time_point returns_at;
  std::chrono::duration<double, std::milli> read_time{0};
  base::time_point caller_deadline;
};

// Reservations of one unit, priority and workspace, by time.
struct reserved_flow {
  std::vector<reserved_return> reservations;
  // Read time of each reservation and of those before it.
  std::vector<std::chrono::duration<double, std::milli>> sums;
};

// By priority and workspace.
using reserved_flows =
    std::map<std::pair<std::int64_t, std::string>, reserved_flow>;

// Read time that is reserved in a flow until a time.
std::chrono::duration<double, std::milli> ReservedUntil(
    const reserved_flow& flow,
    base::time_point until);

}  // namespace detail

// Not thread-safe.
struct return_reservations {
  std::map<std::string, detail::reserved_flows> units;
  // No caller returns before this time, so that DropLapsed need not visit all
  // flows for each request.
  base::time_point earliest = base::time_point::max();
};

void AddReservation(return_reservations& reservations,
                    const return_reservation& added);

// Removes the reservation of the caller that returns now: the one of its unit,
// priority, workspace and deadline whose time has come. Returns false if there
// is none.
bool RedeemReservation(return_reservations& reservations,
                       const return_reservation& returning);

// When the last caller of the unit, priority and workspace that returns until a
// time does so.
std::optional<base::time_point> LastReservation(
    const return_reservations& reservations,
    const std::string& unit,
    std::int64_t priority,
    const std::string& workspace,
    base::time_point until);

// Removes the reservations whose callers are no longer expected, and returns
// their number.
std::int64_t DropLapsed(return_reservations& reservations,
                        base::time_point now);

// Read time that is reserved for a unit until a time, for priorities at or
// above the given one.
std::chrono::duration<double, std::milli> ReservedReadTime(
    const return_reservations& reservations,
    const std::string& unit,
    std::int64_t priority,
    base::time_point until);

// Number of reservations.
std::int64_t CountReservations(const return_reservations& reservations);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_RETURN_RESERVATIONS_H_
