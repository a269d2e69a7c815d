// SPDX-License-Identifier: MIT
#include "decisions/cold_start.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

// Fractions of the tolerated rate for the slot allocator and for hosts that
// select servers themselves. They leave a margin, since there may briefly be
// two allocators while one is replaced, and the random send times of hosts may
// coincide.
constexpr double kAllocatorFraction = 0.35;
constexpr double kHostsFraction = 0.25;

}  // namespace

void MarkCold(cold_server& server,
              std::chrono::milliseconds remaining,
              base::time_point now) {
  const bool was_cold = IsCold(server, now);
  server.cold_until = now + remaining;
  if (!was_cold)
    server.next_send_at.reset();
}

bool IsCold(const cold_server& server, base::time_point now) {
  return now < server.cold_until;
}

std::chrono::duration<double> ColdSendInterval(const cold_share& share) {
  const auto hosts =
      static_cast<double>(std::max<std::int64_t>(share.hosts, 1));
  return std::chrono::duration<double>(hosts / (kHostsFraction * share.rate));
}

std::chrono::milliseconds ColdAllocationInterval(double rate) {
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::duration<double>(1 / (kAllocatorFraction * rate)));
}

bool TryStartColdSend(cold_server& server,
                      const cold_share& share,
                      base::time_point now,
                      std::mt19937_64& random) {
  if (!share.peers_known || share.rate <= 0)
    return false;
  const auto after = [&](double fraction) {
    return now + std::chrono::duration_cast<base::time_point::duration>(
                     ColdSendInterval(share) * fraction);
  };
  // Hosts learn of a cold server at the same time, so the first requests are
  // spread at random.
  if (!server.next_send_at)
    server.next_send_at =
        after(std::uniform_real_distribution<double>(0, 1)(random));
  if (now < *server.next_send_at)
    return false;
  server.next_send_at = after(1);
  return true;
}

}  // namespace valeledge::decisions
