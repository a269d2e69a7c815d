// SPDX-License-Identifier: MIT
// Limits of workspaces that hold over all hosts together.
//
// One host owns each limit: it is chosen among the members, keeps one token
// bucket, and is asked for each request. What a workspace asks for then counts
// where it was asked, so that an even rise at all hosts, or callers at a few of
// them, neither overrun the limit nor are refused below it.
//
// No two owners together give more than the limit, though members disagree on
// who owns it: an owner gives the part of the rate that the members it sees
// make of those it knows, begins with next to nothing, and gives nothing until
// it has owned the limit for a while. A host whose owner does not answer goes
// on for a moment with what it was given lately.
#ifndef VALELEDGE_DECISIONS_WORKSPACE_LIMIT_H_
#define VALELEDGE_DECISIONS_WORKSPACE_LIMIT_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "base/duration.h"
#include "catalog/workspace.h"
#include "decisions/token_bucket.h"

namespace valeledge::decisions {

// What one request counts. `tokens`: what its caller says it has; nothing if it
// does not say, or nothing that makes sense.
double CountOf(const catalog::workspace_limit& limit,
               std::optional<std::int64_t> tokens);

// The account of a limit at its owner. Changed only by the functions below.
struct limit_account {
  token_bucket bucket;
  base::time_point owned_since;
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

// This host has come to own a limit.
limit_account OpenAccount(const catalog::workspace_limit& limit,
                          base::time_point now);

// Takes what one request counts. `seen_part`: hosts that are seen now as a part
// of all that are known, from 0 to 1.
limit_answer TakeFrom(limit_account& account,
                      const catalog::workspace_limit& limit,
                      double seen_part,
                      double count,
                      base::time_point now);

// A request that was granted has not run, and never will.
void GiveBack(limit_account& account, double count);

// What one host may go on with while a limit's owner does not answer. Changed
// only by the functions below.
struct limit_allowance {
  // What it was given a second, lately.
  double rate = 0;
  base::time_point updated;
  // What is left of the allowance; nothing while the owner answers.
  std::optional<double> left;
};

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
