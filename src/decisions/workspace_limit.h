// SPDX-License-Identifier: MIT
// Workspace limits that apply across all hosts.
//
// Each limit has one owner, a host chosen among the members. The owner keeps a
// single token bucket and decides about every request. Demand is therefore
// counted in one place: neither an even increase at all hosts nor callers
// concentrated on a few hosts overrun the limit or are refused below it.
//
// Members may disagree about the owner of a limit, for example during a network
// partition. What two owners grant together is bounded: an owner reserves the
// rate of hosts that became unresponsive, since these continue without it.
// Until membership has converged, a new owner grants the rate that its clients
// had before, or half of their even share; from then on it grants the visible
// fraction of the rate. A host whose owner does not respond continues at its
// own rate for a short time.
#ifndef VALELEDGE_DECISIONS_WORKSPACE_LIMIT_H_
#define VALELEDGE_DECISIONS_WORKSPACE_LIMIT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/duration.h"
#include "catalog/workspace.h"
#include "decisions/token_bucket.h"

namespace valeledge::decisions {

// Cost of one request in the unit of the limit. `tokens`: the token count that
// the caller states; nullopt if it is missing or invalid.
double RequestCost(const catalog::workspace_limit& limit,
                   std::optional<std::int64_t> tokens);

// Frequency at which one host sends requests of a workspace.
struct request_interval {
  std::int64_t count = 0;
  base::time_point last;
  // Smoothed time between two requests.
  std::chrono::duration<double> interval{0};
};

// An owner's state for one client host.
struct limiter_client {
  // Tokens per second granted to the client.
  double rate = 0;
  base::time_point updated;
  request_interval requests;
};

// State of a limit at its owner. Modified by the functions below.
struct limiter_state {
  token_bucket bucket;
  // Tokens per second assumed in estimates of waits. Until membership has
  // converged, the bucket's rate is lower and soon rises, so that estimates
  // from it would refuse requests that the limit has room for.
  double expected_rate = 0;
  base::time_point owned_since;
  std::map<std::string, limiter_client> clients;
  // Tokens per second reserved for unresponsive clients, and granted to all
  // clients.
  double reserved = 0;
  double granted_rate = 0;
  base::time_point clients_updated_at;
  // Lowest visible fraction of the members that was recently observed, and the
  // time from which a higher one replaces it.
  double visible_fraction = 1;
  base::time_point visible_until;
  // Retries of refused requests are spread over time; the next one is due then.
  base::time_point next_retry;
  // Tokens requested and granted since the last log line.
  double requested = 0;
  double granted = 0;
};

enum class limit_verdict : std::int32_t {
  kGranted = 0,
  // The workspace requests more than its limit.
  kExceeded = 1,
  // This host does not own the limit, or has not owned it for long enough.
  kNotOwned = 2,
};

struct limit_decision {
  limit_verdict verdict = limit_verdict::kNotOwned;
  // Time until tokens are available, if the limit is exceeded.
  std::chrono::milliseconds retry_after{0};
};

// Returns the state of a limit that this host now owns. `is_newly_started`:
// whether the process of this host has just started.
limiter_state MakeLimiter(const catalog::workspace_limit& limit,
                          bool is_newly_started,
                          base::time_point now);

// A host's request for the tokens of one request.
struct limit_request {
  // Host id, unique among hosts.
  std::string host;
  double cost = 0;
  // Tokens per second granted to the host, by any owner.
  double typical_rate = 0;
};

// An owner's view of the membership.
struct limit_members {
  // Visible hosts as a fraction of the known hosts, from 0 to 1.
  double visible_fraction = 1;
  // Known hosts, whether visible or not.
  std::int64_t known = 1;
  // Whether the owner's process has just started.
  bool is_newly_started = false;
  // Whether no member is suspected or dead, so that no other owner can be
  // hidden.
  bool is_complete = false;
};

// Records that a host has sent a request for tokens.
void NoteClientRequest(limiter_state& limiter,
                       const limit_request& request,
                       base::time_point now);

// Refills the tokens at the rate that the owner may grant now.
void Refill(limiter_state& limiter,
            const catalog::workspace_limit& limit,
            const limit_members& members,
            base::time_point now);

// The time from which an owner grants tokens.
base::time_point GrantsFrom(const limiter_state& limiter);

// Grants the tokens of a request. Returns false if they are not there, or if
// fewer than `reserve` would be left. Requires Refill() at `now`.
bool TryGrant(limiter_state& limiter,
              const limit_request& request,
              double reserve,
              base::time_point now);

// Returns the delay after which a refused request should be retried.
// `next_retry`: when the request refused before it should be, updated by this
// function. `available_in`: time until its tokens will be available. `rate`: at
// which requests like it are granted.
std::chrono::milliseconds SpreadRetry(const limiter_state& limiter,
                                      const limit_members& members,
                                      double cost,
                                      double rate,
                                      base::time_point::duration available_in,
                                      base::time_point& next_retry,
                                      base::time_point now);

// Acquires the tokens of one request.
limit_decision TryAcquire(limiter_state& limiter,
                          const catalog::workspace_limit& limit,
                          const limit_members& members,
                          const limit_request& request,
                          base::time_point now);

// Releases the tokens of a request that was granted but will never run.
void Release(limiter_state& limiter, double cost);

// Allowance with which one host continues while the owner of a limit does not
// respond. Modified only by the functions below.
struct limit_allowance {
  // Tokens per second granted recently.
  double rate = 0;
  base::time_point updated;
  request_interval requests;
  // Time at which the owner last refused a request of this host.
  std::optional<base::time_point> last_exceeded;
  // While the owner does not respond: the remaining allowance, the time of its
  // last refill, and the time until which it is refilled.
  std::optional<double> remaining;
  base::time_point refilled;
  base::time_point refill_until;
};

// Records a request of the workspace at this host.
void NoteRequest(limit_allowance& allowance, base::time_point now);

// The rate that a host reports to an owner, in tokens per second.
double TypicalRate(const limit_allowance& allowance, base::time_point now);

// Records that the owner refused a request beyond the limit.
void NoteExceeded(limit_allowance& allowance, base::time_point now);

// Records that the owner granted a request.
void NoteGranted(limit_allowance& allowance, double cost, base::time_point now);

// Returns whether a request may be sent although the owner does not respond.
// `chance`, drawn uniformly from 0 to 1, decides when less than one request of
// the allowance remains.
bool TryAcquireWithoutOwner(limit_allowance& allowance,
                            double cost,
                            double chance,
                            base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_WORKSPACE_LIMIT_H_
