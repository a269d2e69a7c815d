// SPDX-License-Identifier: MIT
#include "controller/process/controller.h"
#include "node/daemon_main.h"

int main(int argc, char** argv) {
  using namespace valeledge::controller;
  return valeledge::node::RunDaemon<controller_settings, controller>(
      argc, argv, "valeledge-controller",
      "Places models on backend servers while it holds the lease.");
}
