// SPDX-License-Identifier: MIT
// Limits of workspaces that hold over all hosts together.
//
// One host owns each limit: it is chosen among the members, keeps one token
// bucket, and is asked for each request. What a workspace asks for then counts
// where it was asked, so that an even rise at all hosts, or callers at a few of
// them, neither overrun the limit nor are refused below it.
//
// Two owners together give hardly more than the limit, though members disagree
// on who owns it. An owner keeps back what hosts were given that have fallen
// silent: they go on with it, under another owner or without one. A new owner
// gives only what the hosts that ask it were given before, until membership has
// settled, or half of what falls to so many hosts if that is more; from then on
// the part of the rate that the members it sees make of
// those it knows. A host whose owner does not answer goes on at its rate for a
// moment.
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
double CountOf(const catalog::workspace_limit& limit,
               std::optional<std::int64_t> tokens);

// How often one host asks for a limit.
struct ask_rhythm {
  std::int64_t asks = 0;
  base::time_point last;
  // Between two of them, smoothed.
  std::chrono::duration<double> interval{0};
};

// What an owner knows of one host that asks it.
struct limit_asker {
  // What it is given a second.
  double rate = 0;
  base::time_point updated;
  ask_rhythm rhythm;
};

// The account of a limit at its owner. Changed only by the functions below.
struct limit_account {
  token_bucket bucket;
  base::time_point owned_since;
  std::map<std::string, limit_asker> askers;
  // Of the rate, for hosts that are silent; and all that askers were given, as
  // of the last look at them.
  double kept_back = 0;
  double given = 0;
  base::time_point looked;
  // Those who are refused come back one after the other: the next one then.
  base::time_point next_return;
  // Since they were last told of.
  double asked = 0;
  double granted = 0;
};

enum class limit_verdict : std::int32_t {
  kGranted = 0,
  // The workspace asks for more than its limit.
  kExceeded = 1,
  // This host does not own the limit, or has not for long enough.
  kNotOwned = 2,
};

struct limit_answer {
  limit_verdict verdict = limit_verdict::kNotOwned;
  // When there is room, if the limit is exceeded.
  std::chrono::milliseconds retry_after{0};
};

// This host has come to own a limit. `is_fresh`: it has just started.
limit_account OpenAccount(const catalog::workspace_limit& limit,
                          bool is_fresh,
                          base::time_point now);

// A host asks for one request.
struct limit_request {
  // Unique among hosts.
  std::string host;
  double count = 0;
  // What the host was given a second before.
  double usual = 0;
};

// What an owner knows of its members.
struct limit_members {
  // Hosts that are seen now as a part of all that are known, from 0 to 1.
  double seen_part = 1;
  // Hosts that are known, seen or not.
  std::int64_t known = 1;
  // Whether the owner has just started: no host was given anything before.
  bool is_fresh = false;
};

// Takes what one request counts.
limit_answer TakeFrom(limit_account& account,
                      const catalog::workspace_limit& limit,
                      const limit_members& members,
                      const limit_request& request,
                      base::time_point now);

// A request that was granted has not run, and never will.
void GiveBack(limit_account& account, double count);

// What one host may go on with while a limit's owner does not answer. Changed
// only by the functions below.
struct limit_allowance {
  // What it was given a second, lately.
  double rate = 0;
  base::time_point updated;
  ask_rhythm rhythm;
  // While the owner does not answer: what is left of the allowance, since when
  // it has been silent, and up to when the allowance has grown.
  std::optional<double> left;
  base::time_point silent_since;
  base::time_point grown;
};

// A host asks the owner, or would.
void NoteAsking(limit_allowance& allowance, base::time_point now);

// What a host tells a new owner that it was given a second.
double UsualRate(const limit_allowance& allowance, base::time_point now);

// The owner has granted a request.
void NoteGranted(limit_allowance& allowance,
                 double count,
                 base::time_point now);

// The owner does not answer: whether the request may be sent all the same.
// `chance`, drawn evenly from 0 to 1, decides what is left of one request.
bool TakeWithoutOwner(limit_allowance& allowance,
                      double count,
                      double chance,
                      base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_WORKSPACE_LIMIT_H_
