// SPDX-License-Identifier: MIT
#include "tools/ctl/explain_command.h"

#include <fstream>
#include <iostream>
#include <iterator>

#include "tools/ctl/explanation.h"

namespace valeledge::ctl {

namespace {

// What hosts believed this long before the request is shown: changes reach
// every host within two seconds.
constexpr int kSecondsBefore = 3;

}  // namespace

exit_status RunExplain(const std::string& request,
                       const std::vector<std::string>& files) {
  std::vector<log_line> lines;
  if (files.empty())
    lines = ReadLogLines(std::cin);
  for (const std::string& name : files) {
    std::ifstream file(name);
    if (!file) {
      std::cerr << "valeledgectl: cannot open " << name << "\n";
      return exit_status::kUsage;
    }
    auto read = ReadLogLines(file);
    std::ranges::move(read, std::back_inserter(lines));
  }
  const auto trace = Explain(lines, request, kSecondsBefore);
  if (trace.empty()) {
    std::cerr << "no line names request " << request
              << ": its lines may have been left out (event 2008), or its host "
                 "never read it\n";
    return exit_status::kRefused;
  }
  for (const log_line& each : trace)
    std::cout << each.prefix << boost::json::serialize(each.fields) << "\n";
  std::cout << "verdict: " << Verdict(trace, request) << "\n";
  return exit_status::kOk;
}

}  // namespace valeledge::ctl
