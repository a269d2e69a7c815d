// SPDX-License-Identifier: MIT
#include "decisions/prompt_quarantine.h"

#include <algorithm>
#include <optional>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "decisions/prompt_judgement.h"
#include "decisions/prompt_quarantine_update.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;
using decisions::prompt_parts;

constexpr base::time_point kStart{100s};
constexpr std::uint64_t kRoute = 1;
constexpr std::uint64_t kDocument = 2;
constexpr std::uint64_t kOtherDocument = 3;
constexpr std::uint64_t kCause = 50;
constexpr std::uint64_t kOtherCause = 60;

// One host that receives all reports, in virtual time.
struct judging_host {
  judging_host() {
    for (std::uint64_t i = 0; i < decisions::kMaxRecentRequests; ++i)
      decisions::RecordPrompt(state, {kRoute, 9000 + i});
  }

  decisions::prompt_quarantine state;
  base::time_point now = kStart;
  std::int32_t crashed = 0;

  // A server crashes with these requests in flight.
  void Crash(const std::vector<prompt_parts>& requests) {
    ++crashed;
    for (prompt_parts parts : requests) {
      std::ranges::sort(parts);
      decisions::RecordPrompt(state, parts);
      decisions::RecordOutcome(state, parts, crashed, now);
      decisions::RecordPromptCrash(state, {crashed, now, parts}, now);
    }
  }

  // Servers run requests with these parts.
  void Serve(prompt_parts parts, int times = 1) {
    std::ranges::sort(parts);
    for (int i = 0; i < times; ++i) {
      decisions::RecordPrompt(state, parts);
      decisions::RecordOutcome(state, parts, std::nullopt, now);
    }
    decisions::ClearParts(state, parts, now);
  }

  std::vector<prompt_parts> JudgeAfter(base::time_point::duration time) {
    now += time;
    return decisions::JudgeSuspects(state, {.servers = 18}, now);
  }

  bool IsRefused(prompt_parts parts) const {
    std::ranges::sort(parts);
    return decisions::FindQuarantine(state, parts, now).has_value();
  }
};

BOOST_AUTO_TEST_SUITE(prompt_quarantine_rules)

BOOST_AUTO_TEST_CASE(a_part_common_to_three_crashes_is_quarantined) {
  judging_host here;
  for (std::uint64_t i = 0; i < 3; ++i) {
    BOOST_TEST(here.JudgeAfter(400ms).empty());
    here.Crash({{kRoute, kCause, 100 + i}, {kRoute, kDocument}, {200 + i}});
    here.Serve({kRoute, kDocument});
  }
  const auto quarantined = here.JudgeAfter(250ms);
  BOOST_REQUIRE(quarantined.size() == 1u);
  BOOST_TEST((quarantined.front() == prompt_parts{kCause}));
  BOOST_TEST(here.IsRefused({7, kCause, 9}));
  BOOST_TEST(!here.IsRefused({kRoute, kDocument}));
  BOOST_TEST(!here.IsRefused({100}));
}

BOOST_AUTO_TEST_CASE(crashes_are_judged_once_all_hosts_have_reported_them) {
  judging_host here;
  here.Serve({kRoute});
  for (int i = 0; i < 3; ++i) {
    here.now += 400ms;
    here.Serve({kRoute});
    // The report of the request that causes the crash comes last.
    here.Crash({{kDocument}});
    BOOST_TEST(here.JudgeAfter(50ms).empty());
    here.crashed -= 1;
    here.Crash({{kCause}});
  }
  // Both were in flight at all crashes, in different requests.
  BOOST_TEST(here.JudgeAfter(250ms).empty());
  here.Crash({{kCause}});
  const auto quarantined = here.JudgeAfter(250ms);
  BOOST_REQUIRE(quarantined.size() == 1u);
  BOOST_TEST((quarantined.front() == prompt_parts{kCause}));
}

BOOST_AUTO_TEST_CASE(simultaneous_crashes_count_as_one) {
  judging_host here;
  here.Serve({kOtherDocument});
  for (int i = 0; i < 40; ++i) {
    here.now += 2ms;
    here.Crash({{kRoute, kDocument}, {kRoute, kCause}});
  }
  here.Serve({kOtherDocument});
  BOOST_TEST(here.JudgeAfter(250ms).empty());
}

