// SPDX-License-Identifier: MIT
// Selection of engines for long prompts and long streams, and reports of them.
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include <boost/test/unit_test.hpp>

#include "host/process/prompt_history.h"
#include "host/process/separation_reports.h"
#include "registry_fixture.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(server_registry)

// A request with a long prompt; i-1 has less to process.
struct separation_fixture : registry_fixture {
  separation_fixture() {
    service.mixed_urgency = true;
    registry.SetStreamSeparation(host::feature_mode::kAuto);
    query.weight = {9000, 9050, 25us, {}};
    query.max_event_gap = 400ms;
    query.due = now + 800ms;
    registry.UpdateLoads("host-3", {Load("i-2", 1500)});
  }
  // Reports of another host about i-1.
  void Report(std::int32_t streams, std::int32_t prefill) {
    wire::server_load load = Load("i-1", 0);
    load.__set_long_streams(streams);
    load.__set_long_prefill_ms(prefill);
    registry.ReplaceLoads("host-2", {load});
  }
  decisions::separated_engine StateOf(const std::string& instance) {
    return host::server_registry::SeparatedOf(*registry.Find(instance),
                                              std::chrono::steady_clock::now());
  }
  std::optional<host::server_choice> Choice() {
    return registry.Choose(query, service, now, random);
  }
};

BOOST_AUTO_TEST_CASE(long_prompts_avoid_engines_with_long_streams) {
  separation_fixture setup;
  setup.Report(10, 400);
  const auto choice = setup.Choice();
  BOOST_REQUIRE(choice.has_value());
  BOOST_TEST(choice->server->entry.instance == "i-2");
  BOOST_REQUIRE(choice->separated.has_value());
  BOOST_TEST(
      (choice->separated->changed == decisions::separated_kind::kLongPrompt));
  BOOST_TEST((choice->separated->prefill == 225ms));
  setup.avoid = {"i-2"};
  BOOST_TEST(setup.Choose() == "i-1");
}

BOOST_AUTO_TEST_CASE(long_streams_avoid_engines_with_long_prompts) {
  separation_fixture setup;
  setup.Report(0, 1500);
  setup.query.weight = {800, 850, 25us, {}};
  BOOST_TEST(setup.Choose() == "i-1");
  setup.query.expected_events = 58;
  const auto choice = setup.Choice();
  BOOST_REQUIRE(choice.has_value());
  BOOST_TEST(choice->server->entry.instance == "i-2");
  BOOST_TEST(
      (choice->separated->changed == decisions::separated_kind::kLongStream));
  BOOST_TEST(choice->separated->stream_events == 58);
}

// Guards against costs that cannot be compared: without the pause cost only at
// an engine that is slow enough to make the prompt a long one.
BOOST_AUTO_TEST_CASE(the_pause_cost_counts_at_slow_and_fast_engines) {
  separation_fixture setup;
  setup.Report(1, 0);
  setup.registry.UpdateLoads("host-3", {Load("i-2", 0)});
  setup.registry.Find("i-2")->trust.slowdown = 1.2;
  setup.query.weight = {3000, 3050, 25us, {}};
  decisions::AddPromptRead(setup.registry.Find("i-1")->pace, 160ms, setup.now);
  decisions::AddPromptRead(setup.registry.Find("i-2")->pace, 400ms, setup.now);
  BOOST_TEST(setup.Choose() == "i-1");
}

// The same for an engine that has cached so much of a long prompt that the rest
// is not long.
BOOST_AUTO_TEST_CASE(the_pause_cost_of_long_prompts_counts_at_no_engine) {
  separation_fixture setup;
  wire::server_load load = Load("i-2", 0);
  load.__set_long_streams(1);
  setup.registry.UpdateLoads("host-3", {load});
  setup.head.prompt = {{1, 6000}};
  host::RecordPrompt(*setup.registry.Find("i-2"), setup.head, setup.now);
  setup.head.prompt.push_back({2, 3000});
  decisions::AddPromptRead(setup.registry.Find("i-2")->pace, 800ms, setup.now);
  const auto choice = setup.Choice();
  BOOST_REQUIRE(choice.has_value());
  BOOST_TEST(choice->server->entry.instance == "i-2");
  BOOST_TEST(
      (choice->separated->changed == decisions::separated_kind::kLongPrompt));
  BOOST_TEST(choice->separated->prefill.count() == 0);
}

