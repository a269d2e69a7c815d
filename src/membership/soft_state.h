// SPDX-License-Identifier: MIT
// Records that their owners disseminate without consensus; the record with the
// highest stamp takes precedence.
#ifndef VALELEDGE_MEMBERSHIP_SOFT_STATE_H_
#define VALELEDGE_MEMBERSHIP_SOFT_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "wire/generated/messages_types.h"

namespace valeledge::membership {

using soft_record = wire::soft_record;

// Records by key. Of two records with equal stamps, the one with the greater
// value is kept, so that all processes converge to the same one.
struct soft_state {
  std::map<std::string, soft_record, std::less<>> records;
};

// Returns true if `received` replaced the known record.
bool Merge(soft_state& state, const soft_record& received);

// Sets a record that this process owns and returns it. Its stamp is higher than
// that of the known record and not below `now_us`, the host's clock in
// microseconds.
const soft_record& SetOwnRecord(soft_state& state,
                                const std::string& key,
                                std::string value,
                                std::int64_t now_us);

std::uint64_t Digest(const soft_record& record);

}  // namespace valeledge::membership

#endif  // VALELEDGE_MEMBERSHIP_SOFT_STATE_H_
