// SPDX-License-Identifier: MIT
// Reports crashes of servers under requests of this host to the quarantines,
// and tells these which requests and prompt parts have been served.
#ifndef VALELEDGE_HOST_PROCESS_CRASH_REPORTS_H_
#define VALELEDGE_HOST_PROCESS_CRASH_REPORTS_H_

#include <cstdint>

#include <boost/asio/awaitable.hpp>

#include "host/process/host_core.h"
#include "host/process/path_monitor.h"
#include "host/process/prompt_quarantine_coordinator.h"
#include "host/process/quarantine_coordinator.h"

namespace valeledge::host {

class crash_reports {
 public:
  // All arguments must outlive the object. The constructor installs the reports
  // in the core.
  crash_reports(host_core& core,
                const path_monitor& paths,
                quarantine_coordinator& quarantine,
                prompt_quarantine_coordinator& prompt_quarantine);

 private:
  // Reports a crash unless the path to the servers was lost.
  boost::asio::awaitable<void> ReportCrash(std::uint64_t digest,
                                           decisions::server_crash crash,
                                           decisions::prompt_parts parts);

  host_core& core_;
  const path_monitor& paths_;
  quarantine_coordinator& quarantine_;
  prompt_quarantine_coordinator& prompt_quarantine_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_CRASH_REPORTS_H_
