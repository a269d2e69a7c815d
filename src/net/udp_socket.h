// SPDX-License-Identifier: MIT
// Datagrams between our processes.
#ifndef VALELEDGE_NET_UDP_SOCKET_H_
#define VALELEDGE_NET_UDP_SOCKET_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "base/endpoint.h"
#include "base/error.h"

namespace valeledge::net {

// Called for each datagram with its sender.
using datagram_handler =
    std::function<void(std::string_view bytes, const base::endpoint& from)>;

// Sends and receives datagrams; lives on the thread of its io_context.
class udp_socket {
 public:
  udp_socket(boost::asio::io_context& context, datagram_handler handler);
  ~udp_socket();

  base::result<base::endpoint> Start(const base::endpoint& where);

  // Sends at once; what the kernel does not take is lost, as datagrams are.
  void Send(const base::endpoint& where, std::string_view bytes);

  std::int64_t bytes_sent() const;
  std::int64_t bytes_received() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace valeledge::net

#endif  // VALELEDGE_NET_UDP_SOCKET_H_
