// SPDX-License-Identifier: MIT
// Facts that owners repeat and nobody agrees on; the highest stamp wins.
#ifndef VALELEDGE_MEMBERSHIP_SOFT_STATE_H_
#define VALELEDGE_MEMBERSHIP_SOFT_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "wire/generated/messages_types.h"

namespace valeledge::membership {

using soft_record = wire::soft_record;

// Records by key. A record with the same stamp as the one known loses to the
// greater value, so that every process keeps the same one.
struct soft_state {
  std::map<std::string, soft_record, std::less<>> records;
};

// True if `received` replaced what was known.
bool Merge(soft_state& state, const soft_record& received);

// Sets a record that this process owns: its stamp is above all known ones and
// not below `now_us`, microseconds of the host's clock. The record as set.
const soft_record& SetOwnRecord(soft_state& state,
                                const std::string& key,
                                std::string value,
                                std::int64_t now_us);

std::uint64_t Digest(const soft_record& record);

}  // namespace valeledge::membership

#endif  // VALELEDGE_MEMBERSHIP_SOFT_STATE_H_
