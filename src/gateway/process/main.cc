// SPDX-License-Identifier: MIT
#include <optional>

#include "gateway/process/gateway.h"
#include "node/program.h"

int main(int argc, char** argv) {
  using valeledge::gateway::gateway;
  valeledge::gateway::gateway_settings settings;
  std::optional<gateway> process;
  valeledge::node::program spec;
  spec.name = "valeledge-gateway";
  spec.summary = "Serves callers: chat completions and plain services.";
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
