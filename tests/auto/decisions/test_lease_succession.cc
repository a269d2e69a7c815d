// SPDX-License-Identifier: MIT
// Guards against a lease that stays with a lost holder until it lapses, and
// against two holders that send orders at the same time.
//
// After the replacement of a holder's machine no engine got an order for 11 s:
// its lease of 10 s had to lapse first.
#include "decisions/lease_succession.h"

#include <functional>
#include <map>
#include <random>
#include <set>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::int64_t kTerm = 7;
constexpr milliseconds kStep{10};
const base::endpoint kHolder{"10.0.0.100", 1};

base::endpoint Witness(std::size_t i) {
  return {"10.0.0." + std::to_string(i + 1), 1};
}

// A holder and its witnesses in virtual time. Messages arrive after 2 ms, or
// not at all.
struct holder_and_witnesses {
  explicit holder_and_witnesses(std::size_t count = kLeaseWitnesses) {
    for (std::size_t i = 0; i < count; ++i) {
      witnesses.push_back(Witness(i));
      watches[Witness(i)];
    }
  }

  bool Arrives(const base::endpoint& from, const base::endpoint& to) {
    return !is_cut(from, to) &&
           std::uniform_real_distribution<double>(0, 1)(random) >= loss;
  }

  void Deliver(const base::endpoint& from,
               const base::endpoint& to,
               std::function<void()> action) {
    if (Arrives(from, to))
      in_flight.emplace(now + 2ms, std::move(action));
  }

  void Step() {
    now += kStep;
    while (!in_flight.empty() && in_flight.begin()->first <= now) {
      const auto action = std::move(in_flight.begin()->second);
      in_flight.erase(in_flight.begin());
      action();
    }
    if (holder_runs) {
      if (const auto beat = NextBeat(holder, kTerm, now)) {
        for (const auto& to : witnesses)
          Deliver(kHolder, to, [this, to, beat] { OnBeat(to, *beat); });
      }
      if (MaySendOrders(holder, witnesses, now))
        last_order = now;
      else
        withheld += kStep;
    }
    for (auto& [self, watch] : watches)
      StepWitness(self, watch);
  }

  void OnBeat(const base::endpoint& at, const lease_beat& beat) {
    if (!RecordBeat(watches[at], beat.term, now))
      return;
    Deliver(at, kHolder, [this, at, beat] {
      if (holder_runs)
        RecordReply(holder, at, beat);
    });
  }

  void StepWitness(const base::endpoint& self, holder_watch& watch) {
    if (ShouldVote(watch, now)) {
      for (const auto& to : witnesses) {
        Deliver(self, to, [this, self, to, term = watch.term] {
          RecordVote(watches[to], self, term, now);
        });
      }
    }
    if (!lost_at && IsHolderLost(watch, self, witnesses, now)) {
      lost_at = now;
      successor = self;
    }
  }

  void Run(milliseconds time) {
    const auto until = now + time;
    while (now < until)
      Step();
  }

  // Returns the time until a witness finds the holder lost; nothing if none
  // does.
  std::optional<milliseconds> TimeUntilLost(milliseconds limit) {
    const auto begin = now;
    while (!lost_at && now < begin + limit)
      Step();
    if (!lost_at)
      return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(*lost_at - begin);
  }

  base::time_point now{100s};
  std::vector<base::endpoint> witnesses;
  holder_confirmations holder;
  std::map<base::endpoint, holder_watch> watches;
  std::multimap<base::time_point, std::function<void()>> in_flight;
  bool holder_runs = true;
  std::function<bool(const base::endpoint&, const base::endpoint&)> is_cut =
      [](const base::endpoint&, const base::endpoint&) { return false; };
  double loss = 0;
  std::mt19937_64 random{1};
  base::time_point last_order;
  milliseconds withheld{0};
  std::optional<base::time_point> lost_at;
  base::endpoint successor;
};

BOOST_AUTO_TEST_SUITE(lease_succession)

