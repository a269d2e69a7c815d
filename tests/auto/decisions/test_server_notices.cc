// SPDX-License-Identifier: MIT
#include "decisions/server_notices.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace std::chrono_literals;

const base::time_point kStart = base::time_point() + 1h;

response_notice Refusal(std::chrono::milliseconds backoff,
                        std::chrono::milliseconds received) {
  return {false, backoff, kStart + received};
}

BOOST_AUTO_TEST_SUITE(notices_of_servers)

BOOST_AUTO_TEST_CASE(responses_without_a_notice_change_nothing) {
  server_notices known;
  const notice_changes changes = Observe(known, {false, {}, kStart});
  BOOST_TEST(!changes.started_leaving);
  BOOST_TEST(!changes.started_backoff);
  BOOST_TEST(!known.leaving_since.has_value());
  BOOST_TEST(!IsBackingOff(known, kStart));
}

BOOST_AUTO_TEST_CASE(a_leaving_server_does_not_return_in_the_same_run) {
  server_notices known;
  BOOST_TEST(Observe(known, {true, {}, kStart}).started_leaving);
  BOOST_TEST(!Observe(known, {true, {}, kStart + 1s}).started_leaving);
  Observe(known, {false, {}, kStart + 2s});
  BOOST_REQUIRE(known.leaving_since.has_value());
  BOOST_TEST((*known.leaving_since == kStart));
}

BOOST_AUTO_TEST_CASE(the_latest_end_of_all_backoffs_counts) {
  server_notices known;
  BOOST_TEST(Observe(known, Refusal(3s, 0ms)).started_backoff);
  BOOST_TEST(!Observe(known, Refusal(1s, 100ms)).started_backoff);
  Observe(known, {false, {}, kStart + 200ms});
  Observe(known, Refusal(0ms, 300ms));
  BOOST_TEST(IsBackingOff(known, kStart + 2999ms));
  BOOST_TEST(!IsBackingOff(known, kStart + 3s));
  BOOST_TEST(Observe(known, Refusal(1s, 3s)).started_backoff);
  BOOST_TEST(IsBackingOff(known, kStart + 3900ms));
}

BOOST_AUTO_TEST_CASE(after_a_backoff_one_request_is_sent_as_a_trial) {
  server_notices known;
  BOOST_TEST(!BeginTrial(known, kStart));
  Observe(known, Refusal(1s, 0ms));
  BOOST_TEST(IsPaused(known, kStart + 900ms));
  BOOST_TEST(!IsPaused(known, kStart + 1s));
  BOOST_TEST(BeginTrial(known, kStart + 1s));
  BOOST_TEST(IsPaused(known, kStart + 1001ms));
  BOOST_TEST(!IsBackingOff(known, kStart + 1001ms));
  BOOST_TEST(!BeginTrial(known, kStart + 1001ms));
  EndTrial(known);
  BOOST_TEST(!IsPaused(known, kStart + 1010ms));
}

BOOST_AUTO_TEST_CASE(a_trial_without_a_response_does_not_hold_up_others) {
  server_notices known;
  Observe(known, Refusal(1s, 0ms));
  BeginTrial(known, kStart + 1s);
  BOOST_TEST(!IsPaused(known, kStart + 2s));
}

BOOST_AUTO_TEST_CASE(a_refused_trial_starts_the_next_backoff) {
  server_notices known;
  Observe(known, Refusal(1s, 0ms));
  BeginTrial(known, kStart + 1s);
  BOOST_TEST(Observe(known, Refusal(3s, 1010ms)).started_backoff);
  EndTrial(known);
  BOOST_TEST(IsBackingOff(known, kStart + 4s));
  BOOST_TEST(BeginTrial(known, kStart + 5s));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
