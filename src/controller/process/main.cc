// SPDX-License-Identifier: MIT
#include <optional>

#include "controller/process/controller.h"
#include "node/program.h"

int main(int argc, char** argv) {
  using valeledge::controller::controller;
  valeledge::controller::controller_settings settings;
  std::optional<controller> process;
  valeledge::node::program spec;
  spec.name = "valeledge-controller";
  spec.summary = "Places models on backend servers while it holds the lease.";
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
