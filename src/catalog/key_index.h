// SPDX-License-Identifier: MIT
// Finds the workspace that a caller's key belongs to.
#ifndef VALELEDGE_CATALOG_KEY_INDEX_H_
#define VALELEDGE_CATALOG_KEY_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "catalog/workspace.h"

namespace valeledge::catalog {

// All keys of a configuration, by a hash that differs from process to process:
// how long a search takes tells nothing of the keys.
class key_index {
 public:
  key_index() = default;
  explicit key_index(const std::vector<workspace>& workspaces);

  // The position of the workspace that has this key, whole; nothing if none
  // has. The empty key belongs to nobody.
  std::optional<std::size_t> Find(std::string_view key) const;

 private:
  struct entry {
    std::uint64_t hash = 0;
    std::size_t workspace = 0;
    std::string key;
  };

  // Sorted by hash.
  std::vector<entry> entries_;
};

}  // namespace valeledge::catalog

#endif  // VALELEDGE_CATALOG_KEY_INDEX_H_
