// SPDX-License-Identifier: MIT
// This host among the others: who is there, what they have under way, and
// calls between them.
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
#include "host/host_settings.h"
#include "membership/gossip.h"
#include "net/rpc_channel.h"
#include "net/rpc_server.h"
#include "net/udp_socket.h"

namespace valeledge::host {

// What the owner of the link wants to know; runs on the host's thread.
struct peer_events {
  // Another host told this one a fact directly.
  std::function<void(const membership::direct_record& record)> told;
  // A member came, left or changed its health.
  std::function<void()> members;
  // A host that was not known before takes requests.
  std::function<void()> joined;
  // This peer's copy of the store is newer than ours; whether it is of this
  // host's availability zone.
  std::function<void(const base::endpoint& peer, bool same_zone)> newer_copy;
  net::rpc_handler call;
};

class peer_link {
 public:
  peer_link(boost::asio::io_context& context,
            const host_settings& settings,
            peer_events events);
  ~peer_link();

  base::result<void> Start();

  // Tells a fact of this host to others.
  void Tell(const std::string& key,
            std::string value,
            const membership::direct_recipients& audience);
  // Tells a fact to all other hosts: where there are many, to those of this
  // availability zone, and to some of each other zone, which hand it on.
  // `encode`: the value for those that hand it on, or for all others.
  void Broadcast(const std::string& key,
                 const std::function<std::string(bool hand_on)>& encode);
  // Tells a fact to all other hosts of this availability zone.
  void BroadcastInZone(const std::string& key, std::string value);
  // Whether this host is one of the `count` that are chosen for a subject,
  // among those of its availability zone or all; among those with the roles in
  // `prefers`, if there are any.
  enum class scope { kZone, kAll };
  bool IsChosen(const std::string& subject,
                std::size_t count,
                scope among,
                std::int32_t prefers = 0);
  // Addresses of those that are chosen for a subject among all, best first;
  // this host's own may be one.
  std::vector<base::endpoint> ChosenAddresses(const std::string& subject,
                                              std::size_t count,
                                              std::int32_t prefers = 0);
  // The address of the first that is chosen for a subject and that nobody takes
  // for dead or doubts; nothing if there is none.
  std::optional<base::endpoint> FirstSound(const std::string& subject,
                                           std::int32_t prefers);
  // A host did not answer in time, and is looked at next.
  void Doubt(const base::endpoint& where);
  void AnnounceLeaving();
  // This host's copy of the store has this revision.
  void AnnounceRevision(std::int64_t revision);

  // Asks peers at these addresses too when looking for others.
  void SetSeeds(const std::vector<base::endpoint>& seeds);

  bool KnowsOthers() const { return !gossip_.others.empty(); }
  // Hosts that take requests, this one included.
  std::int64_t CountServing() const;
  // Hosts that have been known lately, but for those that left by themselves;
  // and those that take requests as a part of them.
  std::int64_t CountKnown() const;
  double VisibleFraction() const;
  // Whether nobody who has not left is suspected or dead.
  bool IsWhole() const;
  // Names of hosts that were found dead since the last call.
  std::vector<std::string> TakeDead();

  boost::asio::awaitable<base::result<wire::envelope>> Call(
      base::endpoint where,
      wire::envelope call,
      std::chrono::microseconds timeout);
  // Asks for a copy of the store, on a connection of its own: short calls do
  // not wait behind it, and what is left of one that is given up is not
  // carried.
  boost::asio::awaitable<base::result<wire::envelope>> CallForCopy(
      base::endpoint where,
      wire::envelope call,
      net::reply_limit limit);
  // The copy that a peer was asked for is not wanted any more.
  void DropCopy(const base::endpoint& where);
  // Bytes of replies that wait to be sent to other hosts.
  std::int64_t QueuedBytes() const { return calls_.queued_bytes(); }

  std::int64_t bytes() const;
  // Bytes of datagrams sent so far, by the kind of what they tell.
  const std::map<std::string, std::int64_t>& told_bytes() const {
    return told_bytes_;
  }

 private:
  void SendToRelays(const std::string& key, const std::string& value);
  void Receive(std::string_view bytes, const base::endpoint& from);
  void Publish(membership::gossip_events events);
  boost::asio::awaitable<void> TickLoop();

  boost::asio::io_context& context_;
  base::endpoint listen_;
  std::vector<base::endpoint> first_seeds_;
  peer_events events_;
  std::mt19937_64 random_{std::random_device{}()};
  membership::gossip_state gossip_;
  net::udp_socket datagrams_;
  net::rpc_channel_set channels_;
  net::rpc_channel_set copies_;
  net::rpc_server calls_;
  std::vector<std::string> dead_;
  std::int64_t serving_ = 1;
  std::map<std::string, std::int64_t> told_bytes_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_PEER_LINK_H_
