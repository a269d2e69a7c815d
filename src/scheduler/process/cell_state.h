// SPDX-License-Identifier: MIT
// The state that a scheduler keeps for one cell.
#ifndef VALELEDGE_SCHEDULER_PROCESS_CELL_STATE_H_
#define VALELEDGE_SCHEDULER_PROCESS_CELL_STATE_H_

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/duration.h"
#include "decisions/admission.h"
#include "decisions/reservation.h"
#include "node/node.h"
#include "scheduler/process/scheduler_settings.h"
#include "table/snapshot.h"
#include "wire/generated/messages_types.h"

namespace valeledge::scheduler {

// The result of one poll of a backend server.
struct backend_report {
  std::string server;
  bool responded = false;
  bool draining = false;
  std::int64_t in_flight = 0;
  decisions::engine_report engine;
};

// A granted attempt that has not ended.
struct running_attempt {
  std::string server;
  std::string partner;
  decisions::unit_hash unit = 0;
  double tokens = 0;
  // When the attempt was granted; the clock's epoch if a previous owner of the
  // cell granted it.
  base::time_point started;
  // When the gateway last reported the attempt as in flight.
  base::time_point last_reported;
};

// State of one backend server in addition to decisions::server_view.
struct backend_state {
  bool is_engine = true;
  std::int64_t missed_polls = 0;
  std::int64_t in_flight_at_poll = 0;
  bool polled = false;
  decisions::engine_report engine;
  // The latest state has not been reported to the controller.
  bool unreported = true;
};

// Requests for a model since the last report to the controller.
struct demand_count {
  std::int64_t requests = 0;
  std::int64_t refused = 0;
};

// Modified only by the functions below, on the decisions thread.
struct cell_state {
  std::string name;
  std::string zone;
  bool owned = false;
  base::time_point last_requested;
  decisions::cell_admission admission;
  std::map<std::string, backend_state> backends;
  std::map<std::string, running_attempt> running;
  std::map<std::string, demand_count> demand;
  base::time_point demand_since;
};

// Updates servers and partner weights to a table revision. The state of servers
// that remain in the table is preserved.
void ApplyTable(cell_state& cell,
                const table::snapshot& table,
                const node::member_view& view);

// Sets the limits of the table. `shares` holds the fraction of each row's limit
// that this cell may grant, by the row's key.
void ApplyLimits(cell_state& cell,
                 const table::snapshot& table,
                 const std::map<std::string, double>& shares,
                 base::time_point now);

// Applies the result of a poll. Returns whether the server's ready units or its
// availability changed.
bool ApplyReport(cell_state& cell,
                 const backend_report& report,
                 const table::snapshot& table,
                 std::int64_t polls_to_down);

// Marks the servers on leaving hosts, given by address. Returns whether any
// server changed.
bool ApplyLeavingHosts(cell_state& cell, const std::set<std::string>& leaving);

// Ends an attempt as reported by its gateway. For an unknown attempt, only the
// reported state of its server is applied.
void ApplyAttemptEnd(cell_state& cell,
                     const wire::attempt_end& ended,
                     base::time_point now);

// Applies a gateway's list of attempts in flight: refreshes known attempts and
// adds those that a previous owner of the cell granted.
void ApplyInFlight(cell_state& cell,
                   const wire::in_flight_report& report,
                   base::time_point now);

// Ends attempts that no gateway has reported for `expiry`.
void ExpireAttempts(cell_state& cell,
                    std::chrono::microseconds expiry,
                    base::time_point now);

// The records that gossip carries for the cell.
wire::cell_load LoadOf(const cell_state& cell);
wire::cell_ready ReadyOf(const cell_state& cell);

// Returns the units that an engine can serve with its loaded artifacts.
std::vector<decisions::unit_hash> UnitsOf(const table::snapshot& table,
                                          const decisions::engine_report& from);

}  // namespace valeledge::scheduler

#endif  // VALELEDGE_SCHEDULER_PROCESS_CELL_STATE_H_
