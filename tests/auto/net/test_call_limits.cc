// SPDX-License-Identifier: MIT
// Bounds of calls to servers that are slow, or whose responses do not end.
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/test/unit_test.hpp>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/socket_address.h"

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using namespace valeledge;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// A server that sends the same bytes on each connection, and then the rest
// again and again until the client closes.
struct raw_server {
  raw_server(asio::io_context& context, std::string first, std::string rest)
      : acceptor(context, {asio::ip::address_v4::loopback(), 0}),
        first_bytes(std::move(first)),
        rest_bytes(std::move(rest)) {
    asio::co_spawn(context, Accept(), asio::detached);
  }

  base::endpoint where() const {
    return net::FromTcp(acceptor.local_endpoint());
  }

  asio::awaitable<void> Accept() {
    while (true) {
      auto [failed, socket] = co_await acceptor.async_accept(kAwait);
      if (failed)
        co_return;
      ++connections;
      asio::co_spawn(acceptor.get_executor(), Send(std::move(socket)),
                     asio::detached);
    }
  }

  asio::awaitable<void> Send(asio::ip::tcp::socket socket) {
    const std::string* next = &first_bytes;
    while (!next->empty()) {
      const auto [failed, size] =
          co_await asio::async_write(socket, asio::buffer(*next), kAwait);
      if (failed) {
        ++closed;
        co_return;
      }
      sent += size;
      next = &rest_bytes;
    }
  }

  asio::ip::tcp::acceptor acceptor;
  std::string first_bytes;
  std::string rest_bytes;
  int connections = 0;
  int closed = 0;
  std::size_t sent = 0;
};

using exchange_ptr = std::shared_ptr<net::http_exchange>;

// Opens an exchange with the server and hands it to `use`. Runs until `use`
// has ended and `settle` has passed.
void RunExchange(asio::io_context& context,
                 const base::endpoint& where,
                 net::http_client& client,
                 std::function<asio::awaitable<void>(exchange_ptr)> use,
                 std::chrono::milliseconds settle) {
  bool ended = false;
  auto all = [&]() -> asio::awaitable<void> {
    const net::open_limit limit{1s, 1s};
    auto opened = co_await client.Open(
        where, net::MakeRequest(boost::beast::http::verb::get, "/"), limit);
    if (opened)
      co_await use(std::move(*opened));
    asio::steady_timer timer(context, settle);
    co_await timer.async_wait(kAwait);
    ended = true;
    context.stop();
  };
  asio::co_spawn(context, all, asio::detached);
  context.run_for(10s);
  BOOST_TEST(ended);
}

// Opens an exchange and discards its body.
void DiscardResponse(asio::io_context& context,
                     const base::endpoint& where,
                     net::http_client& client,
                     std::chrono::milliseconds settle) {
  RunExchange(
      context, where, client,
      [&client](exchange_ptr exchange) -> asio::awaitable<void> {
        client.DiscardBody(std::move(exchange));
        co_return;
      },
      settle);
}

const std::string kChunkedHeader =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

}  // namespace

// Guards against a connection that stays open while an unused body is sent.
BOOST_AUTO_TEST_CASE(a_discarded_body_without_an_end_is_closed) {
  asio::io_context context(1);
  raw_server server(context,
                    "HTTP/1.1 503 No\r\nContent-Length: 1000000000\r\n\r\n",
                    std::string(4096, 'x'));
  net::http_client client(context);
  DiscardResponse(context, server.where(), client, 400ms);
  BOOST_TEST(server.closed == 1);
}

BOOST_AUTO_TEST_CASE(a_connection_is_reused_after_a_short_discarded_body) {
  asio::io_context context(1);
  raw_server server(context, "HTTP/1.1 503 No\r\nContent-Length: 3\r\n\r\nabc",
                    {});
  net::http_client client(context);
  DiscardResponse(context, server.where(), client, 100ms);
  BOOST_TEST(client.idle_connections() == 1);
}

// Guards against a read that goes on, and a buffer that grows, while bytes keep
// coming that are no part of a body.
BOOST_AUTO_TEST_CASE(a_chunk_whose_header_does_not_end_ends_the_read) {
  asio::io_context context(1);
  raw_server server(context, kChunkedHeader + "1;", std::string(4096, 'x'));
  net::http_client client(context);
  bool failed = false;
  const auto begun = std::chrono::steady_clock::now();
  auto ended_at = begun;
  RunExchange(
      context, server.where(), client,
      [&](exchange_ptr exchange) -> asio::awaitable<void> {
        const auto piece = co_await exchange->ReadSome(200ms);
        failed = !piece;
        ended_at = std::chrono::steady_clock::now();
      },
      1ms);
  BOOST_TEST(failed);
  BOOST_TEST((ended_at - begun <= 400ms));
}

// Guards against a request that is sent although its response would be late.
BOOST_AUTO_TEST_CASE(nothing_is_sent_after_the_deadline) {
  asio::io_context context(1);
  raw_server server(context, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                    {});
  net::http_client client(context);
  std::optional<base::error> failed;
  auto all = [&]() -> asio::awaitable<void> {
    const net::open_limit limit{1s, 1s, std::chrono::steady_clock::now() - 1ms};
    const auto opened = co_await client.Open(
        server.where(), net::MakeRequest(boost::beast::http::verb::get, "/"),
        limit);
    if (!opened)
      failed = opened.error();
    context.stop();
  };
  asio::co_spawn(context, all, asio::detached);
  context.run_for(5s);
  BOOST_REQUIRE(failed.has_value());
  BOOST_TEST((failed->what_ran == base::outcome::kNotRun));
}
