// SPDX-License-Identifier: MIT
// What a call to the store makes of a response whose head is invalid: the call
// may have had its effect.
#include "store_client.h"

#include <chrono>
#include <functional>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

#include "../host/backend_stand_in.h"

namespace {

namespace asio = boost::asio;
using namespace valeledge;
using namespace std::chrono_literals;

struct store_world {
  store_world() {
    server.script = {{"HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\n{}"}};
  }

  // Runs until the call ends, and checks that its outcome is unknown.
  void CheckUnknown(
      const std::function<asio::awaitable<base::error>()>& failed_call) {
    bool done = false;
    const auto call = [&]() -> asio::awaitable<void> {
      const base::error failed = co_await failed_call();
      BOOST_TEST((failed.code == base::result_code::kPlatformAnswerLost));
      BOOST_TEST((failed.what_ran == base::outcome::kUnknown));
      done = true;
    };
    asio::co_spawn(context, call, asio::detached);
    while (!done)
      BOOST_REQUIRE_NE(context.run_one_for(5s), 0u);
    BOOST_TEST(server.requests.size() == 1u);
  }

  asio::io_context context{1};
  test::backend_stand_in server{context};
  platform::store_client store{context, {.service = server.address()}};
};

template <typename value_type>
base::error ErrorOf(const base::result<value_type>& result) {
  return result ? base::error() : result.error();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(store_client_responses)

BOOST_AUTO_TEST_CASE(a_status_out_of_range_does_not_show_that_nothing_is_set) {
  store_world here;
  here.CheckUnknown([&here]() -> asio::awaitable<base::error> {
    store::kv_transaction write;
    write.conditions.push_back(store::Absent("op/x"));
    write.on_success.push_back(store::Put("op/x", "1"));
    const auto written = co_await here.store.Run(write);
    co_return ErrorOf(written);
  });
}

BOOST_AUTO_TEST_CASE(a_status_out_of_range_does_not_show_that_a_key_is_absent) {
  store_world here;
  here.CheckUnknown([&here]() -> asio::awaitable<base::error> {
    store::kv_transaction read;
    read.on_success.push_back(store::Get("op/x"));
    const auto found = co_await here.store.Run(read);
    co_return ErrorOf(found);
  });
}

BOOST_AUTO_TEST_CASE(a_status_out_of_range_does_not_end_a_lease) {
  store_world here;
  here.CheckUnknown([&here]() -> asio::awaitable<base::error> {
    const auto kept = co_await here.store.KeepLease(7);
    co_return ErrorOf(kept);
  });
}

BOOST_AUTO_TEST_CASE(a_status_out_of_range_does_not_show_that_a_lease_is_gone) {
  store_world here;
  here.CheckUnknown([&here]() -> asio::awaitable<base::error> {
    const auto revoked = co_await here.store.RevokeLease(7);
    co_return ErrorOf(revoked);
  });
}

BOOST_AUTO_TEST_SUITE_END()
