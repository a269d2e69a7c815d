// SPDX-License-Identifier: MIT
// Calls to a host to which no connection can be opened end within their time.
#include <chrono>
#include <cstddef>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include "net/rpc_channel.h"
#include "net/socket_address.h"

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using namespace valeledge;

// Drops attempts to connect, as a host without power does: its queue of
// connections is full.
class unreachable_host {
 public:
  explicit unreachable_host(asio::io_context& context)
      : acceptor_(context), first_(context) {
    acceptor_.open(asio::ip::tcp::v4());
    acceptor_.bind({asio::ip::address_v4::loopback(), 0});
    acceptor_.listen(0);
    first_.connect(acceptor_.local_endpoint());
  }
  base::endpoint where() const {
    return net::FromTcp(acceptor_.local_endpoint());
  }

 private:
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket first_;
};

constexpr std::size_t kCallsTogether = 6;

// Makes calls at the same time, and adds how long each took. Returns the number
// of handlers that ran meanwhile.
std::size_t CallTogether(asio::io_context& context,
                         net::rpc_channel_set& channels,
                         const base::endpoint& where,
                         std::chrono::milliseconds timeout,
                         std::vector<std::chrono::milliseconds>& took) {
  const auto begun = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < kCallsTogether; ++i) {
    auto one = [&]() -> asio::awaitable<void> {
      const auto reply =
          co_await channels.Call(where, wire::envelope(), timeout);
      BOOST_TEST(!reply);
      took.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::steady_clock::now() - begun));
      if (took.size() == kCallsTogether)
        context.stop();
    };
    asio::co_spawn(context, one, asio::detached);
  }
  return context.run_for(10s);
}

}  // namespace

// Guards against calls that wait one after another, half a second each, for a
// host that has lost power.
BOOST_AUTO_TEST_CASE(calls_to_a_host_without_power_end_within_their_time) {
  asio::io_context context(1);
  unreachable_host gone(context);
  net::rpc_channel_set channels(context);
  std::vector<std::chrono::milliseconds> took;
  const auto handlers =
      CallTogether(context, channels, gone.where(), 200ms, took);
  BOOST_TEST(took.size() == kCallsTogether);
  for (const auto each : took)
    BOOST_TEST(each.count() <= 250);
  // Guards against waits that wake each other in turn.
  BOOST_TEST(handlers < 200u);
}

BOOST_AUTO_TEST_CASE(calls_that_wait_for_a_connection_share_its_failure) {
  asio::io_context context(1);
  unreachable_host gone(context);
  net::rpc_channel_set channels(context);
  std::vector<std::chrono::milliseconds> took;
  const auto handlers = CallTogether(context, channels, gone.where(), 5s, took);
  BOOST_TEST(took.size() == kCallsTogether);
  for (const auto each : took)
    BOOST_TEST(each.count() <= 750);
  BOOST_TEST(handlers < 200u);
}
