// SPDX-License-Identifier: MIT
// HTTP/1.1 calls to backend servers and the platform, on pooled connections.
#ifndef VALELEDGE_NET_HTTP_CLIENT_H_
#define VALELEDGE_NET_HTTP_CLIENT_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "base/endpoint.h"
#include "base/error.h"
#include "base/memory_budget.h"

namespace valeledge::net {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;
using http_response_header = boost::beast::http::response_header<>;

// Largest answer, in bytes, that is read whole from anyone.
inline constexpr std::int64_t kMaxAnswerBytes = 64 * 1024 * 1024;

// The same for what is known to be small.
inline constexpr std::int64_t kMaxSmallAnswerBytes = 1024 * 1024;

// One request and its answer, read piece by piece. Created by a client; a
// connection whose answer was not read to its end is closed, never reused. So
// is one whose answer did not repeat the id of its request, if the client pairs
// them by ids.
class http_exchange {
 public:
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  // Status and header fields of the answer.
  const http_response_header& header() const;

  // The next piece of the body, valid until the next call; empty at the end.
  // The error's outcome is always unknown: the request was handed over.
  boost::asio::awaitable<base::result<std::string_view>> ReadSome(
      std::chrono::microseconds timeout);

  // Number of the connection among those that the client has opened, from 1 on.
  std::int64_t connection_number() const;

  // Whether the response has neither a length nor chunks: only the end of its
  // connection ends it, and a server that ends in between does so too.
  bool EndsWithConnection() const;

  // States how many bytes are held of the body that has been read. Returns
  // false if they do not fit beside what other exchanges hold; the exchange is
  // then of no further use.
  bool Hold(std::int64_t bytes);

  // Appends a piece to a body whose bytes are held. Returns false if the body
  // would be longer than `max_bytes`, or as Hold() does.
  bool Append(std::string& body,
              std::string_view piece,
              std::int64_t max_bytes);

  // Replaces what is done if other exchanges need the memory that this one
  // holds; by default it is abandoned. `action` must be callable until the
  // exchange is destroyed.
  void OnGiveWay(std::function<void()> action);

  // Closes the connection now, from the same thread; a read in progress ends
  // with an error. The other side sees the caller go away.
  void Abandon();

 private:
  friend class http_client;
  struct state;
  explicit http_exchange(std::unique_ptr<state> state);
  std::unique_ptr<state> state_;
};

namespace detail {

struct connection;

}  // namespace detail

// Lets the caller of Open give it up while it waits. One call at a time.
class open_guard {
 public:
  // Sets a check that runs on a connection that is ready, right before the
  // request is written. If it returns an error, nothing is sent and Open
  // returns that error.
  void SetSendCheck(std::function<base::result<void>()> check) {
    check_ = std::move(check);
  }
  // Closes the connection of the call, if there is one; a later Open with
  // this guard fails at once as not run.
  void Cancel();
  bool cancelled() const { return cancelled_; }
  // Closes the connection of the call, if there is one; a later Open with this
  // guard may go on.
  void Interrupt();

 private:
  friend class http_client;
  std::function<base::result<void>()> check_;
  detail::connection* link_ = nullptr;
  bool cancelled_ = false;
};

// How a call may use connections.
enum class connection_use {
  // An idle connection if there is one.
  kPooled,
  // A new connection, so that a connection the other side has just closed
  // cannot leave the outcome unknown.
  kFresh,
};

// How long a whole response may take, and its size.
struct answer_limit {
  // Until the answer begins, and between any two parts of it.
  std::chrono::microseconds silence;
  // In all.
  std::chrono::microseconds whole;
  // Of the body.
  std::int64_t bytes = kMaxAnswerBytes;
};

// How long a call may wait for its response header.
struct open_limit {
  // For a connection.
  std::chrono::microseconds connect;
  // From then on for the header.
  std::chrono::microseconds header;
  // For both.
  std::chrono::steady_clock::time_point deadline =
      std::chrono::steady_clock::time_point::max();
};

// Makes calls on one io_context; not thread-safe. Errors tell whether any
// byte of the request was handed to a connection: `not_run` if none was,
// `unknown` otherwise.
class http_client {
 public:
  // `memory` bounds what all responses hold that are being read; if null, the
  // client has a bound of its own. `id_field` names the header field of
  // requests that servers repeat in their responses. With it, a response that
  // may belong to another request is skipped, and the next one awaited, and a
  // request without an id gets a new connection; without it, whatever comes
  // next on a connection is the response.
  explicit http_client(boost::asio::io_context& context,
                       std::shared_ptr<base::memory_budget> memory = nullptr,
                       std::string_view id_field = {});
  ~http_client();

