// SPDX-License-Identifier: MIT
// Several hosts that tell each other under which requests servers end, in
// memory and one event loop, with a store that all of them read.
#include "host/process/quarantine_duty.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

#include "fake_store.h"
#include "request_codec.h"
#include "wire/codec.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

constexpr std::uint64_t kRequest = 0xfedcba9876543210;
const std::string kKey = "valeledge/held/fedcba9876543210";

// An attempt that was sent, and at once its server ended.
decisions::server_end EndOf(std::int32_t server) {
  const auto now = std::chrono::steady_clock::now();
  return {server, now, now};
}

class fleet {
 public:
  // `hearing` hosts are told of ends; the others only read the store.
  fleet(std::size_t count, std::size_t hearing) : hearing_(hearing) {
    store.grants_leases = true;
    for (std::size_t i = 0; i < count; ++i)
      AddHost();
  }

  void AddHost() {
    const std::size_t at = hosts_.size();
    one_host& added = *hosts_.emplace_back(std::make_unique<one_host>(context));
    host::quarantine_links links;
    links.tell = [this, at](const std::string& value,
                            const membership::direct_recipients&) {
      Deliver(at, value);
    };
    links.is_first = [this, at](const std::string&) { return at == first; };
    added.duty = std::make_unique<host::quarantine_duty>(added.core, store,
                                                         std::move(links));
  }

  host::quarantine_duty& At(std::size_t i) { return *hosts_[i]->duty; }

  bool Holds(std::size_t i) {
    const auto now = std::chrono::steady_clock::now();
    return decisions::HeldFor(hosts_[i]->core.quarantine, kRequest, now)
        .has_value();
  }

  std::size_t CountHolding() {
    std::size_t count = 0;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      count += Holds(i) ? 1 : 0;
    return count;
  }

  // Runs what is under way, and has all hosts read the store.
  void Settle() {
    context.restart();
    while (context.poll_one() != 0) {
    }
    const bool there = StoreHas();
    if (there != stored_) {
      stored_ = there;
      for (const auto& each : hosts_) {
        if (there)
          each->duty->PutKey(kKey);
        else
          each->duty->RemoveKey(kKey, false);
      }
    }
  }

  // Until the store says that the request is held back, or for ten seconds.
  void RunUntilStored() {
    const auto until = std::chrono::steady_clock::now() + 10s;
    while (!StoreHas() && std::chrono::steady_clock::now() < until) {
      context.restart();
      context.run_one_for(100ms);
    }
  }

  bool StoreHas() {
    store::kv_transaction look;
    look.on_success.push_back(store::Get(kKey));
    bool found = false;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
          const auto answer = co_await store.Run(std::move(look));
          found = answer && !answer->results.front().pairs.empty();
        },
        boost::asio::detached);
    context.restart();
    while (context.poll_one() != 0) {
    }
    return found;
  }

  boost::asio::io_context context{1};
  test::fake_store store{context};
  // The host that is chosen to write.
  std::size_t first = 0;
  // Hosts that nothing reaches and that reach nobody.
  std::set<std::size_t> cut;
  // Messages that were sent.
  int told = 0;

 private:
  struct one_host {
    explicit one_host(boost::asio::io_context& context)
        : core(context, host::host_settings(), platform::MakeDialect()) {}
    host::host_core core;
    std::unique_ptr<host::quarantine_duty> duty;
  };

  void Deliver(std::size_t from, const std::string& value) {
    ++told;
    const auto news = wire::DecodeEndNews(value);
    BOOST_REQUIRE(news.has_value());
    for (std::size_t i = 0; i < hearing_; ++i) {
      if (i != from && !cut.contains(i) && !cut.contains(from))
        hosts_[i]->duty->TakeNews(*news);
    }
  }

  std::size_t hearing_;
  std::vector<std::unique_ptr<one_host>> hosts_;
  bool stored_ = false;
};

BOOST_AUTO_TEST_SUITE(quarantine_duties)

BOOST_AUTO_TEST_CASE(all_hosts_hold_what_ended_servers_at_three_of_them) {
  fleet here(8, 8);
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_TEST(here.CountHolding() == 0u);
    here.At(i).NoteEnd(kRequest, EndOf(static_cast<std::int32_t>(i)));
  }
  BOOST_TEST(here.CountHolding() == 8u);
}

