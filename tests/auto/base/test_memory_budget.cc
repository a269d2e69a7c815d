// SPDX-License-Identifier: MIT
// Which message gives way when the memory for all is used up.
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "base/memory_budget.h"

namespace {

using namespace valeledge;
using base::memory_budget;
using base::memory_share;

constexpr std::int64_t kMegabyte = 1024 * 1024;

BOOST_AUTO_TEST_SUITE(memory_budgets)

BOOST_AUTO_TEST_CASE(the_largest_message_gives_way_to_small_ones) {
  const auto budget = std::make_shared<memory_budget>(4 * kMegabyte);
  int given_up = 0;
  memory_share large(budget, [&] { ++given_up; });
  memory_share middle(budget, [] { BOOST_TEST(false); });
  memory_share small(budget, [] { BOOST_TEST(false); });
  BOOST_TEST(large.Resize(2 * kMegabyte));
  BOOST_TEST(middle.Resize(kMegabyte));
  BOOST_TEST(small.Resize(20'000));
  BOOST_TEST(given_up == 0);
  BOOST_TEST(middle.Resize(3 * kMegabyte / 2));
  BOOST_TEST(given_up == 1);
  BOOST_TEST(large.gave_way());
  BOOST_TEST(budget->held() == 3 * kMegabyte / 2 + 20'000);
}

BOOST_AUTO_TEST_CASE(a_message_that_grows_beyond_all_others_gives_way_itself) {
  const auto budget = std::make_shared<memory_budget>(4 * kMegabyte);
  memory_share other(budget, [] { BOOST_TEST(false); });
  memory_share endless(budget, [] { BOOST_TEST(false); });
  BOOST_TEST(other.Resize(kMegabyte));
  BOOST_TEST(endless.Resize(kMegabyte));
  BOOST_TEST(!endless.Resize(5 * kMegabyte));
  BOOST_TEST(!endless.Resize(1));
  BOOST_TEST(budget->held() == kMegabyte);
}

// Guards against large messages under way that shut out all others.
BOOST_AUTO_TEST_CASE(small_messages_fit_beside_large_ones_that_are_kept) {
  const auto budget = std::make_shared<memory_budget>(4 * kMegabyte);
  std::vector<std::unique_ptr<memory_share>> kept;
  bool fits = true;
  while (fits) {
    kept.push_back(std::make_unique<memory_share>(budget, [] {}));
    fits = kept.back()->Resize(200'000);
    kept.back()->Keep();
  }
  memory_share small(budget, [] {});
  BOOST_TEST(small.Resize(50'000));
}

// Endless messages of any number beside short ones: the bound holds, and no
// short one gives way.
BOOST_AUTO_TEST_CASE(
    endless_messages_neither_pass_the_bound_nor_harm_short_ones) {
  std::mt19937_64 random(1);
  const auto budget = std::make_shared<memory_budget>(4 * kMegabyte);
  constexpr std::size_t kEndless = 300;
  std::vector<std::unique_ptr<memory_share>> endless(kEndless);
  std::vector<std::int64_t> sizes(kEndless);
  std::vector<std::unique_ptr<memory_share>> brief;
  int refused = 0;
  for (int step = 0; step < 100'000; ++step) {
    const std::size_t at = random() % kEndless;
    auto& each = endless[at];
    if (each == nullptr || each->gave_way()) {
      each = std::make_unique<memory_share>(budget, [] {});
      sizes[at] = 0;
    }
    sizes[at] += static_cast<std::int64_t>(random() % 100'000);
    each->Resize(sizes[at]);
    if (step % 10 == 0) {
      brief.push_back(std::make_unique<memory_share>(budget, [] {}));
      refused += !brief.back()->Resize(2000);
    }
    if (brief.size() > 100)
      brief.erase(brief.begin());
    BOOST_REQUIRE(budget->held() <= budget->capacity());
  }
  BOOST_TEST(refused == 0);
  BOOST_TEST(budget->given_up() > 0);
  endless.clear();
  brief.clear();
  BOOST_TEST(budget->held() == 0);
}

// A message may end others, and itself, as it gives way.
BOOST_AUTO_TEST_CASE(a_share_may_be_destroyed_as_it_gives_way) {
  const auto budget = std::make_shared<memory_budget>(kMegabyte);
  std::unique_ptr<memory_share> large;
  large = std::make_unique<memory_share>(budget, [&] { large.reset(); });
  BOOST_TEST(large->Resize(600'000));
  memory_share small(budget, [] {});
  memory_share other(budget, [] {});
  BOOST_TEST(other.Resize(500'000));
  BOOST_TEST((large == nullptr));
  BOOST_TEST(small.Resize(50'000));
  BOOST_TEST(budget->held() == 550'000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
