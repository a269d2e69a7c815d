// SPDX-License-Identifier: MIT
// Updates that hosts send each other about engine estimates, and when the owner
// of an estimate publishes it.
#ifndef VALELEDGE_DECISIONS_ENGINE_ESTIMATE_UPDATE_H_
#define VALELEDGE_DECISIONS_ENGINE_ESTIMATE_UPDATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/duration.h"
#include "decisions/engine_estimate.h"
#include "wire/generated/messages_types.h"

namespace valeledge::decisions {

// Maximum number of engines in one message, so that it fits into one datagram:
// each takes up to 24 bytes.
inline constexpr std::size_t kMaxEnginesPerMessage = 48;

// What a host keeps of one run of an engine besides its estimate.
struct estimate_exchange {
  // Own observations since the last report to the owner.
  observation_sums unreported;
  // This host has merged observations as the owner since it last considered
  // publishing the estimate.
  bool has_merged = false;
  // The estimate as it was last published, by this host or another, and when.
  engine_estimate published;
  base::time_point published_at;
  // This host has published it as the owner, and no other host has since.
  bool is_publisher = false;
  // This host has logged that the engine is slow.
  bool is_slow = false;
};

// How much other hosts need a new publication of an estimate.
enum class publication_need {
  kNone,
  // The factor has changed by a tenth, or the last publication is old.
  kUseful,
  // The factor has changed by two fifths.
  kUrgent
};

publication_need PublicationNeed(const engine_estimate& estimate,
                                 const estimate_exchange& exchange,
                                 base::time_point now);

// Messages. `server`: hash of the instance.
wire::engine_observation ToWire(std::int32_t server,
                                const observation_sums& sums);
// Returns nothing if the observations cannot be valid.
std::optional<observation_sums> FromWire(
    const wire::engine_observation& message);
wire::engine_estimate_report ToWire(std::int32_t server,
                                    const engine_estimate& estimate,
                                    base::time_point now);
// Returns the estimate without its prior, or nothing if it cannot be valid.
std::optional<engine_estimate> FromWire(
    const wire::engine_estimate_report& message,
    base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_ENGINE_ESTIMATE_UPDATE_H_