BOOST_AUTO_TEST_CASE(hosts_that_hear_nothing_learn_it_from_the_store) {
  fleet here(300, 16);
  for (std::size_t i = 0; i < 3; ++i)
    here.At(100 + i).NoteEnd(kRequest, EndOf(static_cast<std::int32_t>(i)));
  BOOST_TEST(here.CountHolding() == 16u);
  here.Settle();
  BOOST_TEST(here.CountHolding() == 300u);
  // One that starts later reads the same.
  here.AddHost();
  here.At(300).PutKey(kKey);
  BOOST_TEST(here.Holds(300));
}

BOOST_AUTO_TEST_CASE(what_was_not_heard_is_told_again) {
  fleet here(3, 3);
  here.cut = {2};
  for (std::int32_t server = 0; server < 3; ++server)
    here.At(0).NoteEnd(kRequest, EndOf(server));
  BOOST_TEST(here.CountHolding() == 2u);
  here.cut.clear();
  here.At(0).Republish();
  BOOST_TEST(here.Holds(2));
}

// Of the many requests that are at one end, only those at a second are told of
// again.
BOOST_AUTO_TEST_CASE(what_was_at_one_end_only_is_told_once) {
  fleet here(3, 3);
  here.At(0).NoteEnd(kRequest, EndOf(1));
  const int told = here.told;
  for (int i = 0; i < 8; ++i)
    here.At(0).Republish();
  BOOST_TEST(here.told == told);
  here.At(1).NoteEnd(kRequest, EndOf(2));
  here.At(0).Republish();
  BOOST_TEST(here.told == told + 2);
}

BOOST_AUTO_TEST_CASE(hosts_act_without_the_store_and_write_once_it_is_back) {
  fleet here(4, 4);
  here.store.down = true;
  here.store.grants_leases = false;
  for (std::int32_t server = 0; server < 3; ++server)
    here.At(1).NoteEnd(kRequest, EndOf(server));
  here.Settle();
  BOOST_TEST(here.CountHolding() == 4u);
  here.store.down = false;
  here.store.grants_leases = true;
  here.RunUntilStored();
  BOOST_TEST(here.StoreHas());
}

BOOST_AUTO_TEST_CASE(others_write_if_the_chosen_host_does_not) {
  fleet here(3, 3);
  // Chosen, and not there.
  here.first = 7;
  for (std::int32_t server = 0; server < 3; ++server)
    here.At(0).NoteEnd(kRequest, EndOf(server));
  here.RunUntilStored();
  BOOST_TEST(here.StoreHas());
}

BOOST_AUTO_TEST_CASE(a_whole_answer_clears_a_request_everywhere) {
  fleet here(3, 3);
  here.At(0).NoteEnd(kRequest, EndOf(1));
  here.At(1).NoteEnd(kRequest, EndOf(2));
  here.At(2).NoteWhole(kRequest);
  // Nobody tells of what was before.
  for (std::size_t i = 0; i < 3; ++i)
    here.At(i).Republish();
  here.At(0).NoteEnd(kRequest, EndOf(3));
  here.At(1).NoteEnd(kRequest, EndOf(4));
  BOOST_TEST(here.CountHolding() == 0u);
  here.At(2).NoteEnd(kRequest, EndOf(5));
  BOOST_TEST(here.CountHolding() == 3u);
}

BOOST_AUTO_TEST_CASE(a_key_that_goes_lifts_the_hold_unless_the_store_was_down) {
  fleet here(2, 2);
  here.At(0).PutKey(kKey);
  here.At(1).PutKey(kKey);
  here.At(0).RemoveKey(kKey, true);
  here.At(1).RemoveKey(kKey, false);
  BOOST_TEST(here.Holds(0));
  BOOST_TEST(!here.Holds(1));
}

BOOST_AUTO_TEST_CASE(other_keys_are_left_to_others) {
  fleet here(1, 1);
  BOOST_TEST(!here.At(0).PutKey("valeledge/controller/leader"));
  BOOST_TEST(!here.At(0).PutKey("valeledge/held/not a digest"));
  BOOST_TEST(!here.At(0).RemoveKey("servers/i-1", false));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
