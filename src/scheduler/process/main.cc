// SPDX-License-Identifier: MIT
#include "scheduler/process/scheduler.h"
#include "node/daemon_main.h"

int main(int argc, char** argv) {
  using namespace valeledge::scheduler;
  return valeledge::node::RunDaemon<scheduler_settings, scheduler>(
      argc, argv, "valeledge-scheduler",
      "Admits requests and chooses their backend servers.");
}
