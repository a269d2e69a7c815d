// SPDX-License-Identifier: MIT
// Queues for engines, between hosts that ask for an engine and the owner of the
// queue, and what callers get.
#include "host/process/engine_queue_client.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

#include "host/process/engine_queue_owner.h"
#include "relay_world.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;
using host::engine_place_verdict;

constexpr std::int32_t kPrompt = 2890;

// Three hosts in one process; the first two may own the queue, in this order.
struct queue_world {
  static constexpr std::size_t kHosts = 3;
  // How calls to a host end.
  enum class reachability { kAnswers, kFails, kSilent, kOlderBuild };

  struct one_host {
    base::endpoint address;
    std::unique_ptr<host::host_core> core;
    std::unique_ptr<host::engine_queue_groups> groups;
    std::unique_ptr<host::engine_queue_owner> owner;
    std::unique_ptr<host::engine_queue_client> client;
    reachability state = reachability::kAnswers;
    int suspicions = 0;
    int ends = 0;
    // Loads that it has reported at once.
    std::vector<wire::server_load> reported;
  };

  queue_world() {
    catalog::service service;
    service.name = "s";
    service.mixed_urgency = true;
    service.engines.slots = 32;
    service.engines.token_memory = 167'040;
    service.engines.models.push_back({.name = "m"});
    configuration.services.push_back(service);
    for (std::size_t i = 0; i < kHosts; ++i)
      AddHost(i);
    Configure();
    AddEngine("e1");
  }

  void AddHost(std::size_t index) {
    one_host& added = hosts[index];
    added.address = {"10.0.0." + std::to_string(index + 1), 1};
    host::host_settings settings;
    settings.peer_listen = added.address;
    added.core = std::make_unique<host::host_core>(context, settings,
                                                   platform::MakeDialect());
    added.core->load_changed = [&added](const host::known_server& server) {
      added.reported.push_back(host::OwnLoad(server));
    };
    const auto owners = [this](const std::string&) {
      return std::vector<base::endpoint>{hosts[0].address, hosts[1].address};
    };
    added.groups =
        std::make_unique<host::engine_queue_groups>(*added.core, owners);
    added.owner =
        std::make_unique<host::engine_queue_owner>(*added.core, *added.groups);
    host::engine_queue_links links;
    links.suspect = [&added](const base::endpoint&) { ++added.suspicions; };
    links.call = [this](base::endpoint to, wire::envelope call,
                        std::chrono::microseconds timeout) {
      return Call(std::move(to), std::move(call), timeout);
    };
    added.client = std::make_unique<host::engine_queue_client>(
        *added.core, *added.groups, *added.owner, std::move(links));
  }

