// SPDX-License-Identifier: MIT
// Calls between processes: replies find their calls, failures are told.
#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "net/frame.h"
#include "net/rpc_channel.h"
#include "net/rpc_server.h"
#include "net/socket_address.h"

namespace {

namespace asio = boost::asio;
using namespace valeledge;
using namespace std::chrono_literals;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Nothing listens there.
const base::endpoint kNowhere{"127.0.0.1", 1};

bool Run(asio::io_context& context,
         const std::function<asio::awaitable<void>()>& work) {
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

wire::envelope Wanted(std::int64_t since) {
  wire::table_request wanted;
  wanted.since = since;
  wire::envelope call;
  call.__set_table_wanted(wanted);
  return call;
}

// Answers the number it was sent, later ones sooner.
asio::awaitable<wire::envelope> AnswerBackwards(wire::envelope call) {
  const std::int64_t number = call.table_wanted.since;
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           std::chrono::milliseconds(20 - number));
  co_await timer.async_wait(kAwait);
  wire::table_delta delta;
  delta.revision = number;
  wire::envelope reply;
  reply.__set_table(delta);
  co_return reply;
}

}  // namespace

BOOST_AUTO_TEST_CASE(crossed_replies_find_their_calls) {
  asio::io_context context(1);
  net::rpc_server server(context, AnswerBackwards);
  const base::endpoint where = *server.Start({"127.0.0.1", 0});
  net::rpc_channel_set channels(context);
  int right = 0;
  BOOST_TEST(Run(context, [&]() -> asio::awaitable<void> {
    int left = 20;
    for (int i = 0; i < 20; ++i) {
      auto one = [&, i]() -> asio::awaitable<void> {
        const auto reply = co_await channels.Call(where, Wanted(i), 5s);
        right += reply && reply->table.revision == i ? 1 : 0;
        --left;
      };
      asio::co_spawn(context, one, asio::detached);
    }
    while (left > 0) {
      asio::steady_timer soon(context, 1ms);
      co_await soon.async_wait(kAwait);
    }
  }));
  BOOST_TEST(right == 20);
}

BOOST_AUTO_TEST_CASE(no_connection_and_no_reply_are_told_apart) {
  asio::io_context context(1);
  net::rpc_server server(
      context, [](wire::envelope) -> asio::awaitable<wire::envelope> {
        asio::steady_timer timer(co_await asio::this_coro::executor, 5s);
        co_await timer.async_wait(kAwait);
        co_return wire::envelope();
      });
  const base::endpoint where = *server.Start({"127.0.0.1", 0});
  net::rpc_channel_set channels(context);
  std::optional<base::error> refused;
  std::optional<base::error> silent;
  BOOST_TEST(Run(context, [&]() -> asio::awaitable<void> {
    refused = (co_await channels.Call(kNowhere, Wanted(1), 1s)).error();
    silent = (co_await channels.Call(where, Wanted(1), 20ms)).error();
  }));
  BOOST_TEST((refused->what_ran == base::outcome::kNotRun));
  BOOST_TEST((silent->what_ran == base::outcome::kUnknown));
  BOOST_TEST((silent->code == base::result_code::kPeerUnreachable));
}

// A connection may go silent for good without a reset: calls on it must not be
// lost for longer than a second, while a new one works.
BOOST_AUTO_TEST_CASE(a_silent_connection_is_given_up_within_a_second) {
  asio::io_context context(1);
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::address_v4::loopback(), 0});
  std::vector<asio::ip::tcp::socket> accepted;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        while (true) {
          auto [failed, socket] = co_await acceptor.async_accept(kAwait);
          if (failed)
            co_return;
          accepted.push_back(std::move(socket));
        }
      },
      asio::detached);
  const base::endpoint where = net::FromTcp(acceptor.local_endpoint());
  net::rpc_channel_set channels(context);
  std::vector<std::size_t> connections;
  BOOST_TEST(Run(context, [&]() -> asio::awaitable<void> {
    for (int i = 0; i < 5; ++i) {
      const auto reply = co_await channels.Call(where, Wanted(i), 300ms);
      BOOST_TEST(!reply);
      connections.push_back(accepted.size());
    }
  }));
  // One slow reply is no reason; more than a second without any is.
  const std::vector<std::size_t> expected = {1, 1, 1, 1, 2};
  BOOST_TEST(connections == expected, boost::test_tools::per_element());
}

