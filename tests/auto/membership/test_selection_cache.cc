// SPDX-License-Identifier: MIT
// Selection of members, and its cache.
#include "membership/selection_cache.h"

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

struct test_member {
  test_member() {
    state = gossip_builder()
                .Self("n0", {"127.0.0.1", 2000}, "a", role::kGateway)
                .Build();
  }

  void Deliver(const member& received) {
    wire::gossip_message message;
    message.kind = static_cast<std::int32_t>(gossip_kind::kUpdates);
    message.sender = received;
    Receive(state, message, *base::ParseEndpoint(received.address), now,
            random);
  }

  // Computes the selection without the cache.
  std::vector<std::string> SelectWithoutCache(
      const selection_query& query) const {
    std::vector<std::string> out;
    const auto members = Members(state);
    for (const member* each :
         ChooseOwners(members, query.subject, 0, query.zone, query.count)) {
      out.push_back(each->id);
    }
    return out;
  }

  gossip_state state;
  random_source random{7};
  base::time_point now = std::chrono::steady_clock::now();
};

}  // namespace

// Members with the preferred role are selected while there are any, then the
// same members as without a preference.
BOOST_AUTO_TEST_CASE(members_with_preferred_roles_are_selected_first) {
  test_member process;
  for (int i = 1; i < kMembers; ++i) {
    member each = MemberOf(i, 1);
    if (i == 5 || i == 7)
      each.roles |= role::kHighBandwidth;
    process.Deliver(each);
  }
  const selection_query any{"duty", "", 1, 0};
  const selection_query wide{"duty", "", 1, role::kHighBandwidth};
  const std::string first = SelectMembers(process.state, wide).front();
  BOOST_TEST((first == "n5" || first == "n7"));
  const int other = first == "n5" ? 7 : 5;
  for (const int leaving_index : {12 - other, other}) {
    member each = MemberOf(leaving_index, 1);
    each.roles |= role::kHighBandwidth;
    each.leaving = true;
    process.Deliver(each);
    if (leaving_index != other) {
      BOOST_TEST(SelectMembers(process.state, wide).front() ==
                 "n" + std::to_string(other));
    }
  }
  BOOST_TEST(SelectMembers(process.state, wide).front() ==
             SelectMembers(process.state, any).front());
}

// Members join, leave, are declared dead, recover and restart in random order;
// after each change, cached selections equal those computed without the cache.
BOOST_AUTO_TEST_CASE(cached_selections_follow_every_change) {
  for (const unsigned seed : {1U, 2U, 3U, 4U}) {
    test_member process;
    process.random.seed(seed);
    std::vector<member> known;
    for (int i = 0; i < kMembers; ++i)
      known.push_back(MemberOf(i, 1));
    std::uniform_int_distribution<std::size_t> any(1, kMembers - 1);
    std::uniform_int_distribution<int> kind(0, 3);
    for (int step = 0; step < 300; ++step) {
      member& each = known[any(process.random)];
      switch (kind(process.random)) {
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
      process.Deliver(each);
      for (const std::string subject : {"i-1", "i-2", "follow/store"}) {
        for (const std::string zone : {"", "a"}) {
          const selection_query query{subject, zone, 4};
          BOOST_TEST(SelectMembers(process.state, query) ==
                     process.SelectWithoutCache(query));
        }
      }
    }
    AnnounceLeaving(process.state, process.random);
    const selection_query query{"i-1", "", kMembers};
    BOOST_TEST(SelectMembers(process.state, query) ==
               process.SelectWithoutCache(query));
  }
}

// Members are often suspected and refute it on a lossy network. That moves no
// work, and so must not clear the cache.
BOOST_AUTO_TEST_CASE(suspicion_keeps_cached_selections) {
  test_member process;
  for (int i = 1; i < kMembers; ++i)
    process.Deliver(MemberOf(i, 1));
  SelectMembers(process.state, {"i-1", "", 4});
  member suspected = MemberOf(5, 1);
  suspected.health = static_cast<std::int32_t>(member_health::kSuspect);
  process.Deliver(suspected);
  BOOST_TEST(process.state.selections.entries.size() == 1u);
}

// Subjects are names of servers, and each release adds new names.
BOOST_AUTO_TEST_CASE(selection_cache_is_bounded) {
  test_member process;
  process.Deliver(MemberOf(1, 1));
  for (int i = 0; i < 10'000; ++i)
    SelectMembers(process.state, {"i-" + std::to_string(i), "", 1});
  BOOST_TEST(process.state.selections.entries.size() <= 4096u);
}
