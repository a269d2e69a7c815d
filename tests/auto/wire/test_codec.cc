// SPDX-License-Identifier: MIT
// Messages survive encoding; other bytes are refused without harm.
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "wire/codec.h"
#include "wire/packing.h"

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

BOOST_AUTO_TEST_CASE(a_large_value_is_packed_and_unpacked) {
  std::string value;
  for (int i = 0; value.size() < 200'000; ++i)
    value += "{\"name\":\"r-" + std::to_string(i * 7919) + "\"},";
  const auto packed = wire::Pack(value);
  BOOST_REQUIRE(packed.has_value());
  BOOST_TEST(packed->size() < value.size() / 4);
  BOOST_TEST((wire::Unpack(*packed, value.size()) == value));
  // No more than allowed is unpacked, and nothing that is cut.
  BOOST_TEST(!wire::Unpack(*packed, value.size() - 1).has_value());
  const std::string_view cut(packed->data(), packed->size() - 1);
  BOOST_TEST(!wire::Unpack(cut, value.size()).has_value());
  BOOST_TEST(!wire::Unpack("", value.size()).has_value());
  // What is small stays as it is.
  BOOST_TEST(!wire::Pack(std::string(1000, 'x')).has_value());
}

BOOST_AUTO_TEST_CASE(damaged_packed_values_are_read_or_refused) {
  const std::string value(50'000, 'y');
  const std::string packed = *wire::Pack(value);
  const bool held = rc::check("damage", [&] {
    std::string bytes = packed;
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
    const auto read = wire::Unpack(bytes, value.size());
    RC_ASSERT(!read || read->size() <= value.size());
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
