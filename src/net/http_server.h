// SPDX-License-Identifier: MIT
// An HTTP/1.1 server for one io_context, with limits on what it accepts.
#ifndef VALELEDGE_NET_HTTP_SERVER_H_
#define VALELEDGE_NET_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/endpoint.h"
#include "base/error.h"
#include "base/memory_budget.h"
#include "net/http_client.h"

namespace valeledge::net {

namespace detail {

// All that the connections of one server share.
struct http_server_state;

}  // namespace detail

// What one server accepts from its callers.
struct http_limits {
  std::int64_t header_bytes = 16 * 1024;
  std::int64_t body_bytes = 1024 * 1024;
  std::int64_t connections = 10'000;
  std::chrono::microseconds idle_timeout = std::chrono::minutes(5);
  // Bounds one request's header and body once its first byte has come.
  std::chrono::microseconds receive_timeout = std::chrono::seconds(20);
  std::chrono::microseconds write_timeout = std::chrono::seconds(20);
};

// Answers one request; lives until its handler returns. Every function
// returns false, and does nothing more, once the caller is gone.
class http_responder {
 public:
  virtual ~http_responder() = default;

  // Sends a whole answer. One with `Connection: close` ends the connection.
  virtual boost::asio::awaitable<bool> Send(http_response answer) = 0;
  // Starts an answer whose length is not known yet.
  virtual boost::asio::awaitable<bool> Start(http_response_header header) = 0;
  // Sends one piece of it.
  virtual boost::asio::awaitable<bool> Write(std::string_view piece) = 0;
  // Ends it.
  virtual boost::asio::awaitable<bool> Finish() = 0;
  // Closes the connection without an end marker, so that the caller can tell
  // that the answer is not whole.
  virtual void Break() = 0;

  virtual bool caller_gone() const = 0;
  // Called once, from the server's thread, when the caller goes away.
  virtual void OnCallerGone(std::function<void()> action) = 0;
};

using http_handler =
    std::function<boost::asio::awaitable<void>(http_request&, http_responder&)>;

// Turns a fault of the transport (a body too large, say) into an answer.
using http_fault_renderer = std::function<http_response(const base::error&)>;

// Accepts connections and runs one handler call at a time on each. Not
// thread-safe; lives on the thread of its io_context.
class http_server {
 public:
  // `memory` bounds what all requests hold that are being received or
  // served; if null, the server has a bound of its own.
  http_server(boost::asio::io_context& context,
              http_limits limits,
              http_handler handler,
              http_fault_renderer render_fault,
              std::shared_ptr<base::memory_budget> memory = nullptr);
  ~http_server();

  // Starts to listen; `shared` as for net::Listen.
  base::result<base::endpoint> Start(const base::endpoint& where,
                                     bool shared = false);

  // Repeats a header field of each request in its response, unless the response
  // has the field.
  void RepeatField(std::string_view name);

  // What is accepted from now on; connections open now keep their old limits
  // until their next request.
  void SetLimits(http_limits limits);

  // From now on each answer ends its connection; new connections and
  // requests are still served.
  void CloseAfterAnswers();

  // Accepts no more connections and closes idle ones; requests that are being
  // answered go on, and their connections close after them.
  void Drain();

  // Requests that are being answered now.
  std::int64_t active_requests() const;
  std::int64_t connections() const;

 private:
  std::shared_ptr<detail::http_server_state> state_;
};

// A JSON answer with the given status.
http_response MakeJsonResponse(int status, std::string body);

}  // namespace valeledge::net

#endif  // VALELEDGE_NET_HTTP_SERVER_H_
