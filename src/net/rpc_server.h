// SPDX-License-Identifier: MIT
// Answers calls that other processes of ours make through rpc_channel_set.
#ifndef VALELEDGE_NET_RPC_SERVER_H_
#define VALELEDGE_NET_RPC_SERVER_H_

#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/endpoint.h"
#include "base/error.h"
#include "base/memory_budget.h"
#include "wire/generated/messages_types.h"

namespace valeledge::net {

// Answers one call; the reply's call id is filled in by the server.
using rpc_handler =
    std::function<boost::asio::awaitable<wire::envelope>(wire::envelope)>;

// Accepts connections from other processes. Lives on the thread of its
// io_context.
class rpc_server {
 public:
  // `memory` bounds what frames hold that are being read or wait to be written;
  // if null, the server has a bound of its own.
  rpc_server(boost::asio::io_context& context,
             rpc_handler handler,
             std::shared_ptr<base::memory_budget> memory = nullptr);
  ~rpc_server();

  base::result<base::endpoint> Start(const base::endpoint& where);

  // Bytes of replies that wait to be sent, but for those on connections that
  // have taken none for a second: their other side may be gone.
  std::int64_t queued_bytes() const;

  std::int64_t bytes_sent() const;
  std::int64_t bytes_received() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace valeledge::net

#endif  // VALELEDGE_NET_RPC_SERVER_H_