// Replies wait behind a long one that takes its time on a narrow link.
BOOST_AUTO_TEST_CASE(a_connection_on_which_a_long_reply_comes_in_stays) {
  asio::io_context context(1);
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::address_v4::loopback(), 0});
  std::size_t accepted = 0;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        while (true) {
          auto [failed, socket] = co_await acceptor.async_accept(kAwait);
          if (failed)
            co_return;
          ++accepted;
          // The length of a frame, and then a byte of it at a time.
          std::string bytes("\x00\x00\x10\x00", 4);
          asio::steady_timer pause(context);
          bool gone = false;
          while (!gone) {
            const auto [cut, size] =
                co_await asio::async_write(socket, asio::buffer(bytes), kAwait);
            gone = static_cast<bool>(cut);
            bytes = "x";
            pause.expires_after(50ms);
            co_await pause.async_wait(kAwait);
          }
        }
      },
      asio::detached);
  const base::endpoint where = net::FromTcp(acceptor.local_endpoint());
  net::rpc_channel_set channels(context);
  BOOST_TEST(Run(context, [&]() -> asio::awaitable<void> {
    for (int i = 0; i < 6; ++i) {
      const auto reply = co_await channels.Call(where, Wanted(i), 300ms);
      BOOST_TEST(!reply);
    }
  }));
  BOOST_TEST(accepted == 1u);
}

// A reply that is not wanted any more must not fill the link on which the next
// one is waited for: its connection is closed. As long as parts of it come, its
// limit is asked for again, with what has come so far.
BOOST_AUTO_TEST_CASE(a_dropped_reply_is_not_carried_on) {
  asio::io_context context(1);
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::address_v4::loopback(), 0});
  bool closed = false;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        auto [failed, socket] = co_await acceptor.async_accept(kAwait);
        // The length of a frame of 1 MB, which never ends.
        std::string bytes("\x00\x10\x00\x00", 4);
        asio::steady_timer pause(context);
        while (!closed) {
          const auto [cut, size] =
              co_await asio::async_write(socket, asio::buffer(bytes), kAwait);
          closed = static_cast<bool>(cut);
          bytes = std::string(1000, 'x');
          pause.expires_after(5ms);
          co_await pause.async_wait(kAwait);
        }
      },
      asio::detached);
  const base::endpoint where = net::FromTcp(acceptor.local_endpoint());
  net::rpc_channel_set channels(context);
  std::vector<std::int64_t> heard;
  bool replied = false;
  BOOST_TEST(Run(context, [&]() -> asio::awaitable<void> {
    const std::string name = "a name too long to be kept in a small function";
    net::reply_limit limit = [&heard, name](const net::reply_progress& so_far) {
      BOOST_TEST(!name.empty());
      heard.push_back(so_far.bytes);
      return heard.size() < 10 ? so_far.heard + 5s : so_far.sent;
    };
    const auto reply =
        co_await channels.Call(where, Wanted(1), std::move(limit));
    replied = reply.has_value();
    channels.Drop(where);
    while (!closed) {
      asio::steady_timer soon(context, 1ms);
      co_await soon.async_wait(kAwait);
    }
  }));
  BOOST_TEST(!replied);
  BOOST_TEST(heard.size() == 10u);
  BOOST_TEST(std::ranges::is_sorted(heard));
  BOOST_TEST(heard.back() >= 5000);
}

// What a server has to send counts as waiting until it is sent, but not for a
// receiver that takes nothing: it may be gone.
BOOST_AUTO_TEST_CASE(replies_that_wait_are_counted) {
  asio::io_context context(1);
  net::rpc_server server(context,
                         [](wire::envelope) -> asio::awaitable<wire::envelope> {
                           wire::mirror_entry entry;
                           entry.value = std::string(12'000'000, 'x');
                           wire::mirror_copy copy;
                           copy.entries.push_back(entry);
                           wire::envelope reply;
                           reply.__set_mirror(copy);
                           co_return reply;
                         });
  const base::endpoint where = *server.Start({"127.0.0.1", 0});
  asio::ip::tcp::socket silent(context);
  net::rpc_channel_set channels(context);
  std::int64_t waiting = 0;
  bool answered = false;
  bool forgotten = false;
  BOOST_TEST(Run(context, [&]() -> asio::awaitable<void> {
    co_await silent.async_connect(net::ToTcp(where), kAwait);
    // An envelope without a number asks for no reply.
    wire::envelope numbered = Wanted(1);
    numbered.call_id = 1;
    std::string call;
    net::detail::AppendFrame(call, wire::Encode(numbered));
    co_await asio::async_write(silent, asio::buffer(call), kAwait);
    asio::steady_timer soon(context);
    while (server.queued_bytes() == 0) {
      soon.expires_after(1ms);
      co_await soon.async_wait(kAwait);
    }
    waiting = server.queued_bytes();
    while (server.queued_bytes() > 0) {
      soon.expires_after(20ms);
      co_await soon.async_wait(kAwait);
    }
    forgotten = true;
    answered = (co_await channels.Call(where, Wanted(1), 5s)).has_value();
  }));
  BOOST_TEST(waiting > 1'000'000);
  BOOST_TEST(forgotten);
  BOOST_TEST(answered);
}

