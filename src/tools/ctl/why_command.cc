// SPDX-License-Identifier: MIT
#include "tools/ctl/why_command.h"

#include <iostream>

#include "base/json.h"
#include "tools/ctl/status_command.h"

namespace valeledge::ctl {

exit_status RunWhy(const base::endpoint& admin,
                   const std::string& request,
                   std::chrono::microseconds timeout,
                   output_format format) {
  const auto status = ReadStatus(admin, timeout);
  if (!status)
    return Report(status.error());
  const boost::json::array* journal =
      base::ArrayField(*status, "recent_requests");
  listing out{{"time", "request", "partner", "model", "event", "server", "code",
               "detail"},
              {}};
  if (journal != nullptr) {
    for (const boost::json::value& each : *journal) {
      const boost::json::object* entry = each.if_object();
      if (entry == nullptr || base::StringField(*entry, "request") != request)
        continue;
      std::vector<std::string> fields;
      for (const std::string& name : out.header)
        fields.push_back(base::StringField(*entry, name));
      out.rows.push_back(std::move(fields));
    }
  }
  if (out.rows.empty()) {
    std::cerr << "this gateway remembers nothing of request " << request
              << "; ask the others, or look into the logs\n";
    return exit_status::kRefused;
  }
  Print(out, format);
  return exit_status::kOk;
}

}  // namespace valeledge::ctl
