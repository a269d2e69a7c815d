// SPDX-License-Identifier: MIT
// What the HTTP server accepts and refuses, and what the client makes of
// connections that end.
#include <array>
#include <functional>
#include <optional>
#include <string>
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

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/socket_address.h"

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace valeledge;
using namespace std::chrono_literals;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Nothing listens there.
const base::endpoint kNowhere{"127.0.0.1", 1};

net::http_response RenderFault(const base::error& fault) {
  return net::MakeJsonResponse(base::Describe(fault.code).http_status, "{}");
}

asio::awaitable<void> Echo(net::http_request& request,
                           net::http_responder& responder) {
  co_await responder.Send(net::MakeJsonResponse(200, request.body()));
}

// A server and a client on one event loop.
class bench {
 public:
  explicit bench(net::http_limits limits = {}, net::http_handler handler = Echo)
      : server(context, limits, std::move(handler), RenderFault),
        client(context) {
    where = *server.Start({"127.0.0.1", 0});
  }

  // Runs a coroutine to its end; false if it did not end in time.
  bool Run(const std::function<asio::awaitable<void>()>& work) {
    bool ended = false;
    auto all = [&]() -> asio::awaitable<void> {
      co_await work();
      ended = true;
      context.stop();
    };
    asio::co_spawn(context, all(), asio::detached);
    context.run_for(20s);
    context.restart();
    return ended;
  }

  // Sends bytes as they are and returns all that comes back.
  asio::awaitable<std::string> Raw(std::string bytes) {
    asio::ip::tcp::socket socket(context);
    co_await socket.async_connect(net::ToTcp(where), kAwait);
    co_await asio::async_write(socket, asio::buffer(bytes), kAwait);
    std::string answer;
    std::array<char, 4096> piece;
    while (true) {
      const auto [failed, size] =
          co_await socket.async_read_some(asio::buffer(piece), kAwait);
      if (failed)
        break;
      answer.append(piece.data(), size);
      if (answer.find("\r\n\r\n") != std::string::npos)
        break;
    }
    co_return answer;
  }

  asio::io_context context{1};
  net::http_server server;
  net::http_client client;
  base::endpoint where;
};

std::string StatusOf(const std::string& answer) {
  return answer.size() < 12 ? answer : answer.substr(9, 3);
}

}  // namespace

BOOST_AUTO_TEST_CASE(requests_beyond_the_limits_are_refused_with_their_status) {
  net::http_limits limits;
  limits.body_bytes = 100;
  limits.header_bytes = 1024;
  bench one(limits);
  std::string body;
  std::string headers;
  std::string broken;
  BOOST_TEST(one.Run([&]() -> asio::awaitable<void> {
    body = co_await one.Raw("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n" +
                            std::string(101, 'x'));
    headers = co_await one.Raw(
        "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n");
    broken = co_await one.Raw("not http at all\r\n\r\n");
  }));
  BOOST_TEST(StatusOf(body) == "413");
  BOOST_TEST(StatusOf(headers) == "431");
  BOOST_TEST(StatusOf(broken) == "400");
}

// Before a stop each answer ends its connection, so that callers go elsewhere;
// nobody who still comes is turned away.
BOOST_AUTO_TEST_CASE(answers_before_a_stop_end_their_connections) {
  bench one;
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  std::string before;
  std::string after;
  BOOST_TEST(one.Run([&]() -> asio::awaitable<void> {
    before = co_await one.Raw(request);
    one.server.CloseAfterAnswers();
    after = co_await one.Raw(request);
  }));
  BOOST_TEST(StatusOf(before) == "200");
  BOOST_TEST(before.find("Connection: close") == std::string::npos);
  BOOST_TEST(StatusOf(after) == "200");
  BOOST_TEST(after.find("Connection: close") != std::string::npos);
}

