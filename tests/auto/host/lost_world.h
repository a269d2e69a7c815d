// SPDX-License-Identifier: MIT
// Test fixture: a host that reaches no backend server, and another one that
// does.
#ifndef VALELEDGE_TESTS_AUTO_HOST_LOST_WORLD_H_
#define VALELEDGE_TESTS_AUTO_HOST_LOST_WORLD_H_

#include <chrono>
#include <memory>
#include <utility>
#include <vector>

#include "host/process/path_monitor.h"
#include "net/http_server.h"
#include "relay_world.h"

namespace valeledge::test {

// Port 1 of loopback refuses connections.
inline const base::endpoint kRefusing{"127.0.0.1", 1};

// `far_relay_port`: where a host of another availability zone accepts requests;
// 0 if there is none.
inline host::path_callbacks PathCallbacks(relay_world& other,
                                          std::uint16_t& relay_port,
                                          std::uint16_t& far_relay_port) {
  host::path_callbacks callbacks;
  callbacks.sample_peers = [&far_relay_port](bool same_zone, std::size_t) {
    std::vector<base::endpoint> peers;
    if (same_zone)
      peers.emplace_back("127.0.0.1", 2);
    else if (far_relay_port != 0)
      peers.emplace_back("127.0.0.1", 3);
    return peers;
  };
  callbacks.call = [&other, &relay_port, &far_relay_port](
                       base::endpoint peer, wire::envelope call,
                       std::chrono::microseconds)
      -> boost::asio::awaitable<base::result<wire::envelope>> {
    const auto path = co_await other.core->paths->HandleRequest(
        std::move(call.path_wanted),
        peer.port == 2 ? relay_port : far_relay_port);
    wire::envelope reply;
    reply.__set_path(path);
    co_return reply;
  };
  return callbacks;
}

// `cut` has addresses that refuse connections for the servers that `other`
// reaches.
struct lost_world {
  lost_world() {
    cut.core->paths = &cut_paths;
    other.core->paths = &other_paths;
    cut.AddServer("i-1", kRefusing);
    cut.AddServer("i-2", kRefusing);
    other.AddServer("i-1", other.first.address());
    other.AddServer("i-2", other.second.address());
    other.core->configuration =
        std::make_shared<const catalog::configuration>(other.configuration);
    const auto started = relays.Start({"127.0.0.1", 0});
    relay_port = started->port;
  }

  // The caller may have the whole response before `other` has ended the
  // request, which refers to its host.
  ~lost_world() {
    while (relays.active_requests() + far_relays.active_requests() > 0 &&
           loop->run_one_for(std::chrono::seconds(20)) > 0) {
    }
  }

  // Requests can be sent through `other` as if it were another host.
  void AddFarRelay() {
    far_relay_port = far_relays.Start({"127.0.0.1", 0})->port;
  }

  std::size_t ServerRequests() const {
    return other.first.requests.size() + other.second.requests.size();
  }

  std::shared_ptr<boost::asio::io_context> loop =
      std::make_shared<boost::asio::io_context>(1);
  relay_world cut{loop};
  relay_world other{loop};
  std::uint16_t relay_port = 0;
  std::uint16_t far_relay_port = 0;
  host::path_monitor cut_paths{
      *cut.core, PathCallbacks(other, relay_port, far_relay_port)};
  host::path_monitor other_paths{
      *other.core, PathCallbacks(cut, relay_port, far_relay_port)};
  net::http_handler relay = [this](net::http_request& request,
                                   net::http_responder& responder) {
    last_relayed = request;
    return host::RelayRequest(*other.core, request, responder,
                              host::request_origin::kPeer);
  };
  net::http_server relays{*loop, {}, relay, [](const base::error&) {
                            return net::http_response();
                          }};
  net::http_server far_relays{*loop, {}, relay, [](const base::error&) {
                                return net::http_response();
                              }};
  net::http_request last_relayed;
};

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_HOST_LOST_WORLD_H_
