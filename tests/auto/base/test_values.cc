// SPDX-License-Identifier: MIT
#include <atomic>
#include <future>

#include <boost/test/unit_test.hpp>

#include "base/duration.h"
#include "base/duty.h"
#include "base/endpoint.h"
#include "base/identifier.h"
#include "base/json.h"
#include "base/metrics.h"

namespace {

using namespace valeledge::base;
using namespace std::chrono_literals;

}  // namespace

BOOST_AUTO_TEST_CASE(durations_are_read_with_their_units) {
  BOOST_TEST(ParseDuration("250ms")->count() == 250'000);
  BOOST_TEST(ParseDuration("1.5s")->count() == 1'500'000);
  BOOST_TEST(ParseDuration("2h")->count() == 7'200'000'000);
  for (const char* wrong : {"", "5", "ms", "-1s", "1 s", "1w", "1e99d", "nans"})
    BOOST_TEST(!ParseDuration(wrong).has_value(), wrong);
}

BOOST_AUTO_TEST_CASE(durations_are_written_as_they_are_read) {
  for (const std::chrono::microseconds each :
       {0us, 1us, 1000us, 1500us, 60'000'000us, 86'400'000'000us})
    BOOST_TEST(ParseDuration(FormatDuration(each))->count() == each.count());
}

BOOST_AUTO_TEST_CASE(retry_after_is_rounded_up) {
  BOOST_TEST(RoundUpToSeconds(1ms).count() == 1);
  BOOST_TEST(RoundUpToSeconds(1000ms).count() == 1);
  BOOST_TEST(RoundUpToSeconds(1001ms).count() == 2);
}

BOOST_AUTO_TEST_CASE(endpoints_are_ip_numbers_only) {
  BOOST_TEST(ToString(*ParseEndpoint("127.0.0.1:80")) == "127.0.0.1:80");
  BOOST_TEST(ToString(*ParseEndpoint("[::1]:80")) == "[::1]:80");
  for (const char* wrong :
       {"localhost:80", "127.0.0.1", "127.0.0.1:99999", "::1:80", ":80", ""})
    BOOST_TEST(!ParseEndpoint(wrong).has_value(), wrong);
}

BOOST_AUTO_TEST_CASE(a_full_ring_refuses) {
  duty one("one", 4);
  int ran = 0;
  int accepted = 0;
  for (int i = 0; i < 100; ++i)
    accepted += one.Submit([&ran] { ++ran; }) ? 1 : 0;
  BOOST_TEST(accepted < 100);
  BOOST_TEST(one.refused() == 100 - accepted);
  std::promise<void> drained;
  boost::asio::post(one.context(), [&] { drained.set_value(); });
  one.Start();
  drained.get_future().wait();
  one.Stop();
  BOOST_TEST(ran == accepted);
}

BOOST_AUTO_TEST_CASE(every_refusal_reason_has_a_counter) {
  metrics all;
  for (const result_code_entry& each : ResultCodes())
    all.CountRefusal(each.code);
  const std::string text = all.Render();
  for (const result_code_entry& each : ResultCodes()) {
    const std::string line = "valeledge_refusals_total{reason=\"" +
                             std::string(each.name) + "\"} 1\n";
    BOOST_TEST(text.find(line) != std::string::npos, line);
  }
}

BOOST_AUTO_TEST_CASE(percentiles_come_from_what_was_recorded) {
  distribution values;
  for (int i = 1; i <= 1000; ++i)
    values.Record(std::chrono::milliseconds(i));
  BOOST_TEST(values.Count() == 1000);
  BOOST_TEST(values.Quantile(0.5) > 450ms);
  BOOST_TEST(values.Quantile(0.5) < 550ms);
  BOOST_TEST(values.Quantile(0.99) > 950ms);
}

BOOST_AUTO_TEST_CASE(json_that_is_nested_too_deeply_is_refused) {
  std::string deep;
  for (int i = 0; i < 100; ++i)
    deep += "{\"a\":";
  deep += "1" + std::string(100, '}');
  BOOST_TEST(!ParseJsonObject(deep).has_value());
  BOOST_TEST(!ParseJsonObject("[1]").has_value());
  BOOST_TEST(ParseJsonObject("{\"a\":1}").has_value());
}

BOOST_AUTO_TEST_CASE(numbers_are_written_in_sixteen_digits) {
  BOOST_TEST(HexText(0xab) == "00000000000000ab");
  BOOST_TEST(HexText(0xfedcba9876543210) == "fedcba9876543210");
}
