// SPDX-License-Identifier: MIT
// Numbered result codes and the outcome of a request.
#ifndef VALELEDGE_BASE_RESULT_CODE_H_
#define VALELEDGE_BASE_RESULT_CODE_H_

#include <optional>
#include <span>
#include <string_view>

namespace valeledge::base {

// Every way a call can end. The numbers are stable across versions.
enum class result_code : int {
#define VALELEDGE_RESULT(name, number, status, advice) name = number,
#include "base/result_codes.inc"
#undef VALELEDGE_RESULT
};

// What the catalogue says about one code.
struct result_code_entry {
  result_code code;
  std::string_view name;
  int http_status;
  std::string_view advice;
};

// What became of a request or of one attempt at it.
enum class outcome : int { kCompleted = 0, kNotRun = 1, kUnknown = 2 };

// All codes in the order of their numbers.
std::span<const result_code_entry> ResultCodes();

// The catalogue's entry for a code; every enumerator has one.
const result_code_entry& Describe(result_code code);

// The code with this number; nothing if there is none.
std::optional<result_code> ResultCodeFromNumber(int number);

// The word that callers see: "completed", "not_run" or "unknown".
std::string_view ToString(outcome value);

}  // namespace valeledge::base

#endif  // VALELEDGE_BASE_RESULT_CODE_H_
