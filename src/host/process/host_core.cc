// SPDX-License-Identifier: MIT
#include "host/process/host_core.h"

namespace valeledge::host {

bool TakeRepeat(host_core& core, const std::string& service) {
  decisions::retry_limits limits;
  limits.ratio = core.settings.retry_ratio;
  limits.slack = static_cast<double>(core.settings.retry_slack);
  limits.window = core.settings.retry_window;
  limits.hosts = core.hosts;
  return decisions::TakeRepeat(core.retries[service], limits,
                               std::chrono::steady_clock::now());
}

}  // namespace valeledge::host
