// SPDX-License-Identifier: MIT
// One request's trace from the log lines of all hosts.
#ifndef VALELEDGE_TOOLS_CTL_EXPLANATION_H_
#define VALELEDGE_TOOLS_CTL_EXPLANATION_H_

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

namespace valeledge::ctl {

// One line of a log: a JSON object, perhaps behind a prefix of whoever
// collected it.
struct log_line {
  // As written, UTC; sorts by time.
  std::string time;
  std::string prefix;
  boost::json::object fields;
};

// Reads what is a log line of ours; other lines are passed over.
std::vector<log_line> ReadLogLines(std::istream& in);

// The lines about a request, and those about its servers, the lease and the
// store from `seconds_before` its first line to its last, in the order of
// their times. Empty if no line names the request.
std::vector<log_line> Explain(const std::vector<log_line>& lines,
                              std::string_view request,
                              int seconds_before);

// What most probably became of the request, in one sentence, from the lines
// that Explain gave.
std::string Verdict(const std::vector<log_line>& trace,
                    std::string_view request);

}  // namespace valeledge::ctl

#endif  // VALELEDGE_TOOLS_CTL_EXPLANATION_H_
