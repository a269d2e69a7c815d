// SPDX-License-Identifier: MIT
// Long streams and long prompts in an engine_queue: at which engine a request
// is better sent, see stream_separation.
#ifndef VALELEDGE_DECISIONS_ENGINE_QUEUE_SEPARATION_H_
#define VALELEDGE_DECISIONS_ENGINE_QUEUE_SEPARATION_H_

#include <string>

#include "base/duration.h"
#include "decisions/engine_queue.h"

namespace valeledge::decisions::detail {

// Whether the request is left to another engine of its unit, which takes it
// later at a lower cost. The engine with the lowest sum of wait and cost never
// leaves a request to another one, nor does one of several that have it.
bool IsLeftToOther(const engine_queue& queue,
                   const std::string& name,
                   const queued_request& request,
                   base::time_point now);

// Whether a waiting request that is granted at the engine could be sent to
// another one now that leaves it to this one, and of which kind it is.
separated_kind SeparatedAt(const engine_queue& queue,
                           const std::string& name,
                           const queued_request& request,
                           base::time_point now);

}  // namespace valeledge::decisions::detail

#endif  // VALELEDGE_DECISIONS_ENGINE_QUEUE_SEPARATION_H_
