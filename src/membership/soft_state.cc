// SPDX-License-Identifier: MIT
#include "membership/soft_state.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/identifier.h"

namespace valeledge::membership {

bool Merge(soft_state& state, const soft_record& received) {
  const auto found = state.records.find(received.key);
  if (found == state.records.end()) {
    state.records.emplace(received.key, received);
    return true;
  }
  soft_record& known = found->second;
  if (std::tie(received.stamp, received.value) <=
      std::tie(known.stamp, known.value))
    return false;
  known = received;
  return true;
}

const soft_record& SetOwnRecord(soft_state& state,
                                const std::string& key,
                                std::string value,
                                std::int64_t now_us) {
  soft_record& record = state.records[key];
  record.key = key;
  record.stamp = std::max(record.stamp + 1, now_us);
  record.value = std::move(value);
  return record;
}

std::uint64_t Digest(const soft_record& record) {
  return base::StableHash(record.key, static_cast<std::uint64_t>(record.stamp));
}

}  // namespace valeledge::membership
