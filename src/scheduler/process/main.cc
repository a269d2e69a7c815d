// SPDX-License-Identifier: MIT
#include "node/daemon_main.h"
#include "scheduler/process/scheduler.h"

int main(int argc, char** argv) {
  using namespace valeledge::scheduler;
  return valeledge::node::RunDaemon<scheduler_settings, scheduler>(
      argc, argv, "valeledge-scheduler",
      "Admits requests and chooses their backend servers.");
}