  // Sends a request and reads the whole response, which is small.
  boost::asio::awaitable<base::result<http_response>> Fetch(
      base::endpoint where,
      http_request request,
      std::chrono::microseconds timeout,
      connection_use use = connection_use::kPooled);
  // The same for an answer that may be large and come over a narrow link.
  // `on_part` is called when a part of the body of a success (200) has come; it
  // may be empty.
  boost::asio::awaitable<base::result<http_response>> FetchLarge(
      base::endpoint where,
      http_request request,
      answer_limit limit,
      std::function<void()> on_part);

  // Sends a request and reads the answer's header; the body is left to the
  // exchange. If the connection is open only after the deadline, nothing is
  // sent and the error is kDeadlinePassed. The Host field is the endpoint
  // unless the request has one.
  boost::asio::awaitable<base::result<std::shared_ptr<http_exchange>>> Open(
      base::endpoint where,
      http_request request,
      open_limit limit,
      connection_use use = connection_use::kPooled,
      open_guard* guard = nullptr);

  // Reads the rest of a body that is not used, in the background, so that the
  // connection can be reused. Closes it if the rest is long or slow.
  void DiscardBody(std::shared_ptr<http_exchange> exchange);

  // Opens a connection and keeps it as an idle one. An error means that none
  // could be opened within `timeout`.
  boost::asio::awaitable<base::result<void>> Preconnect(
      base::endpoint where,
      std::chrono::microseconds timeout);

  // Closes idle connections that are not used any more: those that servers are
  // about to close, or have closed, keep descriptors and memory until then.
  // Call several times a second.
  void CloseStale();
  std::int64_t idle_connections() const;
  // Connections that were opened so far.
  std::int64_t opened_connections() const;
  // Responses that were skipped so far.
  std::int64_t skipped_responses() const;

  // Bytes of requests and answers so far.
  std::int64_t bytes() const;

 private:
  friend class http_exchange;
  struct pool;

  // Opens a connection for the guard's call.
  boost::asio::awaitable<base::result<std::unique_ptr<detail::connection>>>
  Connect(base::endpoint where, open_limit limit, open_guard* guard);

  // Reads the header of the final answer to the request.
  static boost::asio::awaitable<boost::system::error_code> ReadHeader(
      http_exchange::state& state);

  // Reads the rest of a response that belongs to another request. The error is
  // `unexpected_body` if it is too long, or ends with its connection.
  static boost::asio::awaitable<boost::system::error_code> SkipBody(
      http_exchange::state& state);

  static boost::asio::awaitable<void> Discard(
      std::shared_ptr<http_exchange> exchange);

  // Sends a request and reads the answer's body until `limit` says.
  boost::asio::awaitable<base::result<http_response>> ReadWhole(
      base::endpoint where,
      http_request request,
      answer_limit limit,
      connection_use use,
      std::function<void()> on_part);

  boost::asio::io_context& context_;
  std::shared_ptr<base::memory_budget> memory_;
  std::shared_ptr<pool> pool_;
};

// A request with the given method, path and JSON or other body.
http_request MakeRequest(boost::beast::http::verb method,
                         std::string_view target,
                         std::string body = {});

}  // namespace valeledge::net

#endif  // VALELEDGE_NET_HTTP_CLIENT_H_
