// SPDX-License-Identifier: MIT
// Messages survive encoding; other bytes are refused without harm.
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "wire/codec.h"

namespace {

using namespace valeledge;

wire::envelope Sample() {
  wire::grant_request grant;
  grant.request_id = "r";
  grant.avoid = {"a", "b"};
  grant.remaining_us = 1'000'000'000'000;
  wire::envelope out;
  out.call_id = 7;
  out.__set_grant(grant);
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_message_survives) {
  const auto read = wire::DecodeEnvelope(wire::Encode(Sample()));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == Sample()));
}

BOOST_AUTO_TEST_CASE(any_bytes_are_read_or_refused) {
  const bool held = rc::check("bytes", [] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    wire::DecodeEnvelope(bytes);
    wire::DecodeGossip(bytes);
    wire::DecodeCellLoad(bytes);
  });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(damaged_messages_are_read_or_refused) {
  const bool held = rc::check("damage", [] {
    std::string bytes = wire::Encode(Sample());
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    wire::DecodeEnvelope(bytes);
  });
  BOOST_TEST(held);
}
