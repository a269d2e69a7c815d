// SPDX-License-Identifier: MIT
#include "catalog/key_index.h"

#include <algorithm>
#include <random>

#include "base/identifier.h"

namespace valeledge::catalog {

namespace {

std::uint64_t HashOf(std::string_view key) {
  static const std::uint64_t seed = std::random_device{}();
  return base::StableHash(key, seed);
}

// Takes as long whichever byte differs.
bool IsSame(std::string_view one, std::string_view other) {
  if (one.size() != other.size())
    return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < one.size(); ++i)
    difference |= static_cast<unsigned char>(one[i] ^ other[i]);
  return difference == 0;
}

}  // namespace

key_index::key_index(const std::vector<workspace>& workspaces) {
  for (std::size_t i = 0; i < workspaces.size(); ++i) {
    for (const std::string& key : workspaces[i].keys)
      entries_.push_back({HashOf(key), i, key});
  }
  std::ranges::stable_sort(entries_, {}, &entry::hash);
}

std::optional<std::size_t> key_index::Find(std::string_view key) const {
  if (key.empty())
    return std::nullopt;
  const auto same_hash =
      std::ranges::equal_range(entries_, HashOf(key), {}, &entry::hash);
  for (const entry& each : same_hash) {
    if (IsSame(each.key, key))
      return each.workspace;
  }
  return std::nullopt;
}

}  // namespace valeledge::catalog