BOOST_AUTO_TEST_CASE(a_part_that_servers_run_is_not_quarantined) {
  judging_host here;
  for (int i = 0; i < 20; ++i) {
    here.Crash({{kRoute, kDocument}});
    BOOST_TEST(here.JudgeAfter(300ms).empty());
    here.Serve({kOtherDocument});
    here.Crash({{kRoute, kDocument}});
    BOOST_TEST(here.JudgeAfter(300ms).empty());
    here.Serve({kRoute, kDocument});
  }
}

// Reports are repeated, and arrive after the evidence against them.
BOOST_AUTO_TEST_CASE(repeated_reports_of_cleared_crashes_do_not_count) {
  judging_host here;
  std::vector<decisions::prompt_crash> reports;
  for (std::int32_t i = 0; i < 6; ++i) {
    here.now += 300ms;
    reports.push_back({i, here.now, {kRoute}});
    for (const auto& each : reports)
      decisions::RecordPromptCrash(here.state, each, here.now);
    here.Serve({kOtherDocument});
    here.now += 10ms;
    here.Serve({kRoute});
  }
  BOOST_TEST(here.JudgeAfter(250ms).empty());
}

// While no server runs anything, the parts of all requests look alike.
BOOST_AUTO_TEST_CASE(nothing_is_quarantined_while_servers_run_no_request) {
  judging_host here;
  for (int i = 0; i < 30; ++i) {
    here.Crash({{kRoute, kDocument}, {kRoute, kOtherDocument}});
    BOOST_TEST(here.JudgeAfter(300ms).empty());
  }
}

// A part that most requests have needs more evidence than a few requests of
// another kind.
BOOST_AUTO_TEST_CASE(
    a_common_part_is_quarantined_only_if_many_others_are_served) {
  judging_host here;
  for (int i = 0; i < 30; ++i)
    decisions::RecordPrompt(here.state, {7});
  for (std::uint64_t i = 0; i < 5; ++i) {
    here.Serve({7});
    here.Crash({{kRoute, 100 + i}, {kRoute, 200 + i}, {kRoute, 300 + i}});
    BOOST_TEST(here.JudgeAfter(300ms).empty());
  }
  here.Serve({7}, 40);
  BOOST_TEST(!here.JudgeAfter(300ms).empty());
  BOOST_TEST(here.IsRefused({kRoute}));
}

// A part that is in flight at every crash together with the cause cannot be
// distinguished from it. Requests with only one of the two are served.
BOOST_AUTO_TEST_CASE(requests_with_some_parts_of_a_combination_are_served) {
  judging_host here;
  for (int i = 0; i < 3; ++i) {
    here.Crash({{kRoute, kCause, kDocument}});
    here.JudgeAfter(300ms);
    here.Serve({kRoute, kOtherDocument});
  }
  here.JudgeAfter(300ms);
  BOOST_TEST(here.IsRefused({kRoute, kCause, kDocument}));
  BOOST_TEST(!here.IsRefused({kRoute, kDocument}));
  // One more crash shows that the cause needs no company.
  here.Crash({{kRoute, kCause}});
  here.JudgeAfter(300ms);
  BOOST_TEST(here.IsRefused({kCause}));
  BOOST_TEST(!here.IsRefused({kRoute, kDocument}));
}

BOOST_AUTO_TEST_CASE(two_causes_at_once_are_both_quarantined) {
  judging_host here;
  for (std::uint64_t i = 0; i < 8; ++i) {
    if (!here.IsRefused({kCause}))
      here.Crash({{kRoute, kCause}});
    here.JudgeAfter(250ms);
    here.Serve({kRoute, kDocument}, 3);
    if (!here.IsRefused({kOtherCause}))
      here.Crash({{kRoute, kOtherCause}});
    here.JudgeAfter(250ms);
    here.Serve({kRoute, kDocument}, 3);
  }
  BOOST_TEST(here.IsRefused({kCause}));
  BOOST_TEST(here.IsRefused({kOtherCause}));
  BOOST_TEST(!here.IsRefused({kRoute}));
  BOOST_TEST(here.crashed <= 12);
}

