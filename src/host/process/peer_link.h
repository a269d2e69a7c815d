// SPDX-License-Identifier: MIT
// Connects this host with the others: membership, published records and remote
// calls.
#ifndef VALELEDGE_HOST_PROCESS_PEER_LINK_H_
#define VALELEDGE_HOST_PROCESS_PEER_LINK_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/endpoint.h"
#include "base/error.h"
#include "base/memory_budget.h"
#include "host/host_settings.h"
#include "membership/gossip.h"
#include "net/rpc_channel.h"
#include "net/rpc_server.h"
#include "net/udp_socket.h"

namespace valeledge::host {

// Event handlers of the link's owner; called on the host's thread.
struct peer_events {
  // A record was received directly from another host.
  std::function<void(const membership::direct_record& record)> record_received;
  // A member joined, left or changed its health.
  std::function<void()> members_changed;
  // A host that was not known before accepts requests.
  std::function<void()> host_joined;
  // A peer has a newer snapshot of the store. `same_zone`: it is in this host's
  // availability zone.
  std::function<void(const base::endpoint& peer, bool same_zone)>
      newer_snapshot;
  net::rpc_handler call;
};

class peer_link {
 public:
  // `memory` bounds what frames from and to other hosts hold.
  peer_link(boost::asio::io_context& context,
            const host_settings& settings,
            peer_events events,
            const std::shared_ptr<base::memory_budget>& memory);
  ~peer_link();

  base::result<void> Start();

  // Sends a record of this host to the recipients.
  void Send(const std::string& key,
            std::string value,
            const membership::direct_recipients& recipients);
  // Sends a record to all other hosts. In a large fleet it is sent to the hosts
  // of this availability zone and to some relays in each other zone, which
  // forward it. `encode` returns the value for the relays if `hand_on`,
  // otherwise the value for all other hosts.
  void Broadcast(const std::string& key,
                 const std::function<std::string(bool hand_on)>& encode);
  // The same for records that many hosts send often: in a large fleet one relay
  // in each other zone is selected at random each time, so that all hosts
  // forward equally.
  void BroadcastEvenly(const std::string& key,
                       const std::function<std::string(bool hand_on)>& encode);
  // Sends a record to all other hosts of this availability zone.
  void BroadcastInZone(const std::string& key, std::string value);
  // Whether this host is among the `count` hosts chosen for a subject, within
  // its availability zone or the whole fleet. Hosts with the preferred roles
  // are chosen from if there are any.
  enum class scope { kZone, kAll };
  bool IsChosen(const std::string& subject,
                std::size_t count,
                scope among,
                std::int32_t preferred_roles = 0);
  // Addresses of the hosts chosen for a subject from the whole fleet, best
  // first; may include this host's own.
  std::vector<base::endpoint> ChosenAddresses(const std::string& subject,
                                              std::size_t count,
                                              std::int32_t preferred_roles = 0);
  // Address of the first host chosen for a subject that is neither suspected
  // nor dead. Returns nothing if there is none.
  std::optional<base::endpoint> FirstHealthy(const std::string& subject,
                                             std::int32_t preferred_roles);
  // Returns up to `count` other hosts that accept requests, selected at random
  // from this host's availability zone or from all others.
  std::vector<base::endpoint> SampleServing(bool same_zone, std::size_t count);
  // Probes a host next, because it did not respond in time.
  void Suspect(const base::endpoint& where);
  void AnnounceLeaving();
  // Publishes the revision of this host's mirror.
  void AnnounceRevision(std::int64_t revision);

  // Sets additional addresses that are contacted to discover other hosts.
  void SetSeeds(const std::vector<base::endpoint>& seeds);

  bool KnowsOthers() const { return !gossip_.others.empty(); }
  // Number of hosts that accept requests, including this one.
  std::int64_t CountServing() const;
  // CountKnown is the number of recently known hosts, without those that left
  // by themselves. VisibleFraction is the fraction of them that accepts
  // requests.
  std::int64_t CountKnown() const;
  double VisibleFraction() const;
  // Whether no host is suspected or dead, apart from those that have left.
  bool AreAllHealthy() const;
  // Returns the names of the hosts found dead since the last call.
  std::vector<std::string> TakeDeadHosts();

  boost::asio::awaitable<base::result<wire::envelope>> Call(
      base::endpoint where,
      wire::envelope call,
      std::chrono::microseconds timeout);
  // Requests a snapshot of the store on a separate connection, so that short
  // calls do not queue behind it and closing the connection cancels the rest of
  // an abandoned transfer.
  boost::asio::awaitable<base::result<wire::envelope>> CallForSnapshot(
      base::endpoint where,
      wire::envelope call,
      net::reply_limit limit);
  // Cancels a requested snapshot.
  void CancelSnapshot(const base::endpoint& where);
  // Size of the replies that are queued for other hosts.
  std::int64_t QueuedBytes() const { return calls_.queued_bytes(); }

  std::int64_t bytes() const;
  // Number of calls that took longer than their time allowed.
  std::int64_t overrun_calls() const { return overrun_calls_; }
  // Size of the datagrams sent so far, by record key.
  const std::map<std::string, std::int64_t>& sent_bytes() const {
    return sent_bytes_;
  }

 private:
  // Sends a record to `count` relays in each other availability zone, selected
  // for `subject`, or at random if it is empty.
  void SendToRelays(const std::string& key,
                    const std::string& value,
                    std::size_t count,
                    const std::string& subject);
  void Receive(std::string_view bytes, const base::endpoint& from);
  void Dispatch(membership::gossip_events events);
  boost::asio::awaitable<void> TickLoop();

  boost::asio::io_context& context_;
  base::endpoint listen_;
  std::vector<base::endpoint> configured_seeds_;
  peer_events events_;
  std::mt19937_64 random_{std::random_device{}()};
  membership::gossip_state gossip_;
  net::udp_socket datagrams_;
  std::int64_t overrun_calls_ = 0;
  net::rpc_channel_set channels_;
  net::rpc_channel_set snapshot_channels_;
  net::rpc_server calls_;
  std::vector<std::string> dead_hosts_;
  std::int64_t serving_ = 1;
  std::map<std::string, std::int64_t> sent_bytes_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_PEER_LINK_H_
