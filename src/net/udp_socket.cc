// SPDX-License-Identifier: MIT
#include "net/udp_socket.h"

#include <array>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/socket_address.h"

namespace valeledge::net {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Largest datagram of IPv4.
constexpr std::size_t kDatagramBytes = 65'507;

}  // namespace

struct udp_socket::state
    : public std::enable_shared_from_this<udp_socket::state> {
  state(asio::io_context& context, datagram_handler handler_in)
      : socket(context), handler(std::move(handler_in)) {}

  asio::awaitable<void> Receive();

  udp::socket socket;
  datagram_handler handler;
  std::array<char, kDatagramBytes> buffer;
  std::int64_t sent = 0;
  std::int64_t received = 0;
};

asio::awaitable<void> udp_socket::state::Receive() {
  const auto self = shared_from_this();
  while (socket.is_open()) {
    udp::endpoint from;
    const auto [failed, size] =
        co_await socket.async_receive_from(asio::buffer(buffer), from, kAwait);
    if (failed == asio::error::operation_aborted)
      co_return;
    if (failed)
      continue;
    received += static_cast<std::int64_t>(size);
    handler(std::string_view(buffer.data(), size),
            {from.address().to_string(), from.port()});
  }
}

udp_socket::udp_socket(asio::io_context& context, datagram_handler handler)
    : state_(std::make_shared<state>(context, std::move(handler))) {}

udp_socket::~udp_socket() {
  boost::system::error_code ignored;
  state_->socket.close(ignored);
}

base::result<base::endpoint> udp_socket::Start(const base::endpoint& where) {
  const udp::endpoint address = ToUdp(where);
  boost::system::error_code failed;
  state_->socket.open(address.protocol(), failed);
  if (!failed)
    state_->socket.bind(address, failed);
  if (!failed)
    state_->socket.non_blocking(true, failed);
  if (failed) {
    return base::NotRun(
        base::result_code::kSettingsInvalid,
        "cannot receive on " + base::ToString(where) + ": " + failed.message());
  }
  asio::co_spawn(state_->socket.get_executor(), state_->Receive(),
                 asio::detached);
  const udp::endpoint bound = state_->socket.local_endpoint();
  return base::endpoint{bound.address().to_string(), bound.port()};
}

void udp_socket::Send(const base::endpoint& where, std::string_view bytes) {
  boost::system::error_code failed;
  const std::size_t size =
      state_->socket.send_to(asio::buffer(bytes), ToUdp(where), 0, failed);
  if (!failed)
    state_->sent += static_cast<std::int64_t>(size);
}

std::int64_t udp_socket::bytes_sent() const {
  return state_->sent;
}

std::int64_t udp_socket::bytes_received() const {
  return state_->received;
}

}  // namespace valeledge::net
