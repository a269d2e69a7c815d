// SPDX-License-Identifier: MIT
#include "base/error.h"

#include <utility>

namespace valeledge::base {

error MakeError(result_code code, outcome what_ran, std::string message) {
  return {code, what_ran, std::move(message), std::nullopt};
}

tl::unexpected<error> NotRun(result_code code, std::string message) {
  return tl::make_unexpected(
      MakeError(code, outcome::kNotRun, std::move(message)));
}

tl::unexpected<error> Unknown(result_code code, std::string message) {
  return tl::make_unexpected(
      MakeError(code, outcome::kUnknown, std::move(message)));
}

}  // namespace valeledge::base
