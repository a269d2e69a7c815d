// SPDX-License-Identifier: MIT
// Callers that send requests without an end: what the server answers them, and
// what it holds meanwhile.
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include "net/http_server.h"
#include "net/socket_address.h"

namespace {

namespace asio = boost::asio;
using namespace valeledge;
using namespace std::chrono_literals;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// What a caller sends of an endless request; the server is expected to answer
// long before.
constexpr std::size_t kMostSent = 16 * 1024 * 1024;

// A server on its own event loop.
struct endless_world {
  explicit endless_world(std::shared_ptr<base::memory_budget> memory = nullptr)
      : server(
            context,
            {},
            [](net::http_request&,
               net::http_responder& responder) -> asio::awaitable<void> {
              co_await responder.Send(net::MakeJsonResponse(200, "{}"));
            },
            [](const base::error& fault) {
              return net::MakeJsonResponse(
                  base::Describe(fault.code).http_status, "{}");
            },
            std::move(memory)) {
    where = *server.Start({"127.0.0.1", 0});
  }

  // Sends `begin`, then `more` again and again; the status of the answer, 0 if
  // there is none.
  int Send(const std::string& begin, const std::string& more) {
    asio::ip::tcp::socket socket(context);
    int status = 0;
    bool ended = false;
    const auto read = [&]() -> asio::awaitable<void> {
      std::string answer(64, ' ');
      const auto [failed, size] =
          co_await socket.async_read_some(asio::buffer(answer), kAwait);
      if (size > 12)
        status = std::stoi(answer.substr(9, 3));
      ended = true;
      boost::system::error_code ignored;
      socket.close(ignored);
    };
    const auto write = [&]() -> asio::awaitable<void> {
      co_await socket.async_connect(net::ToTcp(where), kAwait);
      asio::co_spawn(context, read(), asio::detached);
      co_await asio::async_write(socket, asio::buffer(begin), kAwait);
      for (sent = 0; !more.empty() && sent < kMostSent && !ended;
           sent += more.size()) {
        const auto [failed, size] =
            co_await asio::async_write(socket, asio::buffer(more), kAwait);
        if (failed)
          break;
      }
      asio::steady_timer patience(context, 2s);
      while (!ended && patience.expiry() > std::chrono::steady_clock::now()) {
        asio::steady_timer pause(context, 10ms);
        co_await pause.async_wait(kAwait);
      }
      context.stop();
    };
    asio::co_spawn(context, write(), asio::detached);
    context.restart();
    context.run_for(20s);
    return status;
  }

  asio::io_context context{1};
  net::http_server server;
  base::endpoint where;
  std::size_t sent = 0;
};

const std::string kChunked =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

}  // namespace

BOOST_AUTO_TEST_SUITE(endless_requests)

BOOST_AUTO_TEST_CASE(chunks_whose_framing_does_not_end_are_refused) {
  const std::string filler(16 * 1024, 'x');
  const std::string zeros(16 * 1024, '0');
  for (const auto& [begin, more] :
       {std::pair{kChunked + "5;", filler},
        std::pair{kChunked + "5\r\nhello\r\n0\r\nX: ", filler},
        std::pair{kChunked, zeros}}) {
    endless_world here;
    BOOST_TEST(here.Send(begin, more) == 431);
    BOOST_TEST(here.sent < kMostSent);
  }
}

// Several callers send bodies that do not fit beside each other, and stop in
// the middle; the memory is for 1 MB.
BOOST_AUTO_TEST_CASE(callers_that_hold_all_memory_give_way_to_a_small_request) {
  const auto memory = std::make_shared<base::memory_budget>(1 << 20);
  endless_world here(memory);
  std::vector<asio::ip::tcp::socket> callers;
  const std::string part =
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "40000\r\n" +
      std::string(0x30000, 'x');
  for (int i = 0; i < 12; ++i) {
    callers.emplace_back(here.context);
    callers.back().connect(net::ToTcp(here.where));
    boost::system::error_code ignored;
    asio::write(callers.back(), asio::buffer(part), ignored);
    here.context.restart();
    here.context.run_for(30ms);
    BOOST_TEST(memory->held() <= memory->capacity());
  }
  BOOST_TEST(memory->given_up() > 0);
  BOOST_TEST(here.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", "") == 200);
}

// An idle connection holds no more than before its request.
BOOST_AUTO_TEST_CASE(a_request_returns_its_memory) {
  const auto memory = std::make_shared<base::memory_budget>(8 << 20);
  endless_world here(memory);
  const std::string body(500'000, 'x');
  const std::string header = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n";
  BOOST_TEST(here.Send(header + body, "") == 200);
  here.context.restart();
  here.context.run_for(50ms);
  BOOST_TEST(memory->held() == 0);
  BOOST_TEST(memory->given_up() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