// A call that is given up while it waits closes its connection, and later
// calls under the same guard are not sent.
BOOST_AUTO_TEST_CASE(a_request_whose_send_check_fails_is_not_sent) {
  int received = 0;
  bench one({},
            [&](net::http_request&,
                net::http_responder& responder) -> asio::awaitable<void> {
              ++received;
              co_await responder.Send(net::MakeJsonResponse(200, "{}"));
            });
  net::open_guard guard;
  bool allowed = false;
  guard.SetSendCheck([&allowed]() -> base::result<void> {
    if (allowed)
      return {};
    return base::NotRun(base::result_code::kNoBackendServer, "withheld");
  });
  std::vector<bool> opened;
  BOOST_TEST(one.Run([&]() -> asio::awaitable<void> {
    for (allowed = false; opened.size() < 2; allowed = true) {
      const auto exchange = co_await one.client.Open(
          one.where, net::MakeRequest(boost::beast::http::verb::get, "/"),
          net::open_limit{1s, 5s}, net::connection_use::kPooled, &guard);
      opened.push_back(exchange.has_value());
    }
  }));
  BOOST_REQUIRE(opened.size() == 2u);
  BOOST_TEST(!opened.front());
  BOOST_TEST(opened.back());
  BOOST_TEST(received == 1);
}

BOOST_AUTO_TEST_CASE(a_call_that_is_given_up_ends_at_once) {
  constexpr auto kNever = std::chrono::steady_clock::time_point::max();
  bool gone = false;
  net::open_guard guard;
  // Cancelled once the server has seen the connection close.
  std::function<void()> notice;
  bench one({},
            [&](net::http_request&,
                net::http_responder& responder) -> asio::awaitable<void> {
              asio::steady_timer waiting(one.context, kNever);
              responder.OnCallerGone([&] {
                gone = true;
                waiting.cancel();
                notice();
              });
              // The call is under way: its request is here.
              guard.Cancel();
              co_await waiting.async_wait(kAwait);
            });
  asio::steady_timer noticed(one.context, kNever);
  notice = [&noticed] { noticed.cancel(); };
  base::outcome first = base::outcome::kCompleted;
  base::outcome second = base::outcome::kCompleted;
  BOOST_TEST(one.Run([&]() -> asio::awaitable<void> {
    for (base::outcome* each : {&first, &second}) {
      const auto opened = co_await one.client.Open(
          one.where, net::MakeRequest(boost::beast::http::verb::get, "/"),
          net::open_limit{1s, 5s}, net::connection_use::kPooled, &guard);
      *each = opened ? base::outcome::kCompleted : opened.error().what_ran;
    }
    if (!gone)
      co_await noticed.async_wait(kAwait);
  }));
  BOOST_TEST(gone);
  BOOST_TEST((first == base::outcome::kUnknown));
  BOOST_TEST((second == base::outcome::kNotRun));
}

BOOST_AUTO_TEST_CASE(a_slow_sender_is_told_so) {
  net::http_limits limits;
  limits.receive_timeout = 30ms;
  bench one(limits);
  std::string answer;
  BOOST_TEST(one.Run([&]() -> asio::awaitable<void> {
    answer = co_await one.Raw("POST / HTTP/1.1\r\nContent-Le");
  }));
  BOOST_TEST(StatusOf(answer) == "408");
}

BOOST_AUTO_TEST_CASE(no_connection_means_not_run) {
  bench one;
  std::optional<base::result<net::http_response>> answer;
  BOOST_TEST(one.Run([&]() -> asio::awaitable<void> {
    answer = co_await one.client.Fetch(
        kNowhere, net::MakeRequest(http::verb::get, "/"), 1s);
  }));
  BOOST_TEST((answer->error().what_ran == base::outcome::kNotRun));
}

