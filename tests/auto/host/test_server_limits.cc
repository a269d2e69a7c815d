// SPDX-License-Identifier: MIT
// Rate limits that backend servers advertise, within one host.
#include <chrono>
#include <memory>
#include <string>

#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include "relay_world.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

std::string WithLimit(const std::string& limit) {
  const std::string field = "Server-Limit: " + limit + "\r\n";
  std::string out = kWholeResponse;
  return out.insert(out.find("Content-Length"), field);
}

BOOST_AUTO_TEST_SUITE(server_limits)

BOOST_AUTO_TEST_CASE(a_limit_is_known_until_a_response_lacks_it) {
  relay_world here;
  here.AddServer("i-1", here.first.address());
  here.core->acquire_permit = [](const auto&,
                                 std::int64_t) -> boost::asio::awaitable<bool> {
    co_return true;
  };
  here.first.script = {{WithLimit("50")}, {WithLimit("few")}, {kWholeResponse}};
  const auto server = here.core->servers.Find("i-1");
  const received_response seen = here.SendRequest("/once/");
  BOOST_TEST(seen.status == 200);
  BOOST_TEST(seen.fields["Server-Limit"] == "50");
  BOOST_REQUIRE(server->IsLimited());
  BOOST_TEST(server->advertised.limit->rate == 50);
  here.SendRequest("/once/");
  BOOST_TEST(server->IsLimited());
  BOOST_TEST(server->limit_unreadable);
  here.SendRequest("/once/");
  BOOST_TEST(!server->IsLimited());
}

// A request that cannot be sent in time is refused at once with a retry-after
// delay.
BOOST_AUTO_TEST_CASE(a_request_without_a_permit_is_refused_at_once) {
  relay_world here;
  here.AddServer("i-1", here.first.address());
  here.first.script = {{WithLimit("1")}};
  here.SendRequest("/once/");
  here.core->acquire_permit = [](std::shared_ptr<host::known_server> server,
                                 std::int64_t) -> boost::asio::awaitable<bool> {
    server->permit_retry_at = std::chrono::steady_clock::now() + 1100ms;
    co_return false;
  };
  const auto start = std::chrono::steady_clock::now();
  const received_response refused = here.SendRequest("/once/");
  BOOST_TEST((std::chrono::steady_clock::now() - start < 200ms));
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.body.find("2014") != std::string::npos);
  BOOST_TEST(!refused.fields[http::field::retry_after].empty());
  BOOST_TEST(here.first.requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(an_unlimited_server_receives_what_a_limited_one_cannot) {
  relay_world here;
  here.AddServer("i-1", here.first.address());
  here.first.script = {{WithLimit("1")}};
  here.SendRequest("/once/");
  here.AddServer("i-2", here.second.address());
  for (int i = 0; i < 10; ++i)
    BOOST_TEST(here.SendRequest("/once/").status == 200);
  BOOST_TEST(here.first.requests.size() == 1u);
  BOOST_TEST(here.second.requests.size() == 10u);
}

// The only engine with the model has no permit available, and another one loads
// the model.
BOOST_AUTO_TEST_CASE(a_request_without_a_permit_waits_for_a_replica_in_time) {
  relay_world here;
  here.AddEngine(10s);
  const auto load_model = [&here](const std::string& instance) {
    auto entry = here.core->servers.Find(instance)->entry;
    entry.models.push_back({here.model, 1, {}});
    here.core->servers.Put(entry, std::chrono::steady_clock::now());
  };
  load_model("i-1");
  here.AddServer("i-2", here.second.address());
  const auto start = std::chrono::steady_clock::now();
  const auto limited = here.core->servers.Find("i-1");
  limited->advertised.limit = {1, start};
  limited->permit_retry_at = start + 10s;
  const auto loading = here.core->servers.Find("i-2");
  loading->loads_due[host::KeyOf(here.model)] = start + 400ms;
  const received_response seen =
      here.SendRequest("/once/", [&](fake_responder&) {
        const auto waited = std::chrono::steady_clock::now() - start;
        if (waited >= 300ms && loading->entry.models.empty())
          load_model("i-2");
      });
  BOOST_TEST(seen.status == 200);
  BOOST_TEST(here.first.requests.empty());
  BOOST_TEST(here.second.requests.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
