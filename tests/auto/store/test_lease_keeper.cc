// SPDX-License-Identifier: MIT
#include "store/lease_keeper.h"

#include <boost/test/unit_test.hpp>

#include "../host/fake_store.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

// Processes before one store. Leases are short, so that the tests are.
struct site {
  site() { store.grants_leases = true; }

  std::unique_ptr<store::lease_keeper> Begin(const std::string& name,
                                             bool maybe_first) {
    auto made = std::make_unique<store::lease_keeper>(
        context, store, name, 200ms, [] { return true; }, maybe_first);
    made->Start();
    return made;
  }

  // The process that takes the lease after `first` has given it up.
  std::unique_ptr<store::lease_keeper> Follow(store::lease_keeper& first,
                                              const std::string& name,
                                              bool maybe_first) {
    first.Resign();
    while (first.term() != 0)
      context.run_one();
    auto next = Begin(name, maybe_first);
    AwaitTerm(*next);
    return next;
  }

  void AwaitTerm(const store::lease_keeper& keeper) {
    while (keeper.term() == 0)
      context.run_one();
  }

  boost::asio::io_context context{1};
  test::fake_store store{context};
};

BOOST_AUTO_TEST_SUITE(lease_keeper)

BOOST_AUTO_TEST_CASE(only_who_takes_it_first_of_all_is_the_first_holder) {
  site here;
  const auto first = here.Begin("h1", true);
  here.AwaitTerm(*first);
  BOOST_TEST(first->is_first_holder());
  // Its settings say that the system starts for the first time, as they did.
  const auto restarted = here.Follow(*first, "h1", true);
  BOOST_TEST(!restarted->is_first_holder());
}

BOOST_AUTO_TEST_CASE(a_first_holder_that_was_told_nothing_is_followed_too) {
  site here;
  const auto first = here.Begin("h1", false);
  here.AwaitTerm(*first);
  BOOST_TEST(!first->is_first_holder());
  const auto second = here.Follow(*first, "h2", true);
  BOOST_TEST(!second->is_first_holder());
}

// The answer is lost, but the write may have been done, and may still be.
BOOST_AUTO_TEST_CASE(after_a_lost_answer_nobody_is_first) {
  site here;
  here.store.responses_to_lose = 1;
  const auto first = here.Begin("h1", true);
  here.AwaitTerm(*first);
  BOOST_TEST(!first->is_first_holder());
}

// A process that was killed left a lease that has yet to lapse; the next one on
// its machine takes it over, and knows that nobody held it in between.
BOOST_AUTO_TEST_CASE(a_restarted_process_follows_itself_at_once) {
  site here;
  auto killed = here.Begin("h1", true);
  here.AwaitTerm(*killed);
  const std::int64_t term = killed->term();
  const auto restarted = here.Begin("h1", true);
  here.AwaitTerm(*restarted);
  BOOST_TEST(restarted->follows_itself());
  BOOST_TEST(!restarted->is_first_holder());
  BOOST_TEST(restarted->term() > term);
}

BOOST_AUTO_TEST_CASE(
    who_comes_back_after_another_holder_does_not_follow_itself) {
  site here;
  const auto first = here.Begin("h1", true);
  here.AwaitTerm(*first);
  const auto second = here.Follow(*first, "h2", false);
  BOOST_TEST(!second->follows_itself());
  const auto third = here.Follow(*second, "h1", false);
  BOOST_TEST(!third->follows_itself());
}

BOOST_AUTO_TEST_CASE(terms_rise_and_a_second_process_waits_for_the_first) {
  site here;
  const auto first = here.Begin("h1", true);
  here.AwaitTerm(*first);
  const std::int64_t term = first->term();
  const auto second = here.Begin("h2", false);
  // The second one looks for the lease several times meanwhile.
  const int looks = here.store.reads + 4;
  while (here.store.reads < looks)
    here.context.run_one();
  BOOST_TEST(second->term() == 0);
  BOOST_TEST(first->CertainTerm() == term);
  first->Resign();
  here.AwaitTerm(*second);
  BOOST_TEST(second->term() > term);
  BOOST_TEST(first->CertainTerm() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