BOOST_AUTO_TEST_CASE(a_holder_that_runs_is_not_lost) {
  holder_and_witnesses here;
  BOOST_TEST(!here.TimeUntilLost(60s).has_value());
  BOOST_TEST((here.withheld == 0ms));
}

// The pause of a new holder is 3 s, and the goal 4 s in all.
BOOST_AUTO_TEST_CASE(a_dead_holder_is_lost_within_a_second) {
  for (int i = 0; i < 20; ++i) {
    holder_and_witnesses here;
    here.Run(5s + i * kStep);
    here.holder_runs = false;
    const auto lost = here.TimeUntilLost(5s);
    BOOST_REQUIRE(lost.has_value());
    BOOST_TEST((*lost <= 700ms));
  }
}

// Three witnesses die with the holder: an availability zone is lost.
BOOST_AUTO_TEST_CASE(a_holder_is_lost_together_with_some_witnesses) {
  holder_and_witnesses here;
  here.Run(5s);
  here.holder_runs = false;
  const std::set<base::endpoint> dead{Witness(0), Witness(1), Witness(2)};
  here.is_cut = [&](const base::endpoint& from, const base::endpoint& to) {
    return dead.contains(from) || dead.contains(to);
  };
  BOOST_TEST(here.TimeUntilLost(5s).has_value());
  BOOST_TEST(!dead.contains(here.successor));
}

// Orders of two holders must not be sent within 3 s of each other: the pause of
// the new holder begins after the old one has stopped.
BOOST_AUTO_TEST_CASE(a_partitioned_holder_stops_before_it_is_lost) {
  const auto from_holder = [](const base::endpoint& from,
                              const base::endpoint&) {
    return from == kHolder;
  };
  const auto to_holder = [](const base::endpoint&, const base::endpoint& to) {
    return to == kHolder;
  };
  const auto both = [&](const base::endpoint& from, const base::endpoint& to) {
    return from_holder(from, to) || to_holder(from, to);
  };
  for (const bool is_one_way : {true, false}) {
    holder_and_witnesses here;
    here.Run(5s);
    if (is_one_way)
      here.is_cut = from_holder;
    else
      here.is_cut = both;
    BOOST_REQUIRE(here.TimeUntilLost(5s).has_value());
    here.Run(10s);
    BOOST_TEST((here.last_order < *here.lost_at));
  }
  // Its beats arrive: it is not lost, but nobody confirms it.
  holder_and_witnesses here;
  here.Run(5s);
  here.is_cut = to_holder;
  BOOST_TEST(!here.TimeUntilLost(5s).has_value());
  BOOST_TEST((here.now - here.last_order > 4s));
}

// Its network fails for a moment, just long enough for the votes.
BOOST_AUTO_TEST_CASE(a_holder_that_returns_after_the_votes_sends_no_orders) {
  holder_and_witnesses here;
  here.Run(5s);
  here.is_cut = [](const base::endpoint& from, const base::endpoint& to) {
    return from == kHolder || to == kHolder;
  };
  BOOST_REQUIRE(here.TimeUntilLost(5s).has_value());
  here.is_cut = [](const base::endpoint&, const base::endpoint&) {
    return false;
  };
  here.Run(1s);
  BOOST_TEST((here.last_order < *here.lost_at));
  // Nobody has taken the lease over, since the store does not respond.
  here.Run(3s);
  BOOST_TEST((here.last_order == here.now));
}

BOOST_AUTO_TEST_CASE(a_suspended_holder_sends_no_orders_when_it_resumes) {
  holder_and_witnesses here;
  here.Run(5s);
  here.holder_runs = false;
  BOOST_REQUIRE(here.TimeUntilLost(5s).has_value());
  here.holder_runs = true;
  here.Run(1s);
  BOOST_TEST((here.last_order < *here.lost_at));
}

// A few hosts that reach nobody else do not take the lease over.
BOOST_AUTO_TEST_CASE(a_minority_of_witnesses_finds_no_holder_lost) {
  holder_and_witnesses here;
  here.Run(5s);
  const std::set<base::endpoint> minority{Witness(0), Witness(1), Witness(2)};
  here.is_cut = [&](const base::endpoint& from, const base::endpoint& to) {
    return minority.contains(from) != minority.contains(to);
  };
  BOOST_TEST(!here.TimeUntilLost(20s).has_value());
  BOOST_TEST((here.last_order == here.now));
}