BOOST_AUTO_TEST_CASE(a_cut_after_the_request_means_unknown) {
  bench one({},
            [](net::http_request&,
               net::http_responder& responder) -> asio::awaitable<void> {
              responder.Break();
              co_return;
            });
  std::optional<base::result<net::http_response>> answer;
  BOOST_TEST(one.Run([&]() -> asio::awaitable<void> {
    answer = co_await one.client.Fetch(
        one.where, net::MakeRequest(http::verb::post, "/", "x"), 1s);
  }));
  BOOST_TEST((answer->error().what_ran == base::outcome::kUnknown));
  BOOST_TEST(answer->error().connection_lost);
}

BOOST_AUTO_TEST_CASE(a_server_that_says_nothing_has_not_closed_the_connection) {
  bench one(
      {},
      [](net::http_request&, net::http_responder&) -> asio::awaitable<void> {
        // Answers nothing and keeps the connection.
        co_return;
      });
  std::optional<base::result<net::http_response>> answer;
  BOOST_TEST(one.Run([&]() -> asio::awaitable<void> {
    answer = co_await one.client.Fetch(
        one.where, net::MakeRequest(http::verb::get, "/"), 30ms);
  }));
  BOOST_REQUIRE(!answer->has_value());
  BOOST_TEST(!answer->error().connection_lost);
}

BOOST_AUTO_TEST_CASE(an_answer_cut_in_the_middle_is_an_error) {
  bench one({},
            [](net::http_request&,
               net::http_responder& responder) -> asio::awaitable<void> {
              net::http_response_header header;
              header.result(http::status::ok);
              co_await responder.Start(header);
              co_await responder.Write("half");
              responder.Break();
            });
  std::optional<base::result<net::http_response>> answer;
  BOOST_TEST(one.Run([&]() -> asio::awaitable<void> {
    answer = co_await one.client.Fetch(
        one.where, net::MakeRequest(http::verb::get, "/"), 1s);
  }));
  BOOST_REQUIRE(!answer->has_value());
  BOOST_TEST((answer->error().code == base::result_code::kAnswerBroken));
  BOOST_TEST(answer->error().connection_lost);
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_length_ends_with_its_connection) {
  bench one;
  asio::ip::tcp::acceptor acceptor(one.context,
                                   {asio::ip::address_v4::loopback(), 0});
  asio::co_spawn(
      one.context,
      [&]() -> asio::awaitable<void> {
        auto [failed, accepted] = co_await acceptor.async_accept(kAwait);
        std::array<char, 1024> request;
        co_await accepted.async_read_some(asio::buffer(request), kAwait);
        const std::string answer = "HTTP/1.1 200 OK\r\n\r\nwhole";
        co_await asio::async_write(accepted, asio::buffer(answer), kAwait);
      },
      asio::detached);
  bool unframed = false;
  bool framed = true;
  std::string body;
  BOOST_TEST(one.Run([&]() -> asio::awaitable<void> {
    const auto where = net::FromTcp(acceptor.local_endpoint());
    const auto ends = co_await one.client.Open(
        where, net::MakeRequest(http::verb::get, "/"), net::open_limit{1s, 1s});
    unframed = (*ends)->EndsWithConnection();
    while (true) {
      const auto piece = co_await (*ends)->ReadSome(1s);
      if (!piece || piece->empty())
        break;
      body.append(*piece);
    }
    const auto stays = co_await one.client.Open(
        one.where, net::MakeRequest(http::verb::get, "/"),
        net::open_limit{1s, 1s});
    framed = !(*stays)->EndsWithConnection();
  }));
  BOOST_TEST(unframed);
  BOOST_TEST(framed);
  BOOST_TEST(body == "whole");
}

