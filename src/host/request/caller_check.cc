// SPDX-License-Identifier: MIT
#include "host/request/caller_check.h"

#include "host/constants.h"

namespace valeledge::host {

namespace {

using base::result_code;

base::error NotCertain() {
  auto out =
      base::MakeError(result_code::kKeyNotCertain, base::outcome::kNotRun,
                      "this host cannot tell now whether the key is good");
  out.retry_after = kShortComeBack;
  return out;
}

}  // namespace

std::optional<base::error> CheckCaller(const host_core& core,
                                       routed_request& routed) {
  const catalog::configuration& known = *routed.configuration;
  if (!known.needs_keys || routed.route->is_public)
    return std::nullopt;
  routed.workspace = known.FindWorkspace(routed.head.key);
  const auto age = decisions::AgeOf(core.freshness, base::boot_clock::now());
  switch (decisions::JudgeKey(routed.workspace != nullptr, age,
                              core.settings.keys)) {
    case decisions::key_verdict::kGood:
      return std::nullopt;
    case decisions::key_verdict::kUnknown:
      return base::MakeError(result_code::kUnknownKey, base::outcome::kNotRun,
                             "no workspace has this key");
    case decisions::key_verdict::kNotCertain:
      break;
  }
  return NotCertain();
}

}  // namespace valeledge::host