// Guards against memory that many connections take by frames of which only the
// announced size has come, or a part.
BOOST_AUTO_TEST_CASE(frames_that_do_not_end_hold_no_more_than_their_bound) {
  asio::io_context context(1);
  const auto memory = std::make_shared<base::memory_budget>(4 * 1024 * 1024);
  net::rpc_server server(context, AnswerBackwards, memory);
  const base::endpoint where = *server.Start({"127.0.0.1", 0});
  net::rpc_channel_set channels(context);
  std::vector<asio::ip::tcp::socket> senders;
  std::int64_t most = 0;
  int answered = 0;
  BOOST_TEST(Run(context, [&]() -> asio::awaitable<void> {
    for (int i = 0; i < 40; ++i) {
      auto& socket = senders.emplace_back(context);
      co_await socket.async_connect(net::ToTcp(where), kAwait);
      std::string bytes("\x00\xff\xff\xff", 4);
      bytes.append(i % 2 == 0 ? 0 : 512 * 1024, 'x');
      co_await asio::async_write(socket, asio::buffer(bytes), kAwait);
      const auto reply = co_await channels.Call(where, Wanted(i % 20), 5s);
      answered += reply ? 1 : 0;
      most = std::max(most, memory->held());
    }
  }));
  BOOST_TEST(answered == 40);
  BOOST_TEST(most > 1024 * 1024);
  BOOST_TEST(most <= memory->capacity());
  BOOST_TEST(memory->given_up() > 0);
}

// Guards against memory that replies take which their receivers do not read.
BOOST_AUTO_TEST_CASE(replies_that_nobody_reads_hold_no_more_than_their_bound) {
  asio::io_context context(1);
  const auto memory = std::make_shared<base::memory_budget>(16 * 1024 * 1024);
  net::rpc_server server(
      context,
      [](wire::envelope call) -> asio::awaitable<wire::envelope> {
        wire::mirror_entry entry;
        entry.value =
            std::string(static_cast<std::size_t>(call.table_wanted.since), 'x');
        wire::mirror_copy copy;
        copy.entries.push_back(entry);
        wire::envelope reply;
        reply.__set_mirror(copy);
        co_return reply;
      },
      memory);
  const base::endpoint where = *server.Start({"127.0.0.1", 0});
  net::rpc_channel_set channels(context);
  std::vector<asio::ip::tcp::socket> silent;
  wire::envelope numbered = Wanted(6'000'000);
  numbered.call_id = 1;
  std::string call;
  net::detail::AppendFrame(call, wire::Encode(numbered));
  std::int64_t most = 0;
  int answered = 0;
  BOOST_TEST(Run(context, [&]() -> asio::awaitable<void> {
    for (int i = 0; i < 10; ++i) {
      auto& socket = silent.emplace_back(context);
      co_await socket.async_connect(net::ToTcp(where), kAwait);
      co_await asio::async_write(socket, asio::buffer(call), kAwait);
      const auto reply = co_await channels.Call(where, Wanted(10), 5s);
      answered += reply ? 1 : 0;
      most = std::max(most, memory->held());
    }
  }));
  BOOST_TEST(answered == 10);
  BOOST_TEST(most > 6'000'000);
  BOOST_TEST(most <= memory->capacity());
  BOOST_TEST(memory->given_up() > 0);
}

BOOST_AUTO_TEST_CASE(nonsense_ends_its_connection_and_nothing_else) {
  asio::io_context context(1);
  net::rpc_server server(context, AnswerBackwards);
  const base::endpoint where = *server.Start({"127.0.0.1", 0});
  net::rpc_channel_set channels(context);
  bool closed = false;
  bool answered = false;
  BOOST_TEST(Run(context, [&]() -> asio::awaitable<void> {
    asio::ip::tcp::socket socket(context);
    co_await socket.async_connect(net::ToTcp(where), kAwait);
    const std::string bytes("\x00\x00\x00\x04\xff\xff\xff\xff", 8);
    co_await asio::async_write(socket, asio::buffer(bytes), kAwait);
    char byte = 0;
    const auto [failed, size] =
        co_await socket.async_read_some(asio::buffer(&byte, 1), kAwait);
    closed = static_cast<bool>(failed);
    const auto reply = co_await channels.Call(where, Wanted(3), 5s);
    answered = reply && reply->table.revision == 3;
  }));
  BOOST_TEST(closed);
  BOOST_TEST(answered);
}
