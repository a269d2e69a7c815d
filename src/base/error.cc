// SPDX-License-Identifier: MIT
#include "base/error.h"

#include <utility>

namespace valeledge::base {

tl::unexpected<error> NotRun(result_code code, std::string message) {
  return tl::make_unexpected(
      error{code, outcome::kNotRun, std::move(message), std::nullopt});
}

tl::unexpected<error> Unknown(result_code code, std::string message) {
  return tl::make_unexpected(
      error{code, outcome::kUnknown, std::move(message), std::nullopt});
}

}  // namespace valeledge::base