// Guards services that do not use the feature, and hosts that switch it off,
// against any change.
BOOST_AUTO_TEST_CASE(without_the_feature_long_streams_change_nothing) {
  separation_fixture setup;
  setup.Report(10, 400);
  setup.registry.SetStreamSeparation(host::feature_mode::kOff);
  BOOST_TEST(setup.Choose() == "i-1");
  BOOST_TEST(!setup.Choice()->separated.has_value());
  setup.registry.SetStreamSeparation(host::feature_mode::kAuto);
  setup.service.mixed_urgency = false;
  BOOST_TEST(setup.Choose() == "i-1");
  const auto load = host::OwnLoad(*setup.registry.Find("i-1"));
  BOOST_TEST(!load.__isset.long_streams);
  BOOST_TEST(!load.__isset.long_prefill_ms);
}

BOOST_AUTO_TEST_CASE(reports_of_older_hosts_count_as_zero) {
  separation_fixture setup;
  setup.registry.ReplaceLoads("host-2", {Load("i-1", 0)});
  setup.registry.UpdateLoads("host-4", {Load("i-1", 0)});
  BOOST_TEST(setup.StateOf("i-1").long_streams == 0);
  BOOST_TEST(setup.StateOf("i-1").prefill_level.count() == 0);
  BOOST_TEST(setup.Choose() == "i-1");
}

BOOST_AUTO_TEST_CASE(invalid_reports_of_streams_and_prompts_count_as_absent) {
  separation_fixture setup;
  for (const std::int32_t bad : {-1, 2'000'000'000}) {
    setup.Report(bad, bad);
    BOOST_TEST(setup.StateOf("i-1").long_streams == 0);
    BOOST_TEST(setup.StateOf("i-1").prefill_level.count() == 0);
    wire::server_load load = Load("i-1", 0);
    load.__set_long_streams(bad);
    load.__set_long_prefill_ms(bad);
    BOOST_TEST(host::CountInvalidSeparation({load, Load("i-2", 0)}) == 2);
  }
}

// A host reports a server only while it has requests there. Its streams end
// with them; what its prompts cost decays.
BOOST_AUTO_TEST_CASE(streams_end_with_their_report_and_prefill_decays) {
  separation_fixture setup;
  setup.Report(3, 500);
  setup.Report(4, 600);
  BOOST_TEST(setup.StateOf("i-1").long_streams == 4);
  BOOST_TEST(setup.StateOf("i-1").prefill_level.count() == 600,
             boost::test_tools::tolerance(0.05));
  setup.registry.ReplaceLoads("host-2", {});
  BOOST_TEST(setup.StateOf("i-1").long_streams == 0);
  BOOST_TEST(setup.StateOf("i-1").prefill_level.count() > 500);
  setup.Report(4, 600);
  BOOST_TEST(setup.StateOf("i-1").prefill_level.count() == 600,
             boost::test_tools::tolerance(0.05));
  setup.registry.ForgetHost("host-2");
  BOOST_TEST(setup.StateOf("i-1").long_streams == 0);
  BOOST_TEST(setup.StateOf("i-1").prefill_level.count() < 1);
}

BOOST_AUTO_TEST_CASE(a_new_instance_has_no_streams_or_prompts) {
  separation_fixture setup;
  setup.registry.Find("i-1")->own.long_streams = 5;
  decisions::AddLongPrefill(setup.registry.Find("i-1")->own.long_prompts, 900ms,
                            std::chrono::steady_clock::now());
  catalog::backend_server entry = setup.registry.Find("i-1")->entry;
  setup.registry.Remove("i-1", false, 0ms, setup.now);
  setup.registry.Put(entry, setup.now);
  BOOST_TEST(setup.StateOf("i-1").long_streams == 0);
  BOOST_TEST(setup.StateOf("i-1").prefill_level.count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
