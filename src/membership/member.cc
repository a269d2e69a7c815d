// SPDX-License-Identifier: MIT
#include "membership/member.h"

#include <utility>

#include "base/identifier.h"

namespace valeledge::membership {

bool Merge(member& known, const member& received) {
  if (received.incarnation < known.incarnation)
    return false;
  if (received.incarnation > known.incarnation) {
    known = received;
    return true;
  }
  bool changed = false;
  if (received.leaving && !known.leaving) {
    known.leaving = true;
    changed = true;
  }
  const std::pair received_health(received.health_version, received.health);
  const std::pair known_health(known.health_version, known.health);
  if (received_health > known_health) {
    known.health_version = received.health_version;
    known.health = received.health;
    changed = true;
  }
  return changed;
}

bool TakesWork(const member& each) {
  return !each.leaving &&
         each.health != static_cast<std::int32_t>(member_health::kDead);
}

std::uint64_t Digest(const member& each) {
  const std::string text = each.id + '|' + std::to_string(each.incarnation) +
                           '|' + std::to_string(each.leaving) + '|' +
                           std::to_string(each.health_version) + '|' +
                           std::to_string(each.health);
  return base::StableHash(text);
}

std::string_view ToString(member_health health) {
  switch (health) {
    case member_health::kAlive:
      return "alive";
    case member_health::kSuspect:
      return "suspect";
    case member_health::kDead:
      return "dead";
  }
  return "dead";
}

}  // namespace valeledge::membership
