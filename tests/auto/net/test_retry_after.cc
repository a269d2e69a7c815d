// SPDX-License-Identifier: MIT
#include "net/retry_after.h"

#include <initializer_list>

#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

namespace {

namespace http = boost::beast::http;
using namespace valeledge;
using namespace std::chrono_literals;

// 1994-11-15, 08:12:31 GMT.
const auto kNow = std::chrono::system_clock::from_time_t(784887151);

net::retry_after Read(std::initializer_list<const char*> values,
                      const char* date = nullptr) {
  net::http_response_header header;
  for (const char* value : values)
    header.insert(http::field::retry_after, value);
  if (date != nullptr)
    header.set(http::field::date, date);
  return net::ReadRetryAfter(header, kNow);
}

BOOST_AUTO_TEST_SUITE(retry_after)

BOOST_AUTO_TEST_CASE(seconds_are_read_with_fractions) {
  BOOST_TEST((Read({"3"}).delay == 3s));
  BOOST_TEST((Read({"0"}).delay == 0s));
  BOOST_TEST((Read({"0.25"}).delay == 250ms));
  BOOST_TEST((Read({"0.0001"}).delay == 1ms));
  BOOST_TEST((Read({"3600"}).delay == 1h));
  BOOST_TEST(!Read({"3"}).is_unreadable);
}

BOOST_AUTO_TEST_CASE(a_response_without_the_field_states_nothing) {
  BOOST_TEST(!Read({}).delay.has_value());
  BOOST_TEST(!Read({}).is_unreadable);
}

BOOST_AUTO_TEST_CASE(dates_are_relative_to_the_date_of_the_response) {
  BOOST_TEST((Read({"Tue, 15 Nov 1994 08:12:36 GMT"}).delay == 5s));
  BOOST_TEST(
      (Read({"Tue, 15 Nov 1994 08:12:36 GMT"}, "Tue, 15 Nov 1994 08:12:34 GMT")
           .delay == 2s));
  BOOST_TEST((Read({"Tue, 15 Nov 1994 08:12:00 GMT"}).delay == 0s));
}

BOOST_AUTO_TEST_CASE(the_longest_of_several_values_counts) {
  BOOST_TEST((Read({"1", "4", "2"}).delay == 4s));
  BOOST_TEST((Read({"soon", "2"}).delay == 2s));
}

BOOST_AUTO_TEST_CASE(very_long_delays_are_bounded) {
  BOOST_TEST((Read({"1e300"}).delay == net::kMaxRetryAfter));
  BOOST_TEST(
      (Read({"Wed, 15 Nov 2094 08:12:36 GMT"}).delay == net::kMaxRetryAfter));
}

BOOST_AUTO_TEST_CASE(other_values_are_unreadable) {
  for (const char* value : {"", "soon", "-1", "-0.5", "nan", "inf", "3s", "1 2",
                            "Tue, 15 Nov 1994"}) {
    BOOST_TEST_CONTEXT("'" << value << "'") {
      const auto read = Read({value});
      BOOST_TEST(!read.delay.has_value());
      BOOST_TEST(read.is_unreadable);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
