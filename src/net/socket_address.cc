// SPDX-License-Identifier: MIT
#include "net/socket_address.h"

#include <sys/socket.h>

#include <boost/asio/ip/address.hpp>

namespace valeledge::net {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

using reuse_port =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

}  // namespace

tcp::endpoint ToTcp(const base::endpoint& value) {
  return {asio::ip::make_address(value.address), value.port};
}

asio::ip::udp::endpoint ToUdp(const base::endpoint& value) {
  return {asio::ip::make_address(value.address), value.port};
}

base::endpoint FromTcp(const tcp::endpoint& value) {
  return {value.address().to_string(), value.port()};
}

base::result<tcp::acceptor> Listen(asio::io_context& context,
                                   const base::endpoint& where,
                                   bool shared) {
  tcp::acceptor acceptor(context);
  const tcp::endpoint address = ToTcp(where);
  boost::system::error_code failed;
  acceptor.open(address.protocol(), failed);
  if (!failed)
    acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
  if (!failed && shared)
    acceptor.set_option(reuse_port(true), failed);
  if (!failed)
    acceptor.bind(address, failed);
  if (!failed)
    acceptor.listen(asio::socket_base::max_listen_connections, failed);
  if (failed) {
    return base::NotRun(
        base::result_code::kSettingsInvalid,
        "cannot listen on " + base::ToString(where) + ": " + failed.message());
  }
  return acceptor;
}

}  // namespace valeledge::net
