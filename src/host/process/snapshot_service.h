// SPDX-License-Identifier: MIT
// Fetches newer copies of the store from peers for hosts that do not follow it
// themselves, and gives them to others.
#ifndef VALELEDGE_HOST_PROCESS_SNAPSHOT_SERVICE_H_
#define VALELEDGE_HOST_PROCESS_SNAPSHOT_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/endpoint.h"
#include "decisions/copy_fetches.h"
#include "host/process/host_core.h"
#include "host/process/peer_link.h"
#include "host/process/store_mirror.h"

namespace valeledge::host {

class snapshot_service {
 public:
  snapshot_service(host_core& core, store_mirror& mirror, peer_link& peers);

  // A peer, of this host's availability zone or not, has a newer copy.
  void OnNewerSnapshot(const base::endpoint& peer, bool same_zone);
  // This host has something newer than before, from a peer or the store.
  void OnRevisionAdvanced() { decisions::NoteCopy(fetches_); }
  // How long a newer copy has been known of that has not come.
  std::chrono::milliseconds StaleFor() const;
  // The reply to a peer that asks for this host's copy; tells it to ask another
  // if too much waits to be sent already.
  wire::envelope HandleRequest(const wire::mirror_request& request);

 private:
  boost::asio::awaitable<void> Fetch(base::endpoint peer);
  // How a fetch ends.
  enum class fetch_result {
    kApplied,
    // The peer has too much to send.
    kBusy,
    // Another peer's copy came first.
    kUnneeded,
    // The peer's copy cannot be read.
    kInvalid,
    kAbandoned,
  };
  static std::string MetricLabel(fetch_result result);
  // Takes in the reply to a call for what had changed since a revision.
  fetch_result ApplyReply(std::int64_t since,
                          const base::result<wire::envelope>& reply);
  // Ends what other peers were asked for, since one has given its copy.
  void CancelOtherFetches(const base::endpoint& source);
  // Logs and counts how the fetch from a peer has ended.
  void LogResult(const base::endpoint& peer,
                 std::int64_t since,
                 fetch_result result,
                 const base::result<wire::envelope>& reply);

  host_core& core_;
  store_mirror& mirror_;
  peer_link& peers_;
  decisions::copy_fetches fetches_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_SNAPSHOT_SERVICE_H_
