// SPDX-License-Identifier: MIT
#include "tools/ctl/explanation.h"

#include <sstream>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::ctl;

std::string Line(const std::string& second,
                 const std::string& category,
                 const std::string& name,
                 const std::string& more) {
  return R"(host-1 {"time":"2026-05-17T13:25:)" + second +
         R"(Z","level":"info","event":1,"name":")" + name +
         R"(","category":")" + category + "\"," + more + "}\n";
}

std::vector<log_line> Read(const std::string& text) {
  std::istringstream in(text);
  return ReadLogLines(in);
}

const std::string kSent = Line("10.100",
                               "request",
                               "AttemptSent",
                               R"("request":"r1","server":"i-1")");

BOOST_AUTO_TEST_SUITE(explanation)

BOOST_AUTO_TEST_CASE(tells_what_was_believed_of_the_requests_servers) {
  const auto trace = Explain(
      Read("no log line\n" + kSent +
           Line("09.000", "host", "ServerLeaving", R"("server":"i-1")") +
           Line("09.500", "host", "ServerLeaving", R"("server":"i-2")") +
           Line("01.000", "host", "ServerUp", R"("server":"i-1")") +
           Line("10.050", "lease", "LeaseGone", R"("term":3)")),
      "r1", 3);
  BOOST_REQUIRE(trace.size() == 3u);
  BOOST_TEST(trace.front().time == "2026-05-17T13:25:09.000Z");
  BOOST_TEST(trace.back().prefix == "host-1 ");
  BOOST_TEST(Explain(Read(kSent), "r2", 3).empty());
}

BOOST_AUTO_TEST_CASE(names_the_three_ways_to_fail) {
  const std::string failed =
      Line("10.300", "request", "AttemptFailed",
           R"("request":"r1","server":"i-1","reason":"end of stream")");
  const auto verdict = [&](const std::string& last) {
    const auto trace = Explain(Read(kSent + failed + last), "r1", 3);
    return Verdict(trace, "r1");
  };
  const auto refused = [&](const std::string& fields) {
    return Line("10.400", "request", "RequestRefused",
                R"("request":"r1","reason":"why",)" + fields);
  };
  BOOST_TEST(verdict(refused(R"("started":0,"outcome":"not_run")")) ==
             "refused as not run: why; last attempt at i-1: end of stream");
  BOOST_TEST(verdict(refused(R"("started":0,"outcome":"unknown")"))
                 .starts_with("failed after it had been sent: why"));
  BOOST_TEST(verdict(refused(R"("started":1,"outcome":"unknown")"))
                 .starts_with("broken off midway: why"));
  BOOST_TEST(verdict("").starts_with("no end is logged"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
