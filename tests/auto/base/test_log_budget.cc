// SPDX-License-Identifier: MIT
#include "base/log_budget.h"

#include <unistd.h>

#include <csignal>

#include <boost/test/unit_test.hpp>

#include "base/logging.h"

namespace {

using namespace valeledge::base;

BOOST_AUTO_TEST_SUITE(log_lines)

BOOST_AUTO_TEST_CASE(are_bounded_and_trouble_is_kept_longest) {
  log_budget budget;
  const time_point now{std::chrono::seconds(9)};
  std::int64_t ordinary = 0;
  for (std::uint64_t hash = 0; hash < 10'000; ++hash)
    ordinary += TakeLine(budget, log_weight::kOrdinary, hash, now) ? 1 : 0;
  BOOST_TEST(ordinary == budget.lines_per_second);
  std::int64_t trouble = 0;
  for (std::uint64_t hash = 0; hash < 10'000; ++hash)
    trouble += TakeLine(budget, log_weight::kTrouble, hash, now) ? 1 : 0;
  BOOST_TEST(trouble == budget.lines_per_second);
  BOOST_TEST(TakeLeftOut(budget) == 20'000 - ordinary - trouble);
  BOOST_TEST(TakeLeftOut(budget) == 0);
  BOOST_TEST(TakeLine(budget, log_weight::kOrdinary, 1,
                      now + std::chrono::seconds(1)));
}

// Standard output is a pipe that nobody reads: logging goes on at once, and
// what does not fit is dropped and counted.
BOOST_AUTO_TEST_CASE(never_wait_for_a_reader) {
  int ends[2];
  BOOST_REQUIRE(pipe(ends) == 0);
  const int before = dup(STDOUT_FILENO);
  dup2(ends[1], STDOUT_FILENO);
  StartAsyncLogging(log_format::kJson, spdlog::level::info);
  for (int i = 0; i < 20'000; ++i)
    Log("test", log_event::kServerUp, {{"server", "i-1"}});
  BOOST_TEST(LinesDropped() > 0);
  dup2(before, STDOUT_FILENO);
  close(ends[1]);
  // Without its reader the pipe breaks, and the writer's thread ends.
  std::signal(SIGPIPE, SIG_IGN);
  close(ends[0]);
  StopLogging();
  close(before);
  StartLogging(log_format::kText, spdlog::level::info);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
