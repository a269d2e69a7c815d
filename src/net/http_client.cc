// SPDX-License-Identifier: MIT
#include "net/http_client.h"

#include <array>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "net/socket_address.h"

namespace valeledge::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using base::result_code;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Idle connections kept for one endpoint.
constexpr std::size_t kIdlePerEndpoint = 256;

// Bytes read from a streamed answer at a time.
constexpr std::size_t kPieceBytes = 16 * 1024;

// Largest header of an answer.
constexpr std::uint32_t kAnswerHeaderBytes = 64 * 1024;

struct connection {
  explicit connection(asio::io_context& context) : stream(context) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
};

// True if the other side has closed or sent something unasked: such a
// connection must not carry a request.
bool IsSpoiled(connection& idle) {
  if (idle.buffer.size() != 0)
    return true;
  boost::system::error_code failed;
  std::array<char, 1> byte;
  auto& socket = idle.stream.socket();
  socket.non_blocking(true, failed);
  socket.receive(asio::buffer(byte), asio::socket_base::message_peek, failed);
  return failed != asio::error::would_block;
}

std::string Explain(const base::endpoint& where,
                    std::string_view what,
                    const boost::system::error_code& failed) {
  return base::ToString(where) + ": " + std::string(what) + ": " +
         failed.message();
}

}  // namespace

struct http_client::pool {
  std::int64_t bytes = 0;
  std::map<base::endpoint, std::vector<std::unique_ptr<connection>>> idle;

  std::unique_ptr<connection> Take(const base::endpoint& where) {
    auto& connections = idle[where];
    while (!connections.empty()) {
      auto candidate = std::move(connections.back());
      connections.pop_back();
      if (!IsSpoiled(*candidate))
        return candidate;
    }
    return nullptr;
  }

  void Give(const base::endpoint& where, std::unique_ptr<connection> returned) {
    auto& connections = idle[where];
    if (connections.size() < kIdlePerEndpoint)
      connections.push_back(std::move(returned));
  }
};

struct http_exchange::state {
  base::endpoint where;
  std::unique_ptr<connection> link;
  std::weak_ptr<http_client::pool> home;
  http::response_parser<http::buffer_body> parser;
  std::array<char, kPieceBytes> piece;
  bool reading = false;
};

http_exchange::http_exchange(std::unique_ptr<state> state)
    : state_(std::move(state)) {}

http_exchange::~http_exchange() {
  const auto home = state_->home.lock();
  const bool whole = state_->parser.is_done() && !state_->reading;
  if (home == nullptr || !whole || !state_->parser.keep_alive() ||
      state_->link->buffer.size() != 0 ||
      !state_->link->stream.socket().is_open()) {
    return;
  }
  home->Give(state_->where, std::move(state_->link));
}

const http_response_header& http_exchange::header() const {
  return state_->parser.get().base();
}

asio::awaitable<base::result<std::string_view>> http_exchange::ReadSome(
    std::chrono::microseconds timeout) {
  if (state_->parser.is_done())
    co_return std::string_view();
  auto& body = state_->parser.get().body();
  body.data = state_->piece.data();
  body.size = state_->piece.size();
  state_->link->stream.expires_after(timeout);
  state_->reading = true;
  std::size_t taken = 0;
  boost::system::error_code failed;
  while (taken == 0 && !failed && !state_->parser.is_done()) {
    const auto [code, bytes] = co_await http::async_read_some(
        state_->link->stream, state_->link->buffer, state_->parser, kAwait);
    if (const auto home = state_->home.lock())
      home->bytes += static_cast<std::int64_t>(bytes);
    failed =
        code == http::error::need_buffer ? boost::system::error_code() : code;
    taken = state_->piece.size() - body.size;
  }
  state_->reading = false;
  if (failed) {
    Abandon();
    co_return base::Unknown(result_code::kAnswerBroken,
                            Explain(state_->where, "answer cut", failed));
  }
  co_return std::string_view(state_->piece.data(), taken);
}

void http_exchange::Abandon() {
  boost::system::error_code ignored;
  state_->link->stream.socket().close(ignored);
}

http_client::http_client(asio::io_context& context)
    : context_(context), pool_(std::make_shared<pool>()) {}

http_client::~http_client() = default;

asio::awaitable<base::result<std::shared_ptr<http_exchange>>> http_client::Open(
    base::endpoint where,
    http_request request,
    std::chrono::microseconds connect_timeout,
    std::chrono::microseconds header_timeout,
    connection_use use) {
  std::unique_ptr<connection> link;
  if (use == connection_use::kPooled)
    link = pool_->Take(where);
  if (link == nullptr) {
    link = std::make_unique<connection>(context_);
    link->stream.expires_after(connect_timeout);
    const auto [failed] =
        co_await link->stream.async_connect(ToTcp(where), kAwait);
    if (failed) {
      co_return base::NotRun(result_code::kBackendUnreachable,
                             Explain(where, "no connection", failed));
    }
    link->stream.socket().set_option(asio::ip::tcp::no_delay(true));
  }
  request.set(http::field::host, base::ToString(where));
  request.prepare_payload();
  link->stream.expires_after(header_timeout);
  const auto [write_failed, written] =
      co_await http::async_write(link->stream, request, kAwait);
  if (write_failed) {
    const std::string message = Explain(where, "request cut", write_failed);
    if (written == 0)
      co_return base::NotRun(result_code::kBackendUnreachable, message);
    co_return base::Unknown(result_code::kOutcomeUnknown, message);
  }
  pool_->bytes += static_cast<std::int64_t>(written);
  auto state = std::make_unique<http_exchange::state>();
  state->where = where;
  state->home = pool_;
  state->link = std::move(link);
  state->parser.body_limit(boost::none);
  state->parser.header_limit(kAnswerHeaderBytes);
  const auto [read_failed, header_bytes] = co_await http::async_read_header(
      state->link->stream, state->link->buffer, state->parser, kAwait);
  pool_->bytes += static_cast<std::int64_t>(header_bytes);
  if (read_failed) {
    co_return base::Unknown(result_code::kOutcomeUnknown,
                            Explain(where, "no answer", read_failed));
  }
  co_return std::shared_ptr<http_exchange>(new http_exchange(std::move(state)));
}

asio::awaitable<base::result<http_response>> http_client::Fetch(
    base::endpoint where,
    http_request request,
    std::chrono::microseconds timeout,
    connection_use use) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  auto opened = co_await Open(where, std::move(request), timeout, timeout, use);
  if (!opened)
    co_return tl::make_unexpected(opened.error());
  const std::shared_ptr<http_exchange>& exchange = *opened;
  http_response answer(exchange->header());
  while (true) {
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
        deadline - std::chrono::steady_clock::now());
    const auto piece = co_await exchange->ReadSome(left);
    if (!piece)
      co_return tl::make_unexpected(piece.error());
    if (piece->empty())
      break;
    answer.body().append(*piece);
    if (answer.body().size() > kMaxAnswerBytes) {
      co_return base::Unknown(result_code::kAnswerBroken,
                              base::ToString(where) + ": answer too large");
    }
  }
  co_return answer;
}

std::int64_t http_client::bytes() const {
  return pool_->bytes;
}

http_request MakeRequest(http::verb method,
                         std::string_view target,
                         std::string body) {
  http_request request(method, target, 11);
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  return request;
}

}  // namespace valeledge::net
