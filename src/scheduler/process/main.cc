// SPDX-License-Identifier: MIT
#include <optional>

#include "node/program.h"
#include "scheduler/process/scheduler.h"

int main(int argc, char** argv) {
  using valeledge::scheduler::scheduler;
  valeledge::scheduler::scheduler_settings settings;
  std::optional<scheduler> process;
  valeledge::node::program spec;
  spec.name = "valeledge-scheduler";
  spec.summary = "Admits requests and chooses their backend servers.";
  spec.schema = Describe(settings);
  spec.shared = &settings.shared;
  spec.start = [&] {
    process.emplace(settings);
    return process->Start();
  };
  spec.leave = [&] { process->Leave(); };
  spec.refuse_new_work = [&] { process->RefuseNewWork(); };
  spec.is_idle = [&] { return process->IsIdle(); };
  spec.stop = [&] { process->Stop(); };
  return valeledge::node::RunProgram(argc, argv, spec);
}
