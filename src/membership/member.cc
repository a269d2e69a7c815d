// SPDX-License-Identifier: MIT
#include "membership/member.h"

#include <utility>

#include "base/identifier.h"

namespace valeledge::membership {

bool Merge(member& known, const member& heard) {
  if (heard.incarnation < known.incarnation)
    return false;
  if (heard.incarnation > known.incarnation) {
    known = heard;
    return true;
  }
  bool changed = false;
  if (heard.leaving && !known.leaving) {
    known.leaving = true;
    changed = true;
  }
  const std::pair heard_health(heard.health_version, heard.health);
  const std::pair known_health(known.health_version, known.health);
  if (heard_health > known_health) {
    known.health_version = heard.health_version;
    known.health = heard.health;
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
