// SPDX-License-Identifier: MIT
// The life of a program: command line, settings, start, graceful shutdown.
#ifndef VALELEDGE_NODE_PROGRAM_H_
#define VALELEDGE_NODE_PROGRAM_H_

#include <functional>
#include <optional>
#include <string>

#include "base/error.h"
#include "node/node_settings.h"
#include "settings/schema.h"

namespace valeledge::node {

// Exit statuses of every program.
enum class exit_status : int {
  kOk = 0,
  // It could not start, or a shutdown was cut short.
  kFailed = 1,
  // The command line or the settings are wrong.
  kUsage = 2,
};

// What one program adds to the common life. All functions run on the main
// thread.
struct program {
  std::string name;
  std::string summary;
  // Keys of the program's own settings and the shared ones.
  settings::schema_builder schema;
  node_settings* shared = nullptr;
  // Starts serving; an error ends the program.
  std::function<base::result<void>()> start;
  // Announces leaving; new work is refused after the notice.
  std::function<void()> leave;
  std::function<void()> refuse_new_work;
  // Responds to all callers whose work is in flight, shortly before a stop is
  // cut short. If unset, there are none.
  std::function<void()> respond_to_all;
  // Whether no work is in flight any more.
  std::function<bool()> is_idle;
  std::function<void()> stop;
};

// Reads the command line (--config, --check-settings, --print-settings,
// --help, --version), runs the program until SIGTERM or SIGINT, and stops it
// gracefully: leaving is announced, work in flight ends, then it exits. A
// second signal or the stop deadline cuts that short. Returns the exit status.
int RunProgram(int argc, char** argv, program& spec);

// Prints faults of settings to standard error, one a line.
void PrintFaults(const std::vector<settings::fault>& faults);

}  // namespace valeledge::node

#endif  // VALELEDGE_NODE_PROGRAM_H_
