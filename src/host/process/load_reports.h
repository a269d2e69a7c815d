// SPDX-License-Identifier: MIT
// Tells other hosts what this one has under way and what its callers ask for,
// and takes in the same of others.
#ifndef VALELEDGE_HOST_PROCESS_LOAD_REPORTS_H_
#define VALELEDGE_HOST_PROCESS_LOAD_REPORTS_H_

#include "host/process/host_core.h"
#include "host/process/peer_link.h"
#include "host/process/placement_controller.h"
#include "host/process/store_mirror.h"

namespace valeledge::host {

class load_reports {
 public:
  // All must outlive the reports.
  load_reports(host_core& core,
               peer_link& peers,
               store_mirror& mirror,
               placement_controller& placement)
      : core_(core), peers_(peers), mirror_(mirror), placement_(placement) {}

  // Reports all that is under way here; call several times a second.
  // `follows_store`: this host follows the store for its availability zone.
  void Report(bool follows_store);
  // Reports at once what is under way at one server.
  void ReportUsage(const known_server& server);

  // Takes in a record of another host; false if it is no such report.
  bool HandleRecord(const membership::direct_record& record);

 private:
  host_core& core_;
  peer_link& peers_;
  store_mirror& mirror_;
  placement_controller& placement_;
  // Whether the last report told of any use of servers.
  bool reported_any_usage_ = false;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_LOAD_REPORTS_H_
