// SPDX-License-Identifier: MIT
// Choices among members, and the memory of them.
#include "membership/choices.h"

#include <boost/test/unit_test.hpp>

#include "membership/gossip.h"
#include "membership/ownership.h"

namespace {

using namespace valeledge;
using namespace valeledge::membership;

constexpr int kMembers = 40;

member MemberOf(int index, std::int64_t incarnation) {
  member out;
  out.id = "n" + std::to_string(index);
  out.address = "127.0.0.1:" + std::to_string(2000 + index);
  out.zone = index % 3 == 0 ? "a" : "b";
  out.incarnation = incarnation;
  out.roles = role::kGateway;
  return out;
}

struct world {
  world() {
    state = gossip_builder()
                .Self("n0", {"127.0.0.1", 2000}, "a", role::kGateway)
                .Build();
  }

  void Hear(const member& heard) {
    wire::gossip_message message;
    message.kind = static_cast<std::int32_t>(gossip_kind::kNews);
    message.sender = heard;
    Receive(state, message, *base::ParseEndpoint(heard.address), now, random);
  }

  // The choice worked out without any memory.
  std::vector<std::string> Fresh(const choice_question& question) const {
    std::vector<std::string> out;
    const auto members = Members(state);
    for (const member* each : ChooseOwners(members, question.subject, 0,
                                           question.zone, question.count)) {
      out.push_back(each->id);
    }
    return out;
  }

  gossip_state state;
  random_source random{7};
  base::time_point now = std::chrono::steady_clock::now();
};

}  // namespace

// Members with the preferred role are chosen while there are any, whoever they
// are, and any others then.
BOOST_AUTO_TEST_CASE(members_with_the_preferred_role_come_first) {
  world here;
  for (int i = 1; i < kMembers; ++i) {
    member each = MemberOf(i, 1);
    if (i == 5 || i == 7)
      each.roles |= role::kWideLink;
    here.Hear(each);
  }
  const choice_question any{"duty", "", 1, 0};
  const choice_question wide{"duty", "", 1, role::kWideLink};
  const std::string first = ChosenMembers(here.state, wide).front();
  BOOST_TEST((first == "n5" || first == "n7"));
  const int other = first == "n5" ? 7 : 5;
  for (const int leaves : {12 - other, other}) {
    member each = MemberOf(leaves, 1);
    each.roles |= role::kWideLink;
    each.leaving = true;
    here.Hear(each);
    if (leaves != other) {
      BOOST_TEST(ChosenMembers(here.state, wide).front() ==
                 "n" + std::to_string(other));
    }
  }
  BOOST_TEST(ChosenMembers(here.state, wide).front() ==
             ChosenMembers(here.state, any).front());
}

// Members come, leave, are found dead, come back and start anew in any order;
// after each change every choice is the one that is made without memory.
BOOST_AUTO_TEST_CASE(remembered_choices_follow_every_change) {
  for (const unsigned seed : {1U, 2U, 3U, 4U}) {
    world here;
    here.random.seed(seed);
    std::vector<member> known;
    for (int i = 0; i < kMembers; ++i)
      known.push_back(MemberOf(i, 1));
    std::uniform_int_distribution<std::size_t> any(1, kMembers - 1);
    std::uniform_int_distribution<int> kind(0, 3);
    for (int step = 0; step < 300; ++step) {
      member& each = known[any(here.random)];
      switch (kind(here.random)) {
        case 0:
          each.leaving = true;
          break;
        case 1:
          each.health = static_cast<std::int32_t>(member_health::kDead);
          break;
        case 2:
          each.health = static_cast<std::int32_t>(member_health::kAlive);
          ++each.health_version;
          break;
        default:
          each = MemberOf(std::stoi(each.id.substr(1)), each.incarnation + 1);
      }
      here.Hear(each);
      for (const std::string subject : {"i-1", "i-2", "follow/store"}) {
        for (const std::string zone : {"", "a"}) {
          const choice_question question{subject, zone, 4};
          BOOST_TEST(ChosenMembers(here.state, question) ==
                     here.Fresh(question));
        }
      }
    }
    AnnounceLeaving(here.state, here.random);
    const choice_question question{"i-1", "", kMembers};
    BOOST_TEST(ChosenMembers(here.state, question) == here.Fresh(question));
  }
}

// Suspicion comes and goes all the time on a lossy network, and moves no work.
BOOST_AUTO_TEST_CASE(suspicion_leaves_choices_remembered) {
  world here;
  for (int i = 1; i < kMembers; ++i)
    here.Hear(MemberOf(i, 1));
  ChosenMembers(here.state, {"i-1", "", 4});
  member doubted = MemberOf(5, 1);
  doubted.health = static_cast<std::int32_t>(member_health::kSuspect);
  here.Hear(doubted);
  BOOST_TEST(here.state.choices.answers.size() == 1u);
}

// Subjects are names of servers, and each release brings new ones.
BOOST_AUTO_TEST_CASE(the_memory_of_choices_is_bounded) {
  world here;
  here.Hear(MemberOf(1, 1));
  for (int i = 0; i < 10'000; ++i)
    ChosenMembers(here.state, {"i-" + std::to_string(i), "", 1});
  BOOST_TEST(here.state.choices.answers.size() <= 4096u);
}