  boost::asio::awaitable<base::result<wire::envelope>> Call(
      base::endpoint to,
      wire::envelope call,
      std::chrono::microseconds timeout) {
    one_host& called = *std::ranges::find(hosts, to, &one_host::address);
    wire::envelope reply;
    if (called.state == reachability::kOlderBuild)
      co_return reply;
    if (called.state == reachability::kSilent) {
      boost::asio::steady_timer timer(context, timeout);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    if (called.state != reachability::kAnswers)
      co_return base::NotRun(base::result_code::kPeerUnreachable, "no answer");
    if (call.__isset.engine_place_wanted) {
      const auto place = co_await called.owner->HandleQuestion(
          std::move(call.engine_place_wanted));
      reply.__set_engine_place(place);
    } else {
      called.ends += call.engine_place_ended.number > 0 ? 1 : 0;
      called.owner->HandleEnd(call.engine_place_ended);
    }
    co_return reply;
  }

  void Configure() {
    for (one_host& each : hosts)
      each.core->configuration =
          std::make_shared<const catalog::configuration>(configuration);
  }

  void AddEngine(const std::string& instance) {
    catalog::backend_server entry;
    entry.instance = instance;
    entry.service = "s";
    entry.slots = 32;
    entry.models.push_back({"m", 1, {}});
    for (one_host& each : hosts)
      each.core->servers.Put(entry, std::chrono::steady_clock::now());
  }

  // All hosts receive a report of a fourth one.
  void ReportLoad(const std::string& instance,
                  std::int32_t running,
                  std::int32_t unread_tokens) {
    wire::server_load load;
    load.server = host::KeyOf(instance);
    load.running = running;
    load.unread_tokens = unread_tokens;
    for (one_host& each : hosts)
      each.core->servers.UpdateLoads("other", {load});
  }

  static host::engine_place_request Request(std::int64_t priority,
                                            std::chrono::milliseconds left) {
    host::engine_place_request request;
    request.service = "s";
    request.model = "m";
    request.priority = priority;
    request.left = left;
    request.tokens_to_read = kPrompt;
    request.tokens_to_hold = kPrompt + 50;
    request.token_time = std::chrono::duration<double, std::milli>(1 / 38.7);
    request.event_gap = 400ms;
    request.best = "e1";
    return request;
  }

  // One question; `answer` is set once it has been answered.
  struct pending {
    std::optional<host::engine_place_result> answer;
    base::time_point answered_at;
    bool withdrawn = false;
  };

  std::shared_ptr<pending> Ask(std::size_t index,
                               host::engine_place_request request) {
    auto out = std::make_shared<pending>();
    request.is_withdrawn = [out] { return out->withdrawn; };
    boost::asio::co_spawn(context,
                          hosts[index].client->Acquire(std::move(request)),
                          [out](const std::exception_ptr& thrown,
                                host::engine_place_result answer) {
                            BOOST_TEST((thrown == nullptr));
                            out->answer = std::move(answer);
                            out->answered_at = std::chrono::steady_clock::now();
                          });
    return out;
  }

  template <typename predicate>
  void RunUntil(const predicate& is_done) {
    context.restart();
    while (!is_done())
      BOOST_REQUIRE_NE(context.run_one_for(std::chrono::seconds(20)), 0u);
  }

  engine_place_verdict Await(const std::shared_ptr<pending>& question) {
    RunUntil([&] { return question->answer.has_value(); });
    return question->answer->verdict;
  }

  // Runs until a question is in the queue of the first host.
  void AwaitWaiting(std::int64_t count) {
    RunUntil([&] { return Waiting() == count; });
  }

  std::int64_t Waiting() {
    hosts[0].owner->Tick(std::chrono::steady_clock::now());
    return hosts[0]
        .core->metrics.Gauge("valeledge_engine_queue_waiting", "s")
        .value;
  }

  std::int64_t CountOf(std::size_t index,
                       std::string_view metric,
                       std::string_view label) {
    return hosts[index].core->metrics.Counter(metric, label).value;
  }

  boost::asio::io_context context{1};
  catalog::configuration configuration;
  std::array<one_host, kHosts> hosts;
};

BOOST_AUTO_TEST_SUITE(engine_queue_services)

BOOST_AUTO_TEST_CASE(an_idle_engine_is_granted_at_once) {
  queue_world world;
  const auto asked = world.Ask(2, queue_world::Request(1, 800ms));
  BOOST_TEST((world.Await(asked) == engine_place_verdict::kGranted));
  BOOST_TEST(asked->answer->place->server() == "e1");
  // The owner's own requests are queued with those of the others.
  const auto own = world.Ask(0, queue_world::Request(1, 800ms));
  world.AwaitWaiting(1);
  // A place that is not used is granted to the next request.
  asked->answer->place.reset();
  BOOST_TEST((world.Await(own) == engine_place_verdict::kGranted));
  BOOST_TEST(world.hosts[0].ends == 1);
}

// Guards against requests that are sent in the order of their hosts' timers.
BOOST_AUTO_TEST_CASE(requests_of_all_hosts_are_granted_by_priority) {
  queue_world world;
  world.ReportLoad("e1", 4, 8000);
  const auto patient = world.Ask(2, queue_world::Request(2, 8s));
  world.AwaitWaiting(1);
  const auto urgent = world.Ask(1, queue_world::Request(0, 2s));
  world.AwaitWaiting(2);
  world.ReportLoad("e1", 4, 0);
  BOOST_TEST((world.Await(urgent) == engine_place_verdict::kGranted));
  BOOST_TEST(!patient->answer);
  // The report shows the granted request, and then that it has been read.
  world.ReportLoad("e1", 5, kPrompt);
  world.ReportLoad("e1", 5, 0);
  BOOST_TEST((world.Await(patient) == engine_place_verdict::kGranted));
}

// Guards against newcomers elsewhere that see a free engine while requests wait
// for it, and against hosts of older builds that overtake those.
BOOST_AUTO_TEST_CASE(other_hosts_see_the_queue) {
  queue_world world;
  world.ReportLoad("e1", 4, 8000);
  const auto waiting = world.Ask(2, queue_world::Request(1, 2s));
  world.AwaitWaiting(1);
  const auto& reported = world.hosts[0].reported;
  BOOST_REQUIRE_EQUAL(reported.size(), 1u);
  BOOST_TEST(reported.front().queued_tokens == kPrompt);
  // An older build reads it as tokens that were sent.
  BOOST_TEST(reported.front().unread_tokens == kPrompt);
  auto& servers = world.hosts[1].core->servers;
  servers.UpdateLoads("10.0.0.1", reported);
  BOOST_TEST(servers.Find("e1")->HasQueue());
  BOOST_TEST(servers.Find("e1")->others.unread_tokens == 8000);
  // The periodic report contains it as well, and the owner's end clears it.
  BOOST_TEST(world.hosts[0].core->servers.OwnLoads().size() == 1u);
  servers.ForgetHost("10.0.0.1");
  BOOST_TEST(!servers.Find("e1")->HasQueue());
}

// Guards against hosts that receive no direct reports and see free engines, and
// against engines that seem to have a queue for ever.
BOOST_AUTO_TEST_CASE(all_hosts_are_told_which_engines_have_a_queue) {
  queue_world world;
  std::vector<std::int64_t> told;
  world.hosts[0].core->queues_changed = [&](const auto& servers) {
    for (const auto& each : servers)
      told.push_back(each->own.queued_tokens);
  };
  world.ReportLoad("e1", 4, 8000);
  const auto asked = world.Ask(2, queue_world::Request(1, 2s));
  world.AwaitWaiting(1);
  BOOST_TEST(told == std::vector<std::int64_t>{kPrompt});
  world.ReportLoad("e1", 4, 0);
  world.Await(asked);
  // The queue is shown for a second.
  world.hosts[0].owner->Tick(std::chrono::steady_clock::now());
  BOOST_TEST(told.size() == 1u);
  world.hosts[0].owner->Tick(std::chrono::steady_clock::now() + 2s);
  BOOST_REQUIRE_EQUAL(told.size(), 2u);
  BOOST_TEST(told.back() == 0);
}

BOOST_AUTO_TEST_CASE(requests_that_cannot_be_in_time_are_refused_at_once) {
  queue_world world;
  world.ReportLoad("e1", 4, 40'000);
  const auto asked = world.Ask(2, queue_world::Request(1, 500ms));
  BOOST_TEST((world.Await(asked) == engine_place_verdict::kRefused));
  BOOST_TEST(asked->answer->retry_after.count() >= 900);
  BOOST_TEST(world.Waiting() == 0);
}

// Guards against capacity that is reserved for a caller that has disconnected.
BOOST_AUTO_TEST_CASE(the_place_of_a_withdrawn_request_is_released) {
  queue_world world;
  world.ReportLoad("e1", 4, 8000);
  const auto gone = world.Ask(2, queue_world::Request(0, 2s));
  world.AwaitWaiting(1);
  const auto next = world.Ask(1, queue_world::Request(1, 2s));
  world.AwaitWaiting(2);
  gone->withdrawn = true;
  BOOST_TEST((world.Await(gone) == engine_place_verdict::kWithdrawn));
  world.AwaitWaiting(1);
  world.ReportLoad("e1", 4, 0);
  BOOST_TEST((world.Await(next) == engine_place_verdict::kGranted));
}

// The owner was killed: connections to it fail.
BOOST_AUTO_TEST_CASE(the_next_owner_is_asked_after_one_was_killed) {
  queue_world world;
  world.hosts[0].state = queue_world::reachability::kFails;
  const auto first = world.Ask(2, queue_world::Request(1, 800ms));
  BOOST_TEST((world.Await(first) == engine_place_verdict::kNoOwner));
  BOOST_TEST(world.hosts[2].suspicions == 1);
  const auto second = world.Ask(2, queue_world::Request(1, 800ms));
  BOOST_TEST((world.Await(second) == engine_place_verdict::kGranted));
}

// The owner was suspended, or is partitioned, while a request waits there.
// Guards against a request that waits for its whole time.
BOOST_AUTO_TEST_CASE(a_silent_owner_is_given_up_within_250_ms) {
  queue_world world;
  world.ReportLoad("e1", 4, 8000);
  const auto waiting = world.Ask(2, queue_world::Request(1, 8s));
  world.AwaitWaiting(1);
  const auto silent_at = std::chrono::steady_clock::now();
  world.hosts[0].state = queue_world::reachability::kSilent;
  BOOST_TEST((world.Await(waiting) == engine_place_verdict::kNoOwner));
  // One interval of the check is added to 250 ms; the rest is for the machine.
  BOOST_TEST((waiting->answered_at - silent_at).count() <= 600'000'000);
  const auto next = world.Ask(2, queue_world::Request(1, 8s));
  world.ReportLoad("e1", 4, 0);
  BOOST_TEST((world.Await(next) == engine_place_verdict::kGranted));
  BOOST_TEST(world.hosts[2].suspicions == 1);
}

// Guards against an owner that is given up because its queue is long.
BOOST_AUTO_TEST_CASE(an_owner_that_answers_probes_is_not_given_up) {
  queue_world world;
  world.ReportLoad("e1", 4, 8000);
  const auto waiting = world.Ask(2, queue_world::Request(1, 900ms));
  BOOST_TEST((world.Await(waiting) == engine_place_verdict::kGranted));
  BOOST_TEST(world.hosts[2].suspicions == 0);
}

// A partition leaves two owners. Guards against more than one excess request
// for each engine and owner before the next load report.
BOOST_AUTO_TEST_CASE(two_owners_grant_one_request_each) {
  queue_world world;
  world.hosts[0].state = queue_world::reachability::kFails;
  world.Await(world.Ask(2, queue_world::Request(1, 800ms)));
  std::vector<std::shared_ptr<queue_world::pending>> asked;
  for (int i = 0; i < 4; ++i) {
    asked.push_back(world.Ask(0, queue_world::Request(1, 8s)));
    asked.push_back(world.Ask(2, queue_world::Request(1, 8s)));
  }
  world.RunUntil([&] {
    return std::ranges::count_if(asked, [](const auto& each) {
             return each->answer.has_value();
           }) == 2;
  });
  BOOST_TEST((*asked[0]->answer).place->server() == "e1");
  BOOST_TEST((*asked[1]->answer).place->server() == "e1");
}

// Guards against grants for an engine that has ended.
BOOST_AUTO_TEST_CASE(requests_move_on_after_their_engine_has_ended) {
  queue_world world;
  world.ReportLoad("e1", 4, 8000);
  const auto waiting = world.Ask(2, queue_world::Request(1, 2s));
  world.AwaitWaiting(1);
  world.AddEngine("e2");
  for (auto& each : world.hosts)
    each.core->servers.Remove("e1", false, 0ms,
                              std::chrono::steady_clock::now());
  BOOST_TEST((world.Await(waiting) == engine_place_verdict::kGranted));
  BOOST_TEST(waiting->answer->place->server() == "e2");
}

// The store is unavailable: entries lapse and are used for their grace period.
BOOST_AUTO_TEST_CASE(an_unavailable_store_has_no_effect) {
  queue_world world;
  for (auto& each : world.hosts) {
    each.core->is_stale = [] { return true; };
    each.core->servers.Remove("e1", true, 10s,
                              std::chrono::steady_clock::now());
  }
  const auto asked = world.Ask(2, queue_world::Request(1, 800ms));
  BOOST_TEST((world.Await(asked) == engine_place_verdict::kGranted));
}

// A host of an older build does not know the question.
BOOST_AUTO_TEST_CASE(an_owner_of_an_older_build_leaves_the_choice_to_the_host) {
  queue_world world;
  world.hosts[0].state = queue_world::reachability::kOlderBuild;
  const auto asked = world.Ask(2, queue_world::Request(1, 800ms));
  BOOST_TEST((world.Await(asked) == engine_place_verdict::kNoOwner));
}

BOOST_AUTO_TEST_CASE(nothing_is_queued_if_the_feature_is_off) {
  queue_world world;
  world.configuration.services.front().mixed_urgency = false;
  world.Configure();
  const auto asked = world.Ask(2, queue_world::Request(1, 800ms));
  BOOST_TEST((world.Await(asked) == engine_place_verdict::kNoOwner));
  const auto& server = *world.hosts[2].core->servers.Find("e1");
  BOOST_TEST(!world.hosts[2].client->OwnerOf(server).has_value());
}

// Guards against requests that wait, and engines that seem to have a queue,
// after a configuration has ended the feature.
BOOST_AUTO_TEST_CASE(a_queue_ends_with_the_feature) {
  queue_world world;
  world.ReportLoad("e1", 4, 8000);
  const auto waiting = world.Ask(2, queue_world::Request(1, 8s));
  world.AwaitWaiting(1);
  world.configuration.services.front().mixed_urgency = false;
  world.Configure();
  BOOST_TEST((world.Await(waiting) == engine_place_verdict::kNoOwner));
  world.hosts[0].owner->Tick(std::chrono::steady_clock::now() + 2s);
  BOOST_TEST(!world.hosts[0].core->servers.Find("e1")->HasQueue());
}

// Hosts without measurements state a time per token that is too high. Guards
// against refusals because of it, and against a slow model that is taken for a
// fast one.
BOOST_AUTO_TEST_CASE(the_lowest_recent_token_time_is_used) {
  queue_world world;
  world.ReportLoad("e1", 4, 20'000);
  const auto measured = world.Ask(2, queue_world::Request(1, 2s));
  world.AwaitWaiting(1);
  auto request = queue_world::Request(1, 2s);
  request.token_time = 0.055ms;
  const auto unmeasured = world.Ask(1, request);
  world.AwaitWaiting(2);
  // The same is refused if no host has measured the model.
  queue_world other;
  other.ReportLoad("e1", 4, 20'000);
  request.token_time = 0.11ms;
  BOOST_TEST(
      (other.Await(other.Ask(1, request)) == engine_place_verdict::kRefused));
}

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

// Guards against requests of hosts that have not stated the field, such as
// those that cannot be refused, which wait for another engine although they are
// late already.
BOOST_AUTO_TEST_CASE(only_requests_that_state_their_events_are_separated) {
  queue_world world;
  ReportStreams(world);
  auto request = queue_world::Request(1, 2s);
  request.tokens_to_read = 9190;
  request.expected_events = 0;
  const auto separated = world.Ask(2, request);
  world.AwaitWaiting(1);
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
  const auto asked = world.Ask(2, request);
  world.AwaitWaiting(1);
  world.ReportLoad("e2", 1, 0);
  BOOST_TEST((world.Await(asked) == engine_place_verdict::kGranted));
  BOOST_TEST(asked->answer->place->server() == "e2");
}

// Guards against values that other hosts cannot have meant.
BOOST_AUTO_TEST_CASE(bad_values_are_counted_and_treated_as_absent) {
  queue_world world;
  for (const std::int64_t bad : {std::int64_t{-1}, std::int64_t{1} << 60}) {
    auto request = queue_world::Request(1, 800ms);
    request.tokens_to_read = bad;
    BOOST_TEST(
        (world.Await(world.Ask(2, request)) == engine_place_verdict::kNoOwner));
    request = queue_world::Request(1, std::chrono::milliseconds(bad));
    BOOST_TEST(
        (world.Await(world.Ask(2, request)) == engine_place_verdict::kNoOwner));
  }
  BOOST_TEST(world.CountOf(0, "valeledge_engine_queue_bad_values_total",
                           "question") == 4);
  auto endless = queue_world::Request(1, 800ms);
  endless.expected_events = 1e15;
  BOOST_TEST(
      (world.Await(world.Ask(2, endless)) == engine_place_verdict::kGranted));
  BOOST_TEST(world.CountOf(0, "valeledge_engine_queue_bad_values_total",
                           "expected_events") == 1);
  // A request without a valid priority is the last one.
  world.ReportLoad("e1", 4, 8000);
  const auto unknown = world.Ask(2, queue_world::Request(-7, 5s));
  world.AwaitWaiting(1);
  const auto known = world.Ask(2, queue_world::Request(3, 5s));
  world.AwaitWaiting(2);
  world.ReportLoad("e1", 4, 0);
  BOOST_TEST((world.Await(known) == engine_place_verdict::kGranted));
  BOOST_TEST(!unknown->answer);
  BOOST_TEST(world.CountOf(0, "valeledge_engine_queue_bad_values_total",
                           "priority") == 1);
}

constexpr std::string_view kReservations =
    "valeledge_return_reservations_total";

// A request whose caller honours a delay of a second.
host::engine_place_request RefusableRequest() {
  auto request = queue_world::Request(1, 500ms);
  request.caller_left = 3s;
  return request;
}

host::engine_place_request ReturningRequest() {
  auto request = queue_world::Request(1, 1000ms);
  request.returning = true;
  return request;
}

// Has the owner refuse a request, and waits for as long as the caller is told.
void AwaitReturn(queue_world& world) {
  world.ReportLoad("e1", 4, 20'000);
  const auto refused = world.Ask(2, RefusableRequest());
  BOOST_TEST((world.Await(refused) == engine_place_verdict::kRefused));
  BOOST_TEST(refused->answer->retry_after.count() <= 990);
  boost::asio::steady_timer timer(world.context, refused->answer->retry_after);
  bool is_over = false;
  timer.async_wait([&](const boost::system::error_code&) { is_over = true; });
  world.RunUntil([&] { return is_over; });
  world.hosts[0].owner->Tick(std::chrono::steady_clock::now());
}

// Guards against returning callers that wait behind new requests.
BOOST_AUTO_TEST_CASE(a_returning_caller_redeems_its_reservation) {
  queue_world world;
  AwaitReturn(world);
  BOOST_TEST(world.CountOf(0, kReservations, "made") == 1);
  const auto earlier = world.Ask(1, queue_world::Request(1, 8s));
  world.AwaitWaiting(1);
  const auto back = world.Ask(2, ReturningRequest());
  world.AwaitWaiting(2);
  BOOST_TEST(world.CountOf(0, kReservations, "redeemed") == 1);
  world.ReportLoad("e1", 4, 0);
  BOOST_TEST((world.Await(back) == engine_place_verdict::kGranted));
  BOOST_TEST(!earlier->answer);
}

// A host of an older build does not state that the caller returns, nor its
// deadline. Guards against requests of such hosts that are treated as
// returning.
BOOST_AUTO_TEST_CASE(requests_of_older_builds_count_as_new) {
  queue_world world;
  AwaitReturn(world);
  const auto earlier = world.Ask(1, queue_world::Request(1, 8s));
  world.AwaitWaiting(1);
  const auto back = world.Ask(2, queue_world::Request(1, 8s));
  world.AwaitWaiting(2);
  BOOST_TEST(world.CountOf(0, kReservations, "redeemed") == 0);
  world.ReportLoad("e1", 4, 0);
  BOOST_TEST((world.Await(earlier) == engine_place_verdict::kGranted));
  const auto refused = world.Ask(2, queue_world::Request(1, 10ms));
  BOOST_TEST((world.Await(refused) == engine_place_verdict::kRefused));
  world.hosts[0].owner->Tick(std::chrono::steady_clock::now() + 1s);
  BOOST_TEST(world.CountOf(0, kReservations, "made") == 1);
  // The reservation lapses, since nobody has redeemed it.
  BOOST_TEST(world.CountOf(0, kReservations, "lapsed") == 1);
}

// The owner that made the reservation is killed. Guards against a caller that
// the next owner refuses or does not serve.
BOOST_AUTO_TEST_CASE(the_next_owner_serves_callers_without_a_reservation) {
  queue_world world;
  AwaitReturn(world);
  world.hosts[0].state = queue_world::reachability::kFails;
  BOOST_TEST((world.Await(world.Ask(2, ReturningRequest())) ==
              engine_place_verdict::kNoOwner));
  world.ReportLoad("e1", 4, 0);
  const auto back = world.Ask(2, ReturningRequest());
  BOOST_TEST((world.Await(back) == engine_place_verdict::kGranted));
  world.hosts[1].owner->Tick(std::chrono::steady_clock::now());
  BOOST_TEST(world.CountOf(1, kReservations, "redeemed") == 0);
}

BOOST_AUTO_TEST_CASE(nothing_is_reserved_if_an_operator_disables_it) {
  queue_world world;
  world.hosts[0].core->settings.features.return_reservations =
      host::feature_mode::kOff;
  AwaitReturn(world);
  BOOST_TEST(world.CountOf(0, kReservations, "made") == 0);
}

// Guards against counts that are lost when the queue ends, and against
// reservations that were made and neither redeemed nor lapsed.
BOOST_AUTO_TEST_CASE(reservations_are_counted_when_the_queue_ends) {
  queue_world world;
  world.ReportLoad("e1", 4, 20'000);
  BOOST_TEST((world.Await(world.Ask(2, RefusableRequest())) ==
              engine_place_verdict::kRefused));
  world.hosts[0].core->settings.features.engine_queues =
      host::feature_mode::kOff;
  world.hosts[0].owner->Tick(std::chrono::steady_clock::now());
  BOOST_TEST(world.CountOf(0, kReservations, "made") == 1);
  BOOST_TEST(world.CountOf(0, kReservations, "lapsed") == 1);
  world.hosts[0].owner->Tick(std::chrono::steady_clock::now());
  BOOST_TEST(world.CountOf(0, kReservations, "lapsed") == 1);
}

// Guards against a deadline that cannot be valid.
BOOST_AUTO_TEST_CASE(a_bad_deadline_is_counted_and_treated_as_absent) {
  queue_world world;
  world.ReportLoad("e1", 4, 20'000);
  auto request = RefusableRequest();
  request.caller_left = std::chrono::milliseconds(-5);
  BOOST_TEST(
      (world.Await(world.Ask(2, request)) == engine_place_verdict::kRefused));
  world.hosts[0].owner->Tick(std::chrono::steady_clock::now());
  BOOST_TEST(world.CountOf(0, kReservations, "made") == 0);
  BOOST_TEST(world.CountOf(0, "valeledge_engine_queue_bad_values_total",
                           "deadline") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

// A host with an engine that has prompts to read, and a scripted owner.
struct search_world : test::relay_world {
  search_world() {
    AddEngine(100ms);
    core->servers.SetStreamSeparation(host::feature_mode::kAuto);
    configuration.services.front().mixed_urgency = true;
    auto entry = core->servers.Find("i-1")->entry;
    entry.slots = 32;
    entry.models.push_back({"m", 1, {}});
    core->servers.Put(entry, std::chrono::steady_clock::now());
    ReportLoad(4000);
    core->acquire_engine = [this](host::engine_place_request request)
        -> boost::asio::awaitable<host::engine_place_result> {
      asked.push_back(std::move(request));
      co_return answer;
    };
  }

  // Adds another engine that holds the model.
  decisions::server_health& AddSecondEngine() {
    auto entry = core->servers.Find("i-1")->entry;
    entry.instance = "i-2";
    core->servers.Put(entry, std::chrono::steady_clock::now());
    return core->servers.Find("i-2")->trust;
  }

  void ReportLoad(std::int32_t unread_tokens) {
    wire::server_load load;
    load.server = host::KeyOf("i-1");
    load.running = unread_tokens > 0 ? 1 : 0;
    load.unread_tokens = unread_tokens;
    core->servers.UpdateLoads("other", {load});
  }

  void Grant(const std::string& instance) {
    answer.verdict = engine_place_verdict::kGranted;
    answer.place = std::make_shared<host::slot_handle>(
        instance, [this](host::slot_outcome, std::chrono::microseconds took) {
          returned += took.count() == 0 ? 1 : 0;
        });
  }

  std::vector<host::engine_place_request> asked;
  host::engine_place_result answer;
  int returned = 0;
};

BOOST_AUTO_TEST_SUITE(engine_queue_searches)

BOOST_AUTO_TEST_CASE(a_request_that_has_to_wait_asks_the_owner) {
  search_world world;
  world.Grant("i-1");
  const auto seen = world.SendRequest("/safe/");
  BOOST_TEST(seen.status == 200);
  BOOST_REQUIRE_EQUAL(world.asked.size(), 1u);
  BOOST_TEST(world.asked.front().model == "m");
  BOOST_TEST(world.asked.front().best == "i-1");
  BOOST_TEST(world.asked.front().left.count() <= 1000);
  world.answer.place.reset();
  BOOST_TEST(world.returned == 0);
}

// Guards against messages while there is capacity.
BOOST_AUTO_TEST_CASE(no_owner_is_asked_while_there_is_capacity) {
  search_world world;
  world.ReportLoad(0);
  BOOST_TEST(world.SendRequest("/safe/").status == 200);
  BOOST_TEST(world.asked.empty());
  // Others wait for the engine.
  world.core->servers.Find("i-1")->others.queued_tokens = 1;
  world.Grant("i-1");
  BOOST_TEST(world.SendRequest("/safe/").status == 200);
  BOOST_TEST(world.asked.size() == 1u);
}

// Guards against callers that are told a time that has nothing to do with the
// queue.
BOOST_AUTO_TEST_CASE(a_refused_caller_is_told_when_there_is_capacity) {
  search_world world;
  world.answer.verdict = engine_place_verdict::kRefused;
  world.answer.retry_after = 350ms;
  const auto seen = world.SendRequest("/safe/");
  BOOST_TEST(seen.status == 503);
  BOOST_TEST(world.first.requests.empty());
  BOOST_TEST(std::string(seen.fields["Retry-After"]) != "");
}

// Without an owner the request waits on its host, as without the feature.
BOOST_AUTO_TEST_CASE(without_an_owner_the_host_decides) {
  search_world world;
  const auto seen = world.SendRequest("/safe/", [&](test::fake_responder&) {
    if (!world.asked.empty())
      world.ReportLoad(0);
  });
  BOOST_TEST(seen.status == 200);
  BOOST_TEST(world.asked.size() == 1u);
}

// Guards against a place at an engine that this host may not use.
BOOST_AUTO_TEST_CASE(a_place_that_cannot_be_used_is_returned) {
  search_world world;
  world.Grant("i-9");
  const auto seen = world.SendRequest("/safe/", [&](test::fake_responder&) {
    if (!world.asked.empty())
      world.ReportLoad(0);
  });
  BOOST_TEST(seen.status == 200);
  world.answer.place.reset();
  BOOST_TEST(world.returned == 1);
}

// An owner that answers only when the request has stopped waiting.
void WaitForWithdrawal(search_world& world) {
  world.core->acquire_engine = [&world](host::engine_place_request request)
      -> boost::asio::awaitable<host::engine_place_result> {
    world.asked.push_back(request);
    boost::asio::steady_timer timer(world.context);
    while (!request.is_withdrawn()) {
      timer.expires_after(1ms);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    host::engine_place_result withdrawn;
    withdrawn.verdict = engine_place_verdict::kWithdrawn;
    co_return withdrawn;
  };
}

// Guards against a place that is kept for a caller that has disconnected.
BOOST_AUTO_TEST_CASE(a_request_is_withdrawn_when_its_caller_disconnects) {
  search_world world;
  WaitForWithdrawal(world);
  world.SendRequest("/safe/", [&](test::fake_responder& responder) {
    if (!world.asked.empty())
      responder.Disconnect();
  });
  BOOST_TEST(world.asked.size() == 1u);
  BOOST_TEST(world.first.requests.empty());
}

// Guards against a request that waits longer than its host can answer for.
BOOST_AUTO_TEST_CASE(a_request_is_withdrawn_when_its_host_stops) {
  search_world world;
  WaitForWithdrawal(world);
  const auto seen = world.SendRequest("/safe/", [&](test::fake_responder&) {
    if (!world.asked.empty())
      world.core->stops_at = std::chrono::steady_clock::now();
  });
  BOOST_TEST(seen.status == 503);
  BOOST_TEST(world.first.requests.empty());
}

// The owner was lost, and the next one knows no reservation. Guards against a
// caller that is rejected a second time.
BOOST_AUTO_TEST_CASE(a_returning_caller_is_not_rejected_again) {
  search_world world;
  world.answer.verdict = engine_place_verdict::kRefused;
  world.answer.retry_after = 350ms;
  BOOST_TEST(world.SendRequest("/safe/").status == 503);
  world.added_fields.emplace_back("X-Deadline-Ms", "1300");
  const auto seen = world.SendRequest("/safe/", [&](test::fake_responder&) {
    if (world.asked.size() > 1)
      world.ReportLoad(0);
  });
  BOOST_TEST(seen.status == 200);
  BOOST_REQUIRE_EQUAL(world.asked.size(), 2u);
  // The owner learns which caller returns, and which may be refused.
  BOOST_TEST(!world.asked.front().returning);
  BOOST_TEST(world.asked.front().caller_left.has_value());
  BOOST_TEST(world.asked.back().returning);
  BOOST_TEST(!world.asked.back().caller_left.has_value());
  // The response of a request that cannot be refused may be late already.
  BOOST_TEST(world.asked.front().expected_events.has_value());
  BOOST_TEST(!world.asked.back().expected_events.has_value());
}

// Guards against a request that redeems its own reservation and, asking again,
// that of another caller.
BOOST_AUTO_TEST_CASE(only_the_first_question_states_the_return) {
  search_world world;
  world.Grant("i-1");
  world.core->acquire_engine = [&world](host::engine_place_request request)
      -> boost::asio::awaitable<host::engine_place_result> {
    world.asked.push_back(std::move(request));
    host::engine_place_result withdrawn;
    withdrawn.verdict = engine_place_verdict::kWithdrawn;
    co_return world.asked.size() == 1 ? withdrawn : world.answer;
  };
  world.added_fields.emplace_back("X-Deadline-Ms", "1300");
  BOOST_TEST(world.SendRequest("/safe/").status == 200);
  BOOST_REQUIRE_EQUAL(world.asked.size(), 2u);
  BOOST_TEST(world.asked.front().returning);
  BOOST_TEST(!world.asked.back().returning);
}

// Guards against a request that waits while later ones are granted at an engine
// that was full for a moment when it asked.
BOOST_AUTO_TEST_CASE(an_engine_that_was_full_is_not_avoided_while_waiting) {
  search_world world;
  world.Grant("i-1");
  decisions::server_health& full = world.AddSecondEngine();
  const auto now = std::chrono::steady_clock::now();
  decisions::RecordServerFull(full, now);
  BOOST_TEST(!decisions::AllowsRequests(full, now));
  BOOST_TEST(world.SendRequest("/safe/").status == 200);
  BOOST_REQUIRE_EQUAL(world.asked.size(), 1u);
  BOOST_TEST(world.asked.front().avoid.empty());
}

// The same for an engine that has failed, whose suspension lasts longer.
BOOST_AUTO_TEST_CASE(a_suspended_engine_is_avoided_while_waiting) {
  search_world world;
  world.Grant("i-1");
  const auto now = std::chrono::steady_clock::now();
  decisions::RecordFailure(world.AddSecondEngine(), true, now, now);
  BOOST_TEST(world.SendRequest("/safe/").status == 200);
  BOOST_REQUIRE_EQUAL(world.asked.size(), 1u);
  BOOST_TEST(world.asked.front().avoid.size() == 1u);
}

// The host that relays the request may have asked, and states a shorter
// deadline. Guards against the reservation of another caller being redeemed.
BOOST_AUTO_TEST_CASE(relayed_requests_do_not_state_a_return) {
  search_world world;
  world.Grant("i-1");
  world.origin = host::request_origin::kPeer;
  world.added_fields.emplace_back("X-Deadline-Ms", "1300");
  BOOST_TEST(world.SendRequest("/safe/").status == 200);
  BOOST_REQUIRE_EQUAL(world.asked.size(), 1u);
  BOOST_TEST(!world.asked.front().returning);
}

BOOST_AUTO_TEST_CASE(no_return_is_stated_if_reservations_are_off) {
  search_world world;
  world.core->settings.features.return_reservations = host::feature_mode::kOff;
  world.Grant("i-1");
  world.added_fields.emplace_back("X-Deadline-Ms", "1300");
  BOOST_TEST(world.SendRequest("/safe/").status == 200);
  BOOST_REQUIRE_EQUAL(world.asked.size(), 1u);
  BOOST_TEST(!world.asked.front().returning);
  BOOST_TEST(!world.asked.front().caller_left.has_value());
}

BOOST_AUTO_TEST_CASE(no_events_are_stated_if_the_separation_is_off) {
  search_world world;
  world.core->servers.SetStreamSeparation(host::feature_mode::kOff);
  world.Grant("i-1");
  BOOST_TEST(world.SendRequest("/safe/").status == 200);
  BOOST_REQUIRE_EQUAL(world.asked.size(), 1u);
  BOOST_TEST(!world.asked.front().expected_events.has_value());
}

BOOST_AUTO_TEST_CASE(the_queue_is_not_used_if_the_feature_is_off) {
  search_world world;
  world.core->settings.features.engine_queues = host::feature_mode::kOff;
  const auto seen = world.SendRequest(
      "/safe/", [&](test::fake_responder&) { world.ReportLoad(0); });
  BOOST_TEST(seen.status == 200);
  BOOST_TEST(world.asked.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