// Requests that were already at servers crash them after the quarantine began.
BOOST_AUTO_TEST_CASE(explained_crashes_do_not_count_against_other_parts) {
  judging_host here;
  decisions::RecordCombination(here.state, {kCause}, here.now);
  for (int i = 0; i < 10; ++i) {
    here.Crash({{kDocument}, {kRoute, kCause, kOtherDocument}, {kDocument}});
    here.Serve({kRoute});
    BOOST_TEST(here.JudgeAfter(300ms).empty());
  }
}

BOOST_AUTO_TEST_CASE(one_crash_after_expiry_or_release_quarantines_again) {
  for (const bool released : {false, true}) {
    judging_host here;
    BOOST_TEST(decisions::RecordCombination(here.state, {kCause}, here.now));
    BOOST_TEST(!decisions::RecordCombination(here.state, {kCause}, here.now));
    here.now += released ? 5s : 600s;
    if (released)
      decisions::ReleaseCombination(here.state, {kCause}, here.now);
    decisions::Sweep(here.state, here.now);
    BOOST_TEST(!here.IsRefused({kCause}));
    here.now += 1s;
    const auto again = decisions::RecordPromptCrash(
        here.state, {1, here.now, {kRoute, kCause}}, here.now);
    BOOST_TEST((again == prompt_parts{kCause}));
    BOOST_TEST(here.IsRefused({kCause}));
  }
}

BOOST_AUTO_TEST_CASE(suspects_and_combinations_are_bounded) {
  judging_host here;
  for (std::uint64_t part = 0; part < 10'000; ++part) {
    here.now += 1ms;
    here.Crash({{1000 + part}});
    decisions::RecordCombination(here.state, {100'000 + part}, here.now);
  }
  BOOST_TEST(here.state.suspects.size() == decisions::kMaxSuspects);
  BOOST_TEST(here.state.combinations.size() == decisions::kMaxCombinations);
  BOOST_TEST(here.state.suspects.contains(10'999));
  decisions::Sweep(here.state, here.now + 2 * decisions::kQuarantineDuration);
  BOOST_TEST(here.state.suspects.empty());
}

BOOST_AUTO_TEST_CASE(updates_are_bounded_and_preserve_times) {
  decisions::prompt_observations observations;
  prompt_parts parts;
  for (std::uint64_t part = 0; part < 32; ++part)
    parts.push_back(part << 40);
  for (std::int32_t server = 0; server < 9; ++server)
    observations.crashes.push_back({server, kStart, parts});
  observations.cleared = {kDocument};
  observations.quarantined = {{kCause, kOtherCause}};
  observations.failed_trials = {{{kCause}, 4}, {{kCause}, 5}};
  const auto updates = decisions::MakePromptUpdates(observations, kStart + 3s);
  BOOST_TEST(updates.size() == 5u);
  judging_host there;
  there.now = base::time_point{9000s};
  std::vector<prompt_parts> quarantined;
  std::vector<std::int32_t> failed_at;
  for (const auto& update : updates) {
    for (const auto& failed : decisions::ReportedFailedTrials(update)) {
      BOOST_TEST((failed.combination == prompt_parts{kCause}));
      failed_at.push_back(failed.server);
    }
    for (auto& each :
         decisions::ApplyPromptUpdate(there.state, update, there.now)
             .quarantined)
      quarantined.push_back(std::move(each));
  }
  BOOST_REQUIRE(quarantined.size() == 1u);
  BOOST_TEST((failed_at == std::vector<std::int32_t>{4, 5}));
  BOOST_TEST((quarantined.front() == prompt_parts{kCause, kOtherCause}));
  const auto& crashes = there.state.suspects.at(parts.back()).crashes;
  BOOST_TEST(crashes.size() == 9u);
  BOOST_TEST((crashes.front().at == there.now - 3s));
}

// Guards against evidence that counts crashes of only one part of a
// combination.
BOOST_AUTO_TEST_CASE(evidence_counts_the_crashes_of_the_whole_combination) {
  judging_host here;
  here.Crash({{kDocument}});
  for (int i = 0; i < 3; ++i) {
    here.now += 400ms;
    here.Crash({{kDocument, kCause}});
  }
  const auto evidence = decisions::EvidenceOf(here.state, {kDocument, kCause});
  BOOST_TEST(evidence.crashes == 3u);
  BOOST_TEST(evidence.engines == 3u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
