// SPDX-License-Identifier: MIT
// What is known of one process, and how two reports of it are merged.
#ifndef VALELEDGE_MEMBERSHIP_MEMBER_H_
#define VALELEDGE_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "wire/generated/messages_types.h"

namespace valeledge::membership {

enum class member_health : std::int32_t { kAlive = 0, kSuspect = 1, kDead = 2 };

// What a process does; a bit each.
enum role : std::int32_t {
  kGateway = 1,
  kScheduler = 2,
  kController = 4,
  // Its link is wide enough to read and hand on large values for others.
  kHighBandwidth = 8,
};

using member = wire::member_record;

// Takes what `received` adds to `known`; true if that changed anything. A
// higher incarnation replaces the record; within one, leaving is never unsaid,
// a higher health version wins, and at the same version the worse health. The
// merge is commutative, associative and idempotent.
bool Merge(member& known, const member& received);

// Whether new work may go to this process.
bool TakesWork(const member& each);

// A hash over everything that Merge looks at.
std::uint64_t Digest(const member& each);

std::string_view ToString(member_health health);

}  // namespace valeledge::membership

#endif  // VALELEDGE_MEMBERSHIP_MEMBER_H_
