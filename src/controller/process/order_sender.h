// SPDX-License-Identifier: MIT
// Sends recorded orders to model engines and brings their answers back.
#ifndef VALELEDGE_CONTROLLER_PROCESS_ORDER_SENDER_H_
#define VALELEDGE_CONTROLLER_PROCESS_ORDER_SENDER_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/duty.h"
#include "base/endpoint.h"
#include "decisions/reservation.h"
#include "net/http_client.h"

namespace valeledge::controller {

// How the sending of an order ended.
struct order_end {
  std::string server;
  std::string order_id;
  // Nothing: no response came; the order may still be carried out, but this
  // process sends it no more.
  std::optional<decisions::order_response> response;
  // The run of the engine that answered, and its count of changes.
  std::string incarnation;
  std::int64_t version = 0;
};

// Called on the sender's thread.
using order_sink = std::function<void(order_end)>;

// Lives on a thread of its own.
class order_sender {
 public:
  order_sender(base::duty& orders,
               std::chrono::microseconds timeout,
               order_sink sink);

  // Asks an engine for a report now; on the sender's thread. Nothing if it
  // does not respond.
  boost::asio::awaitable<std::optional<decisions::engine_report>> QueryReport(
      base::endpoint address);

  // Sends once; on the sender's thread.
  void Send(std::string server, base::endpoint address, decisions::order order);

 private:
  boost::asio::awaitable<void> SendOrder(std::string server,
                                         base::endpoint address,
                                         decisions::order order);

  base::duty& orders_;
  std::chrono::microseconds timeout_;
  order_sink sink_;
  net::http_client http_;
};

}  // namespace valeledge::controller

#endif  // VALELEDGE_CONTROLLER_PROCESS_ORDER_SENDER_H_
