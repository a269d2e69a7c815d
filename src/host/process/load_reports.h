// SPDX-License-Identifier: MIT
// Reports this host's load and the demand of its callers to other hosts, and
// handles their reports.
#ifndef VALELEDGE_HOST_PROCESS_LOAD_REPORTS_H_
#define VALELEDGE_HOST_PROCESS_LOAD_REPORTS_H_

#include <memory>
#include <vector>

#include "host/process/host_core.h"
#include "host/process/peer_link.h"
#include "host/process/placement_controller.h"
#include "host/process/store_mirror.h"

namespace valeledge::host {

class load_reports {
 public:
  // All arguments must outlive the object.
  load_reports(host_core& core,
               peer_link& peers,
               store_mirror& mirror,
               placement_controller& placement)
      : core_(core), peers_(peers), mirror_(mirror), placement_(placement) {}

  // Reports the load at all servers; to be called several times a second.
  // `follows_store`: this host follows the store for its availability zone.
  void Report(bool follows_store);
  // Immediately reports the load at one server.
  void ReportUsage(const known_server& server);
  // Immediately reports the load at one server to the owner of its queue.
  void ReportToQueueOwner(const known_server& server);
  // Reports the load at servers whose queues this host owns, to all hosts or to
  // a random selection of them.
  void ReportQueues(const std::vector<std::shared_ptr<known_server>>& servers);
  // Number of hosts, chosen for a server, that receive its load immediately.
  std::size_t CountDirectRecipients(const known_server& server) const;

  // Handles a record of another host; returns false if it is not such a report.
  bool HandleRecord(const membership::direct_record& record);

 private:
  // Logs how many selections the separation of streams has changed.
  void LogSeparated(base::time_point now);

  host_core& core_;
  peer_link& peers_;
  store_mirror& mirror_;
  placement_controller& placement_;
  // Whether the last report contained the usage of any server.
  bool reported_any_usage_ = false;
  base::time_point separated_logged_at_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_LOAD_REPORTS_H_