BOOST_AUTO_TEST_CASE(lost_datagrams_cause_no_succession) {
  holder_and_witnesses here;
  here.loss = 0.1;
  BOOST_TEST(!here.TimeUntilLost(600s).has_value());
  BOOST_TEST_MESSAGE("orders withheld for " << here.withheld.count()
                                            << " ms of 600 s");
  BOOST_TEST((here.withheld < 3s));
}

BOOST_AUTO_TEST_CASE(without_enough_witnesses_the_lease_lapses) {
  holder_and_witnesses here(2);
  here.Run(5s);
  here.holder_runs = false;
  BOOST_TEST(!here.TimeUntilLost(20s).has_value());
}

// Hosts of an older build send and reply to no beats.
BOOST_AUTO_TEST_CASE(hosts_of_an_older_build_change_nothing) {
  holder_and_witnesses silent;
  silent.holder_runs = false;
  BOOST_TEST(!silent.TimeUntilLost(20s).has_value());
  holder_and_witnesses here;
  here.is_cut = [](const base::endpoint&, const base::endpoint& to) {
    return to == kHolder;
  };
  here.Run(20s);
  BOOST_TEST((here.withheld == 0ms));
}

// A holder that reaches the store but not the hosts gives the lease up and
// takes it again. In the new term it was exempt like a holder among hosts of an
// older build.
BOOST_AUTO_TEST_CASE(a_holder_that_was_confirmed_stays_bound_in_later_terms) {
  holder_and_witnesses here;
  here.Run(1s);
  BOOST_TEST(MaySendOrders(here.holder, here.witnesses, here.now));
  here.now += 5s;
  BOOST_TEST(!NextBeat(here.holder, 0, here.now).has_value());
  const auto beat = NextBeat(here.holder, kTerm + 1, here.now);
  BOOST_REQUIRE(beat.has_value());
  BOOST_TEST(!MaySendOrders(here.holder, here.witnesses, here.now));
  for (const auto& witness : here.witnesses)
    RecordReply(here.holder, witness, *beat);
  BOOST_TEST(MaySendOrders(here.holder, here.witnesses, here.now));
}

BOOST_AUTO_TEST_CASE(a_new_term_replaces_an_older_one) {
  holder_watch watch;
  base::time_point now{100s};
  BOOST_TEST(RecordBeat(watch, 7, now));
  now += kHolderSilence;
  BOOST_TEST(ShouldVote(watch, now));
  BOOST_TEST(!RecordBeat(watch, 7, now));
  BOOST_TEST(RecordBeat(watch, 8, now));
  BOOST_TEST(!RecordBeat(watch, 7, now));
  BOOST_TEST(!ShouldVote(watch, now));
  // Votes for an older term do not count.
  RecordVote(watch, Witness(1), 7, now);
  BOOST_TEST(watch.votes.empty());
}

// The next holder may be of an older build.
BOOST_AUTO_TEST_CASE(votes_end_when_the_lease_has_lapsed) {
  holder_and_witnesses here;
  here.Run(5s);
  here.holder_runs = false;
  here.Run(20s);
  BOOST_TEST(!ShouldVote(here.watches[Witness(0)], here.now));
  BOOST_TEST(!IsHolderLost(here.watches[Witness(0)], Witness(0), here.witnesses,
                           here.now));
}

BOOST_AUTO_TEST_CASE(beats_are_read_as_they_are_written) {
  const auto beat = ParseLeaseBeat(ToText({12, 34}));
  BOOST_REQUIRE(beat.has_value());
  BOOST_TEST(beat->term == 12);
  BOOST_TEST(beat->number == 34);
  for (const char* text : {"", "12", "12 ", " 12 34", "12 34 ", "0 1", "-1 1",
                           "1 -1", "x 1", "99999999999999999999 1"})
    BOOST_TEST(!ParseLeaseBeat(text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
