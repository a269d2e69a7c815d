// SPDX-License-Identifier: MIT
// Hosts that tell each other of the key-value service's answers, in virtual
// time.
#include "decisions/response_age.h"

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using std::chrono::milliseconds;

// As hosts do: each tells so many others in each interval.
constexpr std::size_t kTold = 16;
constexpr milliseconds kInterval{250};

using hear = std::function<
    void(answer_ages& ages, const told_answer& told, base::time_point now)>;

// Hosts whose news takes `transit`, from its writing to its reading.
class fleet {
 public:
  fleet(std::size_t size, milliseconds transit, hear take)
      : ages_(size), phases_(size), transit_(transit), take_(std::move(take)) {
    std::uniform_int_distribution<std::int64_t> any(0, kInterval.count() - 1);
    for (std::size_t i = 0; i < size; ++i) {
      ages_[i].own.origin = static_cast<std::int64_t>(i) + 1;
      phases_[i] = any(random_);
    }
  }

  void Run(milliseconds length) {
    for (std::int64_t i = 0; i < length.count(); ++i)
      Step();
  }

  answer_ages& At(std::size_t host) { return ages_[host]; }
  base::time_point now() const { return now_; }

  milliseconds YoungestAge() const {
    milliseconds youngest = milliseconds::max();
    for (const answer_ages& each : ages_) {
      const auto newest = NewestAnswer(each);
      if (newest)
        youngest = std::min(youngest,
                            std::chrono::floor<milliseconds>(now_ - *newest));
    }
    return youngest;
  }

 private:
  struct letter {
    base::time_point arrives;
    std::size_t to;
    told_answer told;
  };

  void Step() {
    now_ += milliseconds(1);
    ++elapsed_;
    std::uniform_int_distribution<std::size_t> any(0, ages_.size() - 1);
    for (std::size_t i = 0; i < ages_.size(); ++i) {
      if (elapsed_ % kInterval.count() != phases_[i])
        continue;
      const auto told = TellNewest(ages_[i], now_);
      for (std::size_t each = 0; told && each < kTold; ++each)
        letters_.push_back({now_ + transit_, any(random_), *told});
    }
    std::erase_if(letters_, [&](const letter& each) {
      if (each.arrives > now_)
        return false;
      take_(ages_[each.to], each.told, now_);
      return true;
    });
  }

  std::vector<answer_ages> ages_;
  std::vector<std::int64_t> phases_;
  std::vector<letter> letters_;
  milliseconds transit_;
  hear take_;
  std::mt19937_64 random_{11};
  base::time_point now_ = std::chrono::steady_clock::now();
  std::int64_t elapsed_ = 0;
};

// What was done before: the youngest age that is heard counts.
void HearYoungest(answer_ages& ages,
                  const told_answer& told,
                  base::time_point now) {
  auto& known = ages.heard[0];
  known.at = std::max(known.at, now - told.age);
}

milliseconds AgeAfterSilence(std::size_t size,
                             milliseconds transit,
                             const hear& take) {
  fleet hosts(size, transit, take);
  NoteOwnAnswer(hosts.At(0), true, hosts.now());
  hosts.Run(milliseconds(3000));
  return hosts.YoungestAge();
}

}  // namespace

// The service answered once, 3 s ago, and news takes 20 ms. By the youngest age
// heard some hosts believe in an answer of 1,020 ms ago among 71 hosts and of
// 940 ms ago among 295, and none would take over; with stamps of 2,900 ms ago.
BOOST_AUTO_TEST_CASE(an_answer_grows_as_old_as_it_is) {
  for (const std::size_t size : {8U, 71U, 295U}) {
    const milliseconds transit(20);
    const auto before = AgeAfterSilence(size, transit, HearYoungest);
    const auto after = AgeAfterSilence(size, transit, HearAnswer);
    BOOST_TEST_MESSAGE(size << " hosts: " << before.count() << " ms, now "
                            << after.count() << " ms");
    BOOST_TEST(after.count() >= 2800);
    BOOST_TEST(after.count() <= 3000);
    BOOST_TEST((before < after));
  }
}

// Where news takes 100 ms the youngest age heard is 400 ms after 3 s, and with
// stamps 2,700 ms.
BOOST_AUTO_TEST_CASE(an_answer_grows_old_among_slow_hosts) {
  const milliseconds transit(100);
  const auto before = AgeAfterSilence(71, transit, HearYoungest);
  const auto after = AgeAfterSilence(71, transit, HearAnswer);
  BOOST_TEST_MESSAGE("71 slow hosts: " << before.count() << " ms, now "
                                       << after.count() << " ms");
  BOOST_TEST(after.count() >= 2400);
}

BOOST_AUTO_TEST_CASE(an_answer_reaches_all_within_a_second) {
  fleet hosts(295, milliseconds(20), HearAnswer);
  NoteOwnAnswer(hosts.At(0), true, hosts.now());
  hosts.Run(milliseconds(1000));
  for (std::size_t i = 0; i < 295; ++i)
    BOOST_TEST(NewestAnswer(hosts.At(i)).has_value());
}

// The process that stands in is not talked out of it by its own answers.
BOOST_AUTO_TEST_CASE(own_answers_that_come_back_are_not_those_of_others) {
  fleet hosts(30, milliseconds(20), HearAnswer);
  for (int i = 0; i < 10; ++i) {
    NoteOwnAnswer(hosts.At(0), false, hosts.now());
    hosts.Run(milliseconds(200));
  }
  const milliseconds span(1100);
  BOOST_TEST(!OthersAnsweredWithin(hosts.At(0), span, hosts.now()));
  BOOST_TEST(OthersAnsweredWithin(hosts.At(9), span, hosts.now()));
}

// Of several that stand in exactly one goes on; all leave it to a chosen one.
BOOST_AUTO_TEST_CASE(one_of_those_that_stand_in_goes_on) {
  constexpr std::size_t kSize = 30;
  const milliseconds span(1100);
  fleet hosts(kSize, milliseconds(20), HearAnswer);
  const std::vector<std::size_t> standing_in = {3, 12, 20};
  const auto stay = [&] {
    return std::ranges::count_if(standing_in, [&](std::size_t each) {
      return !MayLeaveToOthers(hosts.At(each), span, hosts.now());
    });
  };
  for (int i = 0; i < 10; ++i) {
    for (const std::size_t each : standing_in)
      NoteOwnAnswer(hosts.At(each), false, hosts.now());
    hosts.Run(milliseconds(200));
  }
  BOOST_TEST(stay() == 1);
  for (int i = 0; i < 10; ++i) {
    NoteOwnAnswer(hosts.At(25), true, hosts.now());
    hosts.Run(milliseconds(200));
  }
  BOOST_TEST(stay() == 0);
}

// Hosts start anew all the time, each with another origin.
BOOST_AUTO_TEST_CASE(answers_to_processes_that_have_ended_are_forgotten) {
  answer_ages ages;
  base::time_point now = std::chrono::steady_clock::now();
  for (int i = 1; i <= 1000; ++i) {
    HearAnswer(ages, {{i, 1, false}, milliseconds(0)}, now);
    now += std::chrono::seconds(1);
  }
  BOOST_TEST(ages.heard.size() <= 31u);
}
