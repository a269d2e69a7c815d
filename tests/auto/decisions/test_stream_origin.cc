// SPDX-License-Identifier: MIT
#include "decisions/stream_origin.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace std::chrono_literals;

const base::time_point kStart{1000s};
const stream_origin kFirst{"s", "v1"};
const stream_origin kOther{"s", "v1.1"};

BOOST_AUTO_TEST_SUITE(stream_origin_records)

BOOST_AUTO_TEST_CASE(an_origin_is_known_while_its_stream_may_be_resumed) {
  stream_origins origins;
  BOOST_TEST(!FindOrigin(origins, 7, kStart));
  RecordOrigin(origins, 7, kFirst, kStart);
  BOOST_TEST((FindOrigin(origins, 7, kStart + kOriginLifetime - 1s) == kFirst));
  BOOST_TEST(!FindOrigin(origins, 7, kStart + kOriginLifetime));
}

BOOST_AUTO_TEST_CASE(each_attempt_extends_the_lifetime) {
  stream_origins origins;
  RecordOrigin(origins, 7, kFirst, kStart);
  RecordOrigin(origins, 7, kFirst, kStart + 60s);
  RecordOrigin(origins, 8, kFirst, kStart + kOriginLifetime + 1s);
  BOOST_TEST((FindOrigin(origins, 7, kStart + kOriginLifetime + 1s) == kFirst));
}

BOOST_AUTO_TEST_CASE(the_origin_of_a_stream_does_not_change) {
  stream_origins origins;
  RecordOrigin(origins, 7, kFirst, kStart);
  RecordOrigin(origins, 7, kOther, kStart + 1s);
  BOOST_TEST((FindOrigin(origins, 7, kStart + 2s) == kFirst));
}

BOOST_AUTO_TEST_CASE(the_number_of_origins_is_bounded) {
  stream_origins origins;
  for (std::uint64_t i = 0; i < kMaxOrigins + 100; ++i)
    RecordOrigin(origins, i, kFirst, kStart);
  BOOST_TEST(origins.by_stream.size() <= kMaxOrigins + 1);
  BOOST_TEST((FindOrigin(origins, kMaxOrigins + 99, kStart) == kFirst));
}

BOOST_AUTO_TEST_CASE(expired_origins_are_dropped) {
  stream_origins origins;
  for (std::uint64_t i = 0; i < 100; ++i)
    RecordOrigin(origins, i, kFirst, kStart);
  RecordOrigin(origins, 100, kFirst, kStart + kOriginLifetime);
  BOOST_TEST(origins.by_stream.size() == 1u);
  BOOST_TEST(origins.records.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(stream_origin_certainty)

BOOST_AUTO_TEST_CASE(a_recorded_origin_is_certain) {
  origin_evidence evidence;
  evidence.recorded = kOther;
  evidence.software = {"v1", "v1.1"};
  BOOST_TEST((CertainOrigin(evidence, "s") == kOther));
}

BOOST_AUTO_TEST_CASE(the_only_version_is_certain_if_all_are_known) {
  origin_evidence evidence;
  evidence.software = {"v1"};
  BOOST_TEST(!CertainOrigin(evidence, "s"));
  evidence.is_complete = true;
  BOOST_TEST((CertainOrigin(evidence, "s") == kFirst));
}

BOOST_AUTO_TEST_CASE(none_of_several_versions_is_certain) {
  origin_evidence evidence;
  evidence.is_complete = true;
  BOOST_TEST(!CertainOrigin(evidence, "s"));
  evidence.software = {"v1", "v1.1"};
  BOOST_TEST(!CertainOrigin(evidence, "s"));
}

BOOST_AUTO_TEST_CASE(at_the_first_start_of_the_fleet_no_stream_is_older) {
  server_view view;
  BOOST_TEST(!CoversAllStreams(view, true, kStart));
  ObserveServerView(view, true, true, kStart);
  BOOST_TEST(CoversAllStreams(view, true, kStart));
}

BOOST_AUTO_TEST_CASE(a_host_that_has_restarted_does_not_know_older_streams) {
  server_view view;
  ObserveServerView(view, true, false, kStart);
  BOOST_TEST(!CoversAllStreams(view, true, kStart + 1s));
  for (auto now = kStart; now < kStart + kOriginLifetime; now += 1s)
    ObserveServerView(view, true, false, now);
  BOOST_TEST(CoversAllStreams(view, true, kStart + kOriginLifetime));
}

BOOST_AUTO_TEST_CASE(a_list_that_is_not_current_is_not_complete) {
  server_view view;
  ObserveServerView(view, true, true, kStart);
  BOOST_TEST(!CoversAllStreams(view, false, kStart + 1s));
}

BOOST_AUTO_TEST_CASE(
    versions_that_came_and_went_within_a_long_gap_are_unknown) {
  server_view view;
  ObserveServerView(view, true, true, kStart);
  ObserveServerView(view, true, true, kStart + 5s);
  BOOST_TEST(CoversAllStreams(view, true, kStart + 5s));
  ObserveServerView(view, false, true, kStart + 10s);
  ObserveServerView(view, true, true, kStart + 20s);
  BOOST_TEST(!CoversAllStreams(view, true, kStart + 20s));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
