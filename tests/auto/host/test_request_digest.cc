// SPDX-License-Identifier: MIT
#include "host/request/request_digest.h"

#include <set>
#include <string>

#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge;
namespace http = boost::beast::http;

net::http_request Request(const std::string& target, const std::string& body) {
  auto request = net::MakeRequest(http::verb::post, target, body);
  request.set(http::field::host, "a.example");
  return request;
}

BOOST_AUTO_TEST_SUITE(request_digest)

BOOST_AUTO_TEST_CASE(attempts_of_one_caller_at_one_request_share_a_digest) {
  auto first = Request("/a/x?q=1", "body");
  first.set("X-Request-Id", "1");
  first.set("X-Deadline-Ms", "15000");
  first.set(http::field::connection, "keep-alive");
  auto second = Request("/a/x?q=1", "body");
  second.set("X-Request-Id", "2");
  second.set("X-Deadline-Ms", "9000");
  second.set(http::field::connection, "close");
  BOOST_TEST(host::DigestOf(first) == host::DigestOf(second));
}

BOOST_AUTO_TEST_CASE(any_other_difference_changes_the_digest) {
  std::set<std::uint64_t> digests;
  auto other_method = Request("/a/x", "body");
  other_method.method(http::verb::put);
  auto other_caller = Request("/a/x", "body");
  other_caller.set(http::field::authorization, "Bearer another");
  auto other_authority = Request("/a/x", "body");
  other_authority.set(http::field::host, "b.example");
  digests.insert(host::DigestOf(Request("/a/x", "body")));
  digests.insert(host::DigestOf(other_caller));
  digests.insert(host::DigestOf(Request("/a/x", "bodies")));
  digests.insert(host::DigestOf(Request("/a/x?q", "body")));
  digests.insert(host::DigestOf(Request("/a/xb", "ody")));
  digests.insert(host::DigestOf(other_method));
  digests.insert(host::DigestOf(other_authority));
  BOOST_TEST(digests.size() == 7u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
