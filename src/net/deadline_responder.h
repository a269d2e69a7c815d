// SPDX-License-Identifier: MIT
// Bounds the time until a request is answered, independently of what it waits
// for.
#ifndef VALELEDGE_NET_DEADLINE_RESPONDER_H_
#define VALELEDGE_NET_DEADLINE_RESPONDER_H_

#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/duration.h"
#include "net/http_server.h"

namespace valeledge::net {

// Passes the response of one request on to its caller. If none has been sent
// shortly after the deadline, it sends one of its own, or ends a stream that
// has begun, and closes the connection, on which the request may still be in
// progress. From then on the request finds its caller gone.
class deadline_responder
    : public http_responder,
      public std::enable_shared_from_this<deadline_responder> {
 public:
  // `caller` must remain valid until Close() has returned.
  deadline_responder(boost::asio::io_context& context, http_responder& caller);

  // Starts the timer. `make_late_response` is called if the request is late,
  // before it finds its caller gone. To be called at most once.
  void SetDeadline(base::time_point deadline,
                   std::function<http_response()> make_late_response);
  // Sets what is sent if the request is ended without a deadline.
  void SetLateResponse(std::function<http_response()> make_late_response);
  // Ends the request now, as if it were late.
  void EndNow() { EndLate(); }
  // The request has ended: waits until a response to a late one has been sent.
  boost::asio::awaitable<void> Close();

  // Whether the request is or was late.
  bool is_late() const { return is_late_; }

  boost::asio::awaitable<bool> Send(http_response response) override;
  boost::asio::awaitable<bool> Start(http_response_header header) override;
  boost::asio::awaitable<bool> Write(std::string_view piece) override;
  boost::asio::awaitable<bool> Finish() override;
  void Break() override;
  bool caller_gone() const override;
  void OnCallerGone(std::function<void()> action) override;

 private:
  void EndLate();
  boost::asio::awaitable<void> SendLateResponse(http_response response);

  http_responder& caller_;
  boost::asio::io_context& context_;
  boost::asio::steady_timer timer_;
  std::function<http_response()> make_late_response_;
  std::function<void()> on_gone_;
  // A whole response is being or has been sent.
  bool has_sent_ = false;
  bool has_started_ = false;
  bool is_late_ = false;
  bool is_sending_late_ = false;
};

}  // namespace valeledge::net

#endif  // VALELEDGE_NET_DEADLINE_RESPONDER_H_
