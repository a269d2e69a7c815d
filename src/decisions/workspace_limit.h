// SPDX-License-Identifier: MIT
// Limits of workspaces that hold over all hosts together.
//
// One host owns each limit: it is chosen among the members, keeps one token
// bucket, and is requested for each request. What a workspace asks for then
// counts where it was requested, so that an even rise at all hosts, or callers
// at a few of them, neither overrun the limit nor are refused below it.
//
// Members may disagree on who owns a limit, as in a network partition. What two
// owners grant together is bounded: an owner reserves the rate of hosts that
// fell silent, since these go on without it. A new owner grants the rate that
// its clients had before, or half of their even share, until membership has
// settled; from then on the visible fraction of the rate. A host whose owner
// does not answer goes on at its rate for a short time.
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

// What one request counts. `tokens`: what its caller says it has; nothing if it
// does not say, or nothing that makes sense.
double RequestCost(const catalog::workspace_limit& limit,
                   std::optional<std::int64_t> tokens);

// How often one host sends requests of a workspace.
struct request_interval {
  std::int64_t count = 0;
  base::time_point last;
  // Between two requests, smoothed.
  std::chrono::duration<double> interval{0};
};

// What an owner knows of one host that asks it.
struct limiter_client {
  // Tokens granted to it a second.
  double rate = 0;
  base::time_point updated;
  request_interval requests;
};

// The state of a limit at its owner. Changed only by the functions below.
struct limiter_state {
  token_bucket bucket;
  base::time_point owned_since;
  std::map<std::string, limiter_client> clients;
  // Tokens a second: reserved for silent clients, and granted to all.
  double reserved = 0;
  double granted_rate = 0;
  base::time_point clients_updated_at;
  // Retries of refused requests are spread: the next one is due then.
  base::time_point next_retry;
  // Tokens since the last log line.
  double requested = 0;
  double granted = 0;
};

enum class limit_verdict : std::int32_t {
  kGranted = 0,
  // The workspace asks for more than its limit.
  kExceeded = 1,
  // This host does not own the limit, or has not for long enough.
  kNotOwned = 2,
};

struct limit_decision {
  limit_verdict verdict = limit_verdict::kNotOwned;
  // When there is room, if the limit is last_exceeded.
  std::chrono::milliseconds retry_after{0};
};

// Makes the state of a limit that this host now owns. `is_newly_started`: its
// process has just started.
limiter_state MakeLimiter(const catalog::workspace_limit& limit,
                          bool is_newly_started,
                          base::time_point now);

// What a host asks for one request.
struct limit_request {
  // Unique among hosts.
  std::string host;
  double cost = 0;
  // Tokens that were granted to the host a second, by any owner.
  double typical_rate = 0;
};

// What an owner knows of its members.
struct limit_members {
  // Visible hosts as a fraction of the known ones, from 0 to 1.
  double visible_fraction = 1;
  // Hosts that are known, visible or not.
  std::int64_t known = 1;
  // Whether the owner's process has just started.
  bool is_newly_started = false;
  // Whether nobody is suspected or dead: no other owner can be hidden.
  bool is_complete = false;
};

// Acquires the tokens of one request.
limit_decision TryAcquire(limiter_state& limiter,
                          const catalog::workspace_limit& limit,
                          const limit_members& members,
                          const limit_request& request,
                          base::time_point now);

// Returns the tokens of a request that was granted and will never run.
void Release(limiter_state& limiter, double cost);

// What one host may go on with while a limit's owner does not answer. Changed
// only by the functions below.
struct limit_allowance {
  // What it was given a second, lately.
  double rate = 0;
  base::time_point updated;
  request_interval requests;
  // When the owner last refused a request of this host.
  std::optional<base::time_point> last_exceeded;
  // While the owner does not answer: what is remaining of the allowance, up to
  // when it has refilled, and until when it does.
  std::optional<double> remaining;
  base::time_point refilled;
  base::time_point refill_until;
};

// Counts a request of the workspace at this host.
void NoteRequest(limit_allowance& allowance, base::time_point now);

// The rate that a host states to an owner, in tokens a second.
double TypicalRate(const limit_allowance& allowance, base::time_point now);

// The owner has refused a request beyond the limit.
void NoteExceeded(limit_allowance& allowance, base::time_point now);

// The owner has granted a request.
void NoteGranted(limit_allowance& allowance, double cost, base::time_point now);

// The owner does not answer: whether the request may be sent all the same.
// `chance`, drawn evenly from 0 to 1, decides what is remaining of one request.
bool TryAcquireWithoutOwner(limit_allowance& allowance,
                            double cost,
                            double chance,
                            base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_WORKSPACE_LIMIT_H_
