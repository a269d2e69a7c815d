// SPDX-License-Identifier: MIT
// Sends recorded orders to model engines and reports their responses.
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

// The result of sending an order.
struct order_end {
  std::string server;
  std::string order_id;
  // Empty if no response was received. The engine may still execute the order,
  // but this process does not send it again.
  std::optional<decisions::order_response> response;
  // Identifies the run of the engine that responded; `version` is that run's
  // change counter.
  std::string incarnation;
  std::int64_t version = 0;
};

// Called on the sender's thread.
using order_sink = std::function<void(order_end)>;

// Runs on its own thread, `orders`.
class order_sender {
 public:
  order_sender(base::duty& orders,
               std::chrono::microseconds timeout,
               order_sink sink);

  // Queries an engine for a current report; empty if it does not respond. Call
  // on the sender's thread.
  boost::asio::awaitable<std::optional<decisions::engine_report>> QueryReport(
      base::endpoint address);

  // Sends the order once, without retries. Call on the sender's thread.
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
