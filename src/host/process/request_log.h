// SPDX-License-Identifier: MIT
// Logs decisions about requests, one line each, with a bounded number of lines
// per second.
#ifndef VALELEDGE_HOST_PROCESS_REQUEST_LOG_H_
#define VALELEDGE_HOST_PROCESS_REQUEST_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>

#include "base/log_budget.h"
#include "base/logging.h"
#include "base/metrics.h"

namespace valeledge::host {

class request_log {
 public:
  explicit request_log(base::metrics& metrics) : metrics_(metrics) {}

  void Write(base::log_weight weight,
             base::log_event event,
             std::string_view request,
             std::initializer_list<base::log_field> fields);

  // Logs the number of lines omitted since the last call, if any.
  void LogOmittedLines();

 private:
  base::metrics& metrics_;
  base::log_budget budget_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_REQUEST_LOG_H_
