// SPDX-License-Identifier: MIT
// Between the project's endpoint and Boost.Asio's.
#ifndef VALELEDGE_NET_SOCKET_ADDRESS_H_
#define VALELEDGE_NET_SOCKET_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "base/endpoint.h"
#include "base/error.h"

namespace valeledge::net {

// The same address for Asio. `value` came from ParseEndpoint.
boost::asio::ip::tcp::endpoint ToTcp(const base::endpoint& value);
boost::asio::ip::udp::endpoint ToUdp(const base::endpoint& value);

// The address of an Asio endpoint.
base::endpoint FromTcp(const boost::asio::ip::tcp::endpoint& value);

// An acceptor that listens on `where`; `shared` lets several threads of one
// process listen on the same port.
base::result<boost::asio::ip::tcp::acceptor> Listen(
    boost::asio::io_context& context,
    const base::endpoint& where,
    bool shared);

}  // namespace valeledge::net

#endif  // VALELEDGE_NET_SOCKET_ADDRESS_H_
