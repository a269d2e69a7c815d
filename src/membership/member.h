// SPDX-License-Identifier: MIT
// The record of one process, and merging of two records of it.
#ifndef VALELEDGE_MEMBERSHIP_MEMBER_H_
#define VALELEDGE_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "wire/generated/messages_types.h"

namespace valeledge::membership {

enum class member_health : std::int32_t { kAlive = 0, kSuspect = 1, kDead = 2 };

// Functions of a process, as bit flags.
enum role : std::int32_t {
  kGateway = 1,
  kScheduler = 2,
  kController = 4,
  // Has enough network bandwidth to read and relay large values for others.
  kHighBandwidth = 8,
};

using member = wire::member_record;

// Merges `received` into `known` and returns true if that changed `known`. A
// higher incarnation replaces the record. Within an incarnation, leaving is
// irrevocable and the higher health version takes precedence; at equal versions
// the worse health does. The merge is commutative, associative and idempotent.
bool Merge(member& known, const member& received);

// True if new work may be assigned to this process.
bool TakesWork(const member& each);

// Returns a hash of all fields that Merge compares.
std::uint64_t Digest(const member& each);

std::string_view ToString(member_health health);

}  // namespace valeledge::membership

#endif  // VALELEDGE_MEMBERSHIP_MEMBER_H_
