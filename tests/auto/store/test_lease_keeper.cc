// SPDX-License-Identifier: MIT
#include "store/lease_keeper.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

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

// The store as a process sees it that can be suspended: calls that it makes
// meanwhile are sent when it resumes.
class suspended_client : public store::kv_client {
 public:
  suspended_client(boost::asio::io_context& context, store::kv_client& store)
      : store_(store), resumed_(context) {
    resumed_.expires_at(std::chrono::steady_clock::time_point::max());
  }

  bool suspended = false;
  void Resume() {
    suspended = false;
    resumed_.cancel();
  }

  boost::asio::awaitable<base::result<store::kv_transaction_result>> Run(
      store::kv_transaction transaction) override {
    co_await AwaitResumed();
    auto result = co_await store_.Run(std::move(transaction));
    co_return result;
  }
  boost::asio::awaitable<base::result<store::kv_changes>> AwaitChange(
      std::string prefix,
      std::int64_t from,
      std::chrono::microseconds max_time) override {
    auto result =
        co_await store_.AwaitChange(std::move(prefix), from, max_time);
    co_return result;
  }
  boost::asio::awaitable<base::result<std::int64_t>> GrantLease(
      std::chrono::seconds length) override {
    co_await AwaitResumed();
    auto result = co_await store_.GrantLease(length);
    co_return result;
  }
  boost::asio::awaitable<base::result<void>> KeepLease(
      std::int64_t lease) override {
    co_await AwaitResumed();
    auto result = co_await store_.KeepLease(lease);
    co_return result;
  }
  boost::asio::awaitable<base::result<void>> RevokeLease(
      std::int64_t lease) override {
    co_await AwaitResumed();
    auto result = co_await store_.RevokeLease(lease);
    co_return result;
  }
  std::optional<base::time_point> HeardAt() const override {
    return store_.HeardAt();
  }
  std::int64_t bytes() const override { return 0; }

 private:
  boost::asio::awaitable<void> AwaitResumed() {
    boost::system::error_code ignored;
    while (suspended) {
      co_await resumed_.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
  }

  store::kv_client& store_;
  boost::asio::steady_timer resumed_;
};

// A holder and processes that find it lost.
struct lost_holder : site {
  lost_holder() {
    holder = std::make_unique<store::lease_keeper>(
        context, client, "h1", 200ms, [] { return true; }, true);
    holder->Start();
    AwaitTerm(*holder);
    term = holder->term();
  }

  std::unique_ptr<store::lease_keeper> BeginSuccessor(const std::string& name) {
    auto made = std::make_unique<store::lease_keeper>(
        context, store, name, 200ms, [] { return true; });
    made->SetSuccession([this](std::int64_t held) {
      asked_terms.push_back(held);
      return is_lost && held == term;
    });
    made->Start();
    return made;
  }

  // Lets processes look for the lease so many times.
  void AwaitLooks(int count) {
    const int looks = store.reads + count;
    while (store.reads < looks)
      context.run_one();
  }

  suspended_client client{context, store};
  std::unique_ptr<store::lease_keeper> holder;
  std::int64_t term = 0;
  bool is_lost = true;
  std::vector<std::int64_t> asked_terms;
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

// A lost holder kept its lease for 10 s, and no engine got an order.
BOOST_AUTO_TEST_CASE(a_lease_of_a_dead_holder_is_taken_over) {
  lost_holder here;
  here.client.suspended = true;
  const auto next = here.BeginSuccessor("h2");
  here.AwaitTerm(*next);
  BOOST_TEST(next->term() > here.term);
  BOOST_TEST(!next->follows_itself());
  BOOST_TEST(!next->is_first_holder());
}

BOOST_AUTO_TEST_CASE(a_suspended_holder_stops_when_it_resumes) {
  lost_holder here;
  here.client.suspended = true;
  const auto next = here.BeginSuccessor("h2");
  here.AwaitTerm(*next);
  const std::int64_t term = next->term();
  here.client.Resume();
  while (here.holder->term() != 0)
    here.context.run_one();
  here.AwaitLooks(3);
  BOOST_TEST(here.holder->term() == 0);
  BOOST_TEST(next->term() == term);
}

// It reaches the store, but no other host hears it.
BOOST_AUTO_TEST_CASE(a_partitioned_holder_stops_at_its_next_renewal) {
  lost_holder here;
  const auto next = here.BeginSuccessor("h2");
  here.AwaitTerm(*next);
  const auto begin = std::chrono::steady_clock::now();
  while (here.holder->term() != 0)
    here.context.run_one();
  // Three renewals in the length of the lease.
  BOOST_TEST((std::chrono::steady_clock::now() - begin < 200ms));
  BOOST_TEST(here.holder->CertainTerm() == 0);
  BOOST_TEST(next->term() != 0);
}

BOOST_AUTO_TEST_CASE(nobody_takes_over_while_the_store_is_unavailable) {
  lost_holder here;
  here.store.down = true;
  const auto next = here.BeginSuccessor("h2");
  const auto until = std::chrono::steady_clock::now() + 300ms;
  while (std::chrono::steady_clock::now() < until)
    here.context.run_one();
  BOOST_TEST(next->term() == 0);
  BOOST_TEST(here.holder->CertainTerm() == here.term);
  BOOST_TEST(here.asked_terms.empty());
  here.store.down = false;
  here.AwaitTerm(*next);
}

// Both have seen the lost holder's lease before one of them takes it.
BOOST_AUTO_TEST_CASE(only_one_of_two_successors_takes_the_lease) {
  lost_holder here;
  here.client.suspended = true;
  here.store.holds_read_responses = true;
  const auto second = here.BeginSuccessor("h2");
  const auto third = here.BeginSuccessor("h3");
  while (here.store.held_responses < 2)
    here.context.run_one();
  here.store.holds_read_responses = false;
  here.store.Wake();
  here.AwaitLooks(3);
  BOOST_TEST((second->term() != 0) != (third->term() != 0));
  // The one that has failed does not take it over from the other.
  here.AwaitLooks(3);
  BOOST_TEST((second->term() != 0) != (third->term() != 0));
  BOOST_TEST(here.asked_terms.size() >= 3u);
}

BOOST_AUTO_TEST_CASE(a_lease_of_a_holder_that_is_not_lost_is_left_alone) {
  lost_holder here;
  here.is_lost = false;
  const auto next = here.BeginSuccessor("h2");
  here.AwaitLooks(4);
  BOOST_TEST(next->term() == 0);
  BOOST_TEST(here.holder->CertainTerm() == here.term);
  BOOST_REQUIRE(!here.asked_terms.empty());
  BOOST_TEST(here.asked_terms.front() == here.term);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
