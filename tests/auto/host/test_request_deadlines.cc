// SPDX-License-Identifier: MIT
// Callers get a response by their deadline, whatever the request waits for.
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "deadline_world.h"
#include "host/constants.h"

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using namespace valeledge;
using test::deadline_world;

// Callers are to have a response within half a second after the time-out, of
// which the way to them and back takes a part.
constexpr auto kMaxOverrun = 250ms;

// What a caller received, and how long after its request.
struct caller_view {
  int status = 0;
  bool broken = false;
  std::string retry_after;
  std::chrono::milliseconds after{0};
};

caller_view SendAndMeasure(deadline_world& here, const std::string& path) {
  const auto begun = std::chrono::steady_clock::now();
  const auto response = here.SendRequest(path);
  caller_view seen;
  seen.after = std::chrono::duration_cast<std::chrono::milliseconds>(
      response.ended_at - begun);
  seen.status = response.status;
  seen.broken = response.broken;
  seen.retry_after =
      std::string(response.fields[boost::beast::http::field::retry_after]);
  return seen;
}

void CheckOnTime(const deadline_world& here, const caller_view& seen) {
  BOOST_TEST(seen.after.count() <= (here.route_timeout + kMaxOverrun).count());
}

// A request that was not sent is rejected as such.
void CheckRejected(deadline_world& here, const caller_view& seen) {
  CheckOnTime(here, seen);
  BOOST_TEST(seen.status == 503);
  BOOST_TEST(!seen.retry_after.empty());
  BOOST_TEST(here.first.requests.empty());
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_request_that_waits_for_a_slot_ends_by_its_deadline) {
  deadline_world here;
  here.DelaySlots();
  CheckRejected(here, SendAndMeasure(here, "/once/"));
  // What is granted after the deadline is not used.
  here.core->acquire_slot = [&here](host::slot_request)
      -> asio::awaitable<base::result<std::shared_ptr<host::slot_handle>>> {
    co_await here.Delay();
    co_return std::shared_ptr<host::slot_handle>();
  };
  CheckRejected(here, SendAndMeasure(here, "/once/"));
}

