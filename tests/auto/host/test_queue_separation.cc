// SPDX-License-Identifier: MIT
// Separation of long prompts and long streams by the owner of a queue.
#include <boost/test/unit_test.hpp>

#include "queue_world.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using namespace std::chrono_literals;

// Two engines of which the first one runs long streams, and the second one
// processes a prompt.
void ReportStreams(queue_world& world) {
  world.AddEngine("e2");
  world.ReportLoad("e2", 1, kPrompt);
  wire::server_load load;
  load.server = host::KeyOf("e1");
  load.running = 1;
  load.__set_long_streams(1000);
  load.__set_long_prefill_ms(1000);
  for (auto& each : world.hosts) {
    each.core->servers.SetStreamSeparation(host::feature_mode::kAuto);
    each.core->servers.UpdateLoads("other", {load});
  }
}

BOOST_AUTO_TEST_SUITE(engine_queue_services)

// Guards against requests of hosts that have not stated the field, such as
// those that cannot be refused, which wait for another engine although they are
// late already.
BOOST_AUTO_TEST_CASE(only_requests_that_state_their_events_are_separated) {
  queue_world world;
  ReportStreams(world);
  auto request = queue_world::Request(1, 2s);
  request.tokens_to_read = 9190;
  request.expected_events = 0;
  const auto separated = world.AskQueued(2, request, 1);
  request.left = 8s;
  request.expected_events.reset();
  const auto other = world.Ask(2, request);
  BOOST_TEST((world.Await(other) == engine_place_verdict::kGranted));
  BOOST_TEST(other->answer->place->server() == "e1");
  BOOST_TEST(!separated->answer);
  world.ReportLoad("e2", 1, 0);
  BOOST_TEST((world.Await(separated) == engine_place_verdict::kGranted));
  BOOST_TEST(separated->answer->place->server() == "e2");
}

// Guards against a stream that is long for its host and short for the owner.
BOOST_AUTO_TEST_CASE(a_stream_of_slightly_more_than_20_events_is_long) {
  queue_world world;
  ReportStreams(world);
  wire::server_load load;
  load.server = host::KeyOf("e1");
  load.running = 1;
  load.__set_long_prefill_ms(1900);
  for (auto& each : world.hosts)
    each.core->servers.UpdateLoads("other", {load});
  auto request = queue_world::Request(1, 2s);
  request.tokens_to_read = 826;
  request.expected_events = 20.3;
  const auto asked = world.AskQueued(2, request, 1);
  world.ReportLoad("e2", 1, 0);
  BOOST_TEST((world.Await(asked) == engine_place_verdict::kGranted));
  BOOST_TEST(asked->answer->place->server() == "e2");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
