// SPDX-License-Identifier: MIT
// Slots of a plain service, between a host that requests them and the
// allocator.
#include "host/process/slot_allocator.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

#include "request_codec.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

const base::endpoint kAllocator{"10.0.0.1", 1};
const base::endpoint kRequester{"10.0.0.2", 1};

// A host that allocates slots, and one that requests them from it.
struct allocator_pair {
  allocator_pair() {
    allocator_settings.peer_listen = kAllocator;
    requester_settings.peer_listen = kRequester;
    allocator_core = std::make_unique<host::host_core>(
        context, allocator_settings, platform::MakeDialect());
    requester_core = std::make_unique<host::host_core>(
        context, requester_settings, platform::MakeDialect());
    host::slot_allocator_links own;
    own.allocator = [](const std::string&) { return kAllocator; };
    allocator =
        std::make_unique<host::slot_allocator>(*allocator_core, std::move(own));
    host::slot_allocator_links links;
    links.allocator = [](const std::string&) { return kAllocator; };
    links.suspect = [this](const base::endpoint&) { ++suspicions; };
    links.call = [this](base::endpoint, wire::envelope call,
                        std::chrono::microseconds)
        -> boost::asio::awaitable<base::result<wire::envelope>> {
      ++calls;
      if (!responds)
        co_return base::NotRun(base::result_code::kPeerUnreachable, "silent");
      wire::envelope reply;
      if (call.__isset.place_ended) {
        allocator->HandleRelease(call.place_ended);
        co_return reply;
      }
      const auto slot =
          co_await allocator->HandleRequest(std::move(call.place_wanted));
      reply.__set_place(slot);
      co_return reply;
    };
    requester = std::make_unique<host::slot_allocator>(*requester_core,
                                                       std::move(links));
    AddServer("s1", 1);
  }

  void AddServer(const std::string& instance, std::int64_t slots) {
    catalog::backend_server entry;
    entry.instance = instance;
    entry.service = "desk";
    entry.slots = slots;
    allocator_core->servers.Put(entry, std::chrono::steady_clock::now());
  }

  using acquired = base::result<std::shared_ptr<host::slot_handle>>;

  acquired Acquire(std::chrono::milliseconds left) {
    host::slot_request request;
    request.service = "desk";
    request.left = left;
    std::optional<acquired> out;
    boost::asio::co_spawn(context, requester->Acquire(request),
                          [&](const std::exception_ptr&, acquired result) {
                            out = std::move(result);
                          });
    context.restart();
    while (!out)
      BOOST_REQUIRE_NE(context.run_one_for(std::chrono::seconds(20)), 0u);
    return *out;
  }

  void RunPending() {
    context.restart();
    while (context.poll_one() != 0) {
    }
  }

  boost::asio::io_context context{1};
  host::host_settings allocator_settings;
  host::host_settings requester_settings;
  std::unique_ptr<host::host_core> allocator_core;
  std::unique_ptr<host::host_core> requester_core;
  std::unique_ptr<host::slot_allocator> allocator;
  std::unique_ptr<host::slot_allocator> requester;
  int calls = 0;
  int suspicions = 0;
  bool responds = true;
};

BOOST_AUTO_TEST_SUITE(slot_allocators)

BOOST_AUTO_TEST_CASE(slots_are_allocated_while_any_are_free) {
  allocator_pair pair;
  auto first = pair.Acquire(300ms);
  auto second = pair.Acquire(300ms);
  BOOST_REQUIRE(first.has_value());
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST((*first)->server() == "s1");
  // Two requests may be allocated to s1: the third one waits, and is refused
  // with a retry-after delay.
  const auto third = pair.Acquire(100ms);
  BOOST_REQUIRE(!third.has_value());
  BOOST_TEST((third.error().code == base::result_code::kOverloaded));
  BOOST_TEST((third.error().what_ran == base::outcome::kNotRun));
  BOOST_TEST(third.error().retry_after.has_value());
  // A response to the first request frees its slot.
  (*first)->NoteSent();
  (*first)->SetOutcome(host::slot_outcome::kResponded);
  first->reset();
  pair.RunPending();
  BOOST_TEST(pair.Acquire(300ms).has_value());
}

BOOST_AUTO_TEST_CASE(a_full_server_is_paused) {
  allocator_pair pair;
  auto slot = pair.Acquire(300ms);
  BOOST_REQUIRE(slot.has_value());
  (*slot)->NoteSent();
  (*slot)->SetOutcome(host::slot_outcome::kFull);
  slot->reset();
  pair.RunPending();
  // s1 has a free slot, but is paused: the next request gets s2.
  const auto started = std::chrono::steady_clock::now();
  pair.allocator->ReleaseExpired(started);
  pair.AddServer("s2", 1);
  auto other = pair.Acquire(300ms);
  BOOST_REQUIRE(other.has_value());
  BOOST_TEST((*other)->server() == "s2");
  // A refusal seen by one host does not make the server unusable for others.
  const auto& trust = pair.allocator_core->servers.Find("s1")->trust;
  BOOST_TEST(decisions::AllowsRequests(trust, started));
}

BOOST_AUTO_TEST_CASE(hosts_select_servers_by_themselves_without_an_allocator) {
  allocator_pair pair;
  pair.responds = false;
  const auto alone = pair.Acquire(300ms);
  BOOST_REQUIRE(alone.has_value());
  BOOST_TEST((*alone == nullptr));
  BOOST_TEST(pair.suspicions == 1);
  // The allocator is not called again immediately.
  const auto again = pair.Acquire(300ms);
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST((*again == nullptr));
  BOOST_TEST(pair.calls == 1);
}

BOOST_AUTO_TEST_CASE(nothing_is_allocated_without_a_server) {
  allocator_pair pair;
  pair.allocator_core->servers.Remove("s1", false, 0ms,
                                      std::chrono::steady_clock::now());
  const auto none = pair.Acquire(300ms);
  BOOST_REQUIRE(none.has_value());
  BOOST_TEST((*none == nullptr));
}

BOOST_AUTO_TEST_CASE(
    slots_of_a_server_with_an_advertised_limit_are_not_allocated) {
  allocator_pair pair;
  pair.AddServer("s2", 4);
  pair.allocator_core->servers.Find("s2")->advertised.limit = {
      2, std::chrono::steady_clock::now()};
  const auto slot = pair.Acquire(300ms);
  BOOST_REQUIRE(slot.has_value());
  BOOST_REQUIRE(*slot != nullptr);
  BOOST_TEST((*slot)->server() == "s1");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
