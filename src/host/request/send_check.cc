// SPDX-License-Identifier: MIT
#include "host/request/send_check.h"

#include <chrono>
#include <string_view>

namespace valeledge::host {

namespace {

std::string_view NameOf(send_block block) {
  switch (block) {
    case send_block::kLeaving:
      return "leaving";
    case send_block::kEvacuated:
      return "evacuated";
    case send_block::kBackoff:
      return "backoff";
    case send_block::kNone:
      break;
  }
  return "none";
}

}  // namespace

base::result<void> CheckSend(host_core& core, const known_server& server) {
  const send_block block = server.SendBlock(std::chrono::steady_clock::now());
  if (block == send_block::kNone)
    return {};
  core.metrics.Counter("valeledge_sends_withheld_total", NameOf(block)).Add();
  return base::NotRun(block == send_block::kBackoff
                          ? base::result_code::kServerBackoff
                          : base::result_code::kNoBackendServer,
                      "the backend server takes no requests now");
}

bool WasWithheld(const base::error& failed) {
  return failed.code == base::result_code::kNoBackendServer ||
         failed.code == base::result_code::kServerBackoff ||
         failed.code == base::result_code::kQuarantined;
}

}  // namespace valeledge::host
