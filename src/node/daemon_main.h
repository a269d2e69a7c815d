// SPDX-License-Identifier: MIT
// The main function of a program whose process has Start, Leave,
// RefuseNewWork, IsIdle and Stop; and RespondToAll, if it serves callers.
#ifndef VALELEDGE_NODE_DAEMON_MAIN_H_
#define VALELEDGE_NODE_DAEMON_MAIN_H_

#include <optional>
#include <string>
#include <utility>

#include "node/program.h"

namespace valeledge::node {

// Runs a process of the given type with its settings; returns the exit status.
template <typename settings_type, typename process_type>
int RunDaemon(int argc, char** argv, std::string name, std::string summary) {
  settings_type settings;
  std::optional<process_type> process;
  program spec;
  spec.name = std::move(name);
  spec.summary = std::move(summary);
  spec.schema = Describe(settings);
  spec.shared = &settings.shared;
  spec.start = [&] {
    process.emplace(settings);
    return process->Start();
  };
  spec.leave = [&] { process->Leave(); };
  spec.refuse_new_work = [&] { process->RefuseNewWork(); };
  if constexpr (requires { process->RespondToAll(); })
    spec.respond_to_all = [&] { process->RespondToAll(); };
  spec.is_idle = [&] { return process->IsIdle(); };
  spec.stop = [&] { process->Stop(); };
  return RunProgram(argc, argv, spec);
}

}  // namespace valeledge::node

#endif  // VALELEDGE_NODE_DAEMON_MAIN_H_
