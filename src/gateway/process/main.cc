// SPDX-License-Identifier: MIT
#include "gateway/process/gateway.h"
#include "node/daemon_main.h"

int main(int argc, char** argv) {
  using namespace valeledge::gateway;
  return valeledge::node::RunDaemon<gateway_settings, gateway>(
      argc, argv, "valeledge-gateway",
      "Serves callers: chat completions and plain services.");
}
