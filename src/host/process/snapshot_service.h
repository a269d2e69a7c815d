// SPDX-License-Identifier: MIT
// Fetches newer snapshots of the store from peers if this host does not follow
// the store itself, and serves snapshots to peers.
#ifndef VALELEDGE_HOST_PROCESS_SNAPSHOT_SERVICE_H_
#define VALELEDGE_HOST_PROCESS_SNAPSHOT_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/endpoint.h"
#include "decisions/snapshot_fetches.h"
#include "host/process/host_core.h"
#include "host/process/peer_link.h"
#include "host/process/store_mirror.h"

namespace valeledge::host {

class snapshot_service {
 public:
  snapshot_service(host_core& core, store_mirror& mirror, peer_link& peers);

  // A peer has announced a newer snapshot. `same_zone`: it is in this host's
  // availability zone.
  void OnNewerSnapshot(const base::endpoint& peer, bool same_zone);
  // The mirror has reached a newer revision, from a peer or the store.
  void OnRevisionAdvanced() { decisions::RecordSnapshot(fetches_); }
  // For how long a newer snapshot has been known without being received.
  std::chrono::milliseconds StaleFor() const;
  // Returns a snapshot, or a refusal if too much data is already queued for
  // peers; the peer then tries another host.
  wire::envelope HandleRequest(const wire::mirror_request& request);

 private:
  boost::asio::awaitable<void> Fetch(base::endpoint peer);
  // Result of a fetch.
  enum class fetch_result {
    kApplied,
    // The peer has too much data queued.
    kBusy,
    // A snapshot of another peer was received first.
    kUnneeded,
    // The snapshot cannot be decoded.
    kInvalid,
    kAbandoned,
  };
  static std::string MetricLabel(fetch_result result);
  // Applies the reply to a request for the changes since a revision.
  fetch_result ApplyReply(std::int64_t since,
                          const base::result<wire::envelope>& reply);
  // Cancels the other fetches after `source` has sent its snapshot.
  void CancelOtherFetches(const base::endpoint& source);
  // Logs and counts the result of a fetch.
  void LogResult(const base::endpoint& peer,
                 std::int64_t since,
                 fetch_result result,
                 const base::result<wire::envelope>& reply);

  host_core& core_;
  store_mirror& mirror_;
  peer_link& peers_;
  decisions::snapshot_fetches fetches_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_SNAPSHOT_SERVICE_H_