BOOST_AUTO_TEST_CASE(a_connection_left_in_the_middle_is_not_used_again) {
  int connections = 0;
  bench one({},
            [&](net::http_request& request,
                net::http_responder& responder) -> asio::awaitable<void> {
              net::http_response_header header;
              header.result(http::status::ok);
              co_await responder.Start(header);
              co_await responder.Write(request.body());
              if (request.body() == "whole")
                co_await responder.Finish();
            });
  std::string second;
  BOOST_TEST(one.Run([&]() -> asio::awaitable<void> {
    {
      const auto first = co_await one.client.Open(
          one.where, net::MakeRequest(http::verb::post, "/", "first"),
          net::open_limit{1s, 1s});
      co_await (*first)->ReadSome(1s);
    }
    const auto answer = co_await one.client.Fetch(
        one.where, net::MakeRequest(http::verb::post, "/", "whole"), 1s);
    second = answer ? answer->body() : answer.error().message;
    connections = static_cast<int>(one.server.connections());
  }));
  BOOST_TEST(second == "whole");
  BOOST_TEST(connections >= 1);
}

BOOST_AUTO_TEST_CASE(a_kept_connection_that_was_closed_is_noticed) {
  bench one;
  bool both = false;
  BOOST_TEST(one.Run([&]() -> asio::awaitable<void> {
    const auto first = co_await one.client.Fetch(
        one.where, net::MakeRequest(http::verb::post, "/", "a"), 1s);
    // Closes the idle connection from the server's side.
    one.server.Drain();
    const auto second = co_await one.client.Fetch(
        one.where, net::MakeRequest(http::verb::post, "/", "b"), 1s);
    both = first.has_value() && !second.has_value() &&
           second.error().what_ran == base::outcome::kNotRun;
  }));
  BOOST_TEST(both);
}

// A host that asks thousands of servers now and then kept a descriptor for
// each, long after they had closed the connection.
BOOST_AUTO_TEST_CASE(connections_that_servers_close_soon_are_closed) {
  constexpr std::int64_t kServers = 30;
  const auto respond =
      [](net::http_request& request,
         net::http_responder& responder) -> asio::awaitable<void> {
    auto response = net::MakeJsonResponse(200, "{}");
    // Shorter than a second is not used again.
    const bool soon = request.target() == "/soon";
    response.set(http::field::keep_alive, soon ? "timeout=1" : "timeout=60");
    co_await responder.Send(std::move(response));
  };
  bench one({}, respond);
  std::vector<std::unique_ptr<net::http_server>> servers;
  std::int64_t before = 0;
  std::int64_t after = 0;
  BOOST_TEST(one.Run([&]() -> asio::awaitable<void> {
    for (std::int64_t i = 0; i < kServers; ++i) {
      servers.push_back(std::make_unique<net::http_server>(
          one.context, net::http_limits{}, respond, RenderFault));
      const auto where = *servers.back()->Start({"127.0.0.1", 0});
      co_await one.client.Fetch(
          where, net::MakeRequest(http::verb::get, "/soon", ""), 1s);
    }
    co_await one.client.Fetch(one.where,
                              net::MakeRequest(http::verb::get, "/", ""), 1s);
    before = one.client.idle_connections();
    one.client.CloseStale();
    after = one.client.idle_connections();
  }));
  BOOST_TEST(before == kServers + 1);
  BOOST_TEST(after == 1);
}

