// SPDX-License-Identifier: MIT
#include "decisions/replica_wait.h"

namespace valeledge::decisions {

namespace {

using std::chrono::milliseconds;

// From a load's end to the first event: the news travels, and the prompt is
// read beside those of others that waited.
constexpr milliseconds kFirstAnswer{300};

// Demand is told every 250 ms, planned for every 100 ms, and what gives way is
// withdrawn first: a load that is not ordered by then is not wanted enough.
constexpr milliseconds kOrderedWithin{900};

}  // namespace

bool ShouldAwaitReplica(const absent_model& model) {
  if (model.due_in)
    return model.waited + *model.due_in + kFirstAnswer <= model.objective;
  return model.load_at_hand && model.waited <= kOrderedWithin &&
         kOrderedWithin + *model.load_at_hand + kFirstAnswer <= model.objective;
}

std::optional<milliseconds> ReplicaExpectedIn(const absent_model& model) {
  if (model.due_in)
    return *model.due_in + kFirstAnswer;
  if (model.load_at_hand)
    return kOrderedWithin + *model.load_at_hand;
  return std::nullopt;
}

}  // namespace valeledge::decisions
