// SPDX-License-Identifier: MIT
// Requests whose head is not valid by RFC 9110 and 9112: none of them, and none
// of their bytes, is handled as a request.
#include <string>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "net/http_server.h"
#include "net/socket_address.h"

namespace {

namespace asio = boost::asio;
using namespace valeledge;
using namespace std::chrono_literals;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// A server, and the target and body of each request that it has handled.
struct server_world {
  server_world() { where = *server.Start({"127.0.0.1", 0}); }

  // Sends the bytes, and returns what comes until the server closes the
  // connection.
  std::string Send(const std::string& bytes) {
    std::string received;
    bool ended = false;
    const auto exchange = [&]() -> asio::awaitable<void> {
      asio::ip::tcp::socket socket(context);
      co_await socket.async_connect(net::ToTcp(where), kAwait);
      co_await asio::async_write(socket, asio::buffer(bytes), kAwait);
      co_await asio::async_read(socket, asio::dynamic_buffer(received), kAwait);
      ended = true;
      context.stop();
    };
    asio::co_spawn(context, exchange, asio::detached);
    context.restart();
    context.run_for(2s);
    BOOST_TEST(ended);
    return received;
  }

  void CheckRejected(const std::string& bytes) {
    BOOST_TEST_CONTEXT(bytes) {
      BOOST_TEST(Send(bytes).starts_with("HTTP/1.1 400 "));
      BOOST_TEST(handled.empty());
    }
  }

  std::vector<std::string> handled;
  asio::io_context context{1};
  net::http_server server{
      context,
      {},
      [this](net::http_request& request,
             net::http_responder& responder) -> asio::awaitable<void> {
        handled.push_back(std::string(request.target()) + " " + request.body());
        co_await responder.Send(net::MakeJsonResponse(200, "{}"));
      },
      [](const base::error& fault) {
        return net::MakeJsonResponse(base::Describe(fault.code).http_status,
                                     "{}");
      }};
  base::endpoint where;
};

const std::string kStart = "POST /first HTTP/1.1\r\nHost: a\r\n";
const std::string kOther = "GET /other HTTP/1.1\r\nHost: a\r\n\r\n";

}  // namespace

BOOST_AUTO_TEST_SUITE(request_heads)

BOOST_AUTO_TEST_CASE(a_request_with_a_folded_field_is_rejected) {
  for (const std::string lines :
       {"X-Odd: 1\r\n X-Model: m\r\n", "X-Odd:\r\n\tm\r\n", " \r\n"}) {
    server_world here;
    here.CheckRejected(kStart + lines + "Content-Length: 0\r\n\r\n");
  }
}

// The body has lines like those of a head.
BOOST_AUTO_TEST_CASE(a_request_whose_body_has_lines_is_handled) {
  server_world here;
  const std::string body = "a: 1\r\n b\r\n\r\n c\r\n";
  const std::string head = kStart + "Connection: close\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n";
  BOOST_TEST(here.Send(head + body).starts_with("HTTP/1.1 200 "));
  BOOST_TEST(here.handled == std::vector<std::string>{"/first " + body},
             boost::test_tools::per_element());
}

// The end of such a body is not known, so the rest would be taken for the next
// request.
BOOST_AUTO_TEST_CASE(a_request_with_an_unknown_transfer_coding_is_rejected) {
  for (const std::string coding :
       {"identity", "gzip", "xchunked", "\"chunked\"", "", "chunked, gzip",
        "chunked, chunked", "gzip, chunked", "chunked;q=1",
        "gzip\r\nTransfer-Encoding: chunked"}) {
    server_world here;
    here.CheckRejected(kStart + "Transfer-Encoding: " + coding + "\r\n\r\n" +
                       kOther);
  }
}

BOOST_AUTO_TEST_CASE(a_request_with_a_coding_and_an_old_version_is_rejected) {
  server_world here;
  here.CheckRejected(
      "POST /first HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(a_chunked_request_is_handled) {
  server_world here;
  const std::string bytes =
      kStart +
      "Connection: close\r\nTransfer-Encoding: Chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\n";
  BOOST_TEST(here.Send(bytes).starts_with("HTTP/1.1 200 "));
  BOOST_TEST(here.handled == std::vector<std::string>{"/first hello"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_request_with_a_malformed_field_is_rejected) {
  for (const std::string& line :
       {std::string("X Odd: 1"), std::string("X-Odd : 1"),
        std::string("X\tOdd: 1"), std::string("X\0Odd: 1", 8),
        std::string("X\x1bOdd: 1"), std::string("X\x7fOdd: 1"),
        std::string("X\rOdd: 1"), std::string("X\nOdd: 1"),
        std::string("X\xffOdd: 1"), std::string("Content Length: 1"),
        std::string("Transfer-Encoding : chunked"), std::string(": 1"),
        std::string("X-Odd"), std::string("X-Odd: a\x01z"),
        std::string("Content-Length: 1\r\nContent-Length: 2"),
        std::string("Content-Length: 1\r\nTransfer-Encoding: chunked")}) {
    server_world here;
    here.CheckRejected(kStart + line + "\r\n\r\n" + kOther);
  }
  server_world here;
  here.CheckRejected("POST /first HTTP/1.1\r\n Host: a\r\n\r\n" + kOther);
}

BOOST_AUTO_TEST_SUITE_END()