BOOST_AUTO_TEST_CASE(a_caller_that_goes_away_is_noticed) {
  asio::steady_timer* waiting = nullptr;
  bool gone = false;
  bench one({},
            [&](net::http_request&,
                net::http_responder& responder) -> asio::awaitable<void> {
              asio::steady_timer timer(co_await asio::this_coro::executor, 10s);
              waiting = &timer;
              responder.OnCallerGone([&] {
                gone = true;
                waiting->cancel();
              });
              co_await timer.async_wait(kAwait);
            });
  BOOST_TEST(one.Run([&]() -> asio::awaitable<void> {
    {
      asio::ip::tcp::socket socket(one.context);
      co_await socket.async_connect(net::ToTcp(one.where), kAwait);
      co_await asio::async_write(
          socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")), kAwait);
      while (one.server.active_requests() == 0) {
        asio::steady_timer soon(one.context, 1ms);
        co_await soon.async_wait(kAwait);
      }
    }
    while (one.server.active_requests() != 0) {
      asio::steady_timer soon(one.context, 1ms);
      co_await soon.async_wait(kAwait);
    }
  }));
  BOOST_TEST(gone);
}

BOOST_AUTO_TEST_CASE(two_thousand_idle_connections_do_no_harm) {
  bench one;
  bool answered = false;
  std::int64_t open = 0;
  BOOST_TEST(one.Run([&]() -> asio::awaitable<void> {
    std::vector<asio::ip::tcp::socket> idle;
    for (int i = 0; i < 2000; ++i) {
      idle.emplace_back(one.context);
      co_await idle.back().async_connect(net::ToTcp(one.where), kAwait);
    }
    const auto answer = co_await one.client.Fetch(
        one.where, net::MakeRequest(http::verb::post, "/", "x"), 5s);
    answered = answer && answer->body() == "x";
    open = one.server.connections();
  }));
  BOOST_TEST(answered);
  BOOST_TEST(open >= 2000);
}

// A server that sends an answer of 20 bytes, one at a time, and stops before
// the end if told so.
asio::awaitable<void> SendSlowly(asio::ip::tcp::acceptor& acceptor,
                                 std::size_t most) {
  auto [failed, socket] = co_await acceptor.async_accept(kAwait);
  std::array<char, 1024> request;
  co_await socket.async_read_some(asio::buffer(request), kAwait);
  std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n";
  asio::steady_timer pause(acceptor.get_executor());
  for (std::size_t i = 0; i <= most; ++i) {
    co_await asio::async_write(socket, asio::buffer(bytes), kAwait);
    bytes = "x";
    pause.expires_after(10ms);
    co_await pause.async_wait(kAwait);
  }
  // Stays open until the caller has gone.
  co_await socket.async_read_some(asio::buffer(request), kAwait);
}

// On a narrow link a large answer takes longer than any that should be given
// up: as long as parts of it come, it is waited for.
BOOST_AUTO_TEST_CASE(a_large_answer_is_waited_for_while_parts_of_it_come) {
  asio::io_context context(1);
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::address_v4::loopback(), 0});
  const base::endpoint where = net::FromTcp(acceptor.local_endpoint());
  net::http_client client(context);
  int parts = 0;
  std::vector<std::optional<std::size_t>> sizes;
  const auto fetch = [&](std::size_t most,
                         net::answer_limit limit) -> asio::awaitable<void> {
    asio::co_spawn(context, SendSlowly(acceptor, most), asio::detached);
    std::function<void()> on_part = [&parts] { ++parts; };
    const auto answer = co_await client.FetchLarge(
        where, net::MakeRequest(http::verb::get, "/"), limit,
        std::move(on_part));
    sizes.push_back(answer ? std::optional(answer->body().size())
                           : std::nullopt);
  };
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        co_await fetch(20, {100ms, 20s});
        // It stops coming, or takes too long in all.
        co_await fetch(5, {100ms, 20s});
        co_await fetch(20, {100ms, 100ms});
        context.stop();
      },
      asio::detached);
  context.run_for(20s);
  BOOST_REQUIRE(sizes.size() == 3u);
  BOOST_TEST((sizes[0] == 20u));
  BOOST_TEST(!sizes[1].has_value());
  BOOST_TEST(!sizes[2].has_value());
  BOOST_TEST(parts > 20);
}

BOOST_AUTO_TEST_CASE(connections_beyond_the_limit_are_told_so) {
  net::http_limits limits;
  limits.connections = 1;
  bench one(limits);
  std::string answer;
  BOOST_TEST(one.Run([&]() -> asio::awaitable<void> {
    asio::ip::tcp::socket first(one.context);
    co_await first.async_connect(net::ToTcp(one.where), kAwait);
    while (one.server.connections() == 0) {
      asio::steady_timer soon(one.context, 1ms);
      co_await soon.async_wait(kAwait);
    }
    answer = co_await one.Raw("GET / HTTP/1.1\r\n\r\n");
  }));
  BOOST_TEST(StatusOf(answer) == "503");
}
