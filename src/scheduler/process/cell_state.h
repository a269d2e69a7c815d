// SPDX-License-Identifier: MIT
// Everything a scheduler keeps for one cell.
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

// What one poll of a backend server found.
struct backend_report {
  std::string server;
  bool responded = false;
  bool draining = false;
  std::int64_t in_flight = 0;
  decisions::engine_report engine;
};

// An attempt that was granted and has not ended.
struct running_attempt {
  std::string server;
  std::string partner;
  decisions::unit_hash unit = 0;
  double tokens = 0;
  // When it was granted; the clock's start if an earlier owner granted it.
  base::time_point started;
  // When its gateway last named it.
  base::time_point last_reported;
};

// What a scheduler keeps of one backend server beside decisions::server_view.
struct backend_state {
  bool is_engine = true;
  std::int64_t missed_polls = 0;
  std::int64_t in_flight_at_poll = 0;
  bool polled = false;
  decisions::engine_report engine;
  // The controller has not been told of the newest report.
  bool unreported = true;
};

// Requests for a model since the last report.
struct demand_count {
  std::int64_t requests = 0;
  std::int64_t refused = 0;
};

// One cell. Changed by the functions below, on the decisions' thread.
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

// Brings servers and weights up to a table revision; what is known of servers
// that stay is kept.
void ApplyTable(cell_state& cell,
                const table::snapshot& table,
                const node::member_view& view);

// Sets the limits of the table; `shares` holds the part of each limited row
// that this cell may give out, by the row's key.
void ApplyLimits(cell_state& cell,
                 const table::snapshot& table,
                 const std::map<std::string, double>& shares,
                 base::time_point now);

// Takes in the result of a poll. True if what is ready here has changed.
bool ApplyReport(cell_state& cell,
                 const backend_report& report,
                 const table::snapshot& table,
                 std::int64_t polls_to_down);

// Takes in the addresses of hosts that are leaving; true if anything changed.
bool ApplyLeavingHosts(cell_state& cell, const std::set<std::string>& leaving);

// Ends an attempt as its gateway told; unknown ones are ignored.
void ApplyAttemptEnd(cell_state& cell,
                     const wire::attempt_end& ended,
                     base::time_point now);

// Takes in what a gateway has in flight here: keeps alive what is known and
// learns what an earlier owner granted.
void ApplyInFlight(cell_state& cell,
                   const wire::in_flight_report& report,
                   base::time_point now);

// Ends attempts that no gateway has named for `expiry`.
void ExpireAttempts(cell_state& cell,
                    std::chrono::microseconds expiry,
                    base::time_point now);

// What gossip tells of the cell.
wire::cell_load LoadOf(const cell_state& cell);
wire::cell_ready ReadyOf(const cell_state& cell);

// Units that an engine with these artifacts serves.
std::vector<decisions::unit_hash> UnitsOf(const table::snapshot& table,
                                          const decisions::engine_report& from);

}  // namespace valeledge::scheduler

#endif  // VALELEDGE_SCHEDULER_PROCESS_CELL_STATE_H_
