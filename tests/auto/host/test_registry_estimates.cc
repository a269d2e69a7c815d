// SPDX-License-Identifier: MIT
// Selection of engines by the speeds that all hosts together have estimated.
#include <cmath>
#include <string>

#include <boost/test/unit_test.hpp>

#include "registry_fixture.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(server_registry)

// An engine of which this host has seen one late response, and one that all
// hosts together have found to be slow.
struct estimates_fixture : registry_fixture {
  estimates_fixture() {
    service.mixed_urgency = true;
    registry.ReplaceLoads("host-2", {Load("i-1", 4000), Load("i-2", 4000)});
    registry.Find("i-1")->trust.slowdown = 3;
    decisions::engine_estimate& slow = registry.Find("i-2")->estimate;
    slow.log_factor = std::log(2.0);
    slow.weight = 16;
    slow.updated_at = now;
  }
  host::server_choice ChoiceOf(const std::string& instance) {
    avoid = {instance == "i-1" ? "i-2" : "i-1"};
    return *registry.Choose(query, service, now, random);
  }
};

BOOST_AUTO_TEST_CASE(shared_estimates_replace_the_slowdown_seen_by_one_host) {
  estimates_fixture setup;
  BOOST_TEST(setup.Choose() == "i-2");
  setup.registry.SetSharedEstimates(host::feature_mode::kAuto);
  BOOST_TEST(setup.Choose() == "i-1");
}

// The expected time that is compared with the actual one must not contain the
// factor, or the estimate would approach 1 for any engine.
BOOST_AUTO_TEST_CASE(expected_times_and_backlogs_contain_the_shared_factor) {
  estimates_fixture setup;
  setup.registry.SetSharedEstimates(host::feature_mode::kAuto);
  const auto usual = setup.ChoiceOf("i-1");
  const auto slow = setup.ChoiceOf("i-2");
  BOOST_TEST(slow.unscaled.count() == usual.unscaled.count(),
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(usual.expected.count() == usual.unscaled.count());
  const double factor =
      decisions::CurrentFactor(slow.server->estimate, setup.now);
  BOOST_TEST(factor > 1.8);
  BOOST_TEST(slow.expected / slow.unscaled == factor,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(slow.prefill_ahead / usual.prefill_ahead == factor,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(slow.shared_factor.value_or(0) == factor);
}

BOOST_AUTO_TEST_CASE(recent_prompts_cost_more_at_a_slow_engine) {
  estimates_fixture setup;
  setup.registry.SetSharedEstimates(host::feature_mode::kAuto);
  setup.query.weight.prompt_tokens = 0;
  setup.registry.ReplaceLoads("host-2", {});
  decisions::engine_estimate& slow = setup.registry.Find("i-2")->estimate;
  for (const std::string instance : {"i-1", "i-2"}) {
    decisions::AddPromptRead(setup.registry.Find(instance)->pace, 100ms,
                             setup.now);
  }
  BOOST_TEST(setup.Choose() == "i-1");
  slow.log_factor = std::log(0.5);
  BOOST_TEST(setup.Choose() == "i-2");
}

// Guards services that do not use the feature against any change.
BOOST_AUTO_TEST_CASE(other_services_ignore_shared_estimates) {
  estimates_fixture setup;
  setup.service.mixed_urgency = false;
  setup.registry.SetSharedEstimates(host::feature_mode::kAuto);
  BOOST_TEST(setup.Choose() == "i-2");
  const auto late = setup.ChoiceOf("i-1");
  BOOST_TEST(late.expected / late.unscaled == 3,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(late.prefill_ahead.count() == 200,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(!late.shared_factor);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
