// SPDX-License-Identifier: MIT
#include "decisions/snapshot_serving.h"

namespace valeledge::decisions {

bool MaySendSnapshot(std::int64_t queued, double link_bytes_per_second) {
  const double link = link_bytes_per_second > 0 ? link_bytes_per_second
                                                : kDefaultLinkBytesPerSecond;
  const std::chrono::duration<double> drained(static_cast<double>(queued) /
                                              link);
  return drained <= kMaxDrainTime;
}

}  // namespace valeledge::decisions
