// SPDX-License-Identifier: MIT
// What valeledgectl prints: tables for people, JSON and CSV for programs.
#ifndef VALELEDGE_TOOLS_CTL_OUTPUT_H_
#define VALELEDGE_TOOLS_CTL_OUTPUT_H_

#include <string>
#include <vector>

#include "base/error.h"

namespace valeledge::ctl {

enum class output_format { kTable, kJson, kCsv };

// Exit statuses of valeledgectl.
enum class exit_status : int {
  kOk = 0,
  // Refused: the table would break a rule, or another operator was first.
  kRefused = 1,
  // The command line is wrong.
  kUsage = 2,
  // The platform or a process did not answer; nothing was changed.
  kUnavailable = 3,
  // The answer was lost; the change may have been accepted.
  kUnknown = 4,
};

// A header and rows of the same length.
struct listing {
  std::vector<std::string> header;
  std::vector<std::vector<std::string>> rows;
};

// Prints a listing to standard output.
void Print(const listing& value, output_format format);

// Prints an error to standard error; the exit status that goes with it.
exit_status Report(const base::error& failed);

}  // namespace valeledge::ctl

#endif  // VALELEDGE_TOOLS_CTL_OUTPUT_H_
