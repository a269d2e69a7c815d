// SPDX-License-Identifier: MIT
// Load of an engine as the owner of its queue knows it: what hosts have
// reported, with grants and reading that the reports do not show yet.
#ifndef VALELEDGE_DECISIONS_ENGINE_QUEUE_LOAD_H_
#define VALELEDGE_DECISIONS_ENGINE_QUEUE_LOAD_H_

#include <chrono>

#include "base/duration.h"
#include "decisions/engine_admission.h"
#include "decisions/engine_queue.h"
#include "decisions/server_cost.h"

namespace valeledge::decisions::detail {

// The engine's load, including requests that were granted and not reported.
server_candidate LoadOf(const known_engine& engine);

// Records the reading until now. A granted request that has not been reported
// has not been sent.
void AdvanceReading(known_engine& engine, base::time_point now);

// The load as a request would meet it: without a prompt of the request's size
// if the engine has had the time to read one since the last first event. No
// more than one, since an engine may be slower than expected.
server_candidate LoadFor(const known_engine& engine,
                         const queued_request& request,
                         base::time_point now);

// Whether the request is sent to the engine now, waits, or would be late there.
admission_decision DecideAt(const known_engine& engine,
                            const queued_request& request,
                            base::time_point now);

// Records a report of the engine's state.
void RecordReport(known_engine& engine,
                  const queue_engine& state,
                  base::time_point now);

}  // namespace valeledge::decisions::detail

#endif  // VALELEDGE_DECISIONS_ENGINE_QUEUE_LOAD_H_
