// SPDX-License-Identifier: MIT
// What every program has: membership, the table, calls between processes,
// the platform, metrics and an admin address.
#ifndef VALELEDGE_NODE_NODE_H_
#define VALELEDGE_NODE_NODE_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "base/duty.h"
#include "base/metrics.h"
#include "membership/gossip.h"
#include "net/http_server.h"
#include "net/rpc_channel.h"
#include "net/rpc_server.h"
#include "net/udp_socket.h"
#include "node/node_settings.h"
#include "store/kv_client.h"
#include "table/table_store.h"

namespace valeledge::node {

// The members and soft records as of some moment, safe to keep.
struct member_view {
  std::vector<membership::member> members;
  std::map<std::string, membership::soft_record, std::less<>> records;
  // The scheduler of each cell of the table in force.
  std::map<std::string, membership::member, std::less<>> owners;
};

// Adds a program's own part to /status; called on the peers' thread.
using status_source = std::function<void(boost::json::object&)>;

// One process's part of the system. Threads: "peers" (gossip, calls between
// processes, admin address) and "platform" (the key-value service).
class node {
 public:
  node(node_settings settings, std::int32_t roles);
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  // Answers calls of other processes, on the peers' thread. Set before Start.
  void SetCallHandler(net::rpc_handler handler);
  void AddStatusSource(status_source source);

  // Listens; nothing is answered before Run.
  base::result<void> Start();
  // Starts the threads.
  void Run();
  // Stops the threads. No other thread may use the node any more.
  void Stop();

  // Announces leaving to the other members; from any thread.
  void AnnounceLeaving();
  // Repeats a soft record that this process owns; from any thread.
  void AnnounceRecord(std::string key, std::string value);

  // A program's own gauges, set before /metrics is answered.
  void AddGaugeSource(std::function<void(base::metrics&)> source);

  // The newest membership; from any thread.
  std::shared_ptr<const member_view> View() const;

  // Whether a table is in force and the process is not leaving.
  bool IsReady() const;
  bool IsLeaving() const { return leaving_.load(); }

  const node_settings& settings() const { return settings_; }
  const std::string& id() const { return settings_.id; }
  base::metrics& metrics() { return metrics_; }
  table::table_store& table() { return table_; }
  base::duty& peers() { return peers_; }
  base::duty& platform() { return platform_; }
  // To be used on the peers' thread.
  net::rpc_channel_set& channels() { return *channels_; }
  // To be used on the platform's thread.
  store::kv_client& key_value() { return *key_value_; }

  // Calls another process from the peers' thread.
  boost::asio::awaitable<base::result<wire::envelope>> CallPeer(
      base::endpoint where,
      wire::envelope call,
      std::chrono::microseconds timeout);
  // The same, waiting as long as `limit` says.
  boost::asio::awaitable<base::result<wire::envelope>>
  CallPeer(base::endpoint where, wire::envelope call, net::reply_limit limit);

 private:
  friend class table_sync;

  void HandleDatagram(std::string_view bytes, const base::endpoint& from);
  void Publish(membership::gossip_events events);
  void RefreshView();
  void FlushPeers();
  boost::asio::awaitable<void> TickLoop();
  boost::asio::awaitable<wire::envelope> HandleCall(wire::envelope call);
  boost::asio::awaitable<void> HandleAdmin(net::http_request& request,
                                           net::http_responder& responder);
  std::string RenderStatus();
  void UpdateGauges();

  node_settings settings_;
  base::metrics metrics_;
  table::table_store table_;
  base::duty peers_{"peers"};
  base::duty platform_{"platform"};
  std::mt19937_64 random_;
  membership::gossip_state gossip_;
  std::unique_ptr<net::udp_socket> datagrams_;
  std::unique_ptr<net::rpc_channel_set> channels_;
  std::unique_ptr<net::rpc_server> calls_;
  std::unique_ptr<net::http_server> admin_;
  std::unique_ptr<store::kv_client> key_value_;
  std::unique_ptr<class table_sync> sync_;
  std::unique_ptr<class host_watch> hosts_;
  net::rpc_handler handler_;
  std::vector<status_source> status_sources_;
  std::vector<std::function<void(base::metrics&)>> gauge_sources_;
  std::atomic<bool> leaving_ = false;
  // Whether the view lacks something; it is made anew at the next tick.
  bool view_outdated_ = false;
  // Whether owners must be assigned anew.
  bool owners_outdated_ = true;
  mutable std::mutex view_mutex_;
  std::shared_ptr<const member_view> view_;
};

}  // namespace valeledge::node

#endif  // VALELEDGE_NODE_NODE_H_
