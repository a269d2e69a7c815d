// SPDX-License-Identifier: MIT
// The error type that every fallible function of this project returns.
#ifndef VALELEDGE_BASE_ERROR_H_
#define VALELEDGE_BASE_ERROR_H_

#include <chrono>
#include <optional>
#include <string>

#include <tl/expected.hpp>

#include "base/result_code.h"

namespace valeledge::base {

// A numbered code, what happened to the work, and a sentence about this case.
struct error {
  result_code code = result_code::kOk;
  outcome what_ran = outcome::kNotRun;
  std::string message;
  // When coming back helps: how long to wait first.
  std::optional<std::chrono::milliseconds> retry_after;
  // The other side closed or reset the connection once the request was handed
  // over: no time ran out, and nothing damaged came.
  bool connection_lost = false;
};

// A value, or the error that kept it from being had.
template <typename value_type>
using result = tl::expected<value_type, error>;

// An error value. Coroutines use this rather than braces: g++ 12 destroys
// braced temporaries of a co_await expression twice.
error MakeError(result_code code, outcome what_ran, std::string message);

// An error after which the work certainly did not run.
tl::unexpected<error> NotRun(result_code code, std::string message);

// An error after which the work may have run.
tl::unexpected<error> Unknown(result_code code, std::string message);

}  // namespace valeledge::base

#endif  // VALELEDGE_BASE_ERROR_H_