// Servers have refused the request, so it has not run.
BOOST_AUTO_TEST_CASE(a_refused_request_that_waits_again_is_stated_as_not_run) {
  deadline_world here;
  here.first.script = {{test::kNotRunResponse}};
  here.AddServer("i-2", here.second.address());
  here.second.script = here.first.script;
  int slots = 1;
  here.core->acquire_slot = [&here, &slots](host::slot_request)
      -> asio::awaitable<base::result<std::shared_ptr<host::slot_handle>>> {
    if (slots-- <= 0)
      co_await here.Delay();
    co_return std::shared_ptr<host::slot_handle>();
  };
  const caller_view seen = SendAndMeasure(here, "/once/");
  CheckOnTime(here, seen);
  BOOST_TEST(seen.status == 503);
  BOOST_TEST(here.first.requests.size() + here.second.requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_stream_of_unknown_origin_ends_by_its_deadline) {
  deadline_world here;
  here.core->find_origin =
      [&here](std::optional<std::uint64_t>,
              std::string) -> asio::awaitable<decisions::origin_evidence> {
    co_await here.Delay();
    co_return decisions::origin_evidence();
  };
  here.added_fields = {{"Last-Event-Id", "3"}};
  CheckRejected(here, SendAndMeasure(here, "/resumed/"));
}

BOOST_AUTO_TEST_CASE(a_request_that_waits_for_an_adapter_ends_by_its_deadline) {
  deadline_world here;
  catalog::backend_server entry = here.AddEngine(1000ms)->entry;
  entry.models.push_back({"m", 0, {}});
  here.core->servers.Put(entry, std::chrono::steady_clock::now());
  here.model = "m/a";
  here.core->request_adapter = [&here](std::string, std::string, std::string,
                                       std::optional<std::string>,
                                       std::chrono::milliseconds)
      -> asio::awaitable<base::result<std::string>> {
    co_await here.Delay();
    co_return base::NotRun(base::result_code::kNoBackendServer, "no reply");
  };
  CheckRejected(here, SendAndMeasure(here, "/stream/"));
}

// Guards against a host that serves nothing else while a request waits for an
// adapter.
BOOST_AUTO_TEST_CASE(
    an_adapter_at_an_engine_without_its_model_delays_no_other_request) {
  deadline_world here;
  const auto begun = std::chrono::steady_clock::now();
  const auto replica = here.AddEngine(1000ms);
  catalog::backend_server entry = replica->entry;
  entry.models.push_back({"m", 0, {}});
  here.core->servers.Put(entry, begun);
  entry.instance = "i-2";
  here.core->servers.Put(entry, begun);
  // It has refused a request for the model.
  replica->residency_overrides[host::KeyOf("m")] = {false, begun};
  here.model = "m/a";
  int asked = 0;
  here.core->request_adapter = [&](std::string, std::string, std::string,
                                   std::optional<std::string>,
                                   std::chrono::milliseconds)
      -> asio::awaitable<base::result<std::string>> {
    ++asked;
    co_return "i-1";
  };
  std::chrono::steady_clock::duration other_after{0};
  asio::steady_timer other(here.context, begun + 100ms);
  other.async_wait([&](const boost::system::error_code&) {
    other_after = std::chrono::steady_clock::now() - begun;
  });
  CheckRejected(here, SendAndMeasure(here, "/stream/"));
  BOOST_TEST((other_after < 200ms));
  BOOST_TEST(asked > 1);
  const auto intervals = here.route_timeout / host::kSelectionRetryInterval;
  BOOST_TEST(asked <= intervals + 2);
}

// The stream has begun, so that it can only be broken off.
BOOST_AUTO_TEST_CASE(a_stream_that_does_not_end_is_broken_off_by_its_deadline) {
  deadline_world here;
  here.first.script = {{test::kStreamHeader + test::Chunk(test::Event(1)),
                        test::scripted_response::connection_action::kHang}};
  const caller_view seen = SendAndMeasure(here, "/stream/");
  CheckOnTime(here, seen);
  BOOST_TEST(seen.status == 200);
  BOOST_TEST(seen.broken);
}

BOOST_AUTO_TEST_CASE(a_request_without_a_response_ends_by_its_deadline) {
  deadline_world here;
  here.first.script = {{"", test::scripted_response::connection_action::kHang}};
  const caller_view seen = SendAndMeasure(here, "/once/");
  CheckOnTime(here, seen);
  BOOST_TEST(seen.status == 504);
}

// Guards against reading a refusal for as long as its server sends it.
BOOST_AUTO_TEST_CASE(a_refusal_whose_body_does_not_end_holds_no_request) {
  for (const std::string status :
       {"503 Service Unavailable", "421 Misdirected Request"}) {
    deadline_world here;
    here.AddServer("i-2", here.second.address());
    const std::string refusal = "HTTP/1.1 " + status +
                                "\r\nX-Not-Run: 1\r\nX-Request-Id: $ID\r\n"
                                "Content-Length: 100000\r\n\r\nx";
    here.first.script = {{refusal, {}, 50ms}};
    here.second.script = {{refusal, {}, 50ms}};
    const caller_view seen = SendAndMeasure(here, "/once/");
    CheckOnTime(here, seen);
    BOOST_TEST(seen.status == 503);
  }
}

// Guards against a refusal that delays the attempt at the next server.
BOOST_AUTO_TEST_CASE(
    a_refusal_with_a_slow_body_does_not_delay_the_next_attempt) {
  deadline_world here;
  here.AddServer("i-2", here.second.address());
  const std::string refusal =
      "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
      "X-Request-Id: $ID\r\nContent-Length: 100000\r\n\r\nx";
  // The server of the first attempt refuses, the other one responds.
  here.first.script = {{refusal, {}, 50ms}, {test::kWholeResponse}};
  here.second.script = here.first.script;
  here.first.on_request = [&here] { here.second.script.pop_front(); };
  here.second.on_request = [&here] { here.first.script.pop_front(); };
  const caller_view seen = SendAndMeasure(here, "/once/");
  BOOST_TEST(seen.after.count() <= 150);
  BOOST_TEST(seen.status == 200);
}
