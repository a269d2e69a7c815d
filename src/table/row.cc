// SPDX-License-Identifier: MIT
#include "table/row.h"

#include <algorithm>
#include <array>
#include <utility>

namespace valeledge::table {

namespace {

constexpr std::array<std::pair<row_kind, std::string_view>, 5> kKinds = {{
    {row_kind::kPartner, "partner"},
    {row_kind::kModel, "model"},
    {row_kind::kAdapter, "adapter"},
    {row_kind::kService, "service"},
    {row_kind::kServer, "server"},
}};

}  // namespace

std::string_view ToString(row_kind kind) {
  return std::ranges::find(kKinds, kind,
                           [](const auto& each) { return each.first; })
      ->second;
}

std::optional<row_kind> ParseRowKind(std::string_view text) {
  const auto found = std::ranges::find(
      kKinds, text, [](const auto& each) { return each.second; });
  if (found == kKinds.end())
    return std::nullopt;
  return found->first;
}

std::string KeyOf(const row& value) {
  return std::string(ToString(value.kind)) + "/" + value.name;
}

std::string ArtifactOf(const row& value) {
  return KeyOf(value) + "@" + value.version;
}

}  // namespace valeledge::table
