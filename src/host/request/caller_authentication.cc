// SPDX-License-Identifier: MIT
#include "host/request/caller_authentication.h"

#include "host/constants.h"

namespace valeledge::host {

namespace {

using base::result_code;

base::error KeyNotFreshError() {
  auto out = base::MakeError(
      result_code::kKeyNotCertain, base::outcome::kNotRun,
      "this host cannot verify the key: its key data is not fresh");
  out.retry_after = kShortRetryAfter;
  return out;
}

}  // namespace

std::optional<base::error> AuthenticateCaller(const host_core& core,
                                              routed_request& routed) {
  const catalog::configuration& configuration = *routed.configuration;
  if (!configuration.needs_keys || routed.route->is_public)
    return std::nullopt;
  routed.workspace = configuration.FindWorkspace(routed.metadata.key);
  const auto age = decisions::DataAge(core.freshness, base::boot_clock::now());
  switch (decisions::CheckKey(routed.workspace != nullptr, age,
                              core.settings.keys)) {
    case decisions::key_verdict::kValid:
      return std::nullopt;
    case decisions::key_verdict::kUnknown:
      return base::MakeError(result_code::kUnknownKey, base::outcome::kNotRun,
                             "no workspace has this key");
    case decisions::key_verdict::kNotFresh:
      break;
  }
  return KeyNotFreshError();
}

}  // namespace valeledge::host
