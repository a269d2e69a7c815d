// SPDX-License-Identifier: MIT
// Servers that send answers without an end: what the client holds meanwhile.
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include "net/http_client.h"
#include "net/socket_address.h"

namespace {

namespace asio = boost::asio;
using namespace valeledge;
using namespace std::chrono_literals;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::int64_t kCapacity = 4 * 1024 * 1024;

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kUnframed = kOk + "\r\n";
const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kSmall = kOk + "Content-Length: 5\r\n\r\nhello";

// A server that sends `begin`, then `more` until its client closes the
// connection.
class endless_server {
 public:
  endless_server(asio::io_context& context, std::string begin, std::string more)
      : acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
        begin_(std::move(begin)),
        more_(std::move(more)) {
    asio::co_spawn(context, Accept(), asio::detached);
  }

  base::endpoint address() const {
    return net::FromTcp(acceptor_.local_endpoint());
  }

 private:
  asio::awaitable<void> Accept() {
    while (true) {
      auto [failed, socket] = co_await acceptor_.async_accept(kAwait);
      if (failed)
        co_return;
      asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)),
                     asio::detached);
    }
  }

  asio::awaitable<void> Serve(asio::ip::tcp::socket socket) {
    std::string request(4096, ' ');
    co_await socket.async_read_some(asio::buffer(request), kAwait);
    co_await asio::async_write(socket, asio::buffer(begin_), kAwait);
    while (!more_.empty()) {
      const auto [failed, size] =
          co_await asio::async_write(socket, asio::buffer(more_), kAwait);
      if (failed)
        co_return;
    }
  }

  asio::ip::tcp::acceptor acceptor_;
  const std::string begin_;
  const std::string more_;
};

struct endless_world {
  asio::awaitable<void> Ask(base::endpoint where, bool* succeeded) {
    const auto answer = co_await client.FetchLarge(
        where, net::MakeRequest(boost::beast::http::verb::get, "/"), {5s, 10s},
        {});
    *succeeded = answer.has_value();
    if (--open == 0)
      context.stop();
  }

  void Start(const base::endpoint& where, bool* succeeded) {
    ++open;
    asio::co_spawn(context, Ask(where, succeeded), asio::detached);
  }

  asio::io_context context{1};
  std::shared_ptr<base::memory_budget> memory =
      std::make_shared<base::memory_budget>(kCapacity);
  net::http_client client{context, memory};
  int open = 0;
};

BOOST_AUTO_TEST_SUITE(endless_answers)

// Guards against a bound for each answer alone, which many pass together.
BOOST_AUTO_TEST_CASE(endless_answers_end_and_small_ones_beside_them_arrive) {
  const std::string filler(64 * 1024, 'x');
  std::string chunk = "10000\r\n" + filler + "\r\n";
  std::string fields;
  for (int i = 0; i < 4000; ++i)
    fields += "a: b\r\n";
  for (const auto& [begin, more] :
       {std::pair{kUnframed, filler}, std::pair{kChunked, chunk},
        std::pair{kOk + fields + "\r\n", filler},
        std::pair{kOk + "Content-Length: 900000000\r\n\r\n", filler},
        std::pair{kChunked + "5;", filler}, std::pair{kOk + "X: ", filler},
        std::pair{std::string("HTTP/1.1 500 No\r\n\r\n"), filler}}) {
    endless_world here;
    endless_server faulty(here.context, begin, more);
    endless_server sound(here.context, kSmall, "");
    bool endless_succeeded[8];
    bool small_succeeded[8];
    for (bool& each : endless_succeeded)
      here.Start(faulty.address(), &each);
    for (bool& each : small_succeeded)
      here.Start(sound.address(), &each);
    while (!here.context.stopped()) {
      here.context.run_one();
      BOOST_REQUIRE(here.memory->held() <= kCapacity);
    }
    for (const bool each : endless_succeeded)
      BOOST_TEST(!each);
    for (const bool each : small_succeeded)
      BOOST_TEST(each);
    BOOST_TEST(here.memory->held() == 0);
  }
}

BOOST_AUTO_TEST_CASE(an_answer_that_is_known_to_be_small_is_not_read_further) {
  endless_world here;
  endless_server faulty(here.context, kUnframed, std::string(64 * 1024, 'x'));
  bool ended = false;
  const auto ask = [&]() -> asio::awaitable<void> {
    const auto answer = co_await here.client.Fetch(
        faulty.address(), net::MakeRequest(boost::beast::http::verb::get, "/"),
        5s);
    BOOST_TEST(!answer.has_value());
    BOOST_TEST(here.client.bytes() < 2 * net::kMaxSmallAnswerBytes);
    ended = true;
    here.context.stop();
  };
  asio::co_spawn(here.context, ask(), asio::detached);
  here.context.run_for(10s);
  BOOST_TEST(ended);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
