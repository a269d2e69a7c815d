// SPDX-License-Identifier: MIT
// HTTP server for callers on one thread.
#ifndef VALELEDGE_GATEWAY_PROCESS_CALLER_FRONTEND_H_
#define VALELEDGE_GATEWAY_PROCESS_CALLER_FRONTEND_H_

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <string>

#include "base/duty.h"
#include "gateway/process/gateway_settings.h"
#include "gateway/process/grant_client.h"
#include "gateway/process/request_journal.h"
#include "gateway/process/retry_budgets.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "node/node.h"

namespace valeledge::gateway {

// State shared by the threads of a gateway.
struct gateway_shared {
  gateway_shared(gateway_settings settings_in, std::int32_t roles)
      : settings(std::move(settings_in)),
        node(settings.shared, roles),
        grants(node, settings.routing) {}

  gateway_settings settings;
  node::node node;
  grant_client grants;
  retry_budgets budgets;
  request_journal journal;
  // Set when the gateway shuts down: new requests are refused.
  std::atomic<bool> refuses_requests = false;
};

// Accepts connections from callers and serves their requests on its own thread.
class caller_frontend {
 public:
  caller_frontend(gateway_shared& shared, int number);
  ~caller_frontend();

  base::result<void> Start();
  // Stops accepting connections. Thread-safe.
  void Drain();
  // Responds to all requests in progress: their outcome is unknown. Streams
  // that have begun are broken off. Thread-safe.
  void RespondToAll();
  // Number of requests in progress. Thread-safe.
  std::int64_t active() const { return active_.load(); }
  void Stop();

  gateway_shared& shared() { return shared_; }
  net::http_client& http() { return *http_; }
  std::mt19937_64& random() { return random_; }
  const gateway_settings& settings() const { return shared_.settings; }
  base::metrics& metrics() { return shared_.node.metrics(); }

  // Runs `work` on the node's peer thread; fails if its queue is full.
  template <typename value_type, typename work_type>
  boost::asio::awaitable<base::result<value_type>> RunOnPeerThread(
      work_type work) {
    auto value = co_await base::RunOn<base::result<value_type>>(
        shared_.node.peers(), std::move(work));
    if (!value) {
      co_return base::NotRun(base::result_code::kRingFull,
                             "the queue of the peer thread is full");
    }
    co_return std::move(*value);
  }

 private:
  boost::asio::awaitable<void> Handle(net::http_request& request,
                                      net::http_responder& responder);
  boost::asio::awaitable<void> Dispatch(net::http_request& request,
                                        net::http_responder& responder,
                                        std::string_view path);
  std::string RenderModels() const;

  gateway_shared& shared_;
  base::duty thread_;
  std::unique_ptr<net::http_client> http_;
  std::unique_ptr<net::http_server> server_;
  std::mt19937_64 random_{std::random_device{}()};
  std::atomic<std::int64_t> active_ = 0;
  // Each ends one request in progress with a response of the gateway.
  std::list<std::function<void()>> final_responses_;
};

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_PROCESS_CALLER_FRONTEND_H_
