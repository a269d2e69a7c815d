// SPDX-License-Identifier: MIT
// Calls from one of our processes to another: Thrift frames on one
// connection, many calls outstanding at a time.
#ifndef VALELEDGE_NET_RPC_CHANNEL_H_
#define VALELEDGE_NET_RPC_CHANNEL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/endpoint.h"
#include "base/error.h"
#include "base/memory_budget.h"
#include "wire/generated/messages_types.h"

namespace valeledge::net {

// What has come in on a connection since a call was sent there.
struct reply_progress {
  std::chrono::steady_clock::time_point sent;
  std::int64_t bytes = 0;
  // When the last of it came; when the call was sent, if nothing did.
  std::chrono::steady_clock::time_point heard;
};

// Until when a reply is waited for, by what has come in so far; asked again at
// that time, and when more has come.
using reply_limit = std::function<std::chrono::steady_clock::time_point(
    const reply_progress& progress)>;

// Connections to other processes, made when first needed. Not thread-safe;
// lives on the thread of its io_context.
class rpc_channel_set {
 public:
  // `memory` bounds what frames hold that are being read or wait to be written;
  // if null, the channels have a bound of their own.
  explicit rpc_channel_set(
      boost::asio::io_context& context,
      std::shared_ptr<base::memory_budget> memory = nullptr);
  ~rpc_channel_set();

  // Sends `call` and waits for its reply; `timeout` includes the time to
  // connect. Any failure is kPeerUnreachable; its outcome is `not_run` if the
  // call never left this process.
  boost::asio::awaitable<base::result<wire::envelope>> Call(
      base::endpoint where,
      wire::envelope call,
      std::chrono::microseconds timeout);
  // The same, waiting as long as `limit` says.
  boost::asio::awaitable<base::result<wire::envelope>>
  Call(base::endpoint where, wire::envelope call, reply_limit limit);

  // Sends `call` without waiting for a reply; lost if the peer is gone.
  void Notify(const base::endpoint& where, const wire::envelope& call);

  // Closes the connection, so that replies which are not wanted any more are
  // not carried; calls that wait on it fail.
  void Drop(const base::endpoint& where);

  // Bytes sent and received by all channels so far.
  std::int64_t bytes_sent() const;
  std::int64_t bytes_received() const;

 private:
  struct channel;
  struct totals;

  std::shared_ptr<channel> Find(const base::endpoint& where);
  boost::asio::awaitable<base::result<wire::envelope>> Send(
      base::endpoint where,
      wire::envelope call,
      bool follows_parts,
      reply_limit limit);

  boost::asio::io_context& context_;
  const std::shared_ptr<base::memory_budget> memory_;
  std::shared_ptr<totals> totals_;
  std::map<base::endpoint, std::shared_ptr<channel>> channels_;
};

}  // namespace valeledge::net

#endif  // VALELEDGE_NET_RPC_CHANNEL_H_
