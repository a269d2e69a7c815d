// SPDX-License-Identifier: MIT
// Places of a plain service between a host and the one that deals them out.
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

const base::endpoint kDealer{"10.0.0.1", 1};
const base::endpoint kAsker{"10.0.0.2", 1};

// A host that deals out places, and one that asks it.
struct dealt_pair {
  dealt_pair() {
    dealer_settings.peer_listen = kDealer;
    asker_settings.peer_listen = kAsker;
    dealer_core = std::make_unique<host::host_core>(context, dealer_settings,
                                                    platform::MakeDialect());
    asker_core = std::make_unique<host::host_core>(context, asker_settings,
                                                   platform::MakeDialect());
    host::place_links own;
    own.dealer = [](const std::string&) { return kDealer; };
    dealer = std::make_unique<host::place_duty>(*dealer_core, std::move(own));
    host::place_links links;
    links.dealer = [](const std::string&) { return kDealer; };
    links.doubt = [this](const base::endpoint&) { ++doubts; };
    links.call = [this](base::endpoint, wire::envelope call,
                        std::chrono::microseconds)
        -> boost::asio::awaitable<base::result<wire::envelope>> {
      ++calls;
      if (!answers)
        co_return base::NotRun(base::result_code::kPeerUnreachable, "silent");
      wire::envelope reply;
      if (call.__isset.place_ended) {
        dealer->TakeBack(call.place_ended);
        co_return reply;
      }
      const auto place = co_await dealer->Answer(std::move(call.place_wanted));
      reply.__set_place(place);
      co_return reply;
    };
    asker = std::make_unique<host::place_duty>(*asker_core, std::move(links));
    AddServer("s1", 1);
  }

  void AddServer(const std::string& instance, std::int64_t slots) {
    catalog::backend_server entry;
    entry.instance = instance;
    entry.service = "desk";
    entry.slots = slots;
    dealer_core->servers.Put(entry, std::chrono::steady_clock::now());
  }

  using taken = base::result<std::shared_ptr<host::dealt_place>>;

  taken Take(std::chrono::milliseconds left) {
    host::place_request wanted;
    wanted.service = "desk";
    wanted.left = left;
    std::optional<taken> out;
    boost::asio::co_spawn(context, asker->Take(wanted),
                          [&](const std::exception_ptr&, taken result) {
                            out = std::move(result);
                          });
    context.restart();
    while (!out)
      BOOST_REQUIRE_NE(context.run_one_for(std::chrono::seconds(20)), 0u);
    return *out;
  }

  void Settle() {
    context.restart();
    while (context.poll_one() != 0) {
    }
  }

  boost::asio::io_context context{1};
  host::host_settings dealer_settings;
  host::host_settings asker_settings;
  std::unique_ptr<host::host_core> dealer_core;
  std::unique_ptr<host::host_core> asker_core;
  std::unique_ptr<host::place_duty> dealer;
  std::unique_ptr<host::place_duty> asker;
  int calls = 0;
  int doubts = 0;
  bool answers = true;
};

BOOST_AUTO_TEST_SUITE(place_duties)

BOOST_AUTO_TEST_CASE(places_are_given_while_there_are_some) {
  dealt_pair here;
  auto first = here.Take(300ms);
  auto second = here.Take(300ms);
  BOOST_REQUIRE(first.has_value());
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST((*first)->server() == "s1");
  // Two are there: the third waits, and is refused in time to come back.
  const auto third = here.Take(100ms);
  BOOST_REQUIRE(!third.has_value());
  BOOST_TEST((third.error().code == base::result_code::kOverloaded));
  BOOST_TEST((third.error().what_ran == base::outcome::kNotRun));
  BOOST_TEST(third.error().retry_after.has_value());
  // One that was answered makes room.
  (*first)->NoteSent();
  (*first)->NoteEnd(host::place_end_kind::kAnswered);
  first->reset();
  here.Settle();
  BOOST_TEST(here.Take(300ms).has_value());
}

BOOST_AUTO_TEST_CASE(a_full_server_is_left_alone_for_a_moment) {
  dealt_pair here;
  auto place = here.Take(300ms);
  BOOST_REQUIRE(place.has_value());
  (*place)->NoteSent();
  (*place)->NoteEnd(host::place_end_kind::kFull);
  place->reset();
  here.Settle();
  // There is room, but not now: the next request waits, as long as it can.
  const auto begun = std::chrono::steady_clock::now();
  here.dealer->Roll(begun);
  here.AddServer("s2", 1);
  auto other = here.Take(300ms);
  BOOST_REQUIRE(other.has_value());
  BOOST_TEST((*other)->server() == "s2");
  // What one host sees fail keeps nobody else away.
  const auto& trust = here.dealer_core->servers.Find("s1")->trust;
  BOOST_TEST(decisions::MayUse(trust, begun));
}

BOOST_AUTO_TEST_CASE(without_a_dealer_hosts_choose_by_themselves) {
  dealt_pair here;
  here.answers = false;
  const auto alone = here.Take(300ms);
  BOOST_REQUIRE(alone.has_value());
  BOOST_TEST((*alone == nullptr));
  BOOST_TEST(here.doubts == 1);
  // It is not asked again at once.
  const auto again = here.Take(300ms);
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST((*again == nullptr));
  BOOST_TEST(here.calls == 1);
}

BOOST_AUTO_TEST_CASE(no_server_means_that_nothing_is_dealt) {
  dealt_pair here;
  here.dealer_core->servers.Remove("s1", false, 0ms,
                                   std::chrono::steady_clock::now());
  const auto none = here.Take(300ms);
  BOOST_REQUIRE(none.has_value());
  BOOST_TEST((*none == nullptr));
}

BOOST_AUTO_TEST_CASE(a_server_that_advertises_a_limit_is_not_dealt) {
  dealt_pair here;
  here.AddServer("s2", 4);
  here.dealer_core->servers.Find("s2")->advertised.limit = {
      2, std::chrono::steady_clock::now()};
  const auto place = here.Take(300ms);
  BOOST_REQUIRE(place.has_value());
  BOOST_REQUIRE(*place != nullptr);
  BOOST_TEST((*place)->server() == "s1");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
