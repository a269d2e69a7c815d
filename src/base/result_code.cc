// SPDX-License-Identifier: MIT
#include "base/result_code.h"

#include <algorithm>
#include <array>

namespace valeledge::base {

namespace {

constexpr std::string_view WithoutPrefix(std::string_view name) {
  return name.substr(1);
}

constexpr auto kEntries = std::to_array<result_code_entry>({
#define VALELEDGE_RESULT(name, number, status, advice) \
  {result_code::name, WithoutPrefix(#name), status, advice},
#include "base/result_codes.inc"
#undef VALELEDGE_RESULT
});

}  // namespace

std::span<const result_code_entry> ResultCodes() {
  return kEntries;
}

const result_code_entry& Describe(result_code code) {
  return *std::ranges::find(kEntries, code, &result_code_entry::code);
}

std::optional<result_code> ResultCodeFromNumber(int number) {
  const auto code = static_cast<result_code>(number);
  const auto found =
      std::ranges::find(kEntries, code, &result_code_entry::code);
  if (found == kEntries.end())
    return std::nullopt;
  return code;
}

std::string_view ToString(outcome value) {
  switch (value) {
    case outcome::kCompleted:
      return "completed";
    case outcome::kNotRun:
      return "not_run";
    case outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace valeledge::base
