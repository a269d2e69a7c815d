// SPDX-License-Identifier: MIT
#include "decisions/cold_start.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

// Parts of what a cold server tolerates: for the dealer of its places, and for
// hosts that choose by themselves. While a dealer is replaced there may be two
// of them for a moment, and turns of hosts that are drawn at random may fall
// together.
constexpr double kDealerPart = 0.35;
constexpr double kHostsPart = 0.25;

}  // namespace

void NoteCold(cold_server& server,
              std::chrono::milliseconds left,
              base::time_point now) {
  const bool was_cold = IsCold(server, now);
  server.until = now + left;
  if (!was_cold)
    server.turn.reset();
}

bool IsCold(const cold_server& server, base::time_point now) {
  return now < server.until;
}

std::chrono::duration<double> ColdPause(const cold_share& share) {
  const auto hosts =
      static_cast<double>(std::max<std::int64_t>(share.hosts, 1));
  return std::chrono::duration<double>(hosts / (kHostsPart * share.rate));
}

std::chrono::milliseconds ColdDealPause(double rate) {
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::duration<double>(1 / (kDealerPart * rate)));
}

bool TakeColdTurn(cold_server& server,
                  const cold_share& share,
                  base::time_point now,
                  std::mt19937_64& random) {
  if (!share.settled || share.rate <= 0)
    return false;
  const auto after = [&](double part) {
    return now + std::chrono::duration_cast<base::time_point::duration>(
                     ColdPause(share) * part);
  };
  // Hosts learn of a cold server together; their turns are spread.
  if (!server.turn)
    server.turn = after(std::uniform_real_distribution<double>(0, 1)(random));
  if (now < *server.turn)
    return false;
  server.turn = after(1);
  return true;
}

}  // namespace valeledge::decisions
