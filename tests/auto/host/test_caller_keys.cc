// SPDX-License-Identifier: MIT
// Callers authenticate with a key. Their workspace is forwarded to servers, the
// key never is.
#include <string>
#include <utility>
#include <vector>

#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include "host/request/caller_authentication.h"
#include "relay_world.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

using caller_fields = std::vector<std::pair<std::string, std::string>>;

// A host whose callers need keys.
struct keyed_world : relay_world {
  keyed_world() {
    configuration.needs_keys = true;
    configuration.workspaces.push_back({"choir", {"key-one", "key-two"}, 7});
    configuration.workspaces.push_back({"band", {"key-three"}, {}});
    configuration.keys = catalog::key_index(configuration.workspaces);
    core->settings.keys = {5s, 3s};
    SetFreshness(0s);
    AddServer("i-1", first.address());
  }

  // Sets the age of this host's knowledge of the keys.
  void SetFreshness(std::chrono::milliseconds age) {
    core->freshness.complete_as_of = base::boot_clock::now() - age;
  }

  received_response SendRequestAs(const caller_fields& fields,
                                  const std::string& path = "/once/") {
    added_fields = fields;
    return SendRequest(path);
  }
};

BOOST_AUTO_TEST_SUITE(caller_keys)

BOOST_AUTO_TEST_CASE(the_workspace_is_forwarded_and_the_key_is_not) {
  keyed_world here;
  for (const std::string key : {"key-one", "key-two"}) {
    BOOST_TEST(here.SendRequestAs({{"Api-Key", key}}).status == 200);
    const net::http_request& sent = here.first.requests.back();
    BOOST_TEST(sent["X-Tenant"] == "choir");
    BOOST_TEST(sent.count("Api-Key") == 0u);
  }
  BOOST_TEST(here.SendRequestAs({{"Api-Key", "key-three"}}).status == 200);
  BOOST_TEST(here.first.requests.back()["X-Tenant"] == "band");
}

BOOST_AUTO_TEST_CASE(callers_without_a_valid_key_are_refused) {
  keyed_world here;
  const std::vector<caller_fields> wrong = {
      {},
      {{"Api-Key", ""}},
      {{"Api-Key", "key-on"}},
      {{"Api-Key", "key-one "}, {"Api-Key", "key-one"}},
      {{"Api-Key", "key-one"}, {"Api-Key", "key-three"}},
      {{"X-Tenant", "choir"}},
  };
  for (const caller_fields& fields : wrong) {
    const received_response received = here.SendRequestAs(fields);
    BOOST_TEST(received.status == 401);
    BOOST_TEST(received.body.find("key-") == std::string::npos);
  }
  BOOST_TEST(here.first.requests.empty());
}

// Whatever a caller sends under the field names that the host sets, the server
// receives exactly one field with the host's value.
BOOST_AUTO_TEST_CASE(fields_set_by_the_host_override_caller_fields) {
  keyed_world here;
  const caller_fields key{{"Api-Key", "key-one"}};
  const std::vector<caller_fields> spoofs = {
      {{"X-Tenant", "band"}},
      {{"x-tenant", "band"}},
      {{"X-Tenant", "band"}, {"X-TENANT", "other"}},
      {{"X-Tenant", ""}},
      {{"Connection", "X-Tenant"}, {"X-Tenant", "band"}},
      {{"Connection", "close, x-tenant , x-expect-instance"}},
      {{"Connection", "api-key"}},
      {{"X-Expect-Instance", "i-2"}},
  };
  for (caller_fields fields : spoofs) {
    fields.insert(fields.end(), key.begin(), key.end());
    BOOST_TEST(here.SendRequestAs(fields).status == 200);
    const net::http_request& sent = here.first.requests.back();
    BOOST_TEST(sent.count("X-Tenant") == 1u);
    BOOST_TEST(sent["X-Tenant"] == "choir");
    BOOST_TEST(sent.count("Api-Key") == 0u);
    BOOST_TEST(sent["X-Expect-Instance"] == "i-1");
  }
}

// RFC 9110, 7.6.1.
BOOST_AUTO_TEST_CASE(hop_by_hop_fields_are_not_forwarded) {
  keyed_world here;
  here.SendRequestAs({{"Api-Key", "key-one"},
                      {"Connection", "keep-alive, X-Hop"},
                      {"Connection", "X-Request-Id, Host"},
                      {"X-Hop", "1"}});
  BOOST_REQUIRE(here.first.requests.size() == 1u);
  const net::http_request& sent = here.first.requests.back();
  BOOST_TEST(sent.count("X-Hop") == 0u);
  // These fields are meant for the server, even if the caller names them in
  // Connection.
  BOOST_TEST(sent["X-Request-Id"] == "9c41");
  BOOST_TEST(sent[http::field::host] == "a.example");
}

BOOST_AUTO_TEST_CASE(public_routes_need_no_key_and_forward_no_workspace) {
  keyed_world here;
  for (catalog::route& each : here.configuration.routes)
    each.is_public = true;
  here.SetFreshness(1h);
  BOOST_TEST(
      here.SendRequestAs({{"X-Tenant", "choir"}, {"Api-Key", "x"}}).status ==
      200);
  const net::http_request& sent = here.first.requests.back();
  BOOST_TEST(sent.count("X-Tenant") == 0u);
  BOOST_TEST(sent.count("Api-Key") == 0u);
}

BOOST_AUTO_TEST_CASE(without_workspaces_no_key_is_required) {
  relay_world here;
  here.AddServer("i-1", here.first.address());
  here.added_fields = {{"X-Tenant", "choir"}};
  BOOST_TEST(here.SendRequest("/once/").status == 200);
  BOOST_TEST(here.first.requests.back().count("X-Tenant") == 0u);
}

BOOST_AUTO_TEST_CASE(a_host_with_stale_keys_responds_503_instead_of_401) {
  keyed_world here;
  const caller_fields good{{"Api-Key", "key-one"}};
  const caller_fields unknown{{"Api-Key", "key-new"}};
  here.SetFreshness(4s);
  BOOST_TEST(here.SendRequestAs(good).status == 200);
  const received_response refused = here.SendRequestAs(unknown);
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(!refused.fields[http::field::retry_after].empty());
  here.SetFreshness(5s);
  BOOST_TEST(here.SendRequestAs(good).status == 503);
  BOOST_TEST(here.first.requests.size() == 1u);
  here.core->freshness.complete_as_of.reset();
  BOOST_TEST(here.SendRequestAs(good).status == 503);
  here.SetFreshness(0s);
  BOOST_TEST(here.SendRequestAs(good).status == 200);
}

BOOST_AUTO_TEST_CASE(a_workspaces_priority_overrides_the_routes) {
  keyed_world here;
  here.AddEngine(1s);
  here.configuration.routes.front().priority = 2;
  host::known_server& engine = *here.core->servers.Find("i-1");
  engine.residency_overrides[host::KeyOf("m")] = {
      true, std::chrono::steady_clock::now()};
  BOOST_TEST(here.SendRequestAs({{"Api-Key", "key-one"}}).status == 200);
  BOOST_TEST(here.first.requests.back()["X-Request-Priority"] == "7");
  BOOST_TEST(here.SendRequestAs({{"Api-Key", "key-three"}}).status == 200);
  BOOST_TEST(here.first.requests.back()["X-Request-Priority"] == "2");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
